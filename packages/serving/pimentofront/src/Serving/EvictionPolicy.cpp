#include "pimentofront/Serving.h"

namespace pimentofront {

double LeastRecentlyUsed::utilityOf(TimePoint now, const Slot &slot,
                                    const PopularityTable &) const {
  return 1 / (1 + toSeconds(now - slot.LastUsed));
}

double LeastPopular::utilityOf(TimePoint now, const Slot &slot,
                               const PopularityTable &popularity) const {
  return popularity.valueOf(now, slot.Key);
}

} // namespace pimentofront
