#ifndef PIMENTOFRONT_SERVING_PREFIX_ROUTING_H
#define PIMENTOFRONT_SERVING_PREFIX_ROUTING_H

#include "RoutingPolicy.h"

namespace pimentofront {

/// \class PrefixRoutingOptions
/// \ingroup Serving
struct PrefixRoutingOptions {
  /// A request goes on to another engine when its first event would take more
  /// than this part of the time it has until then: an engine that has the
  /// adapter and the prompt's prefix is worth some waiting.
  double OwnShare = 0.7;
  /// The same at the further engines.
  double SpillShare = 0.9;
  /// The time a first event has where a request names no target, or is late
  /// already: a person waits for it.
  Duration DefaultTarget = std::chrono::seconds(1);
  /// Engines beyond the adapter's own that are asked whether they have it. A
  /// question costs a round trip, a wait for a slot of a busy engine hundreds
  /// of them.
  std::uint32_t SpillChoices = 3;
  /// Engines for an adapter whose share of the requests is one engine's: more
  /// of them shorten its queue, fewer of them save loads.
  double Spread = 1;
  /// When the first event will be late wherever the request goes, an engine
  /// that would load a further copy of the adapter must be sooner by this part
  /// of the time it has: while the weight store is crowded each copy more
  /// makes others late.
  double CopyCost = 0.5;
  /// Half-life of what is known of popularity: demand moves on within seconds.
  Duration HalfLife = std::chrono::seconds(10);
  /// Requests that are thought to have gone before, so that the first ones of
  /// a process don't look popular.
  double PriorRequests = 100;
  /// Adapters whose popularity is remembered.
  std::size_t Capacity = 4096;
};

/// \class PrefixRouting
/// \ingroup Serving
/// \brief Sends the requests for one adapter to as many engines as its share
/// of all requests needs, and among these the requests with one prefix to the
/// same engine.
///
/// Each adapter has its own order of engines (rendezvous hashing, Thaler and
/// Ravishankar, 1998), so all entries agree without a word, an adapter that was
/// given up is loaded again where the engine still has a copy, and a cached
/// prefix is found again. The agents' own word on how long a request would
/// wait bounds what that costs (after consistent hashing with bounded loads,
/// Mirrokni et al., 2018).
class PrefixRouting : public RoutingPolicy {
public:
  explicit PrefixRouting(const PrefixRoutingOptions &options)
      : Options(options) {}
  std::optional<Route> choose(TimePoint now, const RouteQuery &query,
                              const MemberViews &members) override;

private:
  struct Count {
    double Value = 0;
    TimePoint At;
  };
  double decayed(TimePoint now, const Count &count) const;
  void noteRequest(TimePoint now, const AdapterKey &key);
  /// \returns how many of \p engines the adapter's requests need.
  std::size_t enginesFor(TimePoint now, const AdapterKey &key,
                         std::size_t engines) const;
  void forgetSome(TimePoint now);
  /// \returns the host that takes the request when all that were asked under
  /// a limit have said how long it would wait: the first one at which it is on
  /// time, or else the soonest. \p own of \p hosts come first.
  std::optional<Route>
  byTheirWord(const RouteQuery &query, Duration target, std::size_t own,
              const std::vector<const MemberView *> &hosts) const;

  PrefixRoutingOptions Options;
  std::unordered_map<AdapterKey, Count> Counts;
  Count Total;
};

} // namespace pimentofront

#endif
