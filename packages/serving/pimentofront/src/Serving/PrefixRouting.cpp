#include "pimentofront/Serving.h"

#include <algorithm>
#include <cmath>

namespace pimentofront {
namespace {

using Hosts = std::vector<const MemberView *>;

const TriedHost *findTried(const RouteQuery &query, const MemberView &host) {
  const auto it =
      std::ranges::find(query.Tried, host.Record.Host, &TriedHost::Host);
  return it == query.Tried.end() ? nullptr : &*it;
}

/// \returns whether the host refused only because the first event would come
/// too late or because the adapter isn't resident; such a host may be asked
/// again without these conditions.
bool wasConditional(const TriedHost &refusal) {
  return refusal.Reason == RefusalReason::Busy ||
         (refusal.Reason == RefusalReason::NotResident &&
          refusal.OnlyIfResident);
}

/// \returns whether the host refused for any other reason.
bool refusedOutright(const RouteQuery &query, const MemberView &host) {
  return std::ranges::any_of(query.Tried, [&](const TriedHost &it) {
    return it.Host == host.Record.Host && !wasConditional(it);
  });
}

/// Sorts the first \p n hosts by a hash of the prefix and the host, so that the
/// requests with one prefix prefer the same host.
void orderByPrefix(std::uint64_t prefix, std::size_t n, Hosts &hosts) {
  const auto score = [&](const MemberView *it) {
    const std::uint64_t pair[] = {prefix, it->NameHash};
    return stableHash({reinterpret_cast<const char *>(pair), sizeof(pair)});
  };
  std::ranges::sort(hosts.begin(),
                    hosts.begin() + static_cast<std::ptrdiff_t>(n),
                    std::greater<>(), score);
}

} // namespace

double PrefixRouting::decayed(TimePoint now, const Count &count) const {
  return count.Value * decayFactor(now - count.At, Options.HalfLife);
}

void PrefixRouting::recordRequest(TimePoint now, const AdapterKey &key) {
  if (Counts.size() >= Options.Capacity && !Counts.contains(key))
    evictCounts(now);
  Count &count = Counts[key];
  count = {decayed(now, count) + 1, now};
  Total = {decayed(now, Total) + 1, now};
}

void PrefixRouting::evictCounts(TimePoint now) {
  constexpr double OneRequest = 1;
  std::erase_if(Counts, [&](const auto &it) {
    return decayed(now, it.second) < OneRequest;
  });
  if (Counts.size() >= Options.Capacity)
    Counts.clear();
}

std::size_t PrefixRouting::enginesFor(TimePoint now, const AdapterKey &key,
                                      std::size_t engines) const {
  // Every engine serves the base model.
  if (key.Adapter.empty())
    return engines;
  const auto it = Counts.find(key);
  if (it == Counts.end())
    return 1;
  const double share =
      decayed(now, it->second) / (decayed(now, Total) + Options.PriorRequests);
  const auto n = static_cast<std::size_t>(std::ceil(
      share * Options.EnginesPerShare * static_cast<double>(engines)));
  return std::clamp<std::size_t>(n, 1, engines);
}

std::optional<Route> PrefixRouting::choose(TimePoint now,
                                           const RouteQuery &query,
                                           const MemberViews &members) {
  if (query.Tried.empty()) {
    recordRequest(now, query.Key);
    Shapes.recordRequest(now, query);
  }
  Hosts hosts = detail::eligibleHosts(now, query, members);
  if (hosts.empty())
    return std::nullopt;
  const ShapeOrder shape = Shapes.arrange(now, query, hosts);
  const std::size_t preferred = shape.Preferred;
  Hosts others(hosts.begin() + static_cast<std::ptrdiff_t>(preferred),
               hosts.end());
  hosts.resize(preferred);
  const auto shapeEngines =
      others.empty() ? 0 : static_cast<std::uint32_t>(preferred);
  const std::size_t own = enginesFor(now, query.Key, preferred);
  const std::size_t asked = std::min(own + Options.SpillChoices, preferred);
  Balance.order(query.Key, asked, hosts);
  orderByPrefix(query.Prefix, own, hosts);
  const bool hasTarget =
      query.Target != NoTarget && query.Target > Duration::zero();
  const Duration target = hasTarget ? query.Target : Options.DefaultTarget;
  const auto ask = [&](const MemberView &it, double share, RouteReason reason) {
    return Route{.Host = it.Record.Host,
                 .OnlyIfResident = reason == RouteReason::Spill,
                 .FirstEventWithin = fromSeconds(toSeconds(target) * share),
                 .Reason = reason,
                 .ShapeEngines = shapeEngines};
  };
  for (std::size_t i = 0; i < asked; ++i) {
    if (findTried(query, *hosts[i]))
      continue;
    return i < own ? ask(*hosts[i], Options.OwnShare, RouteReason::Own)
                   : ask(*hosts[i], Options.SpillShare, RouteReason::Spill);
  }
  if (shape.MaySpill && !others.empty()) {
    Balance.order(query.Key, 1, others);
    if (!findTried(query, *others.front()))
      return ask(*others.front(), Options.SpillShare, RouteReason::OtherShape);
    hosts.push_back(others.front());
  }
  std::optional<Route> route = chooseByEstimate(query, target, own, hosts);
  if (!route)
    route = chooseByEstimate(query, target, 0, others);
  if (route) {
    route->Reason = RouteReason::Estimate;
    route->ShapeEngines = shapeEngines;
  }
  return route;
}

std::optional<Route> PrefixRouting::chooseByEstimate(
    const RouteQuery &query, Duration target, std::size_t own,
    const std::vector<const MemberView *> &hosts) const {
  const double seconds = toSeconds(target);
  const Duration onTime = fromSeconds(seconds * Options.SpillShare);
  const Duration copyCost = fromSeconds(seconds * Options.CopyCost);
  const MemberView *best = nullptr;
  std::pair<bool, Duration> least;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    if (refusedOutright(query, *hosts[i]))
      continue;
    const TriedHost *refusal = findTried(query, *hosts[i]);
    if (refusal && refusal->Wait <= onTime)
      return Route{.Host = hosts[i]->Record.Host};
    const Duration wait = refusal ? refusal->Wait : hosts[i]->Load.PrefillWait;
    const bool isCopy = i >= own && !(refusal && refusal->HoldsAdapter);
    const std::pair rank(refusal == nullptr,
                         wait + (isCopy ? copyCost : Duration::zero()));
    if (best && rank >= least)
      continue;
    best = hosts[i];
    least = rank;
  }
  return best ? std::optional(Route{.Host = best->Record.Host}) : std::nullopt;
}

} // namespace pimentofront
