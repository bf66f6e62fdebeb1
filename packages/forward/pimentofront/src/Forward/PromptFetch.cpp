#include "pimentofront/Forward.h"

namespace pimentofront {

const TriedHost *
PromptFetch::chooseSource(const std::vector<TriedHost> &tried,
                          std::uint32_t cachedTokens,
                          const WeightsVersion &weights) const {
  if (!Options.Enabled || !weights.isKnown())
    return nullptr;
  const TriedHost *best = nullptr;
  for (const TriedHost &it : tried)
    if (it.Weights == weights &&
        it.CachedTokens >= cachedTokens + Options.MinTokens &&
        (!best || it.CachedTokens > best->CachedTokens))
      best = &it;
  return best;
}

} // namespace pimentofront
