#ifndef PIMENTOFRONT_FORWARD_ROUTING_DOCUMENT_H
#define PIMENTOFRONT_FORWARD_ROUTING_DOCUMENT_H

#include "pimentofront/Account.h"
#include "pimentofront/Wire.h"

#include <optional>
#include <vector>

namespace pimentofront {

/// What may be done with a request more than once.
enum class Repeatability : std::uint8_t {
  /// May run more than once.
  Idempotent,
  /// Runs once at most.
  NonIdempotent,
  /// Answered by a stream of events; runs once at most, unless the route says
  /// that streams may be resumed.
  Stream,
};

/// \class WeightedService
/// \ingroup Forward
/// \brief A service and its share of a route's requests.
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
  /// The longest that a request may be kept waiting.
  Duration Timeout = Duration::zero();
  /// An answer within this time is worth most.
  Duration LatencyTarget = Duration::zero();
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Backend servers to which one request may be sent.
  std::uint32_t MaxServers = 1;
  /// A stream that broke off may go on at another backend server.
  bool Resumable = false;
  /// Takes requests of anybody, without a key.
  bool Public = false;
  /// Its requests may be served in these regions only; none: everywhere.
  std::vector<RegionName> Regions;
  friend auto operator<=>(const RouteSpec &, const RouteSpec &) = default;

  /// \returns whether a request may run at a second backend server.
  bool mayRepeat() const {
    return Kind == Repeatability::Idempotent ||
           (Kind == Repeatability::Stream && Resumable);
  }
};

/// \class ModelSpec
/// \ingroup Forward
/// \brief A base model that engines can hold.
struct ModelSpec {
  std::string Name;
  double WeightsMb = 0;
  double AdapterMb = 0;
  friend auto operator<=>(const ModelSpec &, const ModelSpec &) = default;
};

/// \class EngineSpec
/// \ingroup Forward
/// \brief What each engine of a service can hold and run.
struct EngineSpec {
  /// Requests in one batch.
  std::uint32_t BatchCapacity = 1;
  std::uint32_t AdapterSlots = 0;
  /// Memory for weights and adapters together.
  double WeightsMb = 0;
  /// Tokens of prompts and answers that fit.
  std::uint64_t CacheTokens = 0;
  std::vector<ModelSpec> Models;
  friend auto operator<=>(const EngineSpec &, const EngineSpec &) = default;
};

/// \class ServiceSpec
/// \ingroup Forward
/// \brief Backend servers that do the same.
struct ServiceSpec {
  ServiceName Name;
  std::string HealthPath;
  /// Connections that one backend server accepts, from all hosts together.
  std::uint32_t MaxConnections = 0;
  /// A server that has started, or come back, takes so many requests a second
  /// from all entries together for this time; 0 sets no limit.
  double ColdPerSecond = 0;
  Duration ColdTime = Duration::zero();
  /// Set where the backend servers run models.
  std::optional<EngineSpec> Engine;
  friend auto operator<=>(const ServiceSpec &, const ServiceSpec &) = default;

  /// \returns that a server of it is cold for \p left; that it isn't, if cold
  /// servers take as much as others.
  ColdStart coldFor(Duration left) const;
};

/// \class CallerLimits
/// \ingroup Forward
/// \brief Bounds on what a caller may send, and how long it may take.
struct CallerLimits {
  std::size_t MaxHeadBytes = std::size_t(16) << 10;
  std::size_t MaxBodyBytes = std::size_t(4) << 20;
  Duration HeadTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
  friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

/// \class RoutingDocument
/// \ingroup Forward
/// \brief All that operators say about routing; accepted or refused whole.
struct RoutingDocument {
  std::uint64_t Number = 0;
  std::vector<RouteSpec> Routes;
  std::vector<ServiceSpec> Services;
  CallerLimits Limits;
  /// None: nobody needs a key.
  std::vector<ClientAccount> Accounts;
  friend auto operator<=>(const RoutingDocument &,
                          const RoutingDocument &) = default;

  /// Adds a finding for each thing that makes the document unusable.
  void check(Findings &findings) const;
};

} // namespace pimentofront

#endif
