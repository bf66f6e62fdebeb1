#include "pimentofront/Serving.h"

namespace pimentofront {

bool RequestPacer::apply(TimePoint now, const RateLimit &limit) {
  // What was saved up so far came at the former rate.
  fill(now);
  const bool wasLimited = isLimited();
  const bool changed = Known.apply(now, limit);
  if (!wasLimited)
    Level = 0;
  return changed;
}

double RequestPacer::levelAt(TimePoint now) const {
  return std::min(Level + rate() * toSeconds(now - FilledAt), Burst);
}

void RequestPacer::fill(TimePoint now) {
  if (isLimited())
    Level = levelAt(now);
  FilledAt = now;
}

Duration RequestPacer::wait(TimePoint now, std::size_t ahead) const {
  if (!isLimited())
    return Duration::zero();
  const double missing = static_cast<double>(ahead) + 1 - levelAt(now);
  if (missing <= 0)
    return Duration::zero();
  // Rounded up: whoever comes back then must not be early.
  return fromSeconds(missing / rate()) + Duration(1);
}

std::optional<Duration> RequestPacer::reserve(TimePoint now, Duration ahead) {
  if (!isLimited())
    return Duration::zero();
  const Duration delay = wait(now, 0);
  if (delay > ahead)
    return std::nullopt;
  fill(now);
  Level -= 1;
  return delay;
}

} // namespace pimentofront
