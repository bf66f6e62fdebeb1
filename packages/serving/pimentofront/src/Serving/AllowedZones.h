#ifndef PIMENTOFRONT_SERVING_ALLOWED_ZONES_H
#define PIMENTOFRONT_SERVING_ALLOWED_ZONES_H

#include "pimentofront/Base.h"

#include <map>
#include <set>
#include <vector>

namespace pimentofront {

/// The region of each availability zone, as named in the settings of the
/// deployment.
using ZoneRegions = std::map<ZoneName, RegionName>;

/// \ingroup Serving
/// \returns whether the deployment may have that zone. If its zones aren't
/// known, any zone is possible.
inline bool isPossibleZone(const ZoneRegions &zones, const ZoneName &zone) {
  return zones.empty() || zones.contains(zone);
}

/// \class AllowedZones
/// \ingroup Serving
/// \brief The availability zones in which a request may be served.
///
/// A route and a client account may each name regions; if both do, both
/// restrictions apply. A zone with an unknown region is in none of them.
/// Immutable: a request keeps the restrictions in force when it arrived.
class AllowedZones {
public:
  /// Allows all zones.
  AllowedZones() = default;
  /// Allows the zones whose region is in both lists. An empty list restricts
  /// nothing.
  AllowedZones(const ZoneRegions &regions, const std::vector<RegionName> &route,
               const std::vector<RegionName> &account);

  bool contains(const ZoneName &zone) const {
    return !Restricted || Zones.contains(zone);
  }
  /// \returns whether a region list restricts the request.
  bool isRestricted() const { return Restricted; }
  friend auto operator<=>(const AllowedZones &, const AllowedZones &) = default;

private:
  bool Restricted = false;
  std::set<ZoneName> Zones;
};

} // namespace pimentofront

#endif
