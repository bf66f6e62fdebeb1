#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

namespace {

std::unique_ptr<RequestOrder> makeOrder(OrderPolicy policy,
                                        const AccountShares &accounts) {
  switch (policy) {
  case OrderPolicy::Kind:
    return std::make_unique<StrideOrder>();
  case OrderPolicy::Tokens:
    return std::make_unique<TokenOrder>(accounts);
  case OrderPolicy::Urgency:
    break;
  }
  return std::make_unique<UrgencyOrder>(accounts);
}

} // namespace

DispatchController::DispatchController(AgentBoard &board)
    : Board(board), ByDemand(makeOrder(board.Options.Order, board.Accounts)) {}

std::vector<OrderCandidate>
DispatchController::candidates(TimePoint now) const {
  std::vector<const AdapterKey *> ready;
  for (const auto &[key, queue] : Board.Waiting) {
    if (!key.Adapter.empty())
      break;
    ready.push_back(&key);
  }
  for (const Slot &it : Board.Slots.all())
    if (it.State == SlotState::Ready)
      ready.push_back(&it.Key);
  std::ranges::sort(ready,
                    [](const auto *a, const auto *b) { return *a < *b; });
  const TimePoint engineFree = now + Board.Prefill.wait(now);
  const ReadingPause reading(Board);
  std::vector<OrderCandidate> result;
  for (const AdapterKey *key : ready) {
    const auto queue = Board.Waiting.find(*key);
    if (queue == Board.Waiting.end())
      continue;
    for (const WaitingAttempt &it : queue->second)
      if (reading.mayRead(now, it.Request))
        result.push_back({.Attempt = &it,
                          .FirstEventAt = engineFree + Board.readingTime(it)});
  }
  return result;
}

RequestOrder &
DispatchController::orderFor(std::span<const OrderCandidate> candidates) {
  const bool differ =
      std::ranges::any_of(candidates, [&](const OrderCandidate &it) {
        return differInDemand(*it.Attempt, *candidates.front().Attempt);
      });
  return differ ? *ByDemand : ByKind;
}

bool DispatchController::waitsForBatch(TimePoint now) const {
  if (Board.Options.BatchingShare <= 0 || Board.runningOnEngine() > 0)
    return false;
  std::size_t batchable = 0;
  for (const auto &[key, queue] : Board.Waiting) {
    if (!Board.Slots.isReady(key))
      continue;
    batchable += queue.size();
    for (const WaitingAttempt &it : queue) {
      const Duration share = fromSeconds(toSeconds(it.Deadline - it.ArrivedAt) *
                                         Board.Options.BatchingShare);
      if (now - it.ArrivedAt - it.LoadStall >=
          std::min(share, Board.Options.BatchingWait))
        return false;
    }
  }
  return batchable < Board.Options.BatchingTarget;
}

void DispatchController::run(TimePoint now) {
  if (!Board.EngineReady || waitsForBatch(now))
    return;
  while (Board.runningOnEngine() < Board.BatchCapacity) {
    const std::vector<OrderCandidate> waiting = candidates(now);
    if (waiting.empty())
      return;
    const RequestOrder::Choice choice = orderFor(waiting).choose(waiting);
    const OrderCandidate &next = waiting[choice.Position];
    if (!Board.Pacer.take(now))
      return;
    ByKind.onStarted(next, choice.Reason);
    ByDemand->onStarted(next, choice.Reason);
    start(now, *next.Attempt);
  }
}

WaitingAttempt DispatchController::extract(const WaitingAttempt &chosen) {
  const auto it = Board.Waiting.find(chosen.Request.Key);
  auto &queue = it->second;
  const auto at = std::ranges::find_if(
      queue, [&](const WaitingAttempt &other) { return &other == &chosen; });
  WaitingAttempt attempt = std::move(*at);
  queue.erase(at);
  if (queue.empty())
    Board.Waiting.erase(it);
  --Board.WaitingCount;
  return attempt;
}

void DispatchController::start(TimePoint now, const WaitingAttempt &chosen) {
  const WaitingAttempt attempt = extract(chosen);
  const AdapterKey &key = attempt.Request.Key;
  Board.Accounts.charge(attempt.Account.id(), workOf(attempt));
  Board.record(now, attempt, {.Result = AgentEvent::Outcome::Started});
  Board.Slots.pin(now, key);
  const PromptOwner owner = Board.promptOwner(key);
  const bool alone = Board.Prefill.wait(now) == Duration::zero();
  const Duration prefillTime =
      Board.Prefill.wait(now) +
      Board.Prefill.prefillTime(owner, attempt.Request.Parts);
  const std::uint32_t tokens =
      Board.Prefill.begin(now, owner, attempt.Request.Parts);
  Board.Running.emplace(
      attempt.Request.Attempt,
      RunningAttempt{.Entry = attempt.Entry,
                     .Key = key,
                     .Delegated = attempt.Request.Delegated,
                     .StartedAt = now,
                     .Deadline = attempt.Deadline,
                     .ExpectedAt = now + prefillTime,
                     .LoadStall = attempt.LoadStall,
                     .PromptTokens = tokens,
                     .PrefilledAlone = alone,
                     .PauseTarget = attempt.Request.Demand.PauseTarget});
  Board.Commands.push_back(StartGeneration{attempt.Request, tokens});
}

} // namespace pimentofront
