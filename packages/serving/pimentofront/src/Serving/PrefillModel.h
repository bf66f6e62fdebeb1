#ifndef PIMENTOFRONT_SERVING_PREFILL_MODEL_H
#define PIMENTOFRONT_SERVING_PREFILL_MODEL_H

#include "pimentofront/Wire.h"

#include <list>
#include <unordered_map>

namespace pimentofront {

/// \class PrefillOptions
/// \ingroup Serving
struct PrefillOptions {
  /// Tokens of prompts that the engine keeps, until it is told.
  std::uint64_t CacheTokens = 200'000;
  /// Prompt tokens that it reads in a second, until some have been measured.
  double TokensPerSecond = 40'000;
  /// Weight of the newest measurement.
  double LearningRate = 0.1;
  /// Prompts shorter than this say little: their time is mostly other work.
  std::uint32_t LeastMeasured = 1000;
};

/// \class PrefillModel
/// \ingroup Serving
/// \brief What an engine has cached of prompts and how long it will be reading
/// those that it was given, as far as the agent beside it can tell.
///
/// Reading a prompt is the largest part of a request's work, and a part that
/// is cached for the same adapter, with all parts before it, needs no reading.
/// The model keeps the chains of parts in the order of their use and drops the
/// least recently used ones, as engines do; what the engine drops for other
/// reasons makes it too hopeful for one request.
class PrefillModel {
public:
  explicit PrefillModel(const PrefillOptions &options = {})
      : Options(options), Rate(options.TokensPerSecond) {}

  /// \returns the tokens of \p parts that aren't cached for \p key.
  std::uint32_t missing(const AdapterKey &key,
                        const std::vector<PromptPart> &parts) const;
  /// \returns how long it takes to read \p parts for \p key.
  Duration reading(const AdapterKey &key,
                   const std::vector<PromptPart> &parts) const {
    return fromSeconds(missing(key, parts) / Rate);
  }
  /// \returns how long the engine is busy with the prompts it was given.
  Duration wait(TimePoint now) const {
    return std::max(BusyUntil - now, Duration::zero());
  }
  /// The engine was given a prompt; \returns the tokens that it has to read.
  std::uint32_t begin(TimePoint now, const AdapterKey &key,
                      const std::vector<PromptPart> &parts);
  /// Reading \p tokens on an engine without other prompts took \p took.
  void learn(std::uint32_t tokens, Duration took);
  void setCacheTokens(std::uint64_t tokens);
  /// The engine started anew.
  void clear(TimePoint now);
  double tokensPerSecond() const { return Rate; }

private:
  struct Part {
    std::uint64_t Chain = 0;
    std::uint32_t Tokens = 0;
  };
  void shrink();

  PrefillOptions Options;
  double Rate;
  TimePoint BusyUntil;
  /// The last used one at the front.
  std::list<Part> Cached;
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> ByChain;
  std::uint64_t CachedTokens = 0;
};

} // namespace pimentofront

#endif
