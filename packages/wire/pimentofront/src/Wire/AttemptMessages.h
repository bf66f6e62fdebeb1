#ifndef PIMENTOFRONT_WIRE_ATTEMPT_MESSAGES_H
#define PIMENTOFRONT_WIRE_ATTEMPT_MESSAGES_H

#include "RateLimit.h"
#include "RequestDemand.h"
#include "WeightsVersion.h"
#include "pimentofront/Base.h"

#include <string>
#include <vector>

namespace pimentofront {

/// Why a request was not run.
enum class RefusalReason : std::uint8_t {
  None,
  /// The host takes no new work.
  Leaving,
  /// The queue of the host is full.
  QueueFull,
  /// The adapter can't be loaded within the time that the request has.
  LoadBacklog,
  /// The adapter failed to load and is not loaded again for a while.
  LoadFailed,
  /// The engine or service does not answer.
  BackendDown,
  /// The host has no such service or base model.
  NoSuchBackend,
  /// This process can't confirm that its configuration is current.
  Isolated,
  /// Too many requests of this kind are in progress.
  KindLimit,
  /// Too many requests of this caller are in progress.
  CallerLimit,
  /// No backend server is known to serve this.
  NoBackend,
  /// The process is stopping.
  Stopping,
  /// Unknown adapter, version, kind or service, or malformed input.
  Invalid,
  /// The claim of a non-idempotent request couldn't be committed.
  NoClaim,
  /// The adapter is not in a slot there, and the attempt allows no load.
  NotResident,
  /// The request would have to wait longer there than the attempt allows.
  Busy,
  /// The backend server has named a limit for the requests of all entries,
  /// which does not admit this one in time.
  RateLimited,
  /// A more urgent request took its place in the queue.
  Displaced,
};
constexpr unsigned RefusalReasonCount = 18;

/// \returns whether the host refused only because of a condition of the attempt
/// (the adapter is resident, the first event comes in time). The host could run
/// the request, but another one may be better.
constexpr bool isConditionalRefusal(RefusalReason reason) {
  return reason == RefusalReason::NotResident || reason == RefusalReason::Busy;
}

/// \returns the name of \p reason in logs, metrics and errors.
const char *refusalReasonName(RefusalReason reason);

/// \class AgentLoad
/// \ingroup Wire
/// \brief The load that an agent reports with each reply; a hint for routing.
struct AgentLoad {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t BatchCapacity = 0;
  /// How long a load that is requested now would have to wait.
  Duration LoadWait = Duration::zero();
  /// Popularity of the adapter that would be evicted next, in thousandths of a
  /// request; 0 with an empty slot, a very large value when all slots are in
  /// use.
  std::uint32_t VictimValue = 0;
  /// How long the engine needs for the prompts that it has accepted.
  Duration PrefillWait = Duration::zero();
  /// Prompt tokens that the engine processes in a second, as measured; 0 until
  /// it has been measured.
  std::uint32_t PromptRate = 0;
  /// Adapters that the engine can have loaded at a time; 0 if unknown.
  std::uint32_t AdapterSlots = 0;
  PIMENTOFRONT_FIELDS(AgentLoad, Running, Queued, BatchCapacity, LoadWait,
                      VictimValue, PrefillWait, PromptRate, AdapterSlots)
};

/// \class PromptPart
/// \ingroup Wire
/// \brief One part of a prompt. Requests whose preceding parts are the same,
/// too, share what the engine has cached of it.
struct PromptPart {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
  PIMENTOFRONT_FIELDS(PromptPart, Id, Tokens)
};

/// \returns the number of tokens in all of \p parts.
constexpr std::uint32_t totalTokens(const std::vector<PromptPart> &parts) {
  std::uint32_t sum = 0;
  for (const PromptPart &it : parts)
    sum += it.Tokens;
  return sum;
}

/// Remaining time to the first event of a request that has no target for it.
constexpr Duration NoTarget = Duration::max();

/// \class ExecuteRequest
/// \ingroup Wire
/// \brief Entry to agent: run this request once, or refuse it.
struct ExecuteRequest {
  AttemptId Attempt;
  RequestId Request;
  CallerName Caller;
  KindName Kind;
  std::uint32_t Weight = 1;
  /// Remaining time within which the answer is useful.
  Duration Remaining = Duration::zero();
  /// Set for generation.
  AdapterKey Key;
  std::string BaseModel;
  /// Where the weight store has the version.
  std::string Source;
  std::string Prompt;
  /// Text that the caller already received from an earlier attempt.
  std::string ResumeText;
  std::uint32_t MaxTokens = 0;
  /// Set for a plain service, which has no adapter.
  ServiceName Service;
  std::string Method;
  std::string Payload;
  /// Refuse with `NotResident` rather than load the adapter.
  bool OnlyIfResident = false;
  /// The entry sends the request to the engine itself once it has a permit, so
  /// that answers in progress do not depend on the agent.
  bool Delegated = false;
  /// Parts of the prompt in order, to estimate what the engine has cached.
  std::vector<PromptPart> Parts;
  /// Refuse with `Busy` when the first event would come later than this: after
  /// the wait for the adapter, the prompts before this one, and this prompt.
  /// Zero sets no limit.
  Duration FirstEventWithin = Duration::zero();
  /// Remaining time within which the first event counts as on time.
  Duration FirstEventDue = NoTarget;
  /// The engine process to which a delegated request will be sent. An order
  /// that the agent sends because of this request is for this process only.
  HostName Server;
  /// When that process started; 0 if unknown.
  std::uint64_t ServerStartedAt = 0;
  /// The limit of that process as the entry knows it, since the agent may have
  /// started after it was named.
  RateLimit Limit;
  /// The cold start of that process, likewise.
  ColdStart Cold;
  RequestDemand Demand;
  /// Another agent displaced the request before; it isn't displaced again.
  bool WasDisplaced = false;
  /// How long the request has waited at this agent for a version of its adapter
  /// that was superseded meanwhile; it keeps its place.
  Duration Waited = Duration::zero();
  /// \returns that process.
  ServerProcess server() const { return {Server, ServerStartedAt}; }
  PIMENTOFRONT_FIELDS(ExecuteRequest, Attempt, Request, Caller, Kind, Weight,
                      Remaining, Key, BaseModel, Source, Prompt, ResumeText,
                      MaxTokens, Service, Method, Payload, OnlyIfResident,
                      Delegated, Parts, FirstEventWithin, FirstEventDue, Server,
                      ServerStartedAt, Limit, Cold, Demand, WasDisplaced,
                      Waited)
};

/// Agent to entry: the engine has a place for the request, send it now. The
/// adapter is in its slot and stays there until `AttemptReleased`.
struct AttemptPermit {
  AttemptId Attempt;
  AgentLoad Load;
  /// The engine's limit, which other entries may have reported.
  RateLimit Limit;
  /// Time between two requests at the engine's current rate; zero while the
  /// engine is neither limited nor cold. A permit that was delayed for longer
  /// is void: requests that were permitted over a period must not be sent all
  /// at once.
  Duration SendInterval = Duration::zero();
  /// Prompt tokens that the engine has to read, since it doesn't have them
  /// cached.
  std::uint32_t UncachedTokens = 0;
  /// The weights that the engine has loaded for the request.
  WeightsVersion Weights;
  PIMENTOFRONT_FIELDS(AttemptPermit, Attempt, Load, Limit, SendInterval,
                      UncachedTokens, Weights)
};

/// The outcome of an attempt that had a permit.
enum class ReleaseKind : std::uint8_t {
  Answered,
  /// Began and was interrupted, or nothing was received of it.
  BrokeOff,
  /// The engine reported that it did not run it.
  NotRun,
  /// The engine reported that it does not hold the adapter.
  NotResident,
};

/// Entry to agent: the place is free again.
struct AttemptReleased {
  AttemptId Attempt;
  ReleaseKind Kind = ReleaseKind::Answered;
  /// From sending the request to the first event of its answer; zero if
  /// unknown.
  Duration FirstEvent = Duration::zero();
  PIMENTOFRONT_FIELDS(AttemptReleased, Attempt, Kind, FirstEvent)
};

/// Entry to agent: the first event of the attempt's answer was received. The
/// agent learns the engine's delay at once rather than at the end of the
/// answer, which may be much later.
struct AttemptBegan {
  AttemptId Attempt;
  /// From sending the request to the first event.
  Duration FirstEvent = Duration::zero();
  /// How long work takes on the engine's host, in percent of the usual time, as
  /// the answer states it; 0 if it doesn't.
  std::uint32_t Slowness = 0;
  PIMENTOFRONT_FIELDS(AttemptBegan, Attempt, FirstEvent, Slowness)
};

/// \class EngineProfile
/// \ingroup Wire
/// \brief Entry to agent: what the routing document specifies for its engine.
/// The agent applies the highest revision.
struct EngineProfile {
  std::uint64_t At = 0;
  /// Base model that the engine has to load.
  std::string BaseModel;
  std::uint32_t AdapterSlots = 0;
  std::uint32_t BatchCapacity = 0;
  /// Tokens of prompts and answers that fit in its cache.
  std::uint64_t CacheTokens = 0;
  /// Cold start that applies from the start of the engine on.
  ColdStart Cold;
  /// Path at which the engine answers health checks at once.
  std::string HealthPath;
  PIMENTOFRONT_FIELDS(EngineProfile, At, BaseModel, AdapterSlots, BatchCapacity,
                      CacheTokens, Cold, HealthPath)
};

/// Entry to agent: the answer is no longer needed.
struct CancelAttempt {
  AttemptId Attempt;
  PIMENTOFRONT_FIELDS(CancelAttempt, Attempt)
};

/// Agent to entry: the attempt is queued or running.
struct AttemptAdmitted {
  AttemptId Attempt;
  AgentLoad Load;
  PIMENTOFRONT_FIELDS(AttemptAdmitted, Attempt, Load)
};

/// Agent to entry: the attempt did not run and never will.
struct AttemptRefused {
  AttemptId Attempt;
  RefusalReason Reason = RefusalReason::None;
  /// Retry-after. For a conditional refusal (see isConditionalRefusal()): how
  /// long its first event would take.
  Duration RetryAfter = Duration::zero();
  AgentLoad Load;
  /// The adapter is loaded or being loaded.
  bool HoldsAdapter = false;
  /// Prompt tokens that the engine has cached for this request.
  std::uint32_t CachedTokens = 0;
  /// The weights that the engine has loaded for the request; unknown if it
  /// doesn't have the adapter.
  WeightsVersion Weights;
  PIMENTOFRONT_FIELDS(AttemptRefused, Attempt, Reason, RetryAfter, Load,
                      HoldsAdapter, CachedTokens, Weights)
};

/// Agent to entry: a part of the answer.
struct AttemptChunk {
  AttemptId Attempt;
  /// Tokens of this attempt that precede this part.
  std::uint64_t Position = 0;
  std::uint32_t Tokens = 0;
  std::string Text;
  PIMENTOFRONT_FIELDS(AttemptChunk, Attempt, Position, Tokens, Text)
};

/// How a started attempt ended.
enum class AttemptEnding : std::uint8_t {
  Answered,
  /// Began and was interrupted: it may have had effects.
  BrokeOff,
  Cancelled,
};

/// Agent to entry: the attempt has ended.
struct AttemptFinished {
  AttemptId Attempt;
  AttemptEnding Ending = AttemptEnding::Answered;
  /// Answer of a plain service, or the error.
  std::string Payload;
  /// All tokens of this attempt: the entry checks that the answer is complete.
  std::uint64_t Tokens = 0;
  /// Time that the attempt waited for its adapter.
  Duration LoadStall = Duration::zero();
  AgentLoad Load;
  PIMENTOFRONT_FIELDS(AttemptFinished, Attempt, Ending, Payload, Tokens,
                      LoadStall, Load)
};

/// Agent to all its entries: it takes no new requests and finishes those in
/// progress.
struct AgentLeaving {
  HostName Host;
  std::uint64_t Incarnation = 0;
  PIMENTOFRONT_FIELDS(AgentLeaving, Host, Incarnation)
};

} // namespace pimentofront

#endif
