#ifndef PIMENTOFRONT_SERVING_AGENT_CONTROLLER_H
#define PIMENTOFRONT_SERVING_AGENT_CONTROLLER_H

#include "DispatchController.h"
#include "LoadController.h"

namespace pimentofront {

/// \class AgentController
/// \ingroup Serving
/// \brief Makes all decisions of the agent, the process beside a backend
/// server. The node reports events to it and carries out the commands that it
/// leaves.
///
/// Use it wherever one process has sole authority over an engine's slots. It
/// doesn't support two processes that manage the same engine.
class AgentController {
public:
  /// \param eviction and \p gate must outlive the controller.
  AgentController(const AgentOptions &options, const EvictionPolicy &eviction,
                  LoadGate &gate);

  void onExecute(TimePoint now, EntryLink entry, const ExecuteRequest &request);
  void onCancel(TimePoint now, const AttemptId &attempt);
  /// The link to an entry has ended: cancels the entry's work, except calls of
  /// plain services.
  void onEntryDisconnected(TimePoint now, EntryLink entry);

  /// The engine produced a part of an answer.
  void onTokens(TimePoint now, const AttemptId &attempt, std::uint32_t tokens,
                std::string text);
  /// The engine or service has ended its work on an attempt.
  void onWorkEnded(TimePoint now, const AttemptId &attempt,
                   AttemptEnding ending, std::string payload);
  /// The engine or service rejected an attempt before it began.
  void onWorkNotStarted(TimePoint now, const AttemptId &attempt);
  /// A message of an entry was received, which shows that the entry is running.
  void onReceived(TimePoint now, EntryLink entry) {
    Board.LastMessageAt[entry] = now;
  }
  /// The engine has begun to answer a delegated request.
  void onBegan(TimePoint now, const AttemptBegan &message);
  /// An entry reports the end of an attempt that it sent to the engine itself.
  void onReleased(TimePoint now, const AttemptReleased &message);
  /// \returns the engine's rate limit, to pass it on to entries that may not
  /// know it.
  RateLimit rateLimit(TimePoint now) const { return Board.Pacer.limit(now); }
  /// \returns the interval between two requests at the engine's present rate;
  /// zero while it is neither limited nor cold.
  Duration requestInterval(TimePoint now) const {
    return Board.Pacer.interval(now);
  }
  /// The entries report that another process of the engine runs now.
  void onProcessChanged() { Board.Pacer.reset(); }
  /// An entry reports the engine's rate limit as an answer named it.
  void onRateLimitReport(TimePoint now, const RateLimitReport &message);
  /// The engine states that work takes \p percent of the usual time; 0 if it
  /// doesn't state it.
  void onSlowness(TimePoint now, std::uint32_t percent);
  /// The configuration names the engine's number of adapter slots, its batch
  /// capacity, its cache size and its cold start.
  void onProfile(TimePoint now, const EngineProfile &profile);
  /// Updates the resident adapters while the engine is in use.
  void onResident(TimePoint now, const std::vector<AdapterKey> &resident);
  /// Updates the weights that the engine has loaded for its base model
  /// \p model and the adapters.
  void onWeights(std::string model, const EngineReport &report);
  /// \returns the weights with which the engine would run a request for
  /// \p key now; unknown if it doesn't have the adapter.
  WeightsVersion weightsOf(const AdapterKey &key) const {
    return Board.weightsOf(key);
  }
  /// \returns the current load, which is sent to entries.
  AgentLoad currentLoad(TimePoint now) const {
    return Admission.currentLoad(now);
  }
  void onLoadEnded(TimePoint now, const AdapterKey &key, bool succeeded,
                   Duration took);
  /// The engine answers; \p resident are the adapters it holds, \p idle says
  /// whether it runs nothing. Call this repeatedly until the engine is in use:
  /// an agent that starts beside a running engine knows neither the engine's
  /// requests nor the orders in flight to it, and waits until they have ended.
  void onEngineFound(TimePoint now, const std::vector<AdapterKey> &resident,
                     bool idle);
  /// The engine is gone or was restarted: its slots are empty.
  void onEngineLost(TimePoint now);

  void onTicket(TimePoint now, const LoadTicket &ticket);
  void onLoadQueueStatus(TimePoint now, const LoadQueueStatus &status);
  void onMembers(std::uint32_t members);

  /// Admits no new work from now on. Waiting requests are refused, running ones
  /// are finished.
  void leave(TimePoint now);
  /// \returns whether nothing runs or waits.
  bool idle() const { return Board.Running.empty() && Board.WaitingCount == 0; }
  /// Handles expired time limits. Call it at intervals of a few milliseconds to
  /// a few seconds.
  void tick(TimePoint now);

  std::vector<AgentCommand> takeCommands();
  /// \returns the decisions since the last call, for logs and metrics.
  std::vector<AgentEvent> takeEvents();
  const AgentBoard &board() const { return Board; }

private:
  void applyRateLimit(TimePoint now, const RateLimit &limit);
  void applyColdStart(TimePoint now, const ColdStart &cold);
  /// Applies the cold-start limits of the profile to an engine that started
  /// while this agent ran, since no entry may have reported yet that it is
  /// cold.
  void applyProfileColdStart(TimePoint now);
  /// Releases the slots of delegated requests that must have ended by now.
  void releaseOverdue(TimePoint now);
  void decide(TimePoint now);
  void endAttempt(TimePoint now, const AttemptId &attempt,
                  const RunningAttempt &running);
  void abortRunning(TimePoint now, bool services);
  void recordServiceTime(Duration took);

  AgentBoard Board;
  LoadGate &Gate;
  AdmissionController Admission;
  DispatchController Dispatch;
  LoadController Loads;
};

} // namespace pimentofront

#endif
