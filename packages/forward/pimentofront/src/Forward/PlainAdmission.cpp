#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {

double PlainAdmission::valueOf(TimePoint now, const Count &count) const {
  return count.Value * decayFactor(now - count.At, Options.CountHalfLife);
}

void PlainAdmission::add(TimePoint now, Count &count) const {
  count = {.Value = valueOf(now, count) + 1, .At = now};
}

template <class Key>
void PlainAdmission::forgetNegligible(TimePoint now,
                                      std::map<Key, Count> &counts) const {
  // Routes and accounts are many, and most send nothing for long.
  constexpr std::size_t Many = 64;
  if (counts.size() < Many)
    return;
  std::erase_if(counts, [&](const auto &it) {
    return valueOf(now, it.second) < Options.NegligibleCount;
  });
}

double PlainAdmission::demandOf(TimePoint now, const Demand &demand) const {
  return valueOf(now, demand.Rare) + valueOf(now, demand.Others);
}

template <class Key>
bool PlainAdmission::isRare(TimePoint now, const std::map<Key, Count> &counts,
                            const Key &key) const {
  const auto it = counts.find(key);
  const double count = it == counts.end() ? 0 : valueOf(now, it->second);
  return count < Options.RareShare * valueOf(now, All);
}

bool PlainAdmission::isRare(TimePoint now,
                            const AdmissionRequest &request) const {
  return isRare(now, Routes, request.Route) ||
         (!request.Account.empty() && isRare(now, Accounts, request.Account));
}

void PlainAdmission::recordArrival(TimePoint now,
                                   const AdmissionRequest &request,
                                   const std::optional<WaitReport> &reported) {
  add(now, All);
  add(now, Routes[request.Route]);
  forgetNegligible(now, Routes);
  if (!request.Account.empty())
    add(now, Accounts[request.Account]);
  forgetNegligible(now, Accounts);
  // Urgencies are arbitrary numbers of routes and accounts.
  std::erase_if(Urgencies, [&](const auto &it) {
    return demandOf(now, it.second) < Options.NegligibleCount;
  });
  Demand &demand = Urgencies[request.Urgency];
  if (demandOf(now, demand) < Options.NegligibleCount ||
      request.Target < demand.Target)
    demand.Target = request.Target;
  add(now, isRare(now, request) ? demand.Rare : demand.Others);
  adaptShare(now, reported);
}

Duration PlainAdmission::targetWait(TimePoint now, Duration pace) const {
  std::optional<Duration> target;
  for (const auto &[urgency, it] : Urgencies)
    if (demandOf(now, it) >= Options.NegligibleCount)
      target = std::min(target.value_or(it.Target), it.Target);
  const Duration longest =
      scaled(target.value_or(Duration::zero()), Options.InTimeShare) - pace;
  // Servers that are busy all the time have a few requests waiting.
  return std::max(scaled(longest, Options.TargetWaitShare), pace / 2);
}

void PlainAdmission::adaptShare(TimePoint now,
                                const std::optional<WaitReport> &reported) {
  // The report that is known now may not have held for longer.
  constexpr Duration MaxStep = std::chrono::milliseconds(250);
  // A single report isn't reason enough for more.
  constexpr double MaxCut = 0.5;
  const double elapsed =
      toSeconds(std::min(now - std::exchange(AdaptedAt, now), MaxStep));
  Damping = 1;
  if (!reported) {
    Share = 1;
    return;
  }
  const double target = toSeconds(targetWait(now, reported->Pace));
  const double excess =
      std::min(toSeconds(reported->Wait) / target - 1, Options.MaxExcess);
  const double freshness =
      decayFactor(now - reported->At, Options.ReportHalfLife);
  Share += Options.GrowthPerSecond * elapsed;
  if (excess > 0) {
    const double cut = Options.CutPerSecond * excess * freshness * elapsed;
    Share *= 1 - std::min(cut, MaxCut);
    Damping = 1 - Options.DampingPerExcess * excess * freshness;
  } else {
    Share -= Options.IdleGrowthPerSecond * excess * elapsed;
  }
  Share = std::clamp(Share, Options.MinShare, 1.0);
}

double PlainAdmission::quotaOf(TimePoint now, std::uint32_t urgency) const {
  double left = 0;
  double lessUrgent = 0;
  for (const auto &[level, it] : Urgencies) {
    left += Share * demandOf(now, it);
    lessUrgent += demandOf(now, it);
  }
  const double reserve = Options.LeastUrgentShare * Share;
  for (const auto &[level, it] : Urgencies) {
    const double demand = demandOf(now, it);
    lessUrgent -= demand;
    const double quota =
        std::clamp(left - reserve * lessUrgent, reserve * demand, demand);
    if (level == urgency)
      return quota;
    left -= quota;
  }
  return left;
}

double PlainAdmission::probability(TimePoint now,
                                   const AdmissionRequest &request) const {
  const auto it = Urgencies.find(request.Urgency);
  if (it == Urgencies.end() || (Share >= 1 && Damping >= 1))
    return 1;
  const double quota = quotaOf(now, request.Urgency);
  const double rare = valueOf(now, it->second.Rare);
  const double others = valueOf(now, it->second.Others);
  const double rareShare = std::max(Options.RareQuota, rare / (rare + others));
  const double rareQuota =
      std::min(rare, std::max(rareShare * quota, quota - others));
  if (isRare(now, request))
    return rare > 0 ? std::min(rareQuota / rare, 1.0) : 1;
  return others > 0 ? std::min((quota - rareQuota) * Damping / others, 1.0) : 1;
}

} // namespace pimentofront
