#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

bool DispatchController::precedes(const Candidate &a,
                                  const Candidate &b) const {
  if (a.Pass != b.Pass)
    return a.Pass < b.Pass;
  return a.Attempt->Deadline < b.Attempt->Deadline;
}

std::optional<DispatchController::Candidate>
DispatchController::choose() const {
  std::optional<Candidate> best;
  for (const auto &[key, queue] : Board.Waiting) {
    if (!Board.Slots.isReady(key))
      continue;
    for (std::size_t i = 0; i < queue.size(); ++i) {
      const auto pass = Passes.find(queue[i].Request.Kind);
      const Candidate it{.Key = key,
                         .Position = i,
                         .Attempt = &queue[i],
                         .Pass = pass == Passes.end()
                                     ? CurrentPass
                                     : std::max(pass->second, CurrentPass)};
      if (!best || precedes(it, *best))
        best = it;
    }
  }
  return best;
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
    const std::optional<Candidate> next = choose();
    if (!next || !Board.Pacer.take(now))
      return;
    start(now, *next);
  }
}

void DispatchController::start(TimePoint now, const Candidate &candidate) {
  auto &queue = Board.Waiting.at(candidate.Key);
  const auto at =
      queue.begin() + static_cast<std::ptrdiff_t>(candidate.Position);
  const WaitingAttempt attempt = std::move(*at);
  queue.erase(at);
  if (queue.empty())
    Board.Waiting.erase(candidate.Key);
  --Board.WaitingCount;
  Board.Slots.pin(now, candidate.Key);
  const bool alone = Board.Prefill.wait(now) == Duration::zero();
  const Duration prefillTime =
      Board.Prefill.wait(now) +
      Board.Prefill.prefillTime(candidate.Key, attempt.Request.Parts);
  const std::uint32_t tokens =
      Board.Prefill.begin(now, candidate.Key, attempt.Request.Parts);
  Board.Running.emplace(attempt.Request.Attempt,
                        RunningAttempt{.Entry = attempt.Entry,
                                       .Key = candidate.Key,
                                       .Delegated = attempt.Request.Delegated,
                                       .StartedAt = now,
                                       .Deadline = attempt.Deadline,
                                       .ExpectedAt = now + prefillTime,
                                       .LoadStall = attempt.LoadStall,
                                       .PromptTokens = tokens,
                                       .PrefilledAlone = alone});
  CurrentPass = candidate.Pass;
  const std::uint32_t weight = std::max(attempt.Request.Weight, 1U);
  Passes[attempt.Request.Kind] = candidate.Pass + 1.0 / weight;
  Board.Commands.push_back(StartGeneration{attempt.Request});
}

} // namespace pimentofront
