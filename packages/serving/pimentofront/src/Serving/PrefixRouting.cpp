#include "pimentofront/Serving.h"

#include <algorithm>
#include <cmath>

namespace pimentofront {
namespace {

using Hosts = std::vector<const MemberView *>;

const TriedHost *triedOf(const RouteQuery &query, const MemberView &host) {
  const auto it =
      std::ranges::find(query.Tried, host.Record.Host, &TriedHost::Host);
  return it == query.Tried.end() ? nullptr : &*it;
}

/// \returns whether the host said no for another reason than being busy.
bool isOut(const RouteQuery &query, const MemberView &host) {
  return std::ranges::any_of(query.Tried, [&](const TriedHost &it) {
    return it.Host == host.Record.Host && it.Reason != RefusalReason::Busy;
  });
}

/// Orders the first \p n hosts by the prefix, so that each prefix has its own
/// first one.
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
  return count.Value * remainingShare(now - count.At, Options.HalfLife);
}

void PrefixRouting::noteRequest(TimePoint now, const AdapterKey &key) {
  if (Counts.size() >= Options.Capacity && !Counts.contains(key))
    forgetSome(now);
  Count &count = Counts[key];
  count = {decayed(now, count) + 1, now};
  Total = {decayed(now, Total) + 1, now};
}

void PrefixRouting::forgetSome(TimePoint now) {
  constexpr double OneRequest = 1;
  std::erase_if(Counts, [&](const auto &it) {
    return decayed(now, it.second) < OneRequest;
  });
  if (Counts.size() >= Options.Capacity)
    Counts.clear();
}

std::size_t PrefixRouting::enginesFor(TimePoint now, const AdapterKey &key,
                                      std::size_t engines) const {
  // The base model is everywhere.
  if (key.Adapter.empty())
    return engines;
  const auto it = Counts.find(key);
  if (it == Counts.end())
    return 1;
  const double share =
      decayed(now, it->second) / (decayed(now, Total) + Options.PriorRequests);
  const auto n = static_cast<std::size_t>(
      std::ceil(share * Options.Spread * static_cast<double>(engines)));
  return std::clamp<std::size_t>(n, 1, engines);
}

std::optional<Route> PrefixRouting::choose(TimePoint now,
                                           const RouteQuery &query,
                                           const MemberViews &members) {
  if (query.Tried.empty())
    noteRequest(now, query.Key);
  Hosts hosts = detail::eligibleHosts(now, query, members);
  if (hosts.empty())
    return std::nullopt;
  const std::size_t own = enginesFor(now, query.Key, hosts.size());
  const std::size_t asked = std::min(own + Options.SpillChoices, hosts.size());
  detail::orderByRendezvous(query.Key, asked, hosts);
  orderByPrefix(query.Prefix, own, hosts);
  const bool aims = query.Target != NoTarget && query.Target > Duration::zero();
  const Duration target = aims ? query.Target : Options.DefaultTarget;
  for (std::size_t i = 0; i < asked; ++i) {
    const MemberView &it = *hosts[i];
    if (triedOf(query, it))
      continue;
    const double share = i < own ? Options.OwnShare : Options.SpillShare;
    return Route{.Host = it.Record.Host,
                 .FirstEventWithin = fromSeconds(toSeconds(target) * share)};
  }
  // All are busy: the one that is so least takes it.
  std::erase_if(hosts, [&](const MemberView *it) { return isOut(query, *it); });
  if (hosts.empty())
    return std::nullopt;
  const auto wait = [&](const MemberView *it) {
    const TriedHost *word = triedOf(query, *it);
    return std::pair(word == nullptr, word ? word->Wait : it->Load.PrefillWait);
  };
  return Route{.Host =
                   (*std::ranges::min_element(hosts, {}, wait))->Record.Host};
}

} // namespace pimentofront
