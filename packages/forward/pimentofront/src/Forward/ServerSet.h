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
/// \brief What an entry knows of one process of a registered backend server.
struct ServerView {
  MemberRecord Record;
  /// Requests of this entry that it works on, each on its connection.
  std::uint32_t InFlight = 0;
  ConnectionShare Connections;
  /// Its last word on its load, and when it came.
  ServerLoad Load;
  TimePoint LoadAt;
  /// Set after connections failed: used only when nothing else is left.
  TimePoint SuspendedUntil;
  /// It is cold until then.
  TimePoint ColdUntil;
  std::uint32_t Failures = 0;
  /// Share of its last answers that were failures, decayed by answer.
  double FailureShare = 0;
  /// The leader of the replicas hasn't named it since the leader changed.
  bool Unconfirmed = false;
};

/// How a backend server dealt with a request.
enum class ServerOutcome : std::uint8_t {
  Answered,
  /// Turned it down without running it: full, or another process.
  Declined,
  /// Answered by a failure, broke off, or spoilt the answer.
  Failed,
  /// No connection came about.
  Unreachable,
};

/// \class FeedbackCounts
/// \ingroup Forward
/// \brief How many registered servers ask for something, or are cold.
struct FeedbackCounts {
  std::uint32_t Limited = 0;
  std::uint32_t Resting = 0;
  std::uint32_t Leaving = 0;
  std::uint32_t Cold = 0;
  friend auto operator<=>(const FeedbackCounts &,
                          const FeedbackCounts &) = default;
};

/// \class ServerSetOptions
/// \ingroup Forward
struct ServerSetOptions {
  ZoneName Zone;
  /// How much more loaded, in parts of its slots, a backend server of this
  /// zone may be than one of another: bytes between zones cost, and a plain
  /// service answers as well at half its slots as when it is idle.
  double ZonePreference = 0.5;
  /// First pause of a server that can't be reached; doubles up to sixteenfold.
  Duration SuspendTime = std::chrono::milliseconds(250);
  /// A word on load counts for so long; loads change within some requests.
  Duration LoadLifetime = std::chrono::seconds(1);
  /// Weight of the newest answer in the share of failures: about the last five
  /// count.
  double FailureWeight = 0.2;
  /// An engine whose share of failures lies so far above that of its siblings
  /// is passed by for a while: two failures in a row do it.
  double EjectAbove = 0.3;
  Duration EjectTime = std::chrono::seconds(2);
  /// Part of the engines that may be passed by at one time.
  double EjectShare = 0.34;
  /// How much a share of failures above that of the siblings counts, in parts
  /// of the slots: a server that fails a third more is chosen last.
  double FailurePenalty = 3;
  ConnectionShareOptions Connections;
  /// Entries among which connections, and sends to a second server, are shared
  /// until their number is known.
  std::uint32_t PresumedEntries = 10;
};

/// \class ServerSet
/// \ingroup Forward
/// \brief The backend servers that registered themselves, the agents beside
/// some of them, and how they do.
class ServerSet {
public:
  explicit ServerSet(const ServerSetOptions &options)
      : Options(options), Entries(options.PresumedEntries) {}

  void apply(TimePoint now, const MemberUpdate &update);
  /// The servers in these zones get nothing. Those in zones that are taken back
  /// count as cold: they may have become so while nobody sent them anything.
  void setEvacuated(TimePoint now, std::set<ZoneName> zones);
  const std::set<ZoneName> &evacuatedZones() const { return Evacuated; }
  bool isEvacuated(const ZoneName &zone) const {
    return Evacuated.contains(zone);
  }
  ServerView *find(const HostName &server);
  /// \returns what is known of this process, or null when another one has its
  /// name, or none.
  ServerView *find(const ServerProcess &process);
  /// \returns the server on the agent's host that is in use, or null.
  ServerView *beside(const HostName &agent);
  /// What the services of \p document accept.
  void useDocument(const RoutingDocument &document);
  /// So many entries share the connections of each server.
  void onEntries(TimePoint now, std::uint32_t entries);
  /// \returns the best server of \p service for one more request, but for
  /// those in \p without or outside \p zones, those to which this entry has as
  /// many connections as it may, and paced ones without one of \p permits; null
  /// when there is none.
  ServerView *choose(TimePoint now, const ServiceName &service,
                     const std::vector<ServerProcess> &without,
                     const SendPermits &permits,
                     const AllowedZones &zones = {});
  /// \returns the servers of \p service, limited or cold, that would take one
  /// more request with a permit.
  std::vector<ServerProcess>
  pacedServers(TimePoint now, const ServiceName &service,
               const std::vector<ServerProcess> &without,
               const AllowedZones &zones = {}) const;
  /// \returns whether all servers are known that there are: whoever isn't
  /// named by then doesn't exist.
  bool isComplete() const { return Complete; }
  /// \returns whether any server of \p service in \p zones is in use.
  bool serves(const ServiceName &service, const AllowedZones &zones = {}) const;
  /// Agents with what they said of their engines; one whose engine isn't
  /// registered counts as taken out of use.
  MemberViews &agents() { return Agents; }
  const MemberViews &agents() const { return Agents; }
  const std::map<HostName, ServerView> &servers() const { return Servers; }

  /// \returns the connections that this entry may have to \p server.
  ConnectionPart connections(TimePoint now, const ServerView &server) const;
  void noteSent(const ServerProcess &server);
  /// The server ended a new connection before it answered anything.
  void noteTurnedAway(TimePoint now, const ServerProcess &server);
  void noteEnded(TimePoint now, const ServerProcess &server,
                 ServerOutcome outcome);
  void noteLoad(TimePoint now, const ServerProcess &server,
                const ServerLoad &load);
  /// An answer to a request that was sent at \p sentAt has said what the server
  /// asks for.
  /// \returns what changed, for the log; empty if nothing did.
  std::string noteFeedback(TimePoint now, const ServerProcess &server,
                           const AnswerFeedback &feedback, TimePoint sentAt);
  /// Another process has told of the server's limit.
  /// \returns what changed, for the log; empty if nothing did.
  std::string noteLimit(TimePoint now, const ServerProcess &server,
                        const RateLimit &limit);
  /// \returns when the first of the service's servers in \p zones that rest is
  /// to be used again; nothing if none rests, or one is in use that doesn't.
  std::optional<TimePoint> restOver(TimePoint now, const ServiceName &service,
                                    const AllowedZones &zones = {}) const;
  /// \returns what this process asks for.
  ServerFeedback feedbackOf(const ServerProcess &server) const;
  /// \returns whether this process is cold, and how many requests it takes
  /// then.
  ColdStart coldStartOf(TimePoint now, const ServerProcess &server) const;
  FeedbackCounts countFeedback(TimePoint now) const;
  void suspendAgent(TimePoint now, const HostName &agent);
  /// The process has ended; another one of the server isn't there yet.
  void noteProcessEnded(TimePoint now, const ServerProcess &server);

private:
  /// Has agents' hosts follow what their servers ask for.
  void noteRest(const ServerProcess &server);
  bool isLeaving(const ServerView &server) const;
  /// \returns whether the server may get requests at all.
  bool isInUse(const ServerView &server) const {
    return !isLeaving(server) && !isEvacuated(server.Record.Zone);
  }
  /// \returns whether the server may get one more request but for its pace.
  bool isOpen(TimePoint now, const ServerView &server,
              const ServiceName &service,
              const std::vector<ServerProcess> &without,
              const AllowedZones &zones) const;
  /// \returns what the document says of the server's service; null if nothing.
  const ServiceSpec *specOf(const ServerView &server) const;
  /// The server is cold until \p until at least.
  void noteCold(ServerView &server, TimePoint until);
  ColdStart coldStartOf(TimePoint now, const ServerView &server) const;
  /// \returns whether sends to the server are counted.
  bool isPaced(TimePoint now, const ServerView &server) const;
  void put(TimePoint now, const MemberRecord &record);
  void dropOthersAt(const MemberRecord &record);
  void joinAgents();
  double scoreOf(TimePoint now, const ServerView &server,
                 double siblingFailures) const;
  double meanFailureShare(const ServiceName &service) const;
  /// Passes an engine by that fails more than its siblings.
  void ejectIfFailing(TimePoint now, ServerView &server);

  ServerSetOptions Options;
  EntryCount Entries;
  /// What the document says of each service.
  std::map<ServiceName, ServiceSpec> Services;
  std::set<ZoneName> Evacuated;
  /// From then on no server is cold.
  TimePoint AllWarmAt;
  std::map<HostName, ServerView> Servers;
  MemberViews Agents;
  /// \returns the place to keep what the process asks for; null if another one
  /// is registered under its name.
  ServerFeedback *keptFeedback(const ServerProcess &server);

  bool Complete = false;
  struct KnownFeedback {
    ServerProcess Process;
    ServerFeedback Feedback;
  };
  /// Apart from Servers: a registration that lapses and comes back is of the
  /// same process.
  std::map<HostName, KnownFeedback> Feedback;
  /// By the agent's host: the server with the same IP address.
  std::map<HostName, HostName> Beside;
};

/// \returns whether \p server belongs to \p service.
bool isOf(const MemberRecord &server, const ServiceName &service);

} // namespace pimentofront

#endif
