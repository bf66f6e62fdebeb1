#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Delay after which a decrease in the number of entries takes effect. By then,
/// an entry that lost its link to a replica has connected to another one or has
/// exited.
constexpr Duration DecreaseDelay = std::chrono::seconds(5);

} // namespace

ConnectionLimits
ConnectionShare::limitsFor(TimePoint now, std::uint32_t cap,
                           std::uint32_t entries,
                           const ConnectionShareOptions &options) const {
  if (cap == 0)
    return {};
  const double growth = toSeconds(now - CutAt) /
                        toSeconds(options.RecoveryTime) * (1 - ScaleAtCut);
  const double scale = std::min(ScaleAtCut + growth, 1.0);
  const double share = options.UsableShare * cap / std::max(entries, 1U);
  const auto scaledShare = static_cast<std::uint32_t>(share * scale);
  return {.MaxOpen = std::max(scaledShare, options.MinOpen),
          .MaxIdle = scaledShare};
}

void ConnectionShare::recordRejection(TimePoint now,
                                      const ConnectionShareOptions &options) {
  // Several connections that are rejected together cut the share only once.
  if (now < CutAt + options.RecoveryTime * options.CutFactor)
    return;
  ScaleAtCut = options.CutFactor;
  CutAt = now;
}

void EntryCount::recordCount(TimePoint now, std::uint32_t entries) {
  entries = std::max(entries, 1U);
  if (!Known || entries >= Value) {
    Known = true;
    Value = entries;
    FewerSince.reset();
    return;
  }
  if (!FewerSince)
    FewerSince = now;
  if (now >= *FewerSince + DecreaseDelay) {
    Value = entries;
    FewerSince.reset();
  }
}

} // namespace pimentofront
