#include "pimentofront/State.h"

#include <algorithm>

namespace pimentofront {

Duration QuarantineReview::retentionOf(const QuarantineRecord &record) const {
  if (record.Holder != AttemptId())
    return record.MaxTrialDuration + Options.TrialGrace;
  if (!record.Quarantined)
    return Options.WatchRetention;
  constexpr std::uint32_t MaxDoublings = 4;
  const std::uint32_t doublings =
      std::min(std::max(record.Quarantines, 1U) - 1, MaxDoublings);
  return Options.QuarantineDuration * (1U << doublings);
}

ReviewQuarantine QuarantineReview::take(TimePoint now,
                                        const QuarantineLedger &ledger) {
  ReviewQuarantine result;
  if (now < NextAt)
    return result;
  NextAt = now + Options.Period;
  std::erase_if(Observations,
                [&](const auto &it) { return !ledger.find(it.first); });
  for (const auto &[content, it] : ledger.records()) {
    const DueRecord current{content, it.ChangedAt, it.Holder};
    Observation &observation = Observations[content];
    if (observation.Record != current)
      observation = {current, now};
    else if (now >= observation.Since + retentionOf(it))
      result.Due.push_back(current);
  }
  return result;
}

} // namespace pimentofront
