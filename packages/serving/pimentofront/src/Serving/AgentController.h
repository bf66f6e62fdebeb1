#ifndef PIMENTOFRONT_SERVING_AGENT_CONTROLLER_H
#define PIMENTOFRONT_SERVING_AGENT_CONTROLLER_H

#include "DispatchController.h"
#include "LoadController.h"

namespace pimentofront {

/// \class AgentController
/// \ingroup Serving
/// \brief All decisions of the process beside a backend server. The shell
/// tells it what happened and carries out the commands it leaves.
///
/// Use it wherever one process has sole authority over an engine's slots. It
/// isn't for sharing an engine between two masters.
class AgentController {
public:
  /// \param eviction and \p gate outlive the controller.
  AgentController(const AgentOptions &options, const EvictionPolicy &eviction,
                  LoadGate &gate);

  void onExecute(TimePoint now, EntryLink entry, const ExecuteRequest &request);
  void onCancel(TimePoint now, const AttemptId &attempt);
  /// The link to an entry has ended: its work is cancelled.
  void onEntryGone(TimePoint now, EntryLink entry);

  /// A piece of an answer came from the engine.
  void onTokens(TimePoint now, const AttemptId &attempt, std::uint32_t tokens,
                std::string text);
  /// The engine or service is done with an attempt.
  void onWorkEnded(TimePoint now, const AttemptId &attempt,
                   AttemptEnding ending, std::string payload);
  /// The engine or service turned an attempt down before it began.
  void onWorkNotStarted(TimePoint now, const AttemptId &attempt);
  /// An entry that sent an attempt to the engine itself is done with it.
  /// The entry lives.
  void onHeard(TimePoint now, EntryLink entry) { Board.HeardOf[entry] = now; }
  /// The engine has begun to answer a delegated request.
  void onBegan(TimePoint now, const AttemptBegan &message);
  void onReleased(TimePoint now, const AttemptReleased &message);
  /// \returns the engine's limit, for those who haven't learned of it.
  RateLimit rateLimit(TimePoint now) const { return Board.Pacer.limit(now); }
  /// \returns how long one request's share of the engine's pace takes; zero
  /// while it is neither limited nor cold.
  Duration pace(TimePoint now) const { return Board.Pacer.interval(now); }
  /// The entries name another process of the engine.
  void onProcessChanged() { Board.Pacer.reset(); }
  /// An entry has learned what its answer said of the engine's limit.
  void onRateLimitSeen(TimePoint now, const RateLimitSeen &message);
  /// The configuration says how many adapters the engine may hold, and how many
  /// requests it runs in one step.
  void onProfile(TimePoint now, const EngineProfile &profile);
  /// What the engine holds, told again while it is in use.
  void onResident(TimePoint now, const std::vector<AdapterKey> &resident);
  /// \returns the load as entries are told it.
  LoadFigures figures(TimePoint now) const { return Admission.figures(now); }
  void onLoadEnded(TimePoint now, const AdapterKey &key, bool succeeded,
                   Duration took);
  /// The engine answers; \p resident is what it holds, \p idle says that it
  /// runs nothing. To be called again and again until the engine is in use: an
  /// agent that starts beside a running engine knows neither its requests nor
  /// the orders that are on their way to it, and waits them out.
  void onEngineFound(TimePoint now, const std::vector<AdapterKey> &resident,
                     bool idle);
  /// The engine is gone or has started anew: its slots are empty.
  void onEngineLost(TimePoint now);

  void onTicket(TimePoint now, const LoadTicket &ticket);
  void onLoadQueueStatus(TimePoint now, const LoadQueueStatus &status);
  void onMembers(std::uint32_t members);

  /// From now on no new work; what waits is refused, what runs is finished.
  void leave(TimePoint now);
  /// \returns whether nothing runs or waits.
  bool idle() const { return Board.Running.empty() && Board.WaitingCount == 0; }
  /// Looks at time limits; to be called every few milliseconds to seconds.
  void tick(TimePoint now);

  std::vector<AgentCommand> takeCommands();
  const AgentBoard &board() const { return Board; }

private:
  void applyRateLimit(TimePoint now, const RateLimit &limit);
  void applyColdStart(TimePoint now, const ColdStart &cold);
  /// The engine has started beside this agent, and nobody may have said yet
  /// that it is cold.
  void presumeCold(TimePoint now);
  /// Gives up the slots of delegated requests that must have ended by now.
  void releaseOverdue(TimePoint now);
  void decide(TimePoint now);
  void endAttempt(TimePoint now, const AttemptId &attempt,
                  const RunningAttempt &running);
  void breakOff(TimePoint now, bool services);
  void noteServiceTime(Duration took);

  AgentBoard Board;
  LoadGate &Gate;
  AdmissionController Admission;
  DispatchController Dispatch;
  LoadController Loads;
};

} // namespace pimentofront

#endif
