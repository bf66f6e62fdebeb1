#ifndef PIMENTOFRONT_SERVING_ADAPTIVE_LOADS_H
#define PIMENTOFRONT_SERVING_ADAPTIVE_LOADS_H

#include "LoadGate.h"
#include "StoreSlowdown.h"

namespace pimentofront {

/// \class AdaptiveLoadsOptions
/// \ingroup Serving
struct AdaptiveLoadsOptions {
  /// Maximum number of concurrent loads.
  double MaxConcurrent = 4;
  /// A load that takes this many times the fastest one counts as slowed down by
  /// the loads of other agents.
  double SlowFactor = 1.5;
  /// Added to the limit after a load at full speed, and factor applied to it
  /// after a slow one (additive increase, multiplicative decrease; Chiu and
  /// Jain, 1989).
  double Increase = 0.5;
  double Decrease = 0.5;
  StoreSlowdownOptions Slowdown;
};

/// \class AdaptiveLoads
/// \ingroup Serving
/// \brief Loads the adapter with the highest utility first, with as many
/// concurrent loads as the weight store serves at full speed.
///
/// The store divides its bandwidth among all loads in progress: with too many
/// of them all end late together, with few the first ones end soon and the last
/// ones no later. Agents do not know of each other; each detects congestion of
/// the store from its own load times and reduces its limit. Use it where the
/// store's capacity is unknown or no scheduler is near, and ScheduledLoads
/// where the capacity is known.
class AdaptiveLoads : public LoadGate {
public:
  explicit AdaptiveLoads(const AdaptiveLoadsOptions &options)
      : Options(options), Limit(options.MaxConcurrent),
        Slowdown(options.Slowdown) {}

  std::optional<AdapterKey> next(TimePoint now, AgentBoard &board,
                                 const std::vector<Demand> &demands) override;
  void onLoadEnded(TimePoint now, AgentBoard &board, const AdapterKey &key,
                   Duration took) override;
  /// \returns how many loads may be in progress now.
  double limit() const { return Limit; }

private:
  AdaptiveLoadsOptions Options;
  double Limit;
  std::uint32_t LoadsInProgress = 0;
  StoreSlowdown Slowdown;
};

} // namespace pimentofront

#endif
