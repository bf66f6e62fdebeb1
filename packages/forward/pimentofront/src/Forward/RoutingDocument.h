#ifndef PIMENTOFRONT_FORWARD_ROUTING_DOCUMENT_H
#define PIMENTOFRONT_FORWARD_ROUTING_DOCUMENT_H

#include "pimentofront/Account.h"
#include "pimentofront/Wire.h"

#include <optional>
#include <vector>

namespace pimentofront {

/// Whether a request may be run more than once.
enum class Repeatability : std::uint8_t {
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// Answered by a stream of events. Runs at most once, unless the route allows
  /// streams to be resumed.
  Stream,
};

/// \class WeightedService
/// \ingroup Forward
/// \brief A service and the weight of its share of a route's requests.
struct WeightedService {
  ServiceName Service;
  std::uint32_t Weight = 1;
  friend auto operator<=>(const WeightedService &,
                          const WeightedService &) = default;
};

/// \class RouteSpec
/// \ingroup Forward
/// \brief Where the requests for one host and path prefix go.
struct RouteSpec {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  Repeatability Kind = Repeatability::NonIdempotent;
  std::vector<WeightedService> Split;
  /// Maximum time for which a caller waits for the answer. Caps the timeout
  /// that the caller states.
  Duration Timeout = Duration::zero();
  /// An answer within this time has the highest utility.
  Duration LatencyTarget = Duration::zero();
  /// Longest time between two events of a stream for which the answer counts as
  /// on time; nothing if the route sets none.
  std::optional<Duration> PauseTarget;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Maximum number of backend servers to which one request may be sent.
  std::uint32_t MaxServers = 1;
  /// A stream that broke off may be resumed at another backend server.
  bool Resumable = false;
  /// Accepts requests without a key.
  bool Public = false;
  /// Regions in which its requests may be served; empty means all regions.
  std::vector<RegionName> Regions;
  friend auto operator<=>(const RouteSpec &, const RouteSpec &) = default;

  /// \returns whether a request may be run again at another backend server.
  bool mayRepeat() const {
    return Kind == Repeatability::Idempotent ||
           (Kind == Repeatability::Stream && Resumable);
  }
};

/// \class ModelSpec
/// \ingroup Forward
/// \brief A base model that engines can load, with its memory needs.
struct ModelSpec {
  std::string Name;
  double WeightsMb = 0;
  double AdapterMb = 0;
  friend auto operator<=>(const ModelSpec &, const ModelSpec &) = default;
};

/// \class EngineSpec
/// \ingroup Forward
/// \brief Capacity of each engine of a service.
struct EngineSpec {
  /// Maximum number of requests in one batch.
  std::uint32_t BatchCapacity = 1;
  std::uint32_t AdapterSlots = 0;
  /// Memory for weights and adapters together.
  double WeightsMb = 0;
  /// Capacity of the KV cache, in tokens of prompts and answers.
  std::uint64_t CacheTokens = 0;
  std::vector<ModelSpec> Models;
  friend auto operator<=>(const EngineSpec &, const EngineSpec &) = default;
};

/// \class ServiceSpec
/// \ingroup Forward
/// \brief A group of interchangeable backend servers.
struct ServiceSpec {
  ServiceName Name;
  std::string HealthPath;
  /// Connections that one backend server accepts from all hosts together.
  std::uint32_t MaxConnections = 0;
  /// Rate limit of a cold server, in requests a second from all entries
  /// together, for ColdTime after it has started or returned to use; 0 sets no
  /// limit.
  double ColdPerSecond = 0;
  Duration ColdTime = Duration::zero();
  /// Set if the backend servers are model engines.
  std::optional<EngineSpec> Engine;
  friend auto operator<=>(const ServiceSpec &, const ServiceSpec &) = default;

  /// \returns the cold start of a server that remains cold for \p left; an
  /// empty value if the service doesn't limit cold servers.
  ColdStart coldStartFor(Duration left) const;
};

/// \class CallerLimits
/// \ingroup Forward
/// \brief Limits on the size of a caller's request and on the time in which the
/// caller sends it.
struct CallerLimits {
  std::size_t MaxHeadBytes = std::size_t(16) << 10;
  std::size_t MaxBodyBytes = std::size_t(4) << 20;
  Duration HeadTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
  friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

/// \class RoutingDocument
/// \ingroup Forward
/// \brief The operators' routing configuration, accepted or refused as a whole.
struct RoutingDocument {
  std::uint64_t Number = 0;
  std::vector<RouteSpec> Routes;
  std::vector<ServiceSpec> Services;
  CallerLimits Limits;
  /// Empty means that requests need no key.
  std::vector<ClientAccount> Accounts;
  friend auto operator<=>(const RoutingDocument &,
                          const RoutingDocument &) = default;

  /// Adds a finding for each error that makes the document unusable.
  void check(Findings &findings) const;
};

} // namespace pimentofront

#endif
