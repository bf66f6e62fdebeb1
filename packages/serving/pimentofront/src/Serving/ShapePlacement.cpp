#include "pimentofront/Serving.h"

#include <algorithm>
#include <cmath>

namespace pimentofront {
namespace {

/// \returns the adapter slots of an engine, by the first that has reported
/// them.
std::uint32_t slotsOf(const std::vector<const MemberView *> &hosts) {
  constexpr std::uint32_t UnknownSlots = 8;
  const auto it = std::ranges::find_if(hosts, [](const MemberView *host) {
    return host->Load.AdapterSlots > 0;
  });
  return it == hosts.end() ? UnknownSlots : (*it)->Load.AdapterSlots;
}

} // namespace

void ShapePlacement::Demand::add(const Demand &other, double factor) {
  Requests += other.Requests * factor;
  PromptTokens += other.PromptTokens * factor;
  OutputTokens += other.OutputTokens * factor;
  StreamSeconds += other.StreamSeconds * factor;
}

void ShapePlacement::recordRequest(TimePoint now, const RouteQuery &query) {
  const RequestDemand &demand = query.Demand;
  if (demand.PromptTokens == 0 || demand.OutputTokens == 0)
    return;
  if (Routes.size() >= Options.Capacity && !Routes.contains(query.Kind))
    Routes.clear();
  Route &route = Routes[query.Kind];
  route.Model = query.BaseModel;
  Demand total{.Requests = 1,
               .PromptTokens = double(demand.PromptTokens),
               .OutputTokens = double(demand.OutputTokens),
               .StreamSeconds = toSeconds(query.StreamTime),
               .At = now};
  total.add(route.Total, decayFactor(now - route.Total.At, Options.HalfLife));
  route.Total = total;
}

std::optional<ShapePlacement::Division>
ShapePlacement::divide(TimePoint now, const std::string &model) const {
  std::vector<const Demand *> routes;
  for (const auto &[name, it] : Routes)
    if (it.Model == model)
      routes.push_back(&it.Total);
  if (routes.size() < 2)
    return std::nullopt;
  std::ranges::sort(routes, {}, &Demand::contrast);
  std::size_t best = 1;
  double widest = 0;
  for (std::size_t i = 1; i < routes.size(); ++i) {
    const double gap = routes[i]->contrast() / routes[i - 1]->contrast();
    if (gap > widest) {
      widest = gap;
      best = i;
    }
  }
  Division division;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    Demand &group = i < best ? division.Generating : division.Reading;
    group.add(*routes[i], decayFactor(now - routes[i]->At, Options.HalfLife));
  }
  const double seen = division.Generating.Requests + division.Reading.Requests;
  if (widest < Options.MinContrast || seen < Options.MinRequests)
    return std::nullopt;
  return division;
}

double ShapePlacement::enginesNeeded(const Demand &demand,
                                     double tokensPerSecond,
                                     std::uint32_t slots) const {
  const double reading = demand.PromptTokens / tokensPerSecond;
  const double holding = demand.StreamSeconds * Options.SlotsPerStream /
                         std::max<double>(slots, 1);
  return std::max(reading, holding);
}

ShapeOrder
ShapePlacement::arrange(TimePoint now, const RouteQuery &query,
                        std::vector<const MemberView *> &hosts) const {
  const auto route = Routes.find(query.Kind);
  if (!Options.Enabled || !query.Disturbed || hosts.size() < 2 ||
      route == Routes.end())
    return {.Preferred = hosts.size()};
  const auto division = divide(now, query.BaseModel);
  if (!division)
    return {.Preferred = hosts.size()};
  const double threshold =
      std::sqrt(division->Generating.contrast() * division->Reading.contrast());
  const std::uint32_t slots = slotsOf(hosts);
  const double generating =
      enginesNeeded(division->Generating, Options.TokensPerSecond, slots);
  const double reading =
      enginesNeeded(division->Reading, Options.TokensPerSecond, slots);
  const auto n = static_cast<double>(hosts.size());
  const double part = std::round(n * generating / (generating + reading));
  const auto split = static_cast<std::ptrdiff_t>(std::clamp(part, 1.0, n - 1));
  std::ranges::sort(hosts, {}, &MemberView::NameHash);
  if (route->second.Total.contrast() <= threshold)
    return {.Preferred = static_cast<std::size_t>(split)};
  std::rotate(hosts.begin(), hosts.begin() + split, hosts.end());
  return {.Preferred = hosts.size() - static_cast<std::size_t>(split),
          .MaySpill = false};
}

} // namespace pimentofront
