#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

bool KnownRateLimit::apply(TimePoint now, const RateLimit &report) {
  const TimePoint namedAt = now - std::max(report.Age, Duration::zero());
  if (NamedAt && namedAt < *NamedAt)
    return false;
  NamedAt = namedAt;
  RateLimit next = report;
  next.Age = Duration::zero();
  return std::exchange(Limit, next) != next;
}

RateLimit KnownRateLimit::at(TimePoint now) const {
  RateLimit result = Limit;
  if (NamedAt)
    result.Age = now - *NamedAt;
  return result;
}

} // namespace pimentofront
