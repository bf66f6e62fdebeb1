#include "pimentofront/State.h"

#include <algorithm>

namespace pimentofront {

Duration QuarantineReview::limitOf(const QuarantineRecord &record) const {
  if (record.Holder != AttemptId())
    return record.HeldFor + Options.TrialGrace;
  if (!record.Quarantined)
    return Options.WatchedKept;
  constexpr std::uint32_t MostDoublings = 4;
  const std::uint32_t doublings =
      std::min(std::max(record.Quarantines, 1U) - 1, MostDoublings);
  return Options.QuarantineKept * (1U << doublings);
}

ReviewQuarantine QuarantineReview::take(TimePoint now,
                                        const QuarantineLedger &ledger) {
  ReviewQuarantine result;
  if (now < NextAt)
    return result;
  NextAt = now + Options.Period;
  std::erase_if(Seen, [&](const auto &it) { return !ledger.find(it.first); });
  for (const auto &[content, it] : ledger.records()) {
    const DueRecord current{content, it.ChangedAt, it.Holder};
    Sight &sight = Seen[content];
    if (sight.Record != current)
      sight = {current, now};
    else if (now >= sight.Since + limitOf(it))
      result.Due.push_back(current);
  }
  return result;
}

} // namespace pimentofront
