#include "pimentofront/Account.h"

#include <algorithm>

namespace pimentofront {

double OnDemandLeases::advance(const AllotmentBucket &, double, double) const {
  return 0;
}

double UsageBasedLeases::advance(const AllotmentBucket &bucket, double desired,
                                 double level) const {
  return std::min(desired, bucket.grantableInAdvance(level));
}

} // namespace pimentofront
