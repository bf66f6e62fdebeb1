#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

bool KnownRateLimit::apply(TimePoint now, const RateLimit &word) {
  const TimePoint saidAt = now - std::max(word.Age, Duration::zero());
  if (SaidAt && saidAt < *SaidAt)
    return false;
  SaidAt = saidAt;
  RateLimit next = word;
  next.Age = Duration::zero();
  return std::exchange(Limit, next) != next;
}

RateLimit KnownRateLimit::at(TimePoint now) const {
  RateLimit result = Limit;
  if (SaidAt)
    result.Age = now - *SaidAt;
  return result;
}

} // namespace pimentofront
