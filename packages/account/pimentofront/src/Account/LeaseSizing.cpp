#include "pimentofront/Account.h"

#include <algorithm>

namespace pimentofront {

double ExactLeases::advance(const AllotmentBucket &, double, double) const {
  return 0;
}

double LeasesByUse::advance(const AllotmentBucket &bucket, double wished,
                            double level) const {
  return std::min(wished, bucket.grantableInAdvance(level));
}

} // namespace pimentofront
