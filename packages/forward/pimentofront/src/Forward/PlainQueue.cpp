#include "pimentofront/Forward.h"

#include <algorithm>
#include <tuple>

namespace pimentofront {

Duration PlainQueue::inTime(TimePoint now, const PlainDemand &demand) const {
  const TimePoint due = demand.Target > Duration::zero()
                            ? demand.ArrivedAt + demand.Target
                            : demand.Deadline;
  return scaled(std::min(due, demand.Deadline) - now, Options.InTimeShare);
}

Duration PlainQueue::allowed(TimePoint now, const PlainDemand &demand) const {
  const Duration own = inTime(now, demand);
  // Neither a request that has returned nor one that has waited as long as it
  // may yields to others any longer.
  const bool yields = mayWaitLonger(now, demand) && !hasReturned(now, demand);
  const double share =
      yields && isOverShare(now, demand) ? Options.ReserveShare : 1;
  Duration result = scaled(own, share);
  for (const auto &[urgency, it] : Urgencies) {
    if (urgency >= demand.Urgency)
      break;
    if (now >= it.SeenAt + Options.UrgencyMemory ||
        it.Target == Duration::zero())
      continue;
    const Duration theirs = scaled(it.Target, Options.InTimeShare);
    result = std::min(result, scaled(std::min(theirs, own),
                                     yields ? Options.ReserveShare : 1));
  }
  return result;
}

double PlainQueue::serviceOf(TimePoint now, const AccountName &account) const {
  const auto it = Accounts.find(account);
  if (it == Accounts.end())
    return 0;
  return it->second.Service *
         decayFactor(now - it->second.At, Options.AccountHalfLife);
}

bool PlainQueue::isOverShare(TimePoint now, const PlainDemand &demand) const {
  if (demand.Account.empty() || Accounts.size() < 2)
    return false;
  const double own = serviceOf(now, demand.Account);
  // Accounts that ask for little or nothing leave their share to the others.
  const double active = own * Options.ActiveShare;
  double sum = 0;
  std::size_t n = 0;
  for (const auto &[account, it] : Accounts) {
    const double service = serviceOf(now, account);
    if (service < active)
      continue;
    sum += service;
    ++n;
  }
  return n > 1 && own > Options.ExcessFactor * sum / static_cast<double>(n);
}

bool PlainQueue::hasReturned(TimePoint now, const PlainDemand &demand) const {
  const auto it = Refusals.find(demand.Content);
  return it != Refusals.end() && now < it->second + Options.RefusalMemory;
}

bool PlainQueue::precedes(TimePoint now, const PlainDemand &a,
                          const PlainDemand &b) const {
  const auto rank = [&](const PlainDemand &it) {
    return std::tuple(it.Urgency, !hasReturned(now, it),
                      serviceOf(now, it.Account), it.ArrivedAt + it.Target,
                      it.Key);
  };
  return rank(a) < rank(b);
}

bool PlainQueue::mayWaitLonger(TimePoint now, const PlainDemand &demand) const {
  return demand.MayWait &&
         now < demand.ArrivedAt + scaled(demand.Target, Options.MaxWaitShare);
}

void PlainQueue::recordUrgency(TimePoint now, const PlainDemand &demand) {
  UrgencyState &it = Urgencies[demand.Urgency];
  // No room is kept for a kind whose requests come singly: its target stays
  // unknown until the next one.
  const bool expired = now >= it.SeenAt + Options.UrgencyMemory;
  it.SeenAt = now;
  if (expired)
    it.Target = Duration::zero();
  else if (it.Target == Duration::zero() || demand.Target < it.Target)
    it.Target = demand.Target;
  // The urgency is arbitrary; the map must stay small.
  if (Urgencies.size() > Options.MaxAccounts)
    std::erase_if(Urgencies, [&](const auto &known) {
      return now >= known.second.SeenAt + Options.UrgencyMemory;
    });
}

bool PlainQueue::isSendable(TimePoint now, const PlainDemand &demand,
                            const PlainRoom &room) const {
  return !room.Full ||
         (!room.WouldDecline && room.answersIn() <= allowed(now, demand));
}

PlainOutcome PlainQueue::offer(TimePoint now, const PlainDemand &demand,
                               const PlainRoom &room) {
  recordUrgency(now, demand);
  remove(demand.Key);
  PlainOutcome outcome{.AnswersIn = room.answersIn(),
                       .Allowed = allowed(now, demand)};
  const bool isFirst = std::ranges::none_of(
      Waiting, [&](const auto &it) { return precedes(now, it, demand); });
  const bool mayPass = isFirst || !room.Full || !mayWaitLonger(now, demand);
  if (mayPass && isSendable(now, demand, room))
    return outcome;
  const bool canBeInTime = room.answersIn() <= inTime(now, demand);
  if (canBeInTime && mayWaitLonger(now, demand)) {
    outcome.Verdict = PlainVerdict::Wait;
    Waiting.push_back(demand);
    if (Waiting.size() <= Options.MaxWaiting)
      return outcome;
    const auto last =
        std::ranges::max_element(Waiting, [&](const auto &a, const auto &b) {
          return precedes(now, a, b);
        });
    const std::uint64_t displaced = last->Key;
    Waiting.erase(last);
    if (displaced != demand.Key) {
      Displaced.push_back(displaced);
      return outcome;
    }
  }
  outcome.Verdict = PlainVerdict::Refuse;
  outcome.RetryAfter = retryAfter(now, demand, room);
  return outcome;
}

std::vector<std::uint64_t> PlainQueue::takeReady(TimePoint now,
                                                 const PlainRoom &room) {
  std::vector<std::uint64_t> ready;
  if (Waiting.empty() || (room.Full && now < NextSendAt))
    return ready;
  std::ranges::sort(Waiting, [&](const auto &a, const auto &b) {
    return precedes(now, a, b);
  });
  // This entry's share of the free slots; without load reports, all.
  const bool known = room.CompletionsPerSecond > 0;
  const std::size_t share =
      known ? std::max(room.FreeSlots / std::max(room.Entries, 1U), 1U)
            : Waiting.size();
  for (const PlainDemand &it : Waiting) {
    if (ready.size() >= share || !isSendable(now, it, room))
      break;
    ready.push_back(it.Key);
  }
  std::erase_if(Waiting, [&](const auto &it) {
    return std::ranges::find(ready, it.Key) != ready.end();
  });
  if (!ready.empty() && known)
    NextSendAt = now + fromSeconds(room.Entries / room.CompletionsPerSecond);
  return ready;
}

std::vector<std::uint64_t> PlainQueue::takeExpired(TimePoint now) {
  std::vector<std::uint64_t> expired = std::exchange(Displaced, {});
  for (const PlainDemand &it : Waiting)
    if (!mayWaitLonger(now, it))
      expired.push_back(it.Key);
  std::erase_if(Waiting,
                [&](const auto &it) { return !mayWaitLonger(now, it); });
  return expired;
}

void PlainQueue::recordSent(TimePoint now, const PlainDemand &demand) {
  if (demand.Account.empty())
    return;
  if (Accounts.size() >= Options.MaxAccounts &&
      !Accounts.contains(demand.Account)) {
    const auto least = std::ranges::min_element(
        Accounts, {}, [&](const auto &it) { return serviceOf(now, it.first); });
    Accounts.erase(least);
  }
  const double share = std::max(demand.AccountShare, 1U);
  const double service = serviceOf(now, demand.Account) + 1 / share;
  Accounts[demand.Account] = {service, now};
}

void PlainQueue::remove(std::uint64_t key) {
  std::erase_if(Waiting, [&](const auto &it) { return it.Key == key; });
  std::erase(Displaced, key);
}

Duration PlainQueue::retryAfter(TimePoint now, const PlainDemand &demand,
                                const PlainRoom &room) const {
  // Without a report of every server, the room itself isn't known.
  const bool known = room.Pace > Duration::zero() || !room.Reported;
  const Duration pace = known ? room.Pace : room.Reported->Pace;
  const Duration answersIn =
      known ? room.answersIn() : room.Reported->Wait + room.Reported->Pace;
  const Duration excess = answersIn - inTime(now, demand);
  const bool overloaded = now < LastRefusalAt + Options.OverloadMemory;
  // The longer an overload has lasted, the longer it is likely to last.
  const Duration lasted = overloaded ? now - OverloadedSince : Duration::zero();
  const Duration delay = std::max({excess, pace, lasted / 2});
  const Duration longest = std::max(
      Options.MinRetryAfter,
      std::min(Options.MaxRetryAfter,
               scaled(demand.Deadline - now, Options.MaxRetryAfterShare)));
  if (delay <= longest)
    return delay;
  // The overload is likely to outlast the caller's patience. A caller who
  // returns at once may still be answered in time; the jitter adds up to the
  // same time again.
  const Duration inTimeReturn = -excess / 2;
  return inTimeReturn >= Options.MinRetryAfter ? std::min(inTimeReturn, longest)
                                               : longest;
}

void PlainQueue::recordRefusal(TimePoint now, const PlainDemand &demand) {
  if (now >= LastRefusalAt + Options.OverloadMemory)
    OverloadedSince = now;
  LastRefusalAt = now;
  if (Refusals.size() >= Options.MaxRefusals)
    std::erase_if(Refusals, [&](const auto &it) {
      return now >= it.second + Options.RefusalMemory;
    });
  if (Refusals.size() < Options.MaxRefusals)
    Refusals[demand.Content] = now;
}

} // namespace pimentofront
