#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

std::optional<AdapterKey>
AdaptiveLoads::next(TimePoint, AgentBoard &,
                    const std::vector<Demand> &demands) {
  if (UnderWay >= static_cast<std::uint32_t>(Limit))
    return std::nullopt;
  const Demand *it = worthiestDemand(demands);
  if (!it)
    return std::nullopt;
  ++UnderWay;
  return it->Key;
}

void AdaptiveLoads::onLoadEnded(TimePoint, AgentBoard &, const AdapterKey &,
                                Duration took) {
  UnderWay -= std::min(UnderWay, 1U);
  // A load that was broken off says nothing.
  if (took <= Duration::zero())
    return;
  const double seconds = toSeconds(took);
  const double quickest = toSeconds(Quickest);
  if (Quickest > Duration::zero() && seconds < Options.CopyShare * quickest)
    return;
  if (Quickest == Duration::zero() || seconds < quickest)
    Quickest = took;
  else
    Quickest = fromSeconds(quickest * (1 + Options.Forget));
  const bool slow = seconds > Options.SlowFactor * toSeconds(Quickest);
  Limit = slow ? Limit * Options.Decrease : Limit + Options.Increase;
  Limit = std::clamp(Limit, 1.0, Options.Most);
}

} // namespace pimentofront
