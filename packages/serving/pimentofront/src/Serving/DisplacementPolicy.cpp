#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {
namespace {

Duration readingTime(const WaitingAttempt &attempt, const QueueState &queue) {
  return fromSeconds(attempt.ReadingTokens / queue.TokensPerSecond);
}

bool precedes(const WaitingAttempt &a, const WaitingAttempt &b) {
  const std::uint32_t urgency = a.Request.Demand.Urgency;
  const std::uint32_t other = b.Request.Demand.Urgency;
  return urgency < other || (urgency == other && a.Deadline < b.Deadline);
}

} // namespace

DisplacementPolicy::Claims
DisplacementPolicy::claimsOf(const WaitingAttempt &arrival,
                             const QueueState &queue) const {
  Claims claims;
  const auto add = [&](const WaitingAttempt &it) {
    const AccountShares::Id id = it.Account.id();
    const auto work = static_cast<double>(workOf(it)) / Accounts.share(id);
    const auto claim = claims.ByAccount.try_emplace(id, Accounts.served(id));
    claim.first->second += work;
    claims.Largest = std::max(claims.Largest, work);
  };
  add(arrival);
  for (const WaitingAttempt *it : queue.Waiting)
    add(*it);
  return claims;
}

bool DisplacementPolicy::yields(const WaitingAttempt &waiting,
                                const WaitingAttempt &arrival,
                                const Claims &claims) {
  if (waiting.Request.WasDisplaced)
    return false;
  const std::uint32_t urgency = waiting.Request.Demand.Urgency;
  if (urgency != arrival.Request.Demand.Urgency)
    return urgency > arrival.Request.Demand.Urgency;
  const AccountShares::Id own = waiting.Account.id();
  const AccountShares::Id other = arrival.Account.id();
  if (own == other || own == AccountShares::NoAccount ||
      other == AccountShares::NoAccount)
    return false;
  // The claims of accounts that are served fairly differ by less.
  return claims.ByAccount.at(own) - claims.ByAccount.at(other) > claims.Largest;
}

bool DisplacementPolicy::yieldsBefore(const WaitingAttempt &a,
                                      const WaitingAttempt &b,
                                      const Claims &claims) {
  const std::uint32_t urgency = a.Request.Demand.Urgency;
  const std::uint32_t other = b.Request.Demand.Urgency;
  if (urgency != other)
    return urgency > other;
  const double claim = claims.ByAccount.at(a.Account.id());
  const double otherClaim = claims.ByAccount.at(b.Account.id());
  if (claim != otherClaim)
    return claim > otherClaim;
  return a.Deadline > b.Deadline;
}

DisplacementPolicy::Decision
DisplacementPolicy::decide(TimePoint now, const WaitingAttempt &arrival,
                           const QueueState &queue) const {
  Decision result;
  Duration ahead = queue.EngineWait + readingTime(arrival, queue);
  result.Wait = ahead;
  TimePoint lastDeadline = arrival.Deadline;
  for (const WaitingAttempt *it : queue.Waiting) {
    const Duration time = readingTime(*it, queue);
    result.Applies = result.Applies || differInDemand(*it, arrival);
    result.Wait += time;
    if (precedes(*it, arrival))
      ahead += time;
    lastDeadline = std::max(lastDeadline, it->Deadline);
  }
  if (!result.Applies)
    return result;
  const bool full = queue.Waiting.size() >= queue.Limit;
  result.Admits = now + ahead <= arrival.Deadline;
  if (!result.Admits || (!full && now + result.Wait <= lastDeadline))
    return result;
  displace(now, arrival, queue, result);
  result.Admits = !full || !result.Displaced.empty();
  return result;
}

void DisplacementPolicy::displace(TimePoint now, const WaitingAttempt &arrival,
                                  const QueueState &queue,
                                  Decision &result) const {
  const Claims claims = claimsOf(arrival, queue);
  std::vector<const WaitingAttempt *> yielding;
  for (const WaitingAttempt *it : queue.Waiting)
    if (yields(*it, arrival, claims))
      yielding.push_back(it);
  std::ranges::sort(yielding, [&](const auto *a, const auto *b) {
    return yieldsBefore(*a, *b, claims);
  });
  for (const WaitingAttempt *it : yielding) {
    const bool hasRoom =
        queue.Waiting.size() - result.Displaced.size() < queue.Limit;
    if (hasRoom && now + result.Wait <= it->Deadline)
      return;
    result.Wait -= readingTime(*it, queue);
    result.Displaced.push_back(it);
  }
}

} // namespace pimentofront
