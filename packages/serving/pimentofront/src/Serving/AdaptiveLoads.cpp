#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

std::optional<AdapterKey>
AdaptiveLoads::next(TimePoint, AgentBoard &,
                    const std::vector<Demand> &demands) {
  if (LoadsInProgress >= static_cast<std::uint32_t>(Limit))
    return std::nullopt;
  const Demand *it = highestUtilityDemand(demands);
  if (!it)
    return std::nullopt;
  ++LoadsInProgress;
  return it->Key;
}

void AdaptiveLoads::onLoadEnded(TimePoint, AgentBoard &, const AdapterKey &,
                                Duration took) {
  LoadsInProgress -= std::min(LoadsInProgress, 1U);
  const std::optional<double> slowdown = Slowdown.record(took);
  if (!slowdown)
    return;
  const bool slow = *slowdown > Options.SlowFactor;
  Limit = slow ? Limit * Options.Decrease : Limit + Options.Increase;
  Limit = std::clamp(Limit, 1.0, Options.MaxConcurrent);
}

} // namespace pimentofront
