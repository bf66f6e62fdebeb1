#include "pimentofront/Account.h"

#include <algorithm>

namespace pimentofront {

AllotmentBucket AllotmentBucket::of(const Allotment &allotment,
                                    const AllotmentRules &rules) {
  const double rate = allotment.PerSecond;
  const double allowed = rate * toSeconds(rules.Window) + allotment.Burst;
  const double error = allowed * rules.Overshoot + rules.Slack;
  return {.Rate = rate,
          .Burst = allotment.Burst,
          .MaxLevel = allotment.Burst + error / 4,
          .MinLevel = -error / 4,
          .NewLedgerLevel = error / 4};
}

double AllotmentBucket::requiredOwnLevel(double units) const {
  return std::min(units, Burst);
}

double AllotmentBucket::requiredLevel(double units) const {
  return std::min(units + MinLevel, MaxLevel);
}

double AllotmentBucket::grantableInAdvance(double level) const {
  return std::max(level - MinLevel - Burst, 0.0);
}

} // namespace pimentofront
