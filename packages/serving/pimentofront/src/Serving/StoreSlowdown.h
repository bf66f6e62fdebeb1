#ifndef PIMENTOFRONT_SERVING_STORE_SLOWDOWN_H
#define PIMENTOFRONT_SERVING_STORE_SLOWDOWN_H

#include "pimentofront/Base.h"

#include <optional>

namespace pimentofront {

/// \class StoreSlowdownOptions
/// \ingroup Serving
struct StoreSlowdownOptions {
  /// A load that takes less than this part of the fastest one came from a copy
  /// that the engine had, and says nothing about the weight store.
  double CopyShare = 0.5;
  /// Relative increase of the fastest load time after each load, so that a
  /// store that has become slower for good is adapted to.
  double Aging = 0.002;
};

/// \class StoreSlowdown
/// \ingroup Serving
/// \brief Estimates how congested the weight store is by comparing load times
/// with the fastest one: the store divides its bandwidth among all loads in
/// progress.
class StoreSlowdown {
public:
  explicit StoreSlowdown(const StoreSlowdownOptions &options = {})
      : Options(options) {}

  /// Records a load that took \p took.
  /// \returns its slowdown relative to the fastest one, at least 1; nothing for
  /// a load that says nothing about the store because it was aborted or came
  /// from a copy.
  std::optional<double> record(Duration took);

private:
  StoreSlowdownOptions Options;
  /// Fastest load from the store; zero before the first.
  Duration Fastest = Duration::zero();
};

} // namespace pimentofront

#endif
