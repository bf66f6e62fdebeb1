#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {
namespace detail {
namespace {

bool serves(const MemberView &member, const RouteQuery &query) {
  if (query.Service.empty())
    return member.Record.Slots > 0 &&
           member.Record.BaseModel == query.BaseModel;
  const auto &services = member.Record.Services;
  return std::ranges::find(services, query.Service) != services.end();
}

/// Finalizer of SplitMix64 (Steele et al., 2014).
std::uint64_t mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

bool wasTried(const RouteQuery &query, const HostName &host) {
  return std::ranges::find(query.Tried, host, &TriedHost::Host) !=
         query.Tried.end();
}

/// \returns whether the host refused an attempt for which it could have loaded
/// the adapter.
bool wasTriedWithLoad(const RouteQuery &query, const HostName &host) {
  return std::ranges::any_of(query.Tried, [&](const TriedHost &it) {
    return it.Host == host && !it.OnlyIfResident;
  });
}

} // namespace

std::vector<const MemberView *> eligibleHosts(TimePoint now,
                                              const RouteQuery &query,
                                              const MemberViews &members) {
  std::vector<const MemberView *> healthy;
  std::vector<const MemberView *> ejected;
  for (const auto &[host, member] : members) {
    const MemberRecord &record = member.Record;
    if (record.Leaving || record.Gone || member.Drained ||
        member.BackoffUntil > now || !serves(member, query) ||
        !query.Zones.contains(record.Zone) ||
        (query.Software && member.Software != *query.Software))
      continue;
    (member.EjectedUntil > now ? ejected : healthy).push_back(&member);
  }
  return healthy.empty() ? ejected : healthy;
}

std::uint64_t rendezvousHash(const AdapterKey &key, const MemberView &host) {
  return mix(stableHash(key.Adapter.str(), key.Version) ^ host.NameHash);
}

void orderByRendezvous(const AdapterKey &key, std::size_t n,
                       std::vector<const MemberView *> &hosts) {
  const std::uint64_t keyHash = stableHash(key.Adapter.str(), key.Version);
  const auto score = [&](const MemberView *it) {
    return mix(keyHash ^ it->NameHash);
  };
  const std::size_t sorted = std::min(n, hosts.size());
  std::ranges::partial_sort(hosts,
                            hosts.begin() + static_cast<std::ptrdiff_t>(sorted),
                            std::greater<>(), score);
}

} // namespace detail

const char *routeReasonName(RouteReason reason) {
  constexpr const char *Names[] = {"own", "spill", "other_shape", "estimate",
                                   "other"};
  return Names[static_cast<std::size_t>(reason)];
}

std::optional<Route> LeastLoaded::choose(TimePoint now, const RouteQuery &query,
                                         const MemberViews &members) {
  auto hosts = detail::eligibleHosts(now, query, members);
  std::erase_if(hosts, [&](const MemberView *it) {
    return detail::wasTried(query, it->Record.Host);
  });
  if (hosts.empty())
    return std::nullopt;
  const std::size_t first = ++RotationCounter % hosts.size();
  std::rotate(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(first),
              hosts.end());
  const auto load = [](const MemberView *it) {
    return it->Load.Running + it->Load.Queued;
  };
  return Route{(*std::ranges::min_element(hosts, {}, load))->Record.Host};
}

std::optional<Route> ConsistentHash::choose(TimePoint now,
                                            const RouteQuery &query,
                                            const MemberViews &members) {
  auto hosts = detail::eligibleHosts(now, query, members);
  detail::orderByRendezvous(query.Key, query.Tried.size() + 1, hosts);
  for (const MemberView *it : hosts)
    if (!detail::wasTried(query, it->Record.Host))
      return Route{it->Record.Host};
  return std::nullopt;
}

void AffinityRouting::learn(const AdapterKey &key, const HostName &host,
                            bool holds) {
  const auto it = Hints.find(key);
  if (!holds) {
    if (it != Hints.end() && it->second == host)
      Hints.erase(it);
    return;
  }
  if (it != Hints.end()) {
    it->second = host;
    return;
  }
  if (Hints.size() >= Options.HintCapacity)
    Hints.erase(Hints.begin());
  Hints.emplace(key, host);
}

std::optional<Route> AffinityRouting::choose(TimePoint now,
                                             const RouteQuery &query,
                                             const MemberViews &members) {
  auto hosts = detail::eligibleHosts(now, query, members);
  const std::size_t n = std::min<std::size_t>(Options.Choices, hosts.size());
  detail::orderByRendezvous(query.Key, n, hosts);
  hosts.resize(n);
  const auto hint = Hints.find(query.Key);
  if (hint != Hints.end())
    std::stable_partition(
        hosts.begin(), hosts.end(),
        [&](const MemberView *it) { return it->Record.Host == hint->second; });
  for (const MemberView *it : hosts)
    if (!detail::wasTried(query, it->Record.Host))
      return Route{it->Record.Host, /*OnlyIfResident=*/n > 1};
  // No host has the adapter: load it where the eviction costs least.
  const auto cost = [&](const MemberView *it) {
    constexpr double Thousand = 1000;
    const double used = (it->Load.Running + it->Load.Queued) /
                        std::max<double>(it->Load.BatchCapacity, 1);
    return it->Load.VictimValue / Thousand - Options.PackingWeight * used;
  };
  std::erase_if(hosts, [&](const MemberView *it) {
    return detail::wasTriedWithLoad(query, it->Record.Host);
  });
  if (hosts.empty())
    return std::nullopt;
  return Route{(*std::ranges::min_element(hosts, {}, cost))->Record.Host};
}

} // namespace pimentofront
