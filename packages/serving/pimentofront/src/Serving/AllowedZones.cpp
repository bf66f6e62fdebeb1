#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {
namespace {

bool allows(const std::vector<RegionName> &regions, const RegionName &region) {
  return regions.empty() || std::ranges::find(regions, region) != regions.end();
}

} // namespace

AllowedZones::AllowedZones(const ZoneRegions &regions,
                           const std::vector<RegionName> &route,
                           const std::vector<RegionName> &account)
    : Restricted(!route.empty() || !account.empty()) {
  if (!Restricted)
    return;
  for (const auto &[zone, region] : regions)
    if (allows(route, region) && allows(account, region))
      Zones.insert(zone);
}

} // namespace pimentofront
