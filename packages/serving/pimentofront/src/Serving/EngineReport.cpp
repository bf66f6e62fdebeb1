#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

bool EngineReport::hasModel(std::string_view name) const {
  return std::ranges::find(Models, name) != Models.end();
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

} // namespace pimentofront
