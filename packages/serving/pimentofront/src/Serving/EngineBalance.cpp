#include "pimentofront/Serving.h"

#include <algorithm>
#include <cmath>

namespace pimentofront {
namespace {

using Hosts = std::vector<const MemberView *>;

/// \returns the median of the reported paces; 0 if none is reported.
std::uint32_t medianPace(const Hosts &hosts) {
  std::vector<std::uint32_t> paces;
  for (const MemberView *it : hosts)
    if (it->Load.PromptRate > 0)
      paces.push_back(it->Load.PromptRate);
  if (paces.empty())
    return 0;
  const auto middle =
      paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::ranges::nth_element(paces, middle);
  return *middle;
}

/// \returns \p hash as a number between 0 and 1, without the ends.
double unitInterval(std::uint64_t hash) {
  constexpr int DroppedBits = 11;
  constexpr double Scale = 1.0 / (std::uint64_t(1) << 53);
  return (static_cast<double>(hash >> DroppedBits) + 0.5) * Scale;
}

} // namespace

double EngineBalance::weightOf(std::uint32_t pace, std::uint32_t median) const {
  if (!Options.Enabled || pace == 0 || pace >= Options.SlowShare * median)
    return 1;
  const double steps = std::round(pace / (Options.WeightStep * median));
  return std::clamp(steps * Options.WeightStep, Options.MinWeight, 1.0);
}

void EngineBalance::order(const AdapterKey &key, std::size_t n,
                          Hosts &hosts) const {
  const std::uint32_t median = medianPace(hosts);
  const auto weight = [&](const MemberView *it) {
    return weightOf(it->Load.PromptRate, median);
  };
  const bool even = std::ranges::all_of(
      hosts, [&](const MemberView *it) { return weight(it) >= 1; });
  if (even)
    return detail::orderByRendezvous(key, n, hosts);
  const auto score = [&](const MemberView *it) {
    return -weight(it) /
           std::log(unitInterval(detail::rendezvousHash(key, *it)));
  };
  const auto sorted = static_cast<std::ptrdiff_t>(std::min(n, hosts.size()));
  std::ranges::partial_sort(hosts, hosts.begin() + sorted, std::greater<>(),
                            score);
}

} // namespace pimentofront
