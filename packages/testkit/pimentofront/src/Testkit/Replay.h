#ifndef PIMENTOFRONT_TESTKIT_REPLAY_H
#define PIMENTOFRONT_TESTKIT_REPLAY_H

#include "Simulation.h"
#include "Trace.h"

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
/// \brief A named combination of routing, eviction and load policies. Baselines
/// and earlier versions stay in the list, so that any two can be compared.
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

/// Fault that is injected during a replay.
enum class ReplayFault : std::uint8_t {
  None,
  /// A third of the engines restart cold, halfway through.
  ColdThird,
  /// Other adapters become the popular ones, halfway through.
  Shift,
  /// The leader, and with it the load scheduler, is killed halfway through.
  LeaderLost,
  /// Loads of some adapters fail.
  BadAdapters,
};
const char *nameOf(ReplayFault fault);

/// \class KindResult
/// \ingroup Testkit
struct KindResult {
  std::uint64_t Sent = 0;
  std::uint64_t InWindow = 0;
  double StallTotal = 0;
  double StallP95 = 0;
  double StallP99 = 0;
};

/// \class ReplayResult
/// \ingroup Testkit
/// \brief Results of a replay. Times are in seconds.
struct ReplayResult {
  std::map<KindName, KindResult> Kinds;
  std::uint64_t Sent = 0;
  std::uint64_t InWindow = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Other = 0;
  /// A stall is the time that an answered request waited for its adapter, or
  /// the whole time until any other outcome.
  double StallTotal = 0;
  double StallP95 = 0;
  double StallP99 = 0;
  /// 99th percentile of the time to a refusal.
  double RefusalP99 = 0;
  /// Tokens of requests that were answered in their window, divided by the
  /// tokens that all steps could have generated with full batches.
  double BatchEfficiency = 0;
  std::uint64_t Loads = 0;
  /// Number of loads of the optimal offline schedule; see minLoads().
  std::uint64_t MinLoads = 0;
  /// Total stall of the requests sent in each tenth of the trace.
  std::vector<double> StallByTenth;
  std::vector<std::string> Violations;
};

/// Replays \p trace against the production node classes in virtual time.
ReplayResult replay(const Deployment &deployment, const PolicySpec &policy,
                    const Trace &trace, ReplayFault fault, std::uint64_t seed);

} // namespace pimentofront::testkit

#endif
