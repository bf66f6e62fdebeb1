#ifndef PIMENTOFRONT_FORWARD_SERVER_SET_H
#define PIMENTOFRONT_FORWARD_SERVER_SET_H

#include "HeaderCodec.h"
#include "PlainRoom.h"
#include "RoutingDocument.h"
#include "SendPermits.h"
#include "ServerView.h"
#include "pimentofront/State.h"

namespace pimentofront {

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

/// \class ServiceServers
/// \ingroup Forward
/// \brief Numbers of the servers of one service that an entry knows, by whether
/// it would send them one more request, and why it wouldn't.
struct ServiceServers {
  std::uint32_t Registered = 0;
  /// May get one more request; the others are counted below.
  std::uint32_t Open = 0;
  /// Leaving, or in an evacuated zone.
  std::uint32_t Leaving = 0;
  std::uint32_t BackingOff = 0;
  /// This entry has as many connections to it as it may.
  std::uint32_t AtConnectionLimit = 0;
  /// Of the open ones: chosen only if no other one is open, since connections
  /// to it failed.
  std::uint32_t Ejected = 0;
  /// Of the open ones: all slots are in use by its last report.
  std::uint32_t Full = 0;
  friend auto operator<=>(const ServiceServers &,
                          const ServiceServers &) = default;
};
/// \returns \p servers for logs.
std::string describe(const ServiceServers &servers);

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
  /// \returns whether another process has registered under the name of
  /// \p process or at \p address.
  bool isReplaced(const ServerProcess &process,
                  const std::string &address) const;
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
  /// \returns whether it has been complete since this process started. Servers
  /// of a former list are kept until a new one is complete.
  bool wasComplete() const { return HasBeenComplete; }
  /// \returns whether any server of \p service in \p zones is in use.
  bool serves(const ServiceName &service, const AllowedZones &zones = {}) const;
  /// \returns whether any server of \p service with the software version
  /// \p software in \p zones is in use.
  bool serves(const ServiceName &service, const AllowedZones &zones,
              const std::string &software) const;
  /// \returns the software versions of the registered servers by service,
  /// also of those that are leaving.
  std::map<ServiceName, std::set<std::string>> softwareVersions() const;
  /// \returns whether a registered server of the service states another
  /// software version than \p software.
  bool hasOtherSoftware(const ServiceName &service,
                        const std::string &software) const;
  /// Agents with the reports on their engines. An agent whose engine isn't
  /// registered counts as drained.
  MemberViews &agents() { return Agents; }
  const MemberViews &agents() const { return Agents; }
  const std::map<HostName, ServerView> &servers() const { return Servers; }

  /// \returns the room by the last load report of this process.
  ReportedRoom reportedRoom(TimePoint now, const ServerProcess &server) const;
  /// \returns how soon the servers of \p service that may get one more request
  /// can take it. Not full if one of them needs a permit.
  PlainRoom plainRoom(TimePoint now, const ServiceName &service,
                      const std::vector<ServerProcess> &excluded,
                      const AllowedZones &zones = {}) const;
  /// \returns how many connections this entry may have to \p server.
  ConnectionLimits connections(TimePoint now, const ServerView &server) const;
  void recordSent(const ServerProcess &server);
  /// Records that the head of an answer came \p took after the request was
  /// sent, after recordLoad() with the load that came with it.
  void recordAnswerTime(TimePoint now, const ServerProcess &server,
                        Duration took);
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
  ServiceServers countServers(TimePoint now, const ServiceName &service) const;
  void ejectAgent(TimePoint now, const HostName &agent);
  /// Records that the process exited and that no other process of the server
  /// has started yet.
  void recordProcessExit(TimePoint now, const ServerProcess &server);

private:
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
  double meanFailureShare(const ServiceName &service) const;
  /// \returns the shortest expected time of the servers in use; zero if none
  /// has answered.
  Duration fastestPace(TimePoint now, const ServiceName &service) const;
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
  bool HasBeenComplete = false;
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
