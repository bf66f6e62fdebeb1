#ifndef PIMENTOFRONT_SERVING_EVICTION_POLICY_H
#define PIMENTOFRONT_SERVING_EVICTION_POLICY_H

#include "Popularity.h"
#include "SlotTable.h"

namespace pimentofront {

/// \class EvictionPolicy
/// \ingroup Serving
/// \brief Computes the utility of keeping an adapter in its slot; the one with
/// the lowest utility is evicted first. Which slots may be evicted at all is
/// decided elsewhere (see mayEvict()).
class EvictionPolicy {
public:
  virtual ~EvictionPolicy() = default;
  virtual double utilityOf(TimePoint now, const Slot &slot,
                           const PopularityTable &popularity) const = 0;
};

/// \class LeastRecentlyUsed
/// \ingroup Serving
/// \brief Evicts the adapter that was used longest ago; a baseline.
class LeastRecentlyUsed : public EvictionPolicy {
public:
  double utilityOf(TimePoint now, const Slot &slot,
                   const PopularityTable &popularity) const override;
};

/// \class LeastPopular
/// \ingroup Serving
/// \brief Evicts the adapter with the lowest popularity (see PopularityTable).
class LeastPopular : public EvictionPolicy {
public:
  double utilityOf(TimePoint now, const Slot &slot,
                   const PopularityTable &popularity) const override;
};

} // namespace pimentofront

#endif
