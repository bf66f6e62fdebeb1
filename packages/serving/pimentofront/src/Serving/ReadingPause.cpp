#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

std::optional<Duration> ReadingPause::shortestPause() const {
  std::optional<Duration> shortest;
  for (const auto &[attempt, it] : Board.Running)
    if (it.PauseTarget > Duration::zero())
      shortest = std::min(shortest.value_or(it.PauseTarget), it.PauseTarget);
  return shortest;
}

bool ReadingPause::mayRead(TimePoint now, const ExecuteRequest &request) const {
  if (!Board.Slowness.isSlow(now))
    return true;
  const std::optional<Duration> pause = shortestPause();
  if (!pause)
    return true;
  const Duration usual =
      Board.Prefill.wait(now) +
      Board.Prefill.prefillTime(Board.promptOwner(request.Key), request.Parts);
  return fromSeconds(toSeconds(usual) * Board.Slowness.factor(now)) <= *pause;
}

Duration ReadingPause::expectedWait(TimePoint now,
                                    const ExecuteRequest &request) const {
  return mayRead(now, request) ? Duration::zero()
                               : Board.Slowness.expectedRest(now);
}

} // namespace pimentofront
