#ifndef PIMENTOFRONT_SERVING_ALLOWED_ZONES_H
#define PIMENTOFRONT_SERVING_ALLOWED_ZONES_H

#include "pimentofront/Base.h"

#include <map>
#include <set>
#include <vector>

namespace pimentofront {

/// Region of each availability zone, as the deployment's settings name them.
using ZoneRegions = std::map<ZoneName, RegionName>;

/// \ingroup Serving
/// \returns whether the deployment has that zone; where its zones aren't known,
/// any may be there.
inline bool mayExist(const ZoneRegions &zones, const ZoneName &zone) {
  return zones.empty() || zones.contains(zone);
}

/// \class AllowedZones
/// \ingroup Serving
/// \brief The availability zones in which a request may be served.
///
/// A route and a client account may each name regions; where both do, both
/// bind. A zone whose region isn't known is in none of them. Immutable: a
/// request keeps what held when it arrived.
class AllowedZones {
public:
  /// All zones.
  AllowedZones() = default;
  /// Those in each of the lists of regions that isn't empty.
  AllowedZones(const ZoneRegions &regions, const std::vector<RegionName> &route,
               const std::vector<RegionName> &account);

  bool contains(const ZoneName &zone) const {
    return !Restricted || Zones.contains(zone);
  }
  /// \returns whether there are zones in which the request may not be served.
  bool isRestricted() const { return Restricted; }
  friend auto operator<=>(const AllowedZones &, const AllowedZones &) = default;

private:
  bool Restricted = false;
  std::set<ZoneName> Zones;
};

} // namespace pimentofront

#endif
