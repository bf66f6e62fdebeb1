#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

std::vector<Demand> LoadController::demands(TimePoint now) const {
  std::vector<Demand> result;
  for (const auto &[key, queue] : Board.Waiting) {
    if (Board.Slots.isReady(key) || Board.Slots.isLoading(key))
      continue;
    // A new version goes into the slot of the previous one, once that one
    // serves no request.
    const Slot *previous = Board.Slots.otherVersion(key);
    if (previous && !mayEvict(*previous, Board.Waiting))
      continue;
    Demand demand{.Key = key, .Slack = Duration::max()};
    for (const WaitingAttempt &it : queue)
      addToDemand(now, it, demand);
    result.push_back(demand);
  }
  return result;
}

void LoadController::addToDemand(TimePoint now, const WaitingAttempt &attempt,
                                 Demand &demand) const {
  const std::uint32_t weight = std::max(attempt.Request.Weight, 1U);
  const Duration prefillTime = Board.Prefill.prefillTime(
      Board.promptOwner(attempt.Request.Key), attempt.Request.Parts);
  const TimePoint firstEvent =
      now + Board.LoadTimes.expected(attempt.Request.Key) + prefillTime;
  const bool hasTarget = attempt.OnTimeUntil.has_value();
  const bool onTime = !hasTarget || firstEvent <= *attempt.OnTimeUntil;
  const TimePoint limit = hasTarget && onTime
                              ? *attempt.OnTimeUntil
                              : stallLimit(attempt, Board.Options.StallShare);
  demand.Weight += weight;
  demand.Utility += onTime ? weight : Board.Options.LateUtility * weight;
  demand.Slack = std::min(demand.Slack, limit - now);
}

LoadController::SlotChoice LoadController::findSlot(TimePoint now) const {
  if (Board.Slots.hasEmpty())
    return {.Found = true};
  SlotChoice choice;
  double lowestUtility = 0;
  for (const Slot &it : Board.Slots.all()) {
    if (!mayEvict(it, Board.Waiting))
      continue;
    const double utility = Board.Eviction.utilityOf(now, it, Board.Popularity);
    if (choice.Found && utility >= lowestUtility)
      continue;
    lowestUtility = utility;
    choice = {.Found = true, .Victim = it.Key};
  }
  return choice;
}

void LoadController::run(TimePoint now) {
  if (!Board.EngineReady)
    return;
  while (true) {
    const SlotChoice choice = findSlot(now);
    // Without a free or evictable slot no load could begin, so none is
    // requested.
    const std::vector<Demand> loadable =
        choice.Found ? demands(now) : std::vector<Demand>();
    const std::optional<AdapterKey> key = Gate.next(now, Board, loadable);
    if (!key)
      return;
    startLoad(*key, choice.Victim);
  }
}

void LoadController::startLoad(const AdapterKey &key,
                               std::optional<AdapterKey> victim) {
  if (const Slot *previous = Board.Slots.otherVersion(key))
    victim = previous->Key;
  Board.Slots.beginLoad(key, victim);
  const std::string source = Board.Waiting.at(key).front().Request.Source;
  Board.Commands.push_back(StartLoad{key, source, victim});
  ++Board.LoadsInFlight;
}

void LoadController::onLoadEnded(TimePoint now, const AdapterKey &key,
                                 bool succeeded, Duration took) {
  --Board.LoadsInFlight;
  if (!Board.Slots.isLoading(key)) {
    // The engine exited during the load, which says nothing about the adapter.
    // The order may have reached the new engine process, so the adapters that
    // this one holds have to be queried again.
    Board.EngineIdleSince.reset();
    return;
  }
  Board.Slots.finishLoad(now, key, succeeded);
  Gate.onLoadEnded(now, Board, key, took);
  if (!succeeded)
    return onLoadFailed(now, key);
  Board.LoadTimes.onLoaded(key, took);
  Board.LoadBackoffs.erase(key);
  recordLoadStalls(now, key);
}

void LoadController::recordLoadStalls(TimePoint now, const AdapterKey &key) {
  const auto it = Board.Waiting.find(key);
  if (it == Board.Waiting.end())
    return;
  for (WaitingAttempt &attempt : it->second)
    if (attempt.NeededLoad)
      attempt.LoadStall = now - attempt.ArrivedAt;
}

void LoadController::onLoadFailed(TimePoint now, const AdapterKey &key) {
  LoadBackoff &backoff = Board.LoadBackoffs[key];
  Duration delay = Board.Options.InitialLoadBackoff;
  for (std::uint32_t i = 0; i < backoff.ConsecutiveFailures; ++i)
    delay = std::min(2 * delay, Board.Options.MaxLoadBackoff);
  ++backoff.ConsecutiveFailures;
  backoff.Until = now + Board.Jitter.jitter(delay);
  Admission.refuseWaiting(now, key, RefusalReason::LoadFailed,
                          backoff.Until - now);
}

} // namespace pimentofront
