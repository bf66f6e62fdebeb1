#include "pimentofront/State.h"

#include <algorithm>

namespace pimentofront {

Duration QuarantineReview::quarantineDuration(std::uint32_t quarantines) const {
  constexpr std::uint32_t MaxDoublings = 4;
  const std::uint32_t doublings =
      std::min(std::max(quarantines, 1U) - 1, MaxDoublings);
  return Options.QuarantineDuration * (1U << doublings);
}

Duration QuarantineReview::retentionOf(const QuarantineRecord &record) const {
  if (record.Holder != AttemptId())
    return record.MaxTrialDuration + Options.TrialGrace;
  return record.Quarantined ? quarantineDuration(record.Quarantines)
                            : Options.WatchRetention;
}

Duration QuarantineReview::retentionOf(const PartRecord &record) const {
  if (record.Holder != AttemptId())
    return record.MaxTrialDuration + Options.TrialGrace;
  return record.State == PartState::Quarantined
             ? quarantineDuration(record.Quarantines)
             : Options.AccusationRetention;
}

std::vector<ContentHash>
QuarantineReview::takeCandidates(TimePoint now, const PartLedger &parts) {
  std::erase_if(Candidates, [&](const auto &it) {
    const PartRecord *record = parts.find(it.first);
    return !record || !parts.mayDecideOn(*record);
  });
  std::vector<ContentHash> due;
  for (const auto &[id, record] : parts.records()) {
    if (!parts.mayDecideOn(record))
      continue;
    const auto it =
        Candidates.try_emplace(id, now + Options.DecisionDelay).first;
    if (now < it->second)
      continue;
    due.push_back(id);
    it->second = now + Options.DecisionDelay;
  }
  return due;
}

void QuarantineReview::observe(TimePoint now, const DueRecord &current,
                               Duration retention,
                               std::vector<DueRecord> &due) {
  Observation &observation = Observations[current.Content];
  if (observation.Record != current)
    observation = {current, now};
  else if (now >= observation.Since + retention)
    due.push_back(current);
}

ReviewQuarantine QuarantineReview::take(TimePoint now,
                                        const QuarantineLedger &ledger) {
  ReviewQuarantine result{.PartCandidates =
                              takeCandidates(now, ledger.parts())};
  if (now < NextAt)
    return result;
  NextAt = now + Options.Period;
  std::erase_if(Observations, [&](const auto &it) {
    return !ledger.find(it.first) && !ledger.parts().find(it.first);
  });
  for (const auto &[content, it] : ledger.records())
    observe(now, {content, it.ChangedAt, it.Holder}, retentionOf(it),
            result.Due);
  for (const auto &[id, it] : ledger.parts().records())
    observe(now, {id, it.ChangedAt, it.Holder}, retentionOf(it), result.Due);
  return result;
}

} // namespace pimentofront
