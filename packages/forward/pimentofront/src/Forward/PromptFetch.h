#ifndef PIMENTOFRONT_FORWARD_PROMPT_FETCH_H
#define PIMENTOFRONT_FORWARD_PROMPT_FETCH_H

#include "pimentofront/Serving.h"

namespace pimentofront {

/// \class PromptFetchOptions
/// \ingroup Forward
struct PromptFetchOptions {
  /// Whether engines fetch prompt parts from each other at all.
  bool Enabled = false;
  /// Fewer prompt tokens than this are read anew: the transfer of a few takes
  /// about as long as reading them.
  std::uint32_t MinTokens = 1024;
};

/// \class PromptFetch
/// \ingroup Forward
/// \brief Chooses the engine from which another one fetches cached prompt
/// parts.
///
/// Use it when the engine that has a prompt's shared parts is too busy for a
/// request, which therefore runs on another one. Reading thousands of shared
/// tokens again delays that request, every prompt behind it, and the tokens of
/// all streams beside it; a transfer between engines takes a few milliseconds.
/// It isn't for requests that no agent with cached parts has refused: no state
/// is kept about which engine has which part, only what agents say about this
/// request.
///
/// Invariant: source and chosen engine have loaded the same weights, and both
/// have said so. The engines themselves don't compare them.
class PromptFetch {
public:
  explicit PromptFetch(const PromptFetchOptions &options) : Options(options) {}

  /// \param tried the hosts that refused the request.
  /// \param cachedTokens prompt tokens that the chosen engine has cached.
  /// \param weights the weights that the chosen engine has loaded.
  /// \returns the host with the most cached tokens beyond those, or null if
  /// none with the same weights has enough.
  const TriedHost *chooseSource(const std::vector<TriedHost> &tried,
                                std::uint32_t cachedTokens,
                                const WeightsVersion &weights) const;

private:
  PromptFetchOptions Options;
};

} // namespace pimentofront

#endif
