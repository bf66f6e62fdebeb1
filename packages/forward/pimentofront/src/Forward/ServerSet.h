#ifndef PIMENTOFRONT_FORWARD_SERVER_SET_H
#define PIMENTOFRONT_FORWARD_SERVER_SET_H

#include "ConnectionShare.h"
#include "HeaderCodec.h"
#include "RoutingDocument.h"
#include "SendPermits.h"
#include "pimentofront/State.h"

namespace pimentofront {

/// \class ServerView
/// \ingroup Forward
/// \brief An entry's view of one process of a registered backend server.
struct ServerView {
  MemberRecord Record;
  /// Requests of this entry in flight at the server, each on a connection of
  /// its own.
  std::uint32_t InFlight = 0;
  ConnectionShare Connections;
  /// The load that the server reported last, and when the report arrived.
  ServerLoad Load;
  TimePoint LoadReportedAt;
  /// Set after connections failed. Until then the server is chosen only if no
  /// other server is available.
  TimePoint EjectedUntil;
  /// The server counts as cold until then.
  TimePoint ColdUntil;
  std::uint32_t Failures = 0;
  /// Requests in a row that it declined while its load reports showed free
  /// slots or while it sent none.
  std::uint32_t UnexplainedDeclines = 0;
  TimePoint LastDeclineAt;
  /// Exponentially weighted share of failures among its answers, updated with
  /// each answer.
  double FailureShare = 0;
  /// The replicas' leader has changed and the new one hasn't listed the server
  /// yet.
  bool Unconfirmed = false;
};

/// How a request to a backend server ended.
enum class ServerOutcome : std::uint8_t {
  Answered,
  /// The request was declined and not run: the server is full, or its process
  /// isn't the expected one.
  Declined,
  /// The server answered with a failure, broke off, or sent an invalid answer.
  Failed,
  /// No connection could be established.
  Unreachable,
};

/// Whether a server can take a request at once, by its last load report.
enum class ReportedRoom : std::uint8_t {
  /// It sends no load reports, or the last one has expired.
  Unknown,
  FreeSlots,
  /// All its slots are in use, or requests wait for them.
  Full,
};
/// \returns the name of \p room in logs and metrics.
const char *reportedRoomName(ReportedRoom room);

/// \class FeedbackCounts
/// \ingroup Forward
/// \brief Numbers of registered servers that have a rate limit, are backing
/// off, are leaving or are cold.
struct FeedbackCounts {
  std::uint32_t Limited = 0;
  std::uint32_t BackingOff = 0;
  std::uint32_t Leaving = 0;
  std::uint32_t Cold = 0;
  friend auto operator<=>(const FeedbackCounts &,
                          const FeedbackCounts &) = default;
};

/// \class ServerSetOptions
/// \ingroup Forward
struct ServerSetOptions {
  ZoneName Zone;
  /// How much more loaded, as a fraction of its slots, a backend server in this
  /// zone may be than one in another zone before the other one is chosen.
  /// Traffic between zones costs money, and a plain service answers as well
  /// with half of its slots in use as when it is idle.
  double ZonePreference = 0.5;
  /// How long a server is avoided after its first connection failure or the
  /// exit of its process, and an agent after ejectAgent(). Doubles with each
  /// further failure, up to 16 times this value.
  Duration EjectionTime = std::chrono::milliseconds(250);
  /// Age at which a load report expires: loads change within a few requests.
  Duration LoadLifetime = std::chrono::seconds(1);
  /// Weight of the newest answer in the share of failures; 0.2 averages over
  /// about the last five answers.
  double FailureWeight = 0.2;
  /// An engine is ejected for OutlierEjectionTime when its share of failures
  /// exceeds the mean of its service by this much. Two failures in a row
  /// suffice.
  double EjectThreshold = 0.3;
  Duration OutlierEjectionTime = std::chrono::seconds(2);
  /// An engine is ejected for OutlierEjectionTime after this many unexplained
  /// declines in a row, and for longer after further ones. Fewer may concern an
  /// adapter that it is just loading.
  std::uint32_t EjectDeclines = 3;
  /// Maximum fraction of the engines that may be ejected at the same time.
  double MaxEjectedShare = 0.34;
  /// Added to a server's score, as a fraction of its slots, per unit by which
  /// its share of failures exceeds the mean of its service. At 3, a server
  /// whose share is higher by a third scores like one with all slots in use.
  double FailurePenalty = 3;
  /// After an unexplained decline a server scores as if all its slots were in
  /// use this many times, for DeclinePenaltyTime. Both double with each further
  /// decline in a row, up to 16 times. A server whose queue is full declines,
  /// too, but its reports explain that and raise its score.
  double DeclinePenalty = 1;
  Duration DeclinePenaltyTime = std::chrono::milliseconds(250);
  ConnectionShareOptions Connections;
  /// Number of entries to assume until it is known. The connections to a server
  /// and the budget of sends to a second server are divided among them.
  std::uint32_t PresumedEntries = 10;
};

/// \class ServerSet
/// \ingroup Forward
/// \brief The registered backend servers, the agents on the hosts of some of
/// them, and the load, failures and feedback observed for each.
class ServerSet {
public:
  explicit ServerSet(const ServerSetOptions &options)
      : Options(options), Entries(options.PresumedEntries) {}

  void apply(TimePoint now, const MemberUpdate &update);
  /// Takes the servers in \p zones out of use, so that they get no requests.
  /// Servers in zones that are no longer evacuated count as cold, since they
  /// may have become cold while they received no requests.
  void setEvacuated(TimePoint now, std::set<ZoneName> zones);
  const std::set<ZoneName> &evacuatedZones() const { return Evacuated; }
  bool isEvacuated(const ZoneName &zone) const {
    return Evacuated.contains(zone);
  }
  ServerView *find(const HostName &server);
  /// \returns the view of this process; null if no process, or another one, is
  /// registered under its name.
  ServerView *find(const ServerProcess &process);
  /// \returns the server on the agent's host, or null if none there is in use.
  ServerView *serverOfAgent(const HostName &agent);
  /// Takes the limits of each service (connections, cold start) from
  /// \p document.
  void useDocument(const RoutingDocument &document);
  std::uint32_t entries() const { return Entries.value(); }
  /// Sets the number of entries that share the connections of each server.
  void onEntryCount(TimePoint now, std::uint32_t entries);
  /// \returns the server of \p service with the best score for one more
  /// request, or null if there is none. Skips servers in \p excluded or outside
  /// \p zones, servers to which this entry has reached its limit of
  /// connections, and paced servers (rate limited or cold) for which \p permits
  /// holds no permit. \p canRetry tells whether the request may be sent to
  /// another server if the chosen one declines it.
  ServerView *choose(TimePoint now, const ServiceName &service,
                     const std::vector<ServerProcess> &excluded,
                     const SendPermits &permits, const AllowedZones &zones = {},
                     bool canRetry = true);
  /// \returns the servers of \p service that are rate limited or cold and would
  /// take one more request, given a permit.
  std::vector<ServerProcess>
  pacedServers(TimePoint now, const ServiceName &service,
               const std::vector<ServerProcess> &excluded,
               const AllowedZones &zones = {}) const;
  /// \returns whether the list of servers is complete. A server that isn't
  /// listed then doesn't exist.
  bool isComplete() const { return Complete; }
  /// \returns whether any server of \p service in \p zones is in use.
  bool serves(const ServiceName &service, const AllowedZones &zones = {}) const;
  /// Agents with the reports on their engines. An agent whose engine isn't
  /// registered counts as drained.
  MemberViews &agents() { return Agents; }
  const MemberViews &agents() const { return Agents; }
  const std::map<HostName, ServerView> &servers() const { return Servers; }

  /// \returns the room by the last load report of this process.
  ReportedRoom reportedRoom(TimePoint now, const ServerProcess &server) const;
  /// \returns how many connections this entry may have to \p server.
  ConnectionLimits connections(TimePoint now, const ServerView &server) const;
  void recordSent(const ServerProcess &server);
  /// Records that the server closed a new connection without any answer.
  void recordRejection(TimePoint now, const ServerProcess &server);
  void recordOutcome(TimePoint now, const ServerProcess &server,
                     ServerOutcome outcome);
  /// Records that the server declined a request, after recordLoad() with the
  /// load that came with it.
  void recordDecline(TimePoint now, const ServerProcess &server);
  void recordLoad(TimePoint now, const ServerProcess &server,
                  const ServerLoad &load);
  /// Records the feedback in an answer to a request that was sent at \p sentAt.
  /// \returns what changed, for the log; empty if nothing did.
  std::string recordFeedback(TimePoint now, const ServerProcess &server,
                             const AnswerFeedback &feedback, TimePoint sentAt);
  /// Records the server's rate limit as another process reported it.
  /// \returns what changed, for the log; empty if nothing did.
  std::string recordLimit(TimePoint now, const ServerProcess &server,
                          const RateLimit &limit);
  /// \returns the earliest end of the backoffs if all servers of the service
  /// that are in use in \p zones are backing off; nothing if one of them isn't,
  /// or if there is none.
  std::optional<TimePoint>
  earliestBackoffEnd(TimePoint now, const ServiceName &service,
                     const AllowedZones &zones = {}) const;
  /// \returns the latest feedback of this process.
  ServerFeedback feedbackOf(const ServerProcess &server) const;
  /// \returns the rate at which this process takes requests while it is cold,
  /// and the remaining time; a default value if it isn't cold.
  ColdStart coldStartOf(TimePoint now, const ServerProcess &server) const;
  FeedbackCounts countFeedback(TimePoint now) const;
  void ejectAgent(TimePoint now, const HostName &agent);
  /// Records that the process exited and that no other process of the server
  /// has started yet.
  void recordProcessExit(TimePoint now, const ServerProcess &server);

private:
  bool hasLoadReport(TimePoint now, const ServerView &server) const {
    return now < server.LoadReportedAt + Options.LoadLifetime;
  }
  /// Copies the end of the server's backoff to the agent on its host.
  void updateAgentBackoff(const ServerProcess &server);
  bool isLeaving(const ServerView &server) const;
  /// \returns whether the server is neither leaving nor in an evacuated zone.
  bool isInUse(const ServerView &server) const {
    return !isLeaving(server) && !isEvacuated(server.Record.Zone);
  }
  /// \returns whether the server may get one more request. Doesn't check the
  /// permit that a paced server needs.
  bool isOpen(TimePoint now, const ServerView &server,
              const ServiceName &service,
              const std::vector<ServerProcess> &excluded,
              const AllowedZones &zones) const;
  /// \returns the routing document's entry for the server's service, or null.
  const ServiceSpec *specOf(const ServerView &server) const;
  /// Extends the server's cold period to at least \p until.
  void extendColdPeriod(ServerView &server, TimePoint until);
  ColdStart coldStartOf(TimePoint now, const ServerView &server) const;
  /// \returns whether each send to the server needs a permit, because the
  /// server is rate limited or cold.
  bool isPaced(TimePoint now, const ServerView &server) const;
  void put(TimePoint now, const MemberRecord &record);
  void removeOthersAtAddress(const MemberRecord &record);
  void matchAgentsToServers();
  /// \param meanFailures mean share of failures of the server's service.
  double scoreOf(TimePoint now, const ServerView &server, double meanFailures,
                 bool canRetry) const;
  /// \returns what unexplained declines add to the server's score.
  double declinePenalty(TimePoint now, const ServerView &server,
                        bool canRetry) const;
  double meanFailureShare(const ServiceName &service) const;
  /// Ejects the agent on the server's host, unless there is none or too many
  /// are ejected already.
  /// \returns whether it was ejected.
  bool ejectEngine(TimePoint now, const ServerView &server, Duration time);
  /// Ejects an engine that fails more often than the others of its service.
  void ejectIfFailing(TimePoint now, ServerView &server);

  ServerSetOptions Options;
  EntryCount Entries;
  /// The services of the routing document in use.
  std::map<ServiceName, ServiceSpec> Services;
  std::set<ZoneName> Evacuated;
  /// Latest end of the cold periods: no server is cold from then on.
  TimePoint LastColdUntil;
  std::map<HostName, ServerView> Servers;
  MemberViews Agents;
  /// \returns the stored feedback of the process, added if necessary; null if
  /// another process is registered under its name.
  ServerFeedback *findOrAddFeedback(const ServerProcess &server);

  bool Complete = false;
  struct FeedbackEntry {
    ServerProcess Process;
    ServerFeedback Feedback;
  };
  /// Not part of Servers, so that feedback survives a registration that expires
  /// and is renewed by the same process.
  std::map<HostName, FeedbackEntry> Feedback;
  /// Maps an agent's host to the server with the agent's IP address and base
  /// model.
  std::map<HostName, HostName> ServerByAgent;
};

/// \returns whether \p server belongs to \p service.
bool belongsTo(const MemberRecord &server, const ServiceName &service);

} // namespace pimentofront

#endif
