#ifndef PIMENTOFRONT_SERVING_AGENT_BOARD_H
#define PIMENTOFRONT_SERVING_AGENT_BOARD_H

#include "AccountShares.h"
#include "AgentEvent.h"
#include "EngineReport.h"
#include "EngineSlowness.h"
#include "EvictionPolicy.h"
#include "LoadTimeModel.h"
#include "PrefillModel.h"
#include "RequestPacer.h"

#include <deque>
#include <map>
#include <set>

namespace pimentofront {

/// Identifies the link to an entry. The node that drives the controller
/// assigns the numbers.
using EntryLink = std::uint64_t;

/// How an engine's waiting requests are ordered while they differ in urgency or
/// belong to accounts.
enum class OrderPolicy : std::uint8_t {
  /// StrideOrder: urgency and account count for nothing.
  Kind,
  /// UrgencyOrder.
  Urgency,
  /// TokenOrder.
  Tokens,
};

/// \class AgentOptions
/// \ingroup Serving
/// \brief Options of an agent; docs/OPERATORS.md describes each of them.
struct AgentOptions {
  HostName Host;
  std::uint64_t Incarnation = 0;
  std::string BaseModel;
  std::vector<ServiceName> Services;
  /// Adapter slots of the engine.
  std::uint32_t Slots = 4;
  /// Maximum number of requests that the engine processes in one step.
  std::uint32_t BatchCapacity = 16;
  /// Maximum number of waiting requests, over all adapters.
  std::uint32_t QueueLimit = 256;
  OrderPolicy Order = OrderPolicy::Urgency;
  /// Maximum number of concurrent calls of plain services.
  std::uint32_t ServiceLimit = 64;
  PopularityOptions Popularity;
  /// Estimated time of a load from the weight store, until one has been
  /// measured.
  Duration LoadTime = std::chrono::milliseconds(250);
  /// Estimated time to serve a request, until some have been measured.
  Duration ServiceTime = std::chrono::seconds(2);
  /// An attempt that requires its adapter to be resident is refused when it
  /// would queue longer than this, so that another host loads a copy.
  Duration SpillDelay = std::chrono::milliseconds(500);
  /// Refuse a request as soon as the expected wait in the queue, or for the
  /// load of its adapter, is too long for it.
  bool RefusesEarly = true;
  /// Share of its time limit that a request may wait for its adapter. A request
  /// that would wait longer is refused: a longer load queue doesn't complete
  /// more loads per second, it only lengthens each wait.
  double StallShare = 0.4;
  /// Utility of a late answer relative to an answer on time, for the choice of
  /// loads.
  double LateUtility = 0.4;
  /// Share of its time limit that a request may wait on an idle engine for
  /// other requests to batch with: a shared step costs little more than a step
  /// for one request.
  double BatchingShare = 0.05;
  /// Upper bound of that wait, whatever the share: a first token has to come
  /// within about a second.
  Duration BatchingWait = std::chrono::milliseconds(400);
  /// An idle engine starts at once when this many requests with a resident
  /// adapter wait.
  std::uint32_t BatchingTarget = 4;
  /// An engine that was found running must be idle for this long before it is
  /// used, so that requests and loads of an earlier agent process have ended.
  Duration EngineSettleTime = std::chrono::seconds(2);
  /// Time after its deadline at which a delegated request counts as ended
  /// although its entry hasn't reported so. The report may have been lost with
  /// the link, and the slot would stay in use.
  Duration ReleaseSlack = std::chrono::seconds(1);
  /// Initial and maximum backoff after failed loads of one adapter.
  Duration InitialLoadBackoff = std::chrono::seconds(2);
  Duration MaxLoadBackoff = std::chrono::minutes(2);
};

/// \class WaitingAttempt
/// \ingroup Serving
/// \brief An admitted attempt that isn't running yet.
struct WaitingAttempt {
  ExecuteRequest Request;
  EntryLink Entry = 0;
  TimePoint ArrivedAt;
  /// Time after which the answer is useless.
  TimePoint Deadline;
  /// Time after which the first event is late; empty if the request has no
  /// latency target.
  std::optional<TimePoint> OnTimeUntil;
  /// Time that it waited for its adapter; set when the adapter is loaded.
  Duration LoadStall = Duration::zero();
  bool NeededLoad = false;
  /// Prompt tokens that the engine had to process when the attempt arrived.
  std::uint32_t ReadingTokens = 0;
  AccountShares::Activity Account;
};

/// \returns the time until which \p attempt may wait for its adapter, which is
/// \p stallShare of its time limit.
inline TimePoint stallLimit(const WaitingAttempt &attempt, double stallShare) {
  const Duration time = attempt.Deadline - attempt.ArrivedAt;
  return attempt.ArrivedAt + fromSeconds(toSeconds(time) * stallShare);
}

/// \class RunningAttempt
/// \ingroup Serving
/// \brief An attempt that the engine or a plain service is processing.
struct RunningAttempt {
  EntryLink Entry = 0;
  AdapterKey Key;
  bool IsService = false;
  /// The entry sends the request to the engine itself and reports when it has
  /// ended.
  bool Delegated = false;
  TimePoint StartedAt;
  TimePoint Deadline;
  /// When the first event is expected.
  TimePoint ExpectedAt;
  /// When the entry's report of the first event was received.
  std::optional<TimePoint> BegunAt;
  std::uint64_t Tokens = 0;
  Duration LoadStall = Duration::zero();
  /// Prompt tokens that the engine had to process because they were not cached.
  std::uint32_t PromptTokens = 0;
  /// The engine had no other prompt to process when this attempt started.
  bool PrefilledAlone = false;
  /// Longest time between two events for which the stream is on time; zero if
  /// it has no such limit.
  Duration PauseTarget = Duration::zero();
};

/// \class LoadBackoff
/// \ingroup Serving
/// \brief Backoff of an adapter that failed to load, so that its retries don't
/// delay the loads of other adapters.
struct LoadBackoff {
  std::uint32_t ConsecutiveFailures = 0;
  TimePoint Until;
};

/// Sends a message to an entry.
struct SendToEntry {
  EntryLink Entry = 0;
  Message Content;
};
/// Sends a message to the load scheduler.
struct SendToScheduler {
  Message Content;
};
/// Starts a request on the engine.
struct StartGeneration {
  ExecuteRequest Request;
  /// Prompt tokens that the engine has to read.
  std::uint32_t UncachedTokens = 0;
};
/// Calls a plain service. The call isn't repeated.
struct StartServiceCall {
  ExecuteRequest Request;
};
/// Cancels the work of the engine or service on an attempt.
struct CancelWork {
  AttemptId Attempt;
};
/// Loads an adapter into the engine, after unloading the victim if there is
/// one.
struct StartLoad {
  AdapterKey Key;
  std::string Source;
  std::optional<AdapterKey> Victim;
};
using AgentCommand = std::variant<SendToEntry, SendToScheduler, StartGeneration,
                                  StartServiceCall, CancelWork, StartLoad>;

/// \class AgentBoard
/// \ingroup Serving
/// \brief The state that the controllers of an agent share.
struct AgentBoard {
  AgentBoard(const AgentOptions &options, const EvictionPolicy &eviction)
      : Options(options), Eviction(eviction), Slots(options.Slots),
        BatchCapacity(options.BatchCapacity), Popularity(options.Popularity),
        Jitter(options.Incarnation), LoadTimes({.StoreTime = options.LoadTime}),
        ServiceTime(options.ServiceTime) {}

  const AgentOptions Options;
  const EvictionPolicy &Eviction;
  SlotTable Slots;
  /// Maximum number of requests that the engine processes in one step: the
  /// option, until the configuration has named another.
  std::uint32_t BatchCapacity;
  PopularityTable Popularity;
  PrefillModel Prefill;
  EngineSlowness Slowness;
  Random Jitter;
  /// Service that the engine has given to each client account. Outlives the
  /// waiting attempts, which refer to it.
  AccountShares Accounts;

  /// Admitted attempts that are not running, by adapter, in order of arrival.
  std::map<AdapterKey, std::deque<WaitingAttempt>> Waiting;
  std::size_t WaitingCount = 0;
  std::unordered_map<AttemptId, RunningAttempt> Running;
  /// When each entry sent its last message.
  std::unordered_map<EntryLink, TimePoint> LastMessageAt;
  std::uint32_t RunningServices = 0;
  std::unordered_map<AdapterKey, LoadBackoff> LoadBackoffs;

  LoadTimeModel LoadTimes;
  /// Smoothed time that this engine takes for a request.
  Duration ServiceTime;
  /// Wait in the load queue as the scheduler last reported it, and when the
  /// report was received.
  Duration LoadBacklog = Duration::zero();
  TimePoint LoadBacklogAt;
  /// Paces the requests to the engine's process while it names a rate limit or
  /// is cold.
  RequestPacer Pacer;
  /// Cold-start limits of the engine's service, which apply from the start of
  /// the engine's process.
  ColdStart Cold;
  /// When an engine process was found ready that started while this agent ran.
  std::optional<TimePoint> EngineStartedAt;

  /// The engine's base model and its last report; empty if it sends none.
  std::string BaseModel;
  EngineReport Report;
  /// The agent is shutting down and admits no new work.
  bool Leaving = false;
  /// The engine answers and its resident adapters are known.
  bool EngineReady = false;
  /// Since when the engine has been idle, while the agent waits to use it.
  std::optional<TimePoint> EngineIdleSince;
  /// This agent has used the engine's process before, or saw it start: no order
  /// of an earlier agent can be in flight.
  bool OwnsEngineProcess = false;
  /// Load orders that the engine hasn't answered, including those sent to an
  /// engine process that has been replaced since.
  std::uint32_t LoadsInFlight = 0;

  std::vector<AgentCommand> Commands;
  std::vector<AgentEvent> Events;

  std::uint32_t runningOnEngine() const {
    return static_cast<std::uint32_t>(Running.size()) - RunningServices;
  }
  /// \returns the weights with which the engine would run a request for
  /// \p key now; unknown if it doesn't have the adapter.
  WeightsVersion weightsOf(const AdapterKey &key) const {
    return Report.weightsOf(BaseModel, key.Adapter);
  }
  /// \returns whose cached prompt parts a request for \p key can use now.
  PromptOwner promptOwner(const AdapterKey &key) const {
    return {.Key = key, .Weights = weightsOf(key)};
  }
  /// \returns the time that the engine needs for the attempt's prompt.
  Duration readingTime(const WaitingAttempt &attempt) const {
    return fromSeconds(attempt.ReadingTokens / Prefill.tokensPerSecond());
  }
  /// Records a decision on \p attempt; completes \p event from it.
  void record(TimePoint now, const WaitingAttempt &attempt, AgentEvent event) {
    const ExecuteRequest &request = attempt.Request;
    event.Request = request.Request;
    event.Kind = request.Kind;
    event.Urgency = request.Demand.Urgency;
    event.Account = request.Demand.Account;
    event.Waited = now - attempt.ArrivedAt;
    Events.push_back(std::move(event));
  }
};

} // namespace pimentofront

#endif
