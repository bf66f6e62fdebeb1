#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

void EngineSlowness::record(TimePoint now, std::uint32_t percent) {
  if (percent == 0)
    return;
  constexpr double UsualPercent = 100;
  Factor = std::max(percent / UsualPercent, 1.0);
  RecordedAt = now;
  if (Factor >= Options.SlowFactor) {
    SlowSince = SlowSince.value_or(now);
    return;
  }
  if (!SlowSince)
    return;
  constexpr int SmoothingShare = 4;
  ExpectedLength += (now - *SlowSince - ExpectedLength) / SmoothingShare;
  SlowSince.reset();
}

double EngineSlowness::factor(TimePoint now) const {
  const bool known =
      RecordedAt && now < *RecordedAt + Options.StatementLifetime;
  return known ? Factor : 1;
}

Duration EngineSlowness::expectedRest(TimePoint now) const {
  if (!isSlow(now) || !SlowSince)
    return Duration::zero();
  // A period that outlasts the average may go on for as long again.
  const Duration rest = *SlowSince + ExpectedLength - now;
  return std::max(rest, ExpectedLength / 2);
}

void EngineSlowness::clear() {
  Factor = 1;
  RecordedAt.reset();
  SlowSince.reset();
}

} // namespace pimentofront
