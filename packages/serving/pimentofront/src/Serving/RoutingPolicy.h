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
/// \brief An entry's view of one backend server's host.
struct MemberView {
  MemberRecord Record;
  /// Hash of the host's name, for the rendezvous order.
  std::uint64_t NameHash = 0;
  /// Load that the agent last reported; it may be out of date.
  AgentLoad Load;
  /// Set after failures: until then the host is chosen only if there is no
  /// other.
  TimePoint EjectedUntil;
  std::uint32_t Failures = 0;
  /// The server has asked this entry to send no requests before this time. None
  /// is sent, even if there is no other host.
  TimePoint BackoffUntil;
  /// Software version of the backend server on the host; empty if it states
  /// none.
  std::string Software;
  /// An operator has drained the host or evacuated its zone.
  bool Drained = false;
  /// The replicas' current leader hasn't listed the host since it took over.
  bool Unconfirmed = false;
};
using MemberViews = std::map<HostName, MemberView>;

/// \class TriedHost
/// \ingroup Serving
/// \brief A host that refused this request, and why.
struct TriedHost {
  HostName Host;
  RefusalReason Reason = RefusalReason::None;
  AgentLoad Load;
  /// The attempt required the adapter to be resident.
  bool OnlyIfResident = false;
  /// Wait of this request there, as the host estimates it.
  Duration Wait = Duration::zero();
  /// The host has the adapter, or is loading it.
  bool HoldsAdapter = false;
  /// Prompt tokens that its engine has cached for this request.
  std::uint32_t CachedTokens = 0;
  /// The weights that its engine has loaded for this request.
  WeightsVersion Weights;
  /// The engine's process that the host was asked about.
  ServerProcess Engine;
};

/// \class RouteQuery
/// \ingroup Serving
struct RouteQuery {
  AdapterKey Key;
  std::string BaseModel;
  /// Set for a call of a plain service, which uses no adapter.
  ServiceName Service;
  const std::vector<TriedHost> &Tried;
  /// Requests with the same number share most of their prompt; 0 means none.
  std::uint64_t Prefix = 0;
  /// Time left until the first event is due; zero or negative when it is late.
  Duration Target = NoTarget;
  /// Zones in which the request may be served.
  AllowedZones Zones;
  /// Software version of the backend server that has to run the request;
  /// nothing if any may.
  std::optional<std::string> Software;
  /// Name of its route.
  std::string Kind;
  /// What it asks of an engine.
  RequestDemand Demand;
  /// Mean time that the streams of its route take; zero if unknown.
  Duration StreamTime = Duration::zero();
  /// Streams of the service exceed the pauses that their routes allow.
  bool Disturbed = false;
};

/// Why a host was chosen, for logs and metrics.
enum class RouteReason : std::uint8_t {
  /// It is one of the adapter's own engines.
  Own,
  /// It comes after these, and may have the adapter.
  Spill,
  /// It is beyond the part of the engines that requests of this shape prefer.
  OtherShape,
  /// All that were asked with a limit have refused; its wait is the shortest.
  Estimate,
  /// The policy gives no reason.
  Other,
};
/// \returns the name of \p reason in logs and metrics.
const char *routeReasonName(RouteReason reason);

/// \class Route
/// \ingroup Serving
struct Route {
  HostName Host;
  /// The host refuses the request if it would have to load the adapter.
  bool OnlyIfResident = false;
  /// The host refuses the request if its first event would take longer; zero
  /// sets no limit.
  Duration FirstEventWithin = Duration::zero();
  RouteReason Reason = RouteReason::Other;
  /// Number of engines that requests of this shape prefer; zero if requests
  /// aren't placed by shape.
  std::uint32_t ShapeEngines = 0;
};

/// \class RoutingPolicy
/// \ingroup Serving
/// \brief Chooses the backend server for a request.
class RoutingPolicy {
public:
  virtual ~RoutingPolicy() = default;
  /// \returns the next host to try, or nothing if all were tried.
  virtual std::optional<Route> choose(TimePoint now, const RouteQuery &query,
                                      const MemberViews &members) = 0;
  /// Records whether the adapter was found on this host.
  virtual void learn(const AdapterKey &, const HostName &, bool) {}
};

/// \class LeastLoaded
/// \ingroup Serving
/// \brief Chooses the host with the fewest requests, wherever the adapter is.
/// Used for plain services, and as a baseline for adapters.
class LeastLoaded : public RoutingPolicy {
public:
  std::optional<Route> choose(TimePoint now, const RouteQuery &query,
                              const MemberViews &members) override;

private:
  /// Round-robin position that breaks ties.
  std::uint64_t RotationCounter = 0;
};

/// \class ConsistentHash
/// \ingroup Serving
/// \brief Chooses the first host of the rendezvous order (Thaler and
/// Ravishankar, 1998), and the next one when it refuses; a baseline.
class ConsistentHash : public RoutingPolicy {
public:
  std::optional<Route> choose(TimePoint now, const RouteQuery &query,
                              const MemberViews &members) override;
};

/// \class AffinityOptions
/// \ingroup Serving
struct AffinityOptions {
  /// Number of hosts in the rendezvous order that may hold an adapter.
  std::uint32_t Choices = 4;
  /// Maximum number of adapters whose last known host is remembered.
  std::size_t HintCapacity = 8192;
  /// Weight of a full batch against the value of the adapter that would be
  /// evicted, in requests. A higher weight places low-traffic adapters together
  /// on fewer hosts.
  double PackingWeight = 0;
};

/// \class AffinityRouting
/// \ingroup Serving
/// \brief Asks the few hosts that may hold the adapter, the last known one
/// first. If none has it, it is loaded on the host where the eviction costs
/// least.
///
/// An entry keeps no table of adapters and hosts: each adapter has a few hosts
/// in a fixed order, and the agents report whether they hold it. A miss costs a
/// few round trips, which take little time compared to a load. With several
/// choices the slot of the least popular adapter over several hosts is taken
/// (the power of two choices, Mitzenmacher, 2001), which comes close to a
/// single cache over all hosts.
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

/// \returns the hosts that may get the request now: not leaving, not drained,
/// not backing off, in an allowed zone, with the base model or service. Hosts
/// with recent failures are returned only if there is no other.
std::vector<const MemberView *> eligibleHosts(TimePoint now,
                                              const RouteQuery &query,
                                              const MemberViews &members);
/// \returns the rank of the host in the rendezvous order of \p key; the highest
/// one comes first.
std::uint64_t rendezvousHash(const AdapterKey &key, const MemberView &host);
/// Moves the first \p n hosts in the rendezvous order of \p key to the front of
/// \p hosts, in that order.
void orderByRendezvous(const AdapterKey &key, std::size_t n,
                       std::vector<const MemberView *> &hosts);

} // namespace detail
} // namespace pimentofront

#endif
