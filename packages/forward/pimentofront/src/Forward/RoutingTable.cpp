#include "pimentofront/Forward.h"

#include <cassert>

namespace pimentofront {
namespace {

/// \returns the host without its port, in lower case, followed by the space
/// that separates it from the path prefix in a route's key.
std::string hostKey(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  std::string key(host.substr(0, colon));
  for (char &c : key)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return key + ' ';
}

} // namespace

RoutingTable::RoutingTable(Revision at, RoutingDocument document,
                           const RoutingTable *previous)
    : At(at), Document(std::move(document)),
      Accounts(std::move(Document.Accounts)) {
  for (std::size_t i = 0; i < Document.Routes.size(); ++i) {
    const RouteSpec &it = Document.Routes[i];
    const std::string key = hostKey(it.Host) + it.PathPrefix;
    Routes.emplace(key, i);
    Added.push_back(previous && previous->isAbsentOrAdded(key));
  }
  for (std::size_t i = 0; i < Document.Services.size(); ++i)
    Services.emplace(Document.Services[i].Name, i);
}

bool RoutingTable::isAbsentOrAdded(const std::string &key) const {
  const auto it = Routes.find(key);
  return it == Routes.end() || Added[it->second];
}

bool RoutingTable::isAdded(const RouteSpec &route) const {
  const auto i = static_cast<std::size_t>(&route - Document.Routes.data());
  assert(i < Added.size() && "the route belongs to another table");
  return Added[i];
}

const RouteSpec *RoutingTable::findRoute(std::string_view host,
                                         std::string_view path) const {
  path = path.substr(0, path.find('?'));
  const std::string key = hostKey(host);
  // Every prefix ends with a slash, so only prefixes of the path that end with
  // a slash can match.
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/', slash - 1)) {
    const auto it = Routes.find(key + std::string(path.substr(0, slash + 1)));
    if (it != Routes.end())
      return &Document.Routes[it->second];
    if (slash == 0)
      break;
  }
  return nullptr;
}

const ServiceSpec *RoutingTable::findService(const ServiceName &name) const {
  const auto it = Services.find(name);
  return it == Services.end() ? nullptr : &Document.Services[it->second];
}

const ServiceName &RoutingTable::chooseService(const RouteSpec &route,
                                               double draw) {
  double sum = 0;
  for (const WeightedService &it : route.Split)
    sum += it.Weight;
  double left = draw * sum;
  const WeightedService *last = &route.Split.front();
  for (const WeightedService &it : route.Split) {
    if (it.Weight == 0)
      continue;
    last = &it;
    left -= it.Weight;
    if (left < 0)
      break;
  }
  return last->Service;
}

} // namespace pimentofront
