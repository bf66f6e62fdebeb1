#ifndef PIMENTOFRONT_WIRE_ATTEMPT_MESSAGES_H
#define PIMENTOFRONT_WIRE_ATTEMPT_MESSAGES_H

#include "RateLimit.h"
#include "pimentofront/Base.h"

#include <string>
#include <vector>

namespace pimentofront {

/// Why a request was not run.
enum class RefusalReason : std::uint8_t {
  None,
  /// The host takes no new work.
  Leaving,
  /// Queue of the host is full.
  QueueFull,
  /// The adapter can't be loaded within the time that the request has.
  LoadBacklog,
  /// The adapter failed to load and is set aside for a while.
  LoadFailed,
  /// The engine or service doesn't answer.
  BackendDown,
  /// The host has no such service or base model.
  NoSuchBackend,
  /// This process isn't certain of its configuration.
  Isolated,
  /// Too many requests of this kind in progress.
  KindLimit,
  /// Too many requests of this caller in progress.
  CallerLimit,
  /// No backend server is known to serve this.
  NoBackend,
  /// The process is stopping.
  Stopping,
  /// Unknown adapter, version, kind or service, or malformed input.
  Invalid,
  /// The claim of a non-idempotent request couldn't be committed.
  NoClaim,
  /// The adapter isn't in a slot there, and the attempt asked only for that.
  NotResident,
  /// It would have to wait longer there than the attempt allows.
  Busy,
  /// The backend server has named a limit to the requests of all entries, which
  /// leaves no room for this one in time.
  RateLimited,
};
constexpr unsigned RefusalReasonCount = 17;

/// \returns whether the request was only asking around: the host could take it,
/// but another one may be better for it.
constexpr bool onlyAskedAround(RefusalReason reason) {
  return reason == RefusalReason::NotResident || reason == RefusalReason::Busy;
}

/// \returns the name of \p reason as logs, metrics and errors show it.
const char *refusalReasonName(RefusalReason reason);

/// \class LoadFigures
/// \ingroup Wire
/// \brief What an agent says of its load with each answer, a hint for routing.
struct LoadFigures {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t BatchCapacity = 0;
  /// How long a load that is asked for now would have to wait.
  Duration LoadWait = Duration::zero();
  /// Popularity of the adapter that would be given up next, in thousandths of
  /// a request; 0 with an empty slot, very much when all slots are in use.
  std::uint32_t VictimValue = 0;
  /// How long the engine is busy with the prompts that it was given.
  Duration PrefillWait = Duration::zero();
  PIMENTOFRONT_FIELDS(LoadFigures, Running, Queued, BatchCapacity, LoadWait,
                      VictimValue, PrefillWait)
};

/// \class PromptPart
/// \ingroup Wire
/// \brief One part of a prompt; requests with the same parts before it share
/// what an engine keeps of it.
struct PromptPart {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
  PIMENTOFRONT_FIELDS(PromptPart, Id, Tokens)
};

/// Stands for the time left of a request that is never late.
constexpr Duration NoTarget = Duration::max();

/// \class ExecuteRequest
/// \ingroup Wire
/// \brief Entry to agent: run this once, or refuse it.
struct ExecuteRequest {
  AttemptId Attempt;
  RequestId Request;
  CallerName Caller;
  KindName Kind;
  std::uint32_t Weight = 1;
  /// What is left of the time in which the answer is useful.
  Duration Remaining = Duration::zero();
  /// Set for generation.
  AdapterKey Key;
  std::string BaseModel;
  /// Where the weight store keeps the version.
  std::string Source;
  std::string Prompt;
  /// Text that the caller already has of an earlier attempt.
  std::string Resumed;
  std::uint32_t MaxTokens = 0;
  /// Set for a plain service; then there is no adapter.
  ServiceName Service;
  std::string Method;
  std::string Payload;
  /// Refuse with `NotResident` rather than load the adapter.
  bool OnlyIfResident = false;
  /// The entry sends the request to the engine itself, once it has a permit:
  /// answers under way then don't depend on the agent.
  bool Delegated = false;
  /// Parts of the prompt in order, for what the engine may have cached.
  std::vector<PromptPart> Parts;
  /// Refuse with `Busy` when its first event would come later: after the wait
  /// for its adapter, the prompts before its own, and its own; zero sets no
  /// limit.
  Duration FirstEventWithin = Duration::zero();
  /// What is left of the time in which its first event counts as on time.
  Duration FirstEventDue = NoTarget;
  /// The process of the engine to which a delegated request will be sent. An
  /// order that the agent gives for its sake is for no other process.
  HostName Server;
  /// When that process started; 0 if it isn't told.
  std::uint64_t ServerStartedAt = 0;
  /// What the entry knows of that process's limit: the agent may have started
  /// since it was named.
  RateLimit Limit;
  /// The same for whether that process is cold.
  ColdStart Cold;
  /// \returns that process.
  ServerProcess server() const { return {Server, ServerStartedAt}; }
  PIMENTOFRONT_FIELDS(ExecuteRequest, Attempt, Request, Caller, Kind, Weight,
                      Remaining, Key, BaseModel, Source, Prompt, Resumed,
                      MaxTokens, Service, Method, Payload, OnlyIfResident,
                      Delegated, Parts, FirstEventWithin, FirstEventDue, Server,
                      ServerStartedAt, Limit, Cold)
};

/// Agent to entry: a place at the engine is yours, send the request now. The
/// adapter is in its slot and stays there until `AttemptReleased`.
struct AttemptPermit {
  AttemptId Attempt;
  LoadFigures Load;
  /// The engine's limit, which other entries may have learned.
  RateLimit Limit;
  /// How long one request's share of the engine's pace takes; zero while it is
  /// neither limited nor cold. A permit that was held up for longer is void:
  /// sends that were permitted over a while must not come all at once.
  Duration Pace = Duration::zero();
  PIMENTOFRONT_FIELDS(AttemptPermit, Attempt, Load, Limit, Pace)
};

/// What became of an attempt that had a permit.
enum class ReleaseKind : std::uint8_t {
  Answered,
  /// Began and broke off, or was never heard of.
  BrokeOff,
  /// The engine said that it did not run it.
  NotRun,
  /// The engine said that it doesn't hold the adapter.
  NotResident,
};

/// Entry to agent: the place is free again.
struct AttemptReleased {
  AttemptId Attempt;
  ReleaseKind Kind = ReleaseKind::Answered;
  /// From its sending to the first event of its answer; zero if unknown.
  Duration FirstEvent = Duration::zero();
  PIMENTOFRONT_FIELDS(AttemptReleased, Attempt, Kind, FirstEvent)
};

/// Entry to agent: the first event of the attempt's answer has come. Tells the
/// agent at once how late its engine is; the end of the answer may be far.
struct AttemptBegan {
  AttemptId Attempt;
  /// From its sending to the first event.
  Duration FirstEvent = Duration::zero();
  PIMENTOFRONT_FIELDS(AttemptBegan, Attempt, FirstEvent)
};

/// \class EngineProfile
/// \ingroup Wire
/// \brief Entry to agent: what the routing document says of its engine. The
/// agent follows the highest revision.
struct EngineProfile {
  std::uint64_t At = 0;
  /// Base model that the engine has to hold.
  std::string BaseModel;
  std::uint32_t AdapterSlots = 0;
  std::uint32_t BatchCapacity = 0;
  /// Tokens of prompts and answers that it keeps.
  std::uint64_t CacheTokens = 0;
  /// How it is cold from its start on.
  ColdStart Cold;
  PIMENTOFRONT_FIELDS(EngineProfile, At, BaseModel, AdapterSlots, BatchCapacity,
                      CacheTokens, Cold)
};

/// Entry to agent: nobody wants this answer any more.
struct CancelAttempt {
  AttemptId Attempt;
  PIMENTOFRONT_FIELDS(CancelAttempt, Attempt)
};

/// Agent to entry: the attempt is queued or running.
struct AttemptAdmitted {
  AttemptId Attempt;
  LoadFigures Load;
  PIMENTOFRONT_FIELDS(AttemptAdmitted, Attempt, Load)
};

/// Agent to entry: the attempt did not run and never will.
struct AttemptRefused {
  AttemptId Attempt;
  RefusalReason Reason = RefusalReason::None;
  /// When it is worth while to come back. Of one that asked around: how long
  /// its first event would take.
  Duration ComeBack = Duration::zero();
  LoadFigures Load;
  /// The adapter is there, or on its way.
  bool Holds = false;
  PIMENTOFRONT_FIELDS(AttemptRefused, Attempt, Reason, ComeBack, Load, Holds)
};

/// Agent to entry: a piece of the answer.
struct AttemptChunk {
  AttemptId Attempt;
  /// Tokens of this attempt that came before.
  std::uint64_t Position = 0;
  std::uint32_t Tokens = 0;
  std::string Text;
  PIMENTOFRONT_FIELDS(AttemptChunk, Attempt, Position, Tokens, Text)
};

/// How an attempt that was started ended.
enum class AttemptEnding : std::uint8_t {
  Answered,
  /// Began and broke off: it may have had effects.
  BrokeOff,
  Cancelled,
};

/// Agent to entry: the attempt has ended.
struct AttemptFinished {
  AttemptId Attempt;
  AttemptEnding Ending = AttemptEnding::Answered;
  /// Answer of a plain service, or what went wrong.
  std::string Payload;
  /// All tokens of this attempt: the entry checks that it has the whole.
  std::uint64_t Tokens = 0;
  /// Time that it waited for its adapter.
  Duration LoadStall = Duration::zero();
  LoadFigures Load;
  PIMENTOFRONT_FIELDS(AttemptFinished, Attempt, Ending, Payload, Tokens,
                      LoadStall, Load)
};

/// Agent to all its entries: no new work, what runs will be finished.
struct AgentLeaving {
  HostName Host;
  std::uint64_t Incarnation = 0;
  PIMENTOFRONT_FIELDS(AgentLeaving, Host, Incarnation)
};

} // namespace pimentofront

#endif
