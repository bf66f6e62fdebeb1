#ifndef PIMENTOFRONT_FORWARD_FORWARD_BOARD_H
#define PIMENTOFRONT_FORWARD_FORWARD_BOARD_H

#include "EventStream.h"
#include "QuarantineSet.h"
#include "RoutingTable.h"
#include "ServerSet.h"

#include <memory>
#include <set>

namespace pimentofront {

/// \class ForwardOptions
/// \ingroup Forward
/// \brief The knobs of forwarding. docs/OPERATORS.md says what each does.
struct ForwardOptions {
  /// Random number drawn when the process started.
  std::uint64_t Incarnation = 0;
  HostName Host;
  ServerSetOptions Servers;
  /// An agent that doesn't answer at all in this time is passed by: some
  /// round trips between zones, and a wait for a turn of its processor.
  Duration PermitTimeout = std::chrono::milliseconds(250);
  /// A server whose host is suspected to be gone is given up when it has sent
  /// nothing for so long: long enough for a prompt of usual size.
  Duration LostSilence = std::chrono::milliseconds(500);
  /// And so long after the suspicion, in which a byte clears it.
  Duration LostGrace = std::chrono::milliseconds(200);
  /// A key that was taken away is served for so long at most, counted from the
  /// acknowledgement of the configuration that did: by entries that are cut
  /// off, frozen or suspended, too.
  Duration RevocationBound = std::chrono::seconds(5);
  /// An entry that has had no word of the replicas for so long sends nothing: a
  /// zone may have been evacuated since. Zero: it serves on by what it knows.
  Duration EvacuationBound = Duration::zero();
  ZoneRegions Regions;
  /// Kept back of a caller's time, for the way of the final answer.
  Duration AnswerReserve = std::chrono::milliseconds(30);
  /// Sends to a second server for each request. All entries together stay
  /// under a fifth, which is what backend servers are laid out for.
  double RetryShare = 0.15;
  /// Such sends that may be saved up, by all entries together.
  double RetryReserve = 40;
  /// Connections that fail before a request is given up.
  std::uint32_t MaxUnreachable = 3;
  /// Answers up to this size are held until they are whole, so that one that
  /// breaks off can be replaced by another server's.
  std::size_t HoldBytes = std::size_t(64) << 10;
  /// A request that nothing can take just now may wait so long for that to
  /// pass: a lost power supply's second without a routing document, and the
  /// time in which engines have their base model back from their disks.
  Duration HoldTime = std::chrono::seconds(2);
  /// And this part of the time that its caller waits, so that a refusal leaves
  /// time to come back.
  double HoldShare = 1.0 / 3;
  /// It is tried again after so long.
  Duration HoldPause = std::chrono::milliseconds(100);
  /// Requests that may wait so at one time: some seconds of an entry's share.
  std::size_t MostHeld = 256;
  /// Shortest time to come back that a refusal names.
  Duration LeastComeBack = std::chrono::milliseconds(100);
  /// The replicas must have said by then whether a watched request may be
  /// tried: a commit, a change of their leader, and little of a caller's time.
  Duration LeaveTimeout = std::chrono::milliseconds(700);
  /// A request under which a second server has ended asks for leave so much
  /// later, when all entries that had requests there have reported: a few round
  /// trips, with a connection to the leader and its commit. Without that, on
  /// two of ten runs with three and more requests that end servers, a neighbour
  /// was taken for the cause before the cause itself was reported.
  Duration SettleTime = std::chrono::milliseconds(60);
  /// A report on the end of a server, or of a trial, is sent again for so long:
  /// the replicas' outages that are borne pass in it.
  Duration ReportTimeout = std::chrono::seconds(30);
  /// After the process has slept, requests wait so long at most for the word
  /// of what is in quarantine; an entry that is cut off serves on.
  Duration AskFirstTime = std::chrono::milliseconds(500);
  /// When to come back to a process without a routing document: replicas that
  /// were all killed need so long for a leader and its word.
  Duration UnreadyComeBack = std::chrono::milliseconds(800);
};

/// Why a request has no answer of a backend server.
enum class ForwardFailure : std::uint8_t {
  /// No routing document is known yet, or none that is known to be the newest.
  NotReady,
  NoRoute,
  /// The request has no id, so that its answer couldn't be told from others.
  Malformed,
  NoServer,
  /// All that could take it declined.
  Declined,
  TimedOut,
  /// It broke off, and may not run once more.
  BrokeOff,
  CallerGone,
  /// It ends the servers that run it: nobody gets it any more.
  Quarantined,
  /// Servers ended under it, and another attempt at it is under way.
  OnTrial,
  /// Servers ended under it, and the replicas don't say whether it may be
  /// tried.
  NoLeave,
  /// No client account holds its key.
  UnknownKey,
  /// The copy of the configuration is too old to tell whether a key still
  /// holds.
  KeysOutdated,
  /// Its client account has used up its allotment.
  OverAllotment,
  /// The leader of the replicas doesn't say whether the allotment has room.
  NoAllotment,
  /// All servers of the service have asked for rest.
  ServersRest,
  /// The copy of the configuration is too old to tell which zones are
  /// evacuated.
  ZonesOutdated,
  /// No server is in a region that its route and its client account allow.
  NoRegion,
};
/// \returns the name of \p failure in logs and metrics.
const char *forwardFailureName(ForwardFailure failure);

/// \class ForwardAttempt
/// \ingroup Forward
/// \brief One try at one backend server.
struct ForwardAttempt {
  AttemptId Id;
  /// Agent that was asked for a permit; empty for a plain service.
  HostName Agent;
  bool OnlyIfResident = false;
  /// The agent has said something.
  bool Heard = false;
  /// The longest that the process has stood still since the agent was asked.
  Duration LongestStop = Duration::zero();
  ServerProcess Server;
  TimePoint StartedAt;
  bool Sent = false;
  TimePoint SentAt;
  std::optional<TimePoint> FirstEventAt;
  /// When the server sent something last.
  TimePoint HeardAt;
  /// When its host was suspected to be gone: its agent ended or fell silent,
  /// or another process of the server has registered.
  TimePoint SuspectedAt;
  /// The head of the right answer has come.
  std::optional<ResponseHead> Head;
  /// Body, as long as it is held.
  std::string Held;
};

/// Whether a watched request may be tried.
enum class TrialState : std::uint8_t {
  None,
  /// The replicas will be asked when other entries have reported, too.
  Settling,
  Asked,
  Granted,
};

/// \class ForwardRequest
/// \ingroup Forward
/// \brief A caller's request in progress.
struct ForwardRequest {
  std::uint64_t Key = 0;
  RequestHead Head;
  std::shared_ptr<const std::string> Body;
  RequestTraits Traits;
  ContentHash BodyHash;
  /// The same for each attempt at the same request, at whichever entry.
  ContentHash Content;
  std::shared_ptr<const RoutingTable> Table;
  const RouteSpec *Route = nullptr;
  /// Client account that holds its key, in its table; null where nobody needs
  /// one.
  const ClientAccount *Account = nullptr;
  /// Its units of the account's allotment.
  AllotmentCharge Charge;
  /// The units were spent on an earlier send.
  bool Charged = false;
  ServiceName Service;
  bool ToEngine = false;
  AdapterKey Adapter;
  /// Where it may be served, by its route and its client account.
  AllowedZones Zones;
  TimePoint ArrivedAt;
  TimePoint Deadline;
  std::optional<ForwardAttempt> Attempt;
  /// Agents that turned it down.
  std::vector<TriedHost> Tried;
  /// Servers that had their try, reached or not.
  std::vector<ServerProcess> Avoid;
  /// Servers that may have received it.
  std::uint32_t Sends = 0;
  std::uint32_t Unreachable = 0;
  /// Some server may have run it.
  bool MayHaveRun = false;
  TrialState Trial = TrialState::None;
  /// Until when it is Settling.
  TimePoint SettledAt;
  /// It was sent with the leave that it has.
  bool SentOnTrial = false;
  /// Its server is looked at before it goes on.
  std::optional<ServerProcess> Checks;
  /// The caller has the head of the answer.
  bool Answering = false;
  EventStream Events;
  /// The longest that a refusal told to wait.
  Duration ComeBack = Duration::zero();
  RefusalReason LastRefusal = RefusalReason::None;
  /// What decided its refusal, for the log.
  std::string Grounds;
  /// When a held request is tried again.
  TimePoint NextTryAt;

  /// \returns its rank, 0 being the most urgent: the client account's goes
  /// before the route's.
  std::uint32_t priority() const {
    if (Account && Account->Priority)
      return *Account->Priority;
    return Route->Priority;
  }
};

/// Sends a request to a backend server.
struct SendUpstream {
  AttemptId Attempt;
  /// Kept connections to another process at the address aren't used.
  ServerProcess Server;
  std::string Address;
  RequestHead Head;
  std::shared_ptr<const std::string> Body;
  /// The request may run once only, so it gets a connection that is surely
  /// alive.
  bool Once = false;
  /// The connections that there may be to the server, this one among them.
  ConnectionPart Connections;
};
/// Closes the connection of an attempt, which has the server stop.
struct CancelUpstream {
  AttemptId Attempt;
};
/// Reads an answer to its end, for the sake of its connection.
struct IgnoreUpstream {
  AttemptId Attempt;
};
/// Asks whether the process of a server still runs.
struct CheckServer {
  ServerProcess Server;
  std::string Address;
};
/// What a look at a server's address said of its process.
enum class ServerLife : std::uint8_t {
  Lives,
  /// Its host refuses connections to it.
  Ended,
  /// Silence: a host without power, a cut, a frozen process.
  Unknown,
};
/// Has the replicas decide.
struct AskReplicas {
  std::uint64_t Nonce = 0;
  CommandBody Question;
  Duration GiveUpAfter = Duration::zero();
};
/// Answers a caller whole.
struct ReplyWhole {
  std::uint64_t Key = 0;
  ResponseHead Head;
  std::string Body;
};
/// Begins an answer whose length isn't known.
struct ReplyHead {
  std::uint64_t Key = 0;
  ResponseHead Head;
};
struct ReplyPiece {
  std::uint64_t Key = 0;
  std::string Bytes;
};
struct ReplyEnd {
  std::uint64_t Key = 0;
};
/// Ends the caller's connection, so that the answer doesn't look complete.
struct ReplyAbort {
  std::uint64_t Key = 0;
};
using ForwardCommand =
    std::variant<SendToAgent, SendUpstream, CancelUpstream, IgnoreUpstream,
                 ReplyWhole, ReplyHead, ReplyPiece, ReplyEnd, ReplyAbort,
                 CheckServer, AskReplicas>;

/// \class ForwardEvent
/// \ingroup Forward
/// \brief A decision about a request, with what decided it, for logs and
/// metrics.
struct ForwardEvent {
  const char *Name = "";
  std::string Request;
  std::string Route;
  AccountName Account;
  HostName Server;
  /// What the request is, whatever the id of this attempt.
  ContentHash Content;
  std::string Detail;
  /// For a request without an answer.
  const char *Reason = "";
  /// Since the request arrived.
  Duration Took = Duration::zero();
  int Status = 0;
  /// The request has no answer of a backend server.
  bool Lost = false;
};

/// \class ForwardBoard
/// \ingroup Forward
/// \brief What the controllers of forwarding know in common.
struct ForwardBoard {
  ForwardBoard(const ForwardOptions &options,
               const ConfigurationView &configuration, const HeaderCodec &codec)
      : Options(options), Configuration(configuration), Codec(codec),
        Servers(options.Servers), Jitter(options.Incarnation),
        Leases({.Host = options.Host, .Incarnation = options.Incarnation}),
        Budget(options.RetryShare,
               options.RetryReserve / options.Servers.PresumedEntries) {}

  const ForwardOptions Options;
  const ConfigurationView &Configuration;
  const HeaderCodec &Codec;
  /// The newest routing document can't be read here, so that the one in use may
  /// allow what is forbidden.
  bool TableOutdated = false;
  ServerSet Servers;
  Random Jitter;
  AllotmentLeases Leases;
  RetryBudget Budget;
  SendPermits Permits;
  QuarantineSet Quarantine;
  std::shared_ptr<const RoutingTable> Table;
  std::unordered_map<std::uint64_t, ForwardRequest> Requests;
  std::unordered_map<AttemptId, std::uint64_t> Attempts;
  /// Requests that wait until something can take them.
  std::set<std::uint64_t> Held;
  std::uint64_t LastSequence = 0;
  std::vector<ForwardCommand> Commands;
  std::vector<ForwardEvent> Events;

  /// \returns whether the copy of the configuration was confirmed less than
  /// \p bound ago.
  bool confirmedWithin(TimePoint now, Duration bound) const {
    // Clocks of hosts run apart by less than this share: NTP slews by half of
    // it.
    constexpr double MostClockDrift = 0.001;
    const std::optional<Duration> age = Configuration.confirmedAge(now);
    return age && toSeconds(*age) < toSeconds(bound) * (1 - MostClockDrift);
  }
  /// \returns whether that will hold for a while yet: callers are turned away
  /// before they have to be refused.
  bool confirmedWellWithin(TimePoint now, Duration bound) const {
    constexpr double ReadyShare = 0.6;
    return confirmedWithin(now, fromSeconds(toSeconds(bound) * ReadyShare));
  }
  ForwardRequest *find(const AttemptId &attempt) {
    const auto it = Attempts.find(attempt);
    return it == Attempts.end() ? nullptr : &Requests.at(it->second);
  }
};

} // namespace pimentofront

#endif
