#ifndef PIMENTOFRONT_FORWARD_FORWARD_BOARD_H
#define PIMENTOFRONT_FORWARD_FORWARD_BOARD_H

#include "AnswerEnd.h"
#include "ArrivalGaps.h"
#include "ByteBudget.h"
#include "EventStream.h"
#include "PlainAdmission.h"
#include "PlainQueue.h"
#include "PromptFetch.h"
#include "QuarantineSet.h"
#include "RetryBudgets.h"
#include "RoutingTable.h"
#include "ServerBytes.h"
#include "ServerSet.h"
#include "SuspectParts.h"

#include <algorithm>
#include <memory>
#include <set>

namespace pimentofront {

/// \class ForwardOptions
/// \ingroup Forward
/// \brief The options of forwarding; docs/OPERATORS.md explains each.
struct ForwardOptions {
  /// Random number drawn when the process started.
  std::uint64_t Incarnation = 0;
  HostName Host;
  ServerSetOptions Servers;
  PromptFetchOptions Fetch;
  /// Requests for plain services whose servers all report themselves full wait
  /// at the entry, or are refused if their answers can't be in time. Without
  /// it they are sent, and the servers queue or decline them.
  bool QueuesPlain = false;
  /// An agent that hasn't answered within this time is skipped. Covers several
  /// round trips between zones and the agent's wait for its CPU.
  Duration PermitTimeout = std::chrono::milliseconds(250);
  /// A server whose host is suspected to be gone is given up when it has sent
  /// nothing for this long: enough time to process a prompt of usual size.
  Duration SuspectSilenceTimeout = std::chrono::milliseconds(500);
  /// Such a server is given up no sooner than this long after the suspicion; a
  /// byte that it sends in this time clears the suspicion.
  Duration SuspectGracePeriod = std::chrono::milliseconds(200);
  /// Longest time for which a revoked key is still accepted, counted from the
  /// acknowledgement of the configuration that revoked it. Holds for entries
  /// that are partitioned, stalled or suspended, too.
  Duration RevocationBound = std::chrono::seconds(5);
  /// An entry that has received nothing from the replicas for this long sends
  /// no requests, because a zone may have been evacuated since. Zero disables
  /// the check: the entry continues with the evacuations that it last received.
  Duration EvacuationBound = Duration::zero();
  ZoneRegions Regions;
  /// Subtracted from a caller's deadline to leave time for delivering the final
  /// answer.
  Duration AnswerReserve = std::chrono::milliseconds(30);
  /// Retries on a second server, as a share of the requests for the service.
  /// Keeps the share over all entries below 0.2, the extra load that backend
  /// servers are sized for.
  double RetryShare = 0.15;
  /// Unused retries that all entries together may accumulate for a service.
  double RetryReserve = 40;
  /// Failed connections to servers that a request tolerates; one more and it is
  /// given up.
  std::uint32_t MaxUnreachable = 3;
  /// Answers up to this size, in bytes, are buffered until they are complete,
  /// so that an answer that breaks off can be replaced by another server's.
  std::size_t AnswerBufferLimit = std::size_t(64) << 10;
  /// A stream whose server sends a longer event, in bytes, is broken off: an
  /// entry holds an event until it is complete.
  std::size_t MaxEventBytes = std::size_t(256) << 10;
  /// A server's next process accepts connections no sooner than this long
  /// after the former one has exited. Where the end of a connection may have
  /// arrived later than that, the process at the server's address has to say
  /// which one it is.
  Duration MinServerRestart = std::chrono::milliseconds(250);
  /// A list of servers that was confirmed within this time is taken to name the
  /// next process of a server that exited while its answer was awaited. Longer
  /// than the time between two confirmations.
  Duration RecentListAge = std::chrono::milliseconds(1500);
  /// Longest time for which a request that nothing can take now is deferred.
  /// After a power loss the routing document is missing for about a second, and
  /// engines need time to reload their base model from disk.
  Duration DeferTimeout = std::chrono::seconds(2);
  /// Deferral also ends after this share of the time that the caller waits, so
  /// that a refused caller has time left to retry.
  double DeferShare = 1.0 / 3;
  /// Delay before a deferred request is tried again.
  Duration RetryDelay = std::chrono::milliseconds(100);
  /// Maximum number of requests deferred at one time: a few seconds of an
  /// entry's share of the traffic.
  std::size_t MaxDeferred = 256;
  /// Shortest retry-after time that a refusal names.
  Duration MinRetryAfter = std::chrono::milliseconds(100);
  /// Timeout for the replicas' decision on whether a watched request may be
  /// tried. Covers a commit and a change of leader, and takes little of a
  /// caller's time.
  Duration TrialDecisionTimeout = std::chrono::milliseconds(700);
  /// When a server process exits, a request that it was running and that is
  /// watched already isn't tried again until this time has passed, so that all
  /// entries that had requests on that server have reported. Only then is its
  /// trial grant requested. Covers a few round trips, including a connection to
  /// the leader and its commit. Without the wait, in two of ten runs with three
  /// or more requests that crash servers, an unaffected request was taken for
  /// the cause before the cause itself was reported.
  Duration SettleDelay = std::chrono::milliseconds(60);
  /// Reports on the exit of a server or on the end of a trial are resent for
  /// this long, which outlasts every outage of the replicas that the system has
  /// to tolerate.
  Duration ReportTimeout = std::chrono::seconds(30);
  /// After the process was suspended, requests wait for at most this long for
  /// an update on what is in quarantine. An entry that can't reach the replicas
  /// then serves without it.
  Duration QuarantineUpdateTimeout = std::chrono::milliseconds(500);
  /// Shortest time between two reports on requests that speak for accused
  /// prompt parts.
  Duration SurvivorReportInterval = std::chrono::milliseconds(100);
  /// Retry-after time named by a process without a routing document. Replicas
  /// that were all killed need this long to elect a leader and to receive its
  /// messages.
  Duration UnreadyRetryAfter = std::chrono::milliseconds(800);
  /// Bound on the bytes that this entry holds for callers and servers.
  ByteBudgetOptions Bytes;
  /// Bytes of requests that all entries together may have under way to one
  /// server; 0 sets no bound.
  std::size_t ServerBytes = 0;
};

/// Why a request has no answer from a backend server.
enum class ForwardFailure : std::uint8_t {
  /// No routing document is known yet, or none that is known to be the newest.
  NotReady,
  NoRoute,
  /// The request has no id, so its answer couldn't be told apart from others,
  /// or another header makes it impossible to handle.
  Malformed,
  NoServer,
  /// Every server that could take it declined.
  Declined,
  TimedOut,
  /// The attempt broke off, and the request may not be run again.
  BrokeOff,
  CallerGone,
  /// The request crashes the servers that run it and is sent to none.
  Quarantined,
  /// Servers exited while they ran it, and another attempt at it is in
  /// progress.
  TrialInProgress,
  /// Servers exited while they ran it, and the replicas haven't decided whether
  /// it may be tried.
  TrialUndecided,
  /// Its key belongs to no client account.
  UnknownKey,
  /// The copy of the configuration is too old to tell whether a key is still
  /// valid.
  KeysOutdated,
  /// Its client account has used up its allotment.
  OverAllotment,
  /// The leader of the replicas hasn't said whether the allotment has units
  /// left.
  AllotmentUndecided,
  /// All servers of the service have asked for a backoff.
  ServersBackingOff,
  /// The copy of the configuration is too old to tell which zones are
  /// evacuated.
  ZonesOutdated,
  /// No server is in a region that both its route and its client account allow.
  NoRegion,
  /// This entry, or each server as far as this entry may use it, holds as many
  /// bytes as it may.
  NoRoom,
  /// All servers of the plain service are full, and the answer wouldn't be in
  /// time.
  ServiceFull,
  /// Servers of several software versions are registered, and nobody knows
  /// which of them began the stream that the request resumes.
  OriginUnknown,
  /// No server runs the software version that began the stream.
  NoSuchSoftware,
  /// Its prompt has a part that crashes the servers that begin to answer on it.
  PartQuarantined,
};
/// \returns the name of \p failure in logs and metrics.
const char *forwardFailureName(ForwardFailure failure);

/// How a caller's request ended.
enum class RequestOutcome : std::uint8_t {
  /// A backend server's answer other than a server error reached the caller.
  Answered,
  /// It ended with an error, and a server may have run it.
  Failed,
  /// The caller got an error of the entry's own, and no server has run it.
  Refused,
  /// The caller left before the answer.
  Abandoned,
};
/// \returns the name of \p outcome in metrics.
const char *requestOutcomeName(RequestOutcome outcome);

/// Why a request that a server declined or failed isn't sent to another one.
enum class RetryDenial : std::uint8_t {
  None,
  /// Its route allows no further server, or no second run.
  RouteLimit,
  /// The entry's retry budget for the service is used up.
  Budget,
  /// No other server of the service may get it.
  NoServer,
};
/// \returns the name of \p denial in logs and metrics.
const char *retryDenialName(RetryDenial denial);

/// \class ForwardAttempt
/// \ingroup Forward
/// \brief One attempt at one backend server.
struct ForwardAttempt {
  AttemptId Id;
  /// Agent that was asked for a permit; empty for a plain service.
  HostName Agent;
  bool OnlyIfResident = false;
  /// The engine's process that the agent was asked about; empty if none was
  /// registered.
  ServerProcess Engine;
  /// Prompt tokens that the engine has to read, by its agent's permit.
  std::uint32_t UncachedTokens = 0;
  /// The weights that the engine has loaded for the request, by that permit.
  WeightsVersion Weights;
  /// Why the engine was chosen.
  RouteReason Choice = RouteReason::Other;
  /// Number of engines that requests of its shape prefer; zero if requests
  /// aren't placed by shape.
  std::uint32_t ShapeEngines = 0;
  /// The agent has answered.
  bool AgentAnswered = false;
  /// How long the request waited at this agent before, for a version of its
  /// adapter that was superseded meanwhile.
  Duration Waited = Duration::zero();
  /// Longest time for which this process was stalled since the attempt began.
  Duration LongestStall = Duration::zero();
  ServerProcess Server;
  std::string Address;
  /// Version of the quarantine ledger that this entry knew when it sent the
  /// request.
  std::uint64_t KnownQuarantine = 0;
  /// Software version of Server; empty if it states none.
  std::string Software;
  TimePoint StartedAt;
  bool Sent = false;
  TimePoint SentAt;
  std::optional<TimePoint> FirstEventAt;
  /// How long work takes on the server's host, in percent of the usual time, as
  /// the head of the answer states it; 0 if it doesn't.
  std::uint32_t Slowness = 0;
  TimePoint LastEventAt;
  /// Longest time between two events.
  Duration LongestPause = Duration::zero();
  /// When the server last sent a part of the answer's body.
  TimePoint LastReceivedAt;
  ArrivalGaps Gaps;
  /// When its host was suspected to be gone: its agent exited or stopped
  /// answering, or another process has registered as this server.
  TimePoint SuspectedAt;
  /// Head of the accepted answer, once received.
  std::optional<ResponseHead> Head;
  /// Body of the answer as long as it is buffered.
  std::string BufferedBody;
  /// How the connection ended, once it has.
  std::optional<UpstreamEnding> Ending;
  /// When the server closed the connection, if a check of the server has to
  /// decide whether the answer is whole. The caller has all but its end.
  std::optional<TimePoint> ClosedAt;
  /// The server isn't read, because the caller doesn't read what it has.
  bool Paused = false;
};

/// Whether a watched request may be tried.
enum class TrialState : std::uint8_t {
  None,
  /// Waits for other entries' reports before the replicas are asked.
  Settling,
  /// The trial grant was requested from the replicas, which haven't answered.
  Asked,
  /// This request holds the trial grant and may be sent.
  Granted,
};

/// \returns \p software, the software version of a server, for logs.
inline std::string softwareName(const std::string &software) {
  return software.empty() ? "unknown" : software;
}

/// Who knew at which software version a stream began.
enum class OriginSource : std::uint8_t {
  /// This entry, which began the stream or has asked for it before.
  Entry,
  Agent,
  Replica,
  /// Nobody: the service has only this version.
  OnlyVersion,
  /// Nobody, and the service has had several versions.
  Nobody,
};
/// \returns the name of \p source in logs and metrics.
const char *originSourceName(OriginSource source);

/// \class OriginQuery
/// \ingroup Forward
/// \brief The question at which software version a stream began.
struct OriginQuery {
  /// Agents that haven't answered.
  std::set<HostName> Asked;
  /// Addresses of the replicas that haven't answered.
  std::set<std::string> AskedReplicas;
  TimePoint Until;
  /// Numbers of agents and of replicas that were asked.
  std::size_t AskedCount = 0;
  std::size_t AskedReplicaCount = 0;
  /// Host or address of the first whose answer named a version, and which of
  /// the two it is.
  std::string KnownBy;
  std::optional<OriginSource> KnownBySource;

  /// \returns whether nobody is left to answer.
  bool isOver() const { return Asked.empty() && AskedReplicas.empty(); }
};

/// \class ForwardRequest
/// \ingroup Forward
/// \brief A caller's request in progress.
struct ForwardRequest {
  std::uint64_t Key = 0;
  RequestHead Head;
  std::shared_ptr<const std::string> Body;
  RequestTraits Traits;
  /// Hash of Body alone.
  ContentHash BodyHash;
  /// Hash of the method, host, target, client account and body: equal for all
  /// attempts at the same request, on whichever entry.
  ContentHash Content;
  /// The parts of its prompt that other requests of its account may have.
  std::vector<SharedPart> Parts;
  std::shared_ptr<const RoutingTable> Table;
  const RouteSpec *Route = nullptr;
  /// Client account that owns the request's key, stored in Table; null where no
  /// account is needed.
  const ClientAccount *Account = nullptr;
  /// Units of the account's allotment that the request takes.
  AllotmentCharge Charge;
  /// An earlier send has spent the units.
  bool Charged = false;
  ServiceName Service;
  bool ToEngine = false;
  AdapterKey Adapter;
  /// Zones that its route and its client account allow.
  AllowedZones Zones;
  TimePoint ArrivedAt;
  TimePoint Deadline;
  std::optional<ForwardAttempt> Attempt;
  /// Agents that refused it.
  std::vector<TriedHost> Tried;
  /// Servers that it was sent to, reached or not.
  std::vector<ServerProcess> Avoid;
  /// Number of times it was sent, without the sends that reached no server.
  std::uint32_t Sends = 0;
  std::uint32_t Unreachable = 0;
  /// A server may have run it.
  bool MayHaveRun = false;
  /// PlainAdmission has admitted it; it isn't asked again.
  bool Admitted = false;
  TrialState Trial = TrialState::None;
  /// What is on trial: the request itself, or a part of its prompt.
  ContentHash TrialOf;
  /// What else it has asked to try, without a decision in time. The replicas
  /// may have granted these trials all the same, or may yet do so.
  std::set<ContentHash> UndecidedTrials;
  /// End of the Settling state.
  TimePoint SettledAt;
  /// It was sent under its current trial grant, or under one that it may have
  /// been given without learning of it.
  bool SentOnTrial = false;
  /// Server that is being checked before the request continues.
  std::optional<ServerProcess> CheckedServer;
  /// The caller has received the head of the answer.
  bool Answering = false;
  /// Splits a streaming answer into events and stores the id of the last one,
  /// after which another server resumes the stream.
  EventStream Events;
  /// Software version that has to go on with the stream; set by its first
  /// event, or from what is known of the stream that the request resumes.
  std::optional<std::string> RequiredSoftware;
  /// Set once agents and replicas have been asked for that version.
  std::optional<OriginQuery> Origin;
  /// Longest retry-after time that a refusal named.
  Duration RetryAfter = Duration::zero();
  RefusalReason LastRefusal = RefusalReason::None;
  /// Why it wasn't sent to another server after the last attempt.
  RetryDenial Denial = RetryDenial::None;
  /// Detail of the refusal, for the log.
  std::string RefusalDetail;
  /// When a deferred request is tried again.
  TimePoint NextTryAt;

  /// \returns whether its answer goes on after events that the caller has.
  bool resumesStream() const {
    return Route->Kind == Repeatability::Stream &&
           (Answering || Traits.LastEventId);
  }
  /// \returns its priority, 0 being the most urgent; the client account's takes
  /// precedence over the route's.
  std::uint32_t priority() const {
    if (Account && Account->Priority)
      return *Account->Priority;
    return Route->Priority;
  }
};

/// Sends a request to a backend server.
struct SendUpstream {
  AttemptId Attempt;
  /// Pooled connections to another process at the same address aren't used.
  ServerProcess Server;
  std::string Address;
  RequestHead Head;
  std::shared_ptr<const std::string> Body;
  /// The request may run only once. It isn't sent on a pooled connection that
  /// may have closed unnoticed.
  bool Once = false;
  /// How many connections to the server are allowed, this one included.
  ConnectionLimits Connections;
};
/// Closes the connection of an attempt, which makes the server stop.
struct CancelUpstream {
  AttemptId Attempt;
};
/// Reads an answer to its end and discards it, so that its connection can be
/// reused.
struct IgnoreUpstream {
  AttemptId Attempt;
};
/// Stops reading the answer of a server, or goes on reading it.
struct PauseUpstream {
  AttemptId Attempt;
  bool Paused = false;
};
/// Checks whether the process of a server still runs.
struct CheckServer {
  ServerProcess Server;
  std::string Address;
  /// Asks the process for its identity; without it the check ends when a
  /// connection is accepted.
  std::optional<RequestHead> Query;
};
/// Submits a command for the replicas to decide.
struct ProposeToReplicas {
  std::uint64_t Nonce = 0;
  CommandBody Proposal;
  Duration DecisionTimeout = Duration::zero();
};
/// Sends a caller a complete answer.
struct ReplyComplete {
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
/// Closes the caller's connection, so that the answer doesn't look complete.
struct ReplyAbort {
  std::uint64_t Key = 0;
};
using ForwardCommand =
    std::variant<SendToAgent, SendUpstream, CancelUpstream, IgnoreUpstream,
                 ReplyComplete, ReplyHead, ReplyPiece, ReplyEnd, ReplyAbort,
                 PauseUpstream, CheckServer, ProposeToReplicas>;

/// \class ForwardEvent
/// \ingroup Forward
/// \brief A decision about a request and the reasons for it, for logs and
/// metrics.
struct ForwardEvent {
  const char *Name = "";
  std::string Request;
  std::string Route;
  /// The route was added after this process received its first routing table.
  bool RouteAdded = false;
  ServiceName Service;
  AccountName Account;
  HostName Server;
  /// Identifies the request independently of the id of this attempt.
  ContentHash Content;
  /// Ids of the parts of its prompt that other requests may have as well; set
  /// where an attempt or the request failed.
  std::string Parts;
  std::string Detail;
  /// Name of the ForwardFailure if Lost is set, otherwise empty.
  const char *Reason = "";
  /// Time since the request arrived.
  Duration Took = Duration::zero();
  int Status = 0;
  /// The request has no answer from a backend server.
  bool Lost = false;
  /// How the connection to the server ended, if it has.
  std::optional<UpstreamEnding> Ending;
  /// Set by the last event of a request that has a route.
  std::optional<RequestOutcome> Outcome;
  RetryDenial Denial = RetryDenial::None;
  /// Set if the request was refused for want of room: its urgency.
  std::optional<std::uint32_t> RefusedUrgency;
  /// Set by the first event of an engine's answer: why the engine was chosen,
  /// and the number of engines that requests of its shape prefer.
  std::optional<RouteReason> Choice;
  std::uint32_t ShapeEngines = 0;
  /// Set once it is decided at which software version a stream goes on that a
  /// caller resumes.
  std::optional<OriginSource> Origin;
  /// Set by the end of a stream: its longest time between two events, and
  /// whether that exceeds the pause that its route allows.
  Duration LongestPause = Duration::zero();
  bool OverPause = false;
  /// Set by the end of an attempt that was sent.
  std::optional<AnswerEnd> End;
  /// How long the end of the answer waited for the check of its server.
  Duration EndWait = Duration::zero();
  /// Set if a server declined the request: the room that it reported.
  std::optional<ReportedRoom> RoomAtDecline;
};

/// \class ForwardBoard
/// \ingroup Forward
/// \brief State that the controllers of forwarding share (blackboard pattern).
struct ForwardBoard {
  ForwardBoard(const ForwardOptions &options,
               const ConfigurationView &configuration, const HeaderCodec &codec)
      : Options(options), Configuration(configuration), Codec(codec),
        Servers(options.Servers), Jitter(options.Incarnation),
        Leases({.Host = options.Host, .Incarnation = options.Incarnation}),
        Budgets(options.RetryShare,
                options.RetryReserve / options.Servers.PresumedEntries),
        Bytes(options.Bytes), BytesAtServers(options.ServerBytes) {}

  const ForwardOptions Options;
  const ConfigurationView &Configuration;
  const HeaderCodec &Codec;
  /// This process doesn't understand the newest routing document, which can
  /// happen to an older release. The previous document stays in use and may
  /// allow what the newest forbids.
  bool TableOutdated = false;
  ServerSet Servers;
  Random Jitter;
  AllotmentLeases Leases;
  RetryBudgets Budgets;
  ByteBudget Bytes;
  ServerBytes BytesAtServers;
  SendPermits Permits;
  /// By plain service.
  std::map<ServiceName, PlainQueue> PlainQueues;
  std::map<ServiceName, PlainAdmission> PlainAdmissions;
  /// The streams that this process has passed on, by service.
  PauseMeter Pauses;
  /// Streams that this entry began or has asked for.
  StreamOriginTable Origins;
  /// Addresses of the replicas that answer questions about streams, as far as
  /// is known.
  std::vector<std::string> OriginKeepers;
  /// Origins that the replicas have to be told, and streams that they have to
  /// be asked about.
  std::vector<StreamOrigin> OriginsToKeep;
  std::vector<RequestId> OriginsToAsk;
  /// Requests that wait for others to say at which version a stream began.
  std::set<std::uint64_t> OriginQueries;
  /// Services that have had servers of several software versions, and when that
  /// ended; nothing while it lasts.
  std::map<ServiceName, std::optional<TimePoint>> MixedUntil;
  QuarantineSet Quarantine;
  SuspectParts Parts;
  std::shared_ptr<const RoutingTable> Table;
  std::unordered_map<std::uint64_t, ForwardRequest> Requests;
  std::unordered_map<AttemptId, std::uint64_t> Attempts;
  /// Deferred requests, which wait until something can take them.
  std::set<std::uint64_t> Deferred;
  std::uint64_t LastSequence = 0;
  std::vector<ForwardCommand> Commands;
  std::vector<ForwardEvent> Events;

  /// \returns the highest live version of an adapter; 0 if it has none.
  VersionNumber liveVersion(const AdapterName &name) const {
    const std::optional<AdapterRecord> adapter =
        Configuration.findAdapter(name);
    VersionNumber highest = 0;
    if (adapter)
      for (const VersionRecord &it : adapter->Versions)
        if (it.Live)
          highest = std::max(highest, it.Number);
    return highest;
  }
  /// \returns whether another version of the request's adapter is live than the
  /// one that it has asked for.
  bool isSuperseded(const ForwardRequest &request) const {
    return !request.Adapter.Adapter.empty() &&
           liveVersion(request.Adapter.Adapter) != request.Adapter.Version;
  }
  /// \returns whether the copy of the configuration was confirmed less than
  /// \p bound ago.
  bool confirmedWithin(TimePoint now, Duration bound) const {
    // Bound on the relative drift between two hosts' clocks, twice the rate at
    // which NTP slews a clock.
    constexpr double MaxClockDrift = 0.001;
    const std::optional<Duration> age = Configuration.confirmationAge(now);
    return age && toSeconds(*age) < toSeconds(bound) * (1 - MaxClockDrift);
  }
  /// \returns whether the copy was confirmed so recently that confirmedWithin()
  /// will hold for about another 0.4 of \p bound. Readiness depends on it, so
  /// that callers are directed to other entries before their requests have to
  /// be refused.
  bool confirmedWellWithin(TimePoint now, Duration bound) const {
    constexpr double ReadyShare = 0.6;
    return confirmedWithin(now, fromSeconds(toSeconds(bound) * ReadyShare));
  }
  /// \returns how many answers aren't read from their servers.
  std::size_t pausedStreams() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Attempts, [this](const auto &it) {
          return Requests.at(it.second).Attempt->Paused;
        }));
  }
  ForwardRequest *find(const AttemptId &attempt) {
    const auto it = Attempts.find(attempt);
    return it == Attempts.end() ? nullptr : &Requests.at(it->second);
  }
};

} // namespace pimentofront

#endif
