#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Hash of a part together with all parts before it.
std::uint64_t chainHash(std::uint64_t before, const PromptPart &part) {
  const std::uint64_t pair[] = {before, part.Id};
  return stableHash({reinterpret_cast<const char *>(pair), sizeof(pair)});
}

std::uint64_t initialChainHash(const PromptOwner &owner) {
  const WeightsVersion &weights = owner.Weights;
  if (!weights.isKnown())
    return stableHash(owner.Key.Adapter.str(), owner.Key.Version);
  const VersionNumber versions[] = {weights.Model, weights.Adapter};
  return stableHash(
      {reinterpret_cast<const char *>(versions), sizeof(versions)},
      stableHash(owner.Key.Adapter.str()));
}

} // namespace

std::uint32_t
PrefillModel::uncachedTokens(const PromptOwner &owner,
                             const std::vector<PromptPart> &parts) const {
  std::uint64_t chain = initialChainHash(owner);
  std::uint32_t tokens = 0;
  bool cached = true;
  for (const PromptPart &it : parts) {
    chain = chainHash(chain, it);
    cached = cached && ByChain.contains(chain);
    if (!cached)
      tokens += it.Tokens;
  }
  return tokens;
}

std::uint32_t
PrefillModel::cachedTokens(const PromptOwner &owner,
                           const std::vector<PromptPart> &parts) const {
  return totalTokens(parts) - uncachedTokens(owner, parts);
}

std::uint32_t PrefillModel::begin(TimePoint now, const PromptOwner &owner,
                                  const std::vector<PromptPart> &parts) {
  const std::uint32_t tokens = uncachedTokens(owner, parts);
  BusyUntil = std::max(BusyUntil, now) + fromSeconds(tokens / Rate);
  std::uint64_t chain = initialChainHash(owner);
  for (const PromptPart &it : parts) {
    chain = chainHash(chain, it);
    const auto known = ByChain.find(chain);
    if (known != ByChain.end()) {
      Cached.splice(Cached.begin(), Cached, known->second);
      continue;
    }
    Cached.push_front({chain, it.Tokens});
    ByChain.emplace(chain, Cached.begin());
    CachedTokens += it.Tokens;
  }
  shrink();
  return tokens;
}

void PrefillModel::shrink() {
  while (CachedTokens > Options.CacheTokens && !Cached.empty()) {
    CachedTokens -= Cached.back().Tokens;
    ByChain.erase(Cached.back().Chain);
    Cached.pop_back();
  }
}

void PrefillModel::learn(std::uint32_t tokens, Duration took) {
  if (tokens < Options.MinMeasuredTokens || took <= Duration::zero())
    return;
  ++Measurements;
  // Bounds the influence of one measurement, which other work of the engine may
  // distort.
  constexpr double MaxChange = 4;
  const double measured =
      std::clamp(tokens / toSeconds(took), Rate / MaxChange, Rate * MaxChange);
  Rate += Options.LearningRate * (measured - Rate);
}

void PrefillModel::setCacheTokens(std::uint64_t tokens) {
  if (tokens > 0)
    Options.CacheTokens = tokens;
  shrink();
}

void PrefillModel::clear(TimePoint now) {
  BusyUntil = now;
  Cached.clear();
  ByChain.clear();
  CachedTokens = 0;
}

} // namespace pimentofront
