#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

bool RequestPacer::apply(TimePoint now, const RateLimit &limit) {
  constexpr double Thousand = 1000;
  const TimePoint saidAt = now - std::max(limit.Age, Duration::zero());
  if (SaidAt && saidAt < *SaidAt)
    return false;
  SaidAt = saidAt;
  const bool changes = limit.Named != isLimited() ||
                       limit.PerThousandSeconds != PerThousandSeconds;
  if (!changes)
    return false;
  fill(now);
  PerThousandSeconds = limit.PerThousandSeconds;
  if (!limit.Named) {
    Rate.reset();
    return true;
  }
  if (!Rate)
    Level = 0;
  Rate =
      std::max(static_cast<double>(PerThousandSeconds) / Thousand, ProbeRate);
  return true;
}

RateLimit RequestPacer::limit(TimePoint now) const {
  return {.Named = isLimited(),
          .PerThousandSeconds = PerThousandSeconds,
          .Age = SaidAt ? now - *SaidAt : Duration::zero()};
}

double RequestPacer::levelAt(TimePoint now) const {
  return std::min(Level + *Rate * toSeconds(now - FilledAt), Burst);
}

void RequestPacer::fill(TimePoint now) {
  if (Rate)
    Level = levelAt(now);
  FilledAt = now;
}

Duration RequestPacer::wait(TimePoint now, std::size_t ahead) const {
  if (!Rate)
    return Duration::zero();
  const double missing = static_cast<double>(ahead) + 1 - levelAt(now);
  if (missing <= 0)
    return Duration::zero();
  // Rounded up: whoever comes back then must not be early.
  return fromSeconds(missing / *Rate) + Duration(1);
}

std::optional<Duration> RequestPacer::reserve(TimePoint now, Duration ahead) {
  const Duration delay = wait(now, 0);
  if (delay > ahead)
    return std::nullopt;
  fill(now);
  Level -= 1;
  return delay;
}

} // namespace pimentofront
