#ifndef PIMENTOFRONT_SERVING_ENGINE_BALANCE_H
#define PIMENTOFRONT_SERVING_ENGINE_BALANCE_H

#include "RoutingPolicy.h"

namespace pimentofront {

/// \class EngineBalanceOptions
/// \ingroup Serving
struct EngineBalanceOptions {
  /// Engines get adapters by their pace; otherwise all get equal shares.
  bool Enabled = false;
  /// An engine whose pace is below this share of the median pace gets fewer
  /// adapters. Smaller differences are within what one measurement may be off.
  double SlowShare = 0.85;
  /// Weights are multiples of this, so that entries whose figures differ a
  /// little choose the same engines.
  double WeightStep = 0.25;
  /// Least weight of an engine. It still serves its share, and is measured.
  double MinWeight = 0.5;
};

/// \class EngineBalance
/// \ingroup Serving
/// \brief Orders the engines for an adapter so that each engine gets adapters
/// in proportion to its pace.
///
/// Answers the load in which engines of a service differ in pace: with equal
/// shares the slow ones are late while others have room. Weighted rendezvous
/// hashing (Schindelhauer and Schomaker, 2005): when a weight changes, only
/// adapters of the engine concerned move. Engines without a reported pace count
/// as usual ones, so an entry that has just started, or that gets no reports,
/// uses the order without weights.
///
/// It isn't for plain services, and knows nothing about queues, which change
/// within a round trip: the agents' estimates answer for these.
class EngineBalance {
public:
  explicit EngineBalance(const EngineBalanceOptions &options = {})
      : Options(options) {}

  /// Moves the first \p n engines in the order of \p key to the front.
  void order(const AdapterKey &key, std::size_t n,
             std::vector<const MemberView *> &hosts) const;
  /// \returns the weight of an engine with pace \p pace among engines with the
  /// pace \p median, in prompt tokens per second; 1 for an unknown pace.
  double weightOf(std::uint32_t pace, std::uint32_t median) const;

private:
  EngineBalanceOptions Options;
};

} // namespace pimentofront

#endif
