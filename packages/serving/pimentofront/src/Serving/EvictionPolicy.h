#ifndef PIMENTOFRONT_SERVING_EVICTION_POLICY_H
#define PIMENTOFRONT_SERVING_EVICTION_POLICY_H

#include "Popularity.h"
#include "SlotTable.h"

namespace pimentofront {

/// \class EvictionPolicy
/// \ingroup Serving
/// \brief What an adapter in a slot is worth; the one worth least goes first.
/// Which slots may be given up at all isn't its business.
class EvictionPolicy {
public:
  virtual ~EvictionPolicy() = default;
  virtual double worthOf(TimePoint now, const Slot &slot,
                         const PopularityTable &popularity) const = 0;
};

/// \class LeastRecentlyUsed
/// \ingroup Serving
/// \brief Gives up what was used longest ago; a baseline.
class LeastRecentlyUsed : public EvictionPolicy {
public:
  double worthOf(TimePoint now, const Slot &slot,
                 const PopularityTable &popularity) const override;
};

/// \class LeastPopular
/// \ingroup Serving
/// \brief Gives up what is asked for least by the decayed count.
class LeastPopular : public EvictionPolicy {
public:
  double worthOf(TimePoint now, const Slot &slot,
                 const PopularityTable &popularity) const override;
};

} // namespace pimentofront

#endif
