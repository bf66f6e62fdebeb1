#include "pimentofront/Forward.h"

#include <algorithm>
#include <utility>

namespace pimentofront {

void ArrivalGaps::recordArrival(TimePoint now) {
  if (LastArrivalAt)
    LongestGap = std::max(LongestGap, now - *LastArrivalAt);
  LastArrivalAt = now;
}

void ArrivalGaps::recordPause(TimePoint now, bool paused) {
  if (paused && !PausedAt)
    PausedAt = now;
  if (paused || !PausedAt)
    return;
  Unread += now - *std::exchange(PausedAt, std::nullopt);
}

Duration ArrivalGaps::delayBound(TimePoint now) const {
  if (!LastArrivalAt)
    return Duration::zero();
  const Duration unread = PausedAt ? Unread + (now - *PausedAt) : Unread;
  return std::max(LongestGap, now - *LastArrivalAt) + unread;
}

} // namespace pimentofront
