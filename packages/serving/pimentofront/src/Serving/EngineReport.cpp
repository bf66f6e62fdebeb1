#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Version of an adapter for which none was named yet.
constexpr VersionNumber FirstVersion = 1;

} // namespace

bool EngineReport::hasModel(std::string_view name) const {
  return std::ranges::find(Models, name, &LoadedModel::Name) != Models.end();
}

VersionNumber EngineReport::modelVersion(std::string_view name) const {
  const auto it = std::ranges::find(Models, name, &LoadedModel::Name);
  return it == Models.end() ? 0 : it->Version;
}

std::optional<VersionNumber>
EngineReport::versionOf(const AdapterName &adapter) const {
  const auto it = std::ranges::find(Adapters, adapter, &AdapterKey::Adapter);
  return it == Adapters.end() ? std::nullopt : std::optional(it->Version);
}

bool EngineReport::isPending(const AdapterName &adapter) const {
  return std::ranges::find(Pending, adapter, &AdapterKey::Adapter) !=
         Pending.end();
}

WeightsVersion EngineReport::weightsOf(std::string_view model,
                                       const AdapterName &adapter) const {
  const VersionNumber modelNumber = modelVersion(model);
  if (adapter.empty())
    return {.Model = modelNumber};
  const auto adapterNumber = versionOf(adapter);
  if (!adapterNumber)
    return {};
  return {.Model = modelNumber, .Adapter = *adapterNumber};
}

std::vector<AdapterKey>
EngineReport::resident(const std::map<AdapterName, AdapterKey> &ordered) const {
  std::vector<AdapterKey> result;
  for (const AdapterKey &it : Adapters) {
    const auto order = ordered.find(it.Adapter);
    const bool asOrdered =
        order != ordered.end() &&
        (order->second.Version == 0 || order->second.Version == it.Version);
    if (asOrdered)
      result.push_back(order->second);
    else
      result.push_back(
          {it.Adapter, it.Version == FirstVersion ? 0 : it.Version});
  }
  return result;
}

} // namespace pimentofront
