#include "pimentofront/Forward.h"

#include <set>

namespace pimentofront {
namespace {

std::string locationOf(const char *list, std::size_t i, const char *field) {
  return std::string("/") + list + "/" + std::to_string(i) + "/" + field;
}

using ServiceNames = std::set<ServiceName>;

void checkSplit(const RouteSpec &route, std::size_t i,
                const ServiceNames &services, Findings &findings) {
  std::uint64_t sum = 0;
  for (const WeightedService &it : route.Split) {
    sum += it.Weight;
    if (!services.contains(it.Service))
      findings.add(locationOf("routes", i, "split"),
                   "no service '" + it.Service.str() + "'");
  }
  if (sum == 0)
    findings.add(locationOf("routes", i, "split"), "the weights add up to 0");
}

void checkRoute(const RouteSpec &route, std::size_t i,
                const ServiceNames &services, Findings &findings) {
  checkSplit(route, i, services, findings);
  const std::string &prefix = route.PathPrefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
    findings.add(locationOf("routes", i, "prefix"),
                 "expected a path that begins and ends with a slash");
  if (route.Timeout <= Duration::zero())
    findings.add(locationOf("routes", i, "timeout"), "expected more than 0");
  if (route.Kind == Repeatability::Stream && route.PauseTarget &&
      *route.PauseTarget <= Duration::zero())
    findings.add(locationOf("routes", i, "pause"), "expected more than 0");
}

} // namespace

ColdStart ServiceSpec::coldStartFor(Duration left) const {
  if (ColdPerSecond <= 0)
    return {};
  return {.PerThousandSeconds = toPerThousandSeconds(ColdPerSecond),
          .Remaining = left};
}

void RoutingDocument::check(Findings &findings) const {
  ServiceNames services;
  for (std::size_t i = 0; i < Services.size(); ++i)
    if (!services.insert(Services[i].Name).second)
      findings.add(locationOf("services", i, "name"),
                   "service '" + Services[i].Name.str() + "' stands twice");
  std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
  for (std::size_t i = 0; i < Routes.size(); ++i) {
    const RouteSpec &route = Routes[i];
    checkRoute(route, i, services, findings);
    if (!hostsAndPrefixes.emplace(route.Host, route.PathPrefix).second)
      findings.add(locationOf("routes", i, "prefix"),
                   "another route has the same host and prefix");
  }
  checkAccounts(Accounts, findings);
}

} // namespace pimentofront
