#ifndef PIMENTOFRONT_SERVING_ROUTING_POLICY_H
#define PIMENTOFRONT_SERVING_ROUTING_POLICY_H

#include "AllowedZones.h"
#include "pimentofront/Wire.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace pimentofront {

/// \class MemberView
/// \ingroup Serving
/// \brief What an entry knows of one backend server's host.
struct MemberView {
  MemberRecord Record;
  /// Hash of the host's name, for the rendezvous order.
  std::uint64_t NameHash = 0;
  /// Last word of the agent on its load; a hint.
  LoadFigures Load;
  /// Set after failures: routed to only when nothing else is left.
  TimePoint SuspendedUntil;
  std::uint32_t Failures = 0;
  /// Its server wants nothing from this entry until then: nothing is sent
  /// there, whatever else is left.
  TimePoint RestUntil;
  /// An operator has taken the host out of use.
  bool Drained = false;
  /// The leader of the replicas hasn't named it since the leader changed.
  bool Unconfirmed = false;
};
using MemberViews = std::map<HostName, MemberView>;

/// \class TriedHost
/// \ingroup Serving
/// \brief A host that turned this request down, and why.
struct TriedHost {
  HostName Host;
  RefusalReason Reason = RefusalReason::None;
  LoadFigures Load;
  /// The host was asked only for what is resident.
  bool OnlyIfResident = false;
  /// How long this request would wait there, by the word of the host.
  Duration Wait = Duration::zero();
  /// The host has its adapter, or is loading it.
  bool Holds = false;
};

/// \class RouteQuery
/// \ingroup Serving
struct RouteQuery {
  AdapterKey Key;
  std::string BaseModel;
  /// Set for a plain service; then there is no adapter.
  ServiceName Service;
  const std::vector<TriedHost> &Tried;
  /// Requests with the same number share most of their prompt; 0 is none.
  std::uint64_t Prefix = 0;
  /// Time until the first event has to come; not positive when it is late.
  Duration Target = NoTarget;
  /// Where it may be served.
  AllowedZones Zones;
};

/// \class Route
/// \ingroup Serving
struct Route {
  HostName Host;
  /// Asks the host to refuse rather than load.
  bool OnlyIfResident = false;
  /// Asks the host to refuse when the first event would come later; zero sets
  /// no limit.
  Duration FirstEventWithin = Duration::zero();
};

/// \class RoutingPolicy
/// \ingroup Serving
/// \brief Which backend server gets a request.
class RoutingPolicy {
public:
  virtual ~RoutingPolicy() = default;
  /// \returns the next host to try, or nothing when all have been.
  virtual std::optional<Route> choose(TimePoint now, const RouteQuery &query,
                                      const MemberViews &members) = 0;
  /// The adapter was found to be on this host, or not.
  virtual void learn(const AdapterKey &, const HostName &, bool) {}
};

/// \class LeastLoaded
/// \ingroup Serving
/// \brief The host with the fewest requests, wherever the adapter is; a
/// baseline, and the way for plain services.
class LeastLoaded : public RoutingPolicy {
public:
  std::optional<Route> choose(TimePoint now, const RouteQuery &query,
                              const MemberViews &members) override;

private:
  /// Breaks ties in turn.
  std::uint64_t Turn = 0;
};

/// \class ConsistentHash
/// \ingroup Serving
/// \brief The first host of the rendezvous order (Thaler and Ravishankar,
/// 1998), the next one when it refuses; a baseline.
class ConsistentHash : public RoutingPolicy {
public:
  std::optional<Route> choose(TimePoint now, const RouteQuery &query,
                              const MemberViews &members) override;
};

/// \class AffinityOptions
/// \ingroup Serving
struct AffinityOptions {
  /// Hosts of the rendezvous order that may hold an adapter.
  std::uint32_t Choices = 4;
  /// Adapters whose host is remembered.
  std::size_t HintCapacity = 8192;
  /// How much a full batch counts against the worth of the adapter that would
  /// be given up, in requests; more packs low-traffic adapters together.
  double PackingWeight = 0;
};

/// \class AffinityRouting
/// \ingroup Serving
/// \brief Asks the few hosts that may hold the adapter, the remembered one
/// first, and has it loaded where the least is lost when none does.
///
/// An entry keeps no table of adapters and hosts: each adapter has a few hosts
/// in a fixed order, the agents themselves say whether they hold it, and a
/// miss costs a few round trips, which are little beside a load. With several
/// choices a slot is taken from the least popular adapter of several hosts
/// (the power of two choices, Mitzenmacher, 2001), which comes near to one
/// cache over all of them.
class AffinityRouting : public RoutingPolicy {
public:
  explicit AffinityRouting(const AffinityOptions &options) : Options(options) {}
  std::optional<Route> choose(TimePoint now, const RouteQuery &query,
                              const MemberViews &members) override;
  void learn(const AdapterKey &key, const HostName &host, bool holds) override;

private:
  AffinityOptions Options;
  std::unordered_map<AdapterKey, HostName> Hints;
};

namespace detail {

/// \returns hosts that may get the request now: not leaving, drained or
/// suspended, in an allowed zone, with the base model or service. Suspended
/// ones only when there is no other.
std::vector<const MemberView *> eligibleHosts(TimePoint now,
                                              const RouteQuery &query,
                                              const MemberViews &members);
/// Sorts the first \p n of \p hosts into the rendezvous order of \p key.
void orderByRendezvous(const AdapterKey &key, std::size_t n,
                       std::vector<const MemberView *> &hosts);

} // namespace detail
} // namespace pimentofront

#endif
