#ifndef PIMENTOFRONT_SERVING_PREFILL_MODEL_H
#define PIMENTOFRONT_SERVING_PREFILL_MODEL_H

#include "pimentofront/Wire.h"

#include <list>
#include <unordered_map>

namespace pimentofront {

/// \class PrefillOptions
/// \ingroup Serving
struct PrefillOptions {
  /// Prompt tokens that the engine caches, until its profile is known.
  std::uint64_t CacheTokens = 200'000;
  /// Prefill speed in prompt tokens per second, until it has been measured.
  double TokensPerSecond = 40'000;
  /// Weight of the newest measurement in the moving average.
  double LearningRate = 0.1;
  /// Minimum number of prompt tokens for a measurement: the time of shorter
  /// prompts is mostly other work.
  std::uint32_t MinMeasuredTokens = 1000;
  /// Measurements before the speed is told to others.
  std::uint32_t MinMeasurements = 10;
};

/// \class PromptOwner
/// \ingroup Serving
/// \brief Whose prompts an engine can share what it has cached with.
struct PromptOwner {
  AdapterKey Key;
  /// The weights that the engine has loaded for the key. If they are unknown,
  /// the key's version stands for them.
  WeightsVersion Weights;
};

/// \class PrefillModel
/// \ingroup Serving
/// \brief Estimates which prompt parts an engine has cached and how long its
/// prefill queue is, from what the agent beside it knows.
///
/// Prefill is the largest part of a request's work. A part needs none if it is
/// cached for the same adapter together with all parts before it, with the
/// weights that the engine has loaded now. The model
/// keeps the chains of parts in LRU order and drops the least recently used
/// ones, as engines do. If the engine drops a part for another reason, the
/// estimate is too low for one request.
class PrefillModel {
public:
  explicit PrefillModel(const PrefillOptions &options = {})
      : Options(options), Rate(options.TokensPerSecond) {}

  /// \returns the number of tokens in \p parts that aren't cached for
  /// \p owner.
  std::uint32_t uncachedTokens(const PromptOwner &owner,
                               const std::vector<PromptPart> &parts) const;
  /// \returns the number of tokens in \p parts that are cached for \p owner.
  std::uint32_t cachedTokens(const PromptOwner &owner,
                             const std::vector<PromptPart> &parts) const;
  /// \returns the prefill time of \p parts for \p owner.
  Duration prefillTime(const PromptOwner &owner,
                       const std::vector<PromptPart> &parts) const {
    return fromSeconds(uncachedTokens(owner, parts) / Rate);
  }
  /// \returns the time until the engine has prefilled all prompts sent to it.
  Duration wait(TimePoint now) const {
    return std::max(BusyUntil - now, Duration::zero());
  }
  /// Records that a prompt was sent to the engine.
  /// \returns the number of tokens that the engine has to prefill.
  std::uint32_t begin(TimePoint now, const PromptOwner &owner,
                      const std::vector<PromptPart> &parts);
  /// Updates the prefill speed: \p tokens took \p took on an engine without
  /// other prompts.
  void learn(std::uint32_t tokens, Duration took);
  void setCacheTokens(std::uint64_t tokens);
  /// Empties the cache model after a restart of the engine.
  void clear(TimePoint now);
  double tokensPerSecond() const { return Rate; }
  /// \returns the prefill speed in prompt tokens per second; 0 until enough
  /// measurements outweigh the presumed one.
  std::uint32_t measuredRate() const {
    return Measurements < Options.MinMeasurements
               ? 0
               : static_cast<std::uint32_t>(Rate);
  }

private:
  struct Part {
    std::uint64_t Chain = 0;
    std::uint32_t Tokens = 0;
  };
  void shrink();

  PrefillOptions Options;
  double Rate;
  std::uint32_t Measurements = 0;
  TimePoint BusyUntil;
  /// Most recently used first.
  std::list<Part> Cached;
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> ByChain;
  std::uint64_t CachedTokens = 0;
};

} // namespace pimentofront

#endif
