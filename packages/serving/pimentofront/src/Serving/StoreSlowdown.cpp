#include "pimentofront/Serving.h"

namespace pimentofront {

std::optional<double> StoreSlowdown::record(Duration took) {
  if (took <= Duration::zero())
    return std::nullopt;
  const double seconds = toSeconds(took);
  const double fastest = toSeconds(Fastest);
  if (Fastest > Duration::zero() && seconds < Options.CopyShare * fastest)
    return std::nullopt;
  if (Fastest == Duration::zero() || seconds < fastest) {
    Fastest = took;
    return 1;
  }
  Fastest = fromSeconds(fastest * (1 + Options.Aging));
  return seconds / fastest;
}

} // namespace pimentofront
