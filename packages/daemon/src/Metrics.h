#ifndef PIMENTOFRONT_DAEMON_METRICS_H
#define PIMENTOFRONT_DAEMON_METRICS_H

#include "pimentofront/Forward.h"

#include <map>
#include <memory>

namespace pimentofront {

/// \class Gauges
/// \brief Values that are sampled when the metrics page is requested.
struct Gauges {
  double Revision = 0;
  double ConfigurationLeaseSeconds = 0;
  double MemberLeaseSeconds = 0;
  /// Time since all copies of what this entry follows were last known to be
  /// current; -1 before the first time.
  double FollowedAgeSeconds = -1;
  double InProgress = 0;
  double EngineRunning = 0;
  double EngineWaiting = 0;
  double BatchCapacity = 0;
  /// Factor on the time that the engine's work takes, as its host states it.
  double EngineSlowness = 1;
  /// Requests per second that the engine accepts from all entries together; 0
  /// if it is not limited.
  double EngineRateLimit = 0;
  /// Numbers of backend servers that limit their request rate, are backing off,
  /// are leaving or are cold, by the last reports that this entry received.
  double LimitedServers = 0;
  double BackingOffServers = 0;
  double LeavingServers = 0;
  double ColdServers = 0;
  /// Requests that wait at this entry for room at a plain service, and the
  /// slots of the plain services whose servers report their load.
  double PlainWaiting = 0;
  double PlainSlots = 0;
  double PlainSlotsFree = 0;
  /// Expected times of the slowest and the fastest plain server for a request;
  /// 0 if none has answered.
  double SlowestServerSeconds = 0;
  double FastestServerSeconds = 0;
  /// The servers of each plain service, as this entry sees them.
  std::map<ServiceName, ServiceServers> PlainServers;
  /// Zones evacuated by operators, by the configuration that this entry has.
  double EvacuatedZones = 0;
  /// Bytes that this entry holds: of requests that wait or run, and on callers'
  /// connections (unfinished requests and unread answers).
  double RequestBytes = 0;
  double ConnectionBytes = 0;
  /// Bytes of requests under way to all backend servers.
  double ServerBytes = 0;
  /// Answers whose servers aren't read, because their callers read too slowly.
  double PausedStreams = 0;
  /// Prompt parts that backend servers exited under, and those of them with
  /// which no request is sent.
  double AccusedParts = 0;
  double QuarantinedParts = 0;
  double Leads = 0;
  /// The replica group, as this replica sees it: voters, learners, members that
  /// don't reply to the leader, and voters that may be lost with a majority
  /// left. The last two are known to the leader only and 0 elsewhere.
  double GroupVoters = 0;
  double GroupLearners = 0;
  double GroupSilentMembers = 0;
  double GroupSpareVoters = 0;
  /// This replica has a vote, by its own log.
  double GroupVotes = 0;
  /// How long this replica has known no leader.
  double WithoutLeaderSeconds = 0;
  double PeerBytesSent = 0;
  double PeerBytesReceived = 0;
};

/// \class Metrics
/// \brief The daemon's metrics for Prometheus (prometheus-cpp).
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Records a request's final answer, \p took after its arrival.
  void recordFinalAnswer(const KindName &kind, const FinalAnswer &answer,
                         Duration took);
  void recordLoad(bool succeeded, Duration took);
  /// Records a decision of the forwarding node on a request.
  void recordForwardEvent(const ForwardEvent &event);
  /// Records a decision of the agent on a request.
  void recordAgentEvent(const AgentEvent &event);
  /// Records that a connection to a server was closed since its response
  /// exceeded \p limit.
  void recordExcessiveResponse(const char *limit);
  /// Records that a connection to \p port was closed or refused for want of
  /// room.
  void recordShedConnection(const char *port, const char *reason);
  void set(const Gauges &gauges);
  /// \returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// \returns the name of a final answer's kind in metrics and logs.
const char *finalKindName(FinalKind kind);

} // namespace pimentofront

#endif
