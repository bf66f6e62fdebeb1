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
};

/// \class PrefillModel
/// \ingroup Serving
/// \brief Estimates which prompt parts an engine has cached, from what the
/// agent beside it knows.
///
/// Prefill is the largest part of a request's work. A part needs none if it is
/// cached for the same adapter together with all parts before it. The model
/// keeps the chains of parts in LRU order and drops the least recently used
/// ones, as engines do. If the engine drops a part for another reason, the
/// estimate is too low for one request.
class PrefillModel {
public:
  explicit PrefillModel(const PrefillOptions &options = {})
      : Options(options) {}

  /// \returns the number of tokens in \p parts that aren't cached for \p key.
  std::uint32_t uncachedTokens(const AdapterKey &key,
                               const std::vector<PromptPart> &parts) const;
  /// Records that a prompt was sent to the engine.
  /// \returns the number of tokens that the engine has to prefill.
  std::uint32_t begin(const AdapterKey &key,
                      const std::vector<PromptPart> &parts);
  void setCacheTokens(std::uint64_t tokens);
  /// Empties the cache model after a restart of the engine.
  void clear();

private:
  struct Part {
    std::uint64_t Chain = 0;
    std::uint32_t Tokens = 0;
  };
  void shrink();

  PrefillOptions Options;
  /// Most recently used first.
  std::list<Part> Cached;
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> ByChain;
  std::uint64_t CachedTokens = 0;
};

} // namespace pimentofront

#endif
