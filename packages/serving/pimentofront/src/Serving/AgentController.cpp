#include "pimentofront/Serving.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {

AgentController::AgentController(const AgentOptions &options,
                                 const EvictionPolicy &eviction, LoadGate &gate)
    : Board(options, eviction), Gate(gate), Admission(Board), Dispatch(Board),
      Loads(Board, gate, Admission) {
  assert(options.BatchCapacity > 0 && "the batch capacity must be at least 1");
}

void AgentController::decide(TimePoint now) {
  Dispatch.run(now);
  Loads.run(now);
}

void AgentController::onExecute(TimePoint now, EntryLink entry,
                                const ExecuteRequest &request) {
  if (request.Limit.Named)
    applyRateLimit(now, request.Limit);
  applyColdStart(now, request.Cold);
  Admission.onExecute(now, entry, request);
  decide(now);
}

void AgentController::onCancel(TimePoint now, const AttemptId &attempt) {
  if (Admission.removeWaiting(attempt))
    return decide(now);
  // The slot stays pinned until the engine reports that it has stopped.
  if (Board.Running.contains(attempt))
    Board.Commands.push_back(CancelWork{attempt});
}

void AgentController::onEntryDisconnected(TimePoint now, EntryLink entry) {
  Board.LastMessageAt.erase(entry);
  std::vector<AttemptId> waiting;
  for (const auto &[key, queue] : Board.Waiting)
    for (const WaitingAttempt &it : queue)
      if (it.Entry == entry)
        waiting.push_back(it.Request.Attempt);
  for (const AttemptId &it : waiting)
    Admission.removeWaiting(it);
  for (const auto &[attempt, running] : Board.Running)
    // Calls of plain services may be non-idempotent and run to their end: a
    // call that stops halfway is of no use.
    if (running.Entry == entry && !running.IsService)
      Board.Commands.push_back(CancelWork{attempt});
  decide(now);
}

void AgentController::onTokens(TimePoint, const AttemptId &attempt,
                               std::uint32_t tokens, std::string text) {
  const auto it = Board.Running.find(attempt);
  if (it == Board.Running.end())
    return;
  RunningAttempt &running = it->second;
  Board.Commands.push_back(
      SendToEntry{running.Entry, AttemptChunk{.Attempt = attempt,
                                              .Position = running.Tokens,
                                              .Tokens = tokens,
                                              .Text = std::move(text)}});
  running.Tokens += tokens;
}

void AgentController::endAttempt(TimePoint now, const AttemptId &attempt,
                                 const RunningAttempt &running) {
  if (running.IsService)
    --Board.RunningServices;
  else
    Board.Slots.unpin(now, running.Key);
  Board.Running.erase(attempt);
}

void AgentController::onWorkEnded(TimePoint now, const AttemptId &attempt,
                                  AttemptEnding ending, std::string payload) {
  const auto it = Board.Running.find(attempt);
  if (it == Board.Running.end())
    return;
  const RunningAttempt running = it->second;
  endAttempt(now, attempt, running);
  if (!running.IsService && ending == AttemptEnding::Answered)
    recordServiceTime(now - running.StartedAt);
  Board.Commands.push_back(
      SendToEntry{running.Entry, AttemptFinished{
                                     .Attempt = attempt,
                                     .Ending = ending,
                                     .Payload = std::move(payload),
                                     .Tokens = running.Tokens,
                                     .LoadStall = running.LoadStall,
                                     .Load = Admission.currentLoad(now),
                                 }});
  decide(now);
}

void AgentController::onBegan(TimePoint now, const AttemptBegan &message) {
  const auto it = Board.Running.find(message.Attempt);
  if (it == Board.Running.end() || it->second.BegunAt)
    return;
  it->second.BegunAt = now;
  onSlowness(now, message.Slowness);
  if (it->second.PrefilledAlone)
    Board.Prefill.learn(it->second.PromptTokens, message.FirstEvent);
}

void AgentController::onRateLimitReport(TimePoint now,
                                        const RateLimitReport &message) {
  // Accept a limit only from the engine's current process.
  if (!Board.Running.contains(message.Attempt))
    return;
  applyRateLimit(now, message.Limit);
  decide(now);
}

void AgentController::applyRateLimit(TimePoint now, const RateLimit &limit) {
  if (Board.Pacer.apply(now, limit))
    Admission.refuseInfeasible(now);
}

void AgentController::applyColdStart(TimePoint now, const ColdStart &cold) {
  if (Board.Pacer.applyCold(now, cold))
    Admission.refuseInfeasible(now);
}

void AgentController::applyProfileColdStart(TimePoint now) {
  if (!Board.EngineStartedAt)
    return;
  ColdStart cold = Board.Cold;
  cold.Remaining -= now - *Board.EngineStartedAt;
  applyColdStart(now, cold);
}

void AgentController::onReleased(TimePoint now,
                                 const AttemptReleased &message) {
  const auto it = Board.Running.find(message.Attempt);
  if (it == Board.Running.end()) {
    Admission.removeWaiting(message.Attempt);
    return decide(now);
  }
  const RunningAttempt running = it->second;
  if (message.Kind == ReleaseKind::Answered)
    recordServiceTime(now - running.StartedAt);
  if (running.PrefilledAlone && !running.BegunAt)
    Board.Prefill.learn(running.PromptTokens, message.FirstEvent);
  endAttempt(now, message.Attempt, running);
  decide(now);
}

void AgentController::onSlowness(TimePoint now, std::uint32_t percent) {
  const bool wasSlow = Board.Slowness.isSlow(now);
  Board.Slowness.record(now, percent);
  if (wasSlow && !Board.Slowness.isSlow(now))
    decide(now);
}

void AgentController::recordServiceTime(Duration took) {
  constexpr int SmoothingShare = 16;
  Board.ServiceTime += (took - Board.ServiceTime) / SmoothingShare;
}

void AgentController::onProfile(TimePoint now, const EngineProfile &profile) {
  Board.Slots.resize(profile.AdapterSlots);
  Board.BatchCapacity = std::max(profile.BatchCapacity, 1U);
  Board.Prefill.setCacheTokens(profile.CacheTokens);
  Board.Cold = profile.Cold;
  applyProfileColdStart(now);
  decide(now);
}

void AgentController::onResident(TimePoint now,
                                 const std::vector<AdapterKey> &resident) {
  if (!Board.EngineReady)
    return;
  Board.Slots.reconcile(now, resident);
  decide(now);
}

void AgentController::onWeights(std::string model, const EngineReport &report) {
  Board.BaseModel = std::move(model);
  Board.Report = report;
}

void AgentController::onWorkNotStarted(TimePoint now,
                                       const AttemptId &attempt) {
  const auto it = Board.Running.find(attempt);
  if (it == Board.Running.end())
    return;
  const RunningAttempt running = it->second;
  endAttempt(now, attempt, running);
  Board.Commands.push_back(
      SendToEntry{running.Entry, AttemptRefused{
                                     .Attempt = attempt,
                                     .Reason = RefusalReason::BackendDown,
                                     .RetryAfter = Board.LoadTimes.fromStore(),
                                     .Load = Admission.currentLoad(now),
                                 }});
  decide(now);
}

void AgentController::onLoadEnded(TimePoint now, const AdapterKey &key,
                                  bool succeeded, Duration took) {
  Loads.onLoadEnded(now, key, succeeded, took);
  decide(now);
}

void AgentController::onEngineFound(TimePoint now,
                                    const std::vector<AdapterKey> &resident,
                                    bool idle) {
  if (Board.EngineReady)
    return;
  if (!idle || Board.LoadsInFlight > 0) {
    Board.EngineIdleSince.reset();
    return;
  }
  if (!Board.EngineIdleSince) {
    // The resident adapters may have been read before the engine became idle.
    Board.EngineIdleSince = now;
    return;
  }
  const Duration settleTime = Board.OwnsEngineProcess
                                  ? Duration::zero()
                                  : Board.Options.EngineSettleTime;
  if (now < *Board.EngineIdleSince + settleTime)
    return;
  Board.Slots.adopt(now, resident);
  for (const AdapterKey &it : resident)
    Board.LoadTimes.onHeld(it);
  if (Board.OwnsEngineProcess) {
    Board.EngineStartedAt = now;
    applyProfileColdStart(now);
  }
  Board.EngineReady = true;
  Board.OwnsEngineProcess = true;
  Gate.onEngineReady(now);
  decide(now);
}

void AgentController::abortRunning(TimePoint now, bool services) {
  std::vector<AttemptId> attempts;
  for (const auto &[attempt, running] : Board.Running)
    if (running.IsService == services)
      attempts.push_back(attempt);
  for (const AttemptId &it : attempts)
    onWorkEnded(now, it, AttemptEnding::BrokeOff, "the engine went away");
}

void AgentController::onEngineLost(TimePoint now) {
  Board.EngineIdleSince.reset();
  // The next engine process starts while this agent runs, so no earlier agent
  // process has sent it orders.
  Board.OwnsEngineProcess = true;
  if (!Board.EngineReady)
    return;
  Board.EngineReady = false;
  Board.Report = EngineReport();
  Board.Pacer.reset();
  Board.Prefill.clear(now);
  Board.Slowness.clear();
  Board.LoadTimes.clear();
  abortRunning(now, /*services=*/false);
  for (const Slot &it : std::vector<Slot>(Board.Slots.all()))
    if (it.State == SlotState::Loading)
      Gate.onLoadEnded(now, Board, it.Key, Duration::zero());
  Board.Slots.clear();
  Admission.refuseAllWaiting(now, RefusalReason::BackendDown,
                             Board.LoadTimes.fromStore());
  decide(now);
}

void AgentController::onTicket(TimePoint now, const LoadTicket &ticket) {
  Gate.onTicket(now, Board, ticket);
  decide(now);
}

void AgentController::onLoadQueueStatus(TimePoint now,
                                        const LoadQueueStatus &status) {
  Gate.onStatus(now, Board, status);
  if (Board.Slots.isReady(status.Key) || Board.Slots.isLoading(status.Key))
    return;
  Admission.onLoadWait(now, status.Key,
                       status.Backlog + Board.LoadTimes.expected(status.Key));
  decide(now);
}

void AgentController::onMembers(std::uint32_t members) {
  Gate.onMembers(members);
}

void AgentController::leave(TimePoint now) {
  Board.Leaving = true;
  Admission.refuseAllWaiting(now, RefusalReason::Leaving, Duration::zero());
  decide(now);
}

void AgentController::releaseOverdue(TimePoint now) {
  std::vector<AttemptId> overdue;
  for (const auto &[attempt, it] : Board.Running)
    if (it.Delegated && now >= it.Deadline + Board.Options.ReleaseSlack)
      overdue.push_back(attempt);
  for (const AttemptId &it : overdue)
    onReleased(now, {.Attempt = it, .Kind = ReleaseKind::BrokeOff});
}

void AgentController::tick(TimePoint now) {
  Admission.refuseInfeasible(now);
  releaseOverdue(now);
  std::erase_if(Board.LoadBackoffs, [&](const auto &it) {
    constexpr Duration RetentionPeriod = std::chrono::minutes(10);
    return it.second.Until + RetentionPeriod < now;
  });
  decide(now);
}

std::vector<AgentEvent> AgentController::takeEvents() {
  return std::exchange(Board.Events, {});
}

std::vector<AgentCommand> AgentController::takeCommands() {
  return std::exchange(Board.Commands, {});
}

} // namespace pimentofront
