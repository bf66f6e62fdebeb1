#ifndef PIMENTOFRONT_SERVING_AGENT_BOARD_H
#define PIMENTOFRONT_SERVING_AGENT_BOARD_H

#include "EvictionPolicy.h"
#include "LoadTimeModel.h"
#include "PrefillModel.h"
#include "RequestPacer.h"

#include <deque>
#include <map>
#include <set>

namespace pimentofront {

/// Names the link to an entry, as the shell numbers them.
using EntryLink = std::uint64_t;

/// \class AgentOptions
/// \ingroup Serving
/// \brief The knobs of an agent. docs/OPERATORS.md says what each does.
struct AgentOptions {
  HostName Host;
  std::uint64_t Incarnation = 0;
  std::string BaseModel;
  std::vector<ServiceName> Services;
  /// Adapter slots of the engine.
  std::uint32_t Slots = 4;
  /// Requests that the engine runs in one step.
  std::uint32_t BatchCapacity = 16;
  /// Requests that may wait here, over all adapters.
  std::uint32_t QueueLimit = 256;
  /// Calls of plain services in progress at one time.
  std::uint32_t ServiceLimit = 64;
  PopularityOptions Popularity;
  /// What a load from the weight store takes, until one has been measured.
  Duration LoadTime = std::chrono::milliseconds(250);
  /// What serving a request takes, until some have been measured.
  Duration ServiceTime = std::chrono::seconds(2);
  /// An attempt that asks only for what is resident is sent on when it would
  /// queue longer than this: time for another copy.
  Duration SpillDelay = std::chrono::milliseconds(500);
  /// Refuses a request at once when its load can't come in time.
  bool RefusesEarly = true;
  /// Part of its time that a request may spend waiting for its adapter; when it
  /// would be more, it is refused. A shorter queue of loads ends as many waits
  /// each second as a long one.
  double StallShare = 0.4;
  /// What a late answer is worth beside one on time, when loads are chosen.
  double LateWorth = 0.4;
  /// Part of its time that a request may wait for company when the engine is
  /// idle: steps that are shared cost little more than steps for one.
  double CompanyShare = 0.05;
  /// The longest that it may wait so, whatever its share: a first token has to
  /// come within about a second.
  Duration CompanyLimit = std::chrono::milliseconds(400);
  /// Requests that are company enough.
  std::uint32_t CompanyWanted = 4;
  /// An engine that was found running must be idle for so long, so that
  /// requests and loads of an earlier agent process have ended.
  Duration EngineSettleTime = std::chrono::seconds(2);
  /// A delegated request whose entry hasn't said that it ended is taken for
  /// ended so long after its deadline: the word may have been lost with the
  /// link, and its slot would stay in use.
  Duration ReleaseSlack = std::chrono::seconds(1);
  /// First and longest pause after failed loads of one adapter.
  Duration FailedLoadPause = std::chrono::seconds(2);
  Duration FailedLoadPauseMax = std::chrono::minutes(2);
};

/// \class WaitingAttempt
/// \ingroup Serving
/// \brief An admitted attempt that isn't running yet.
struct WaitingAttempt {
  ExecuteRequest Request;
  EntryLink Entry = 0;
  TimePoint ArrivedAt;
  /// After this the answer is useless.
  TimePoint Deadline;
  /// After this the first event is late; none without a target.
  std::optional<TimePoint> OnTimeUntil;
  /// Time that it waited for its adapter, when that is over.
  Duration LoadStall = Duration::zero();
  bool NeededLoad = false;
};

/// \returns when \p attempt will have waited for its adapter as long as it may.
inline TimePoint stallLimit(const WaitingAttempt &attempt, double stallShare) {
  const Duration time = attempt.Deadline - attempt.ArrivedAt;
  return attempt.ArrivedAt + fromSeconds(toSeconds(time) * stallShare);
}

/// \class RunningAttempt
/// \ingroup Serving
/// \brief An attempt that the engine or a plain service works on.
struct RunningAttempt {
  EntryLink Entry = 0;
  AdapterKey Key;
  bool IsService = false;
  /// Its entry sent it to the engine, and says when it has ended.
  bool Delegated = false;
  TimePoint StartedAt;
  TimePoint Deadline;
  /// When its first event was expected, and when it came, as far as its entry
  /// has said.
  TimePoint ExpectedAt;
  std::optional<TimePoint> BegunAt;
  std::uint64_t Tokens = 0;
  Duration LoadStall = Duration::zero();
  /// Tokens of its prompt that the engine had to read.
  std::uint32_t PromptTokens = 0;
  /// The engine had no other prompt to read when it began.
  bool ReadAlone = false;
};

/// \class FailedLoads
/// \ingroup Serving
/// \brief An adapter that failed to load is set aside for a while, so that it
/// doesn't take its neighbours' loads.
struct FailedLoads {
  std::uint32_t InSequence = 0;
  TimePoint Until;
};

/// Tells an entry something.
struct SendToEntry {
  EntryLink Entry = 0;
  Message Content;
};
/// Tells the load scheduler something.
struct SendToScheduler {
  Message Content;
};
/// Has the engine run a request.
struct StartGeneration {
  ExecuteRequest Request;
};
/// Has a plain service called, once.
struct StartServiceCall {
  ExecuteRequest Request;
};
/// Stops what the engine or service does for an attempt.
struct CancelWork {
  AttemptId Attempt;
};
/// Has the engine give up one adapter, if set, and load another.
struct StartLoad {
  AdapterKey Key;
  std::string Source;
  std::optional<AdapterKey> Victim;
};
using AgentCommand = std::variant<SendToEntry, SendToScheduler, StartGeneration,
                                  StartServiceCall, CancelWork, StartLoad>;

/// \class AgentBoard
/// \ingroup Serving
/// \brief What the controllers of an agent know in common.
struct AgentBoard {
  AgentBoard(const AgentOptions &options, const EvictionPolicy &eviction)
      : Options(options), Eviction(eviction), Slots(options.Slots),
        BatchCapacity(options.BatchCapacity), Popularity(options.Popularity),
        Jitter(options.Incarnation), LoadTimes({.Store = options.LoadTime}),
        ServiceTime(options.ServiceTime) {}

  const AgentOptions Options;
  const EvictionPolicy &Eviction;
  SlotTable Slots;
  /// Requests that the engine runs in one step, as far as is known now.
  std::uint32_t BatchCapacity;
  PopularityTable Popularity;
  PrefillModel Prefill;
  Random Jitter;

  /// Admitted and not running, by adapter, in order of arrival.
  std::map<AdapterKey, std::deque<WaitingAttempt>> Waiting;
  std::size_t WaitingCount = 0;
  std::unordered_map<AttemptId, RunningAttempt> Running;
  /// When each entry said something last.
  std::unordered_map<EntryLink, TimePoint> HeardOf;
  std::uint32_t RunningServices = 0;
  std::unordered_map<AdapterKey, FailedLoads> SetAside;

  LoadTimeModel LoadTimes;
  /// What a request took here, smoothed.
  Duration ServiceTime;
  /// Last word of the load scheduler on its queue, and when it came.
  Duration LoadBacklog = Duration::zero();
  TimePoint LoadBacklogAt;
  /// Of the engine's process, while it names a limit or is cold.
  RequestPacer Pacer;
  /// How engines of its service are cold from their start on.
  ColdStart Cold;
  /// When the engine was found that started beside this agent.
  std::optional<TimePoint> EngineStartedAt;

  /// Takes no new work.
  bool Leaving = false;
  /// The engine answers and what it holds is known.
  bool EngineReady = false;
  /// Since when the engine has been idle, before this agent uses it.
  std::optional<TimePoint> EngineIdleSince;
  /// This agent has used the engine's process before, or saw it start: no order
  /// of an earlier agent can be under way.
  bool EngineIsOurs = false;
  /// Orders to load that the engine hasn't answered, also such as were sent to
  /// an engine that has started anew since.
  std::uint32_t LoadsUnderWay = 0;

  std::vector<AgentCommand> Commands;

  std::uint32_t runningOnEngine() const {
    return static_cast<std::uint32_t>(Running.size()) - RunningServices;
  }
};

} // namespace pimentofront

#endif
