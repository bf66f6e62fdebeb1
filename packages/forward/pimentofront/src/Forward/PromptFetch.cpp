#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {

const TriedHost *PromptFetch::chooseSource(const std::vector<TriedHost> &tried,
                                           std::uint32_t cachedTokens) const {
  if (!Options.Enabled || tried.empty())
    return nullptr;
  const auto best =
      std::ranges::max_element(tried, {}, &TriedHost::CachedTokens);
  const bool enough = best->CachedTokens >= cachedTokens + Options.MinTokens;
  return enough ? &*best : nullptr;
}

} // namespace pimentofront
