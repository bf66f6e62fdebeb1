#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Delay after which a decrease in the number of entries takes effect. By then,
/// an entry that lost its link to a replica has connected to another one or has
/// exited.
constexpr Duration BelievedAfter = std::chrono::seconds(5);

} // namespace

ConnectionPart
ConnectionShare::part(TimePoint now, std::uint32_t cap, std::uint32_t entries,
                      const ConnectionShareOptions &options) const {
  if (cap == 0)
    return {};
  const double grown =
      toSeconds(now - CutAt) / toSeconds(options.Recovery) * (1 - Rest);
  const double rest = std::min(Rest + grown, 1.0);
  const double share = options.UsedShare * cap / std::max(entries, 1U);
  const auto own = static_cast<std::uint32_t>(share * rest);
  return {.Open = std::max(own, options.Least), .Kept = own};
}

void ConnectionShare::noteTurnedAway(TimePoint now,
                                     const ConnectionShareOptions &options) {
  // Several connections that are rejected together cut the share only once.
  if (now < CutAt + options.Recovery * options.CutTo)
    return;
  Rest = options.CutTo;
  CutAt = now;
}

void EntryCount::note(TimePoint now, std::uint32_t entries) {
  entries = std::max(entries, 1U);
  if (!Known || entries >= Value) {
    Known = true;
    Value = entries;
    FewerSince.reset();
    return;
  }
  if (!FewerSince)
    FewerSince = now;
  if (now >= *FewerSince + BelievedAfter) {
    Value = entries;
    FewerSince.reset();
  }
}

} // namespace pimentofront
