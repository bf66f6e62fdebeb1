#ifndef PIMENTOFRONT_TESTKIT_REPLAY_H
#define PIMENTOFRONT_TESTKIT_REPLAY_H

#include "Trace.h"
#include "World.h"

namespace pimentofront::testkit {

enum class RoutingChoice : std::uint8_t {
  LeastLoaded,
  ConsistentHash,
  Affinity
};
enum class EvictionChoice : std::uint8_t { LeastRecent, LeastPopular };
enum class LoadChoice : std::uint8_t { Uncoordinated, StaticShare, Scheduled };

/// \class PolicySpec
/// \ingroup Testkit
/// \brief A whole policy under a name. Baselines and earlier versions stay in
/// the list, so that each can be run against each.
struct PolicySpec {
  std::string Name;
  RoutingChoice Routing = RoutingChoice::Affinity;
  EvictionChoice Eviction = EvictionChoice::LeastPopular;
  LoadChoice Loads = LoadChoice::Scheduled;
  bool RefusesEarly = true;
  AffinityOptions Affinity;
  PopularityOptions Popularity;
  double StallShare = 0.4;
  double BatchingShare = 0.05;
  Duration BatchingWait = std::chrono::milliseconds(400);
  Duration SpillDelay = std::chrono::milliseconds(500);
};
const std::vector<PolicySpec> &allPolicies();
const PolicySpec *findPolicy(const std::string &name);

/// What goes wrong during a replay.
enum class ReplayFault : std::uint8_t {
  None,
  /// A third of the engines start cold, in the middle.
  ColdThird,
  /// Other adapters become the popular ones, in the middle.
  Shift,
  /// The leader, and with it the load scheduler, dies in the middle.
  LeaderLost,
  /// Some adapters can't be loaded.
  BadAdapters,
};
const char *nameOf(ReplayFault fault);

/// \class KindFigures
/// \ingroup Testkit
struct KindFigures {
  std::uint64_t Sent = 0;
  std::uint64_t InWindow = 0;
  double StallTotal = 0;
  double StallP95 = 0;
  double StallP99 = 0;
};

/// \class ReplayFigures
/// \ingroup Testkit
/// \brief What a replay measured. Times are seconds.
struct ReplayFigures {
  std::map<KindName, KindFigures> Kinds;
  std::uint64_t Sent = 0;
  std::uint64_t InWindow = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Other = 0;
  /// Stalls of answered requests, and the whole wait of those that never got
  /// their adapter.
  double StallTotal = 0;
  double StallP95 = 0;
  double StallP99 = 0;
  /// The 99th percentile of the time to a refusal.
  double RefusalP99 = 0;
  /// Tokens of requests that were answered in their window, a step, over the
  /// step's capacity.
  double BatchEfficiency = 0;
  std::uint64_t Loads = 0;
  std::uint64_t FewestLoads = 0;
  /// Stall of requests in each tenth of the trace.
  std::vector<double> StallByTenth;
  std::vector<std::string> Violations;
};

/// Runs \p trace through the real nodes in virtual time.
ReplayFigures replay(const Deployment &deployment, const PolicySpec &policy,
                     const Trace &trace, ReplayFault fault, std::uint64_t seed);

} // namespace pimentofront::testkit

#endif
