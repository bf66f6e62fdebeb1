#ifndef PIMENTOFRONT_SERVING_PREFIX_ROUTING_H
#define PIMENTOFRONT_SERVING_PREFIX_ROUTING_H

#include "EngineBalance.h"
#include "ShapePlacement.h"

namespace pimentofront {

/// \class PrefixRoutingOptions
/// \ingroup Serving
struct PrefixRoutingOptions {
  /// A request goes to the next engine when its first event would take more
  /// than this share of the time until it is due. An engine that has the
  /// adapter and the cached prefix is worth some waiting.
  double OwnShare = 0.7;
  /// The same limit for engines beyond the adapter's own.
  double SpillShare = 0.9;
  /// Time until the first event is due if a request names no target, or is
  /// already late: a person is waiting for it.
  Duration DefaultTarget = std::chrono::seconds(1);
  /// Number of engines beyond the adapter's own that are asked whether they
  /// have it. Asking takes one round trip; waiting for a slot of a busy engine
  /// takes hundreds.
  std::uint32_t SpillChoices = 3;
  /// Number of engines for an adapter whose share of the requests amounts to
  /// one engine. More engines shorten its queue, fewer save loads.
  double EnginesPerShare = 1;
  /// Penalty for an engine that would load a further copy of the adapter when
  /// the first event will be late on every engine, as a share of the time until
  /// it is due. While the weight store is congested, each further copy makes
  /// other requests late.
  double CopyCost = 0.5;
  /// Half-life of the popularity counts: demand changes within seconds.
  Duration HalfLife = std::chrono::seconds(10);
  /// Number of requests assumed to precede the first one, so that the first
  /// adapters requested of a new process do not look popular.
  double PriorRequests = 100;
  /// Maximum number of adapters whose popularity is tracked.
  std::size_t Capacity = 4096;
  ShapePlacementOptions Shapes;
  EngineBalanceOptions Balance;
};

/// \class PrefixRouting
/// \ingroup Serving
/// \brief Spreads the requests for an adapter over as many engines as its share
/// of all requests needs, and sends requests with the same prefix to the same
/// one of them.
///
/// Each adapter has its own order of engines (rendezvous hashing, Thaler and
/// Ravishankar, 1998). All entries therefore choose the same engines without
/// communication, an evicted adapter is loaded again where the engine may still
/// have a copy, and requests find their prefix cached. The agents' estimates of
/// the wait bound the delay that this causes (after consistent hashing with
/// bounded loads, Mirrokni et al., 2018).
class PrefixRouting : public RoutingPolicy {
public:
  explicit PrefixRouting(const PrefixRoutingOptions &options)
      : Options(options), Shapes(options.Shapes), Balance(options.Balance) {}
  std::optional<Route> choose(TimePoint now, const RouteQuery &query,
                              const MemberViews &members) override;

private:
  using Hosts = std::vector<const MemberView *>;
  struct Count {
    double Value = 0;
    TimePoint At;
  };
  double decayed(TimePoint now, const Count &count) const;
  void recordRequest(TimePoint now, const AdapterKey &key);
  /// \returns how many of \p engines the requests for the adapter need.
  std::size_t enginesFor(TimePoint now, const AdapterKey &key,
                         std::size_t engines) const;
  void evictCounts(TimePoint now);
  /// \returns the host for a request that all hosts asked with a limit have
  /// refused: the first that can be on time by its own estimate, or else the
  /// one with the shortest wait, to which a further copy of the adapter adds
  /// CopyCost. The first \p own of \p hosts are the adapter's own engines.
  std::optional<Route>
  chooseByEstimate(const RouteQuery &query, Duration target, std::size_t own,
                   const std::vector<const MemberView *> &hosts) const;

  PrefixRoutingOptions Options;
  ShapePlacement Shapes;
  EngineBalance Balance;
  std::unordered_map<AdapterKey, Count> Counts;
  Count Total;
};

} // namespace pimentofront

#endif
