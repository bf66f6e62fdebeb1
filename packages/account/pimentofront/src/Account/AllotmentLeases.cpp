#include "pimentofront/Account.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pimentofront {
namespace {

std::uint64_t ceilUnits(double units) {
  return static_cast<std::uint64_t>(std::ceil(std::max(units, 0.0)));
}

/// Maximum number of reports whose answers are awaited. Answers to older
/// reports arrive too late to be of use.
constexpr std::size_t MaxPendingQueries = 256;

} // namespace

void AllotmentLeases::end(Lease &lease) {
  lease.Free = 0;
  lease.Reserved = 0;
  lease.Spent = 0;
  ++lease.Epoch;
}

void AllotmentLeases::endIfExpired(TimePoint now, Lease &lease) {
  const bool holds = lease.Free > 0 || lease.Reserved > 0 || lease.Spent > 0;
  if (holds && now >= lease.ExpiresAt)
    end(lease);
}

void AllotmentLeases::recordUse(TimePoint now, Lease &lease,
                                double units) const {
  const double halfLife = toSeconds(Options.UsageHalfLife);
  lease.UsageRate = lease.UsageRate * decayFactor(now - lease.LastUsedAt,
                                                  Options.UsageHalfLife) +
                    units * std::log(2) / halfLife;
  constexpr double NewestShare = 0.2;
  lease.TypicalUnits =
      lease.TypicalUnits > 0
          ? lease.TypicalUnits * (1 - NewestShare) + units * NewestShare
          : units;
  lease.LastUsedAt = now;
}

double AllotmentLeases::targetUnits(TimePoint now, const Lease &lease) const {
  // Units that haven't been used for a few half-lives are returned.
  constexpr int HalfLivesRemembered = 3;
  if (now >= lease.LastUsedAt + HalfLivesRemembered * Options.UsageHalfLife)
    return 0;
  // Units for less than one request are of no use.
  const double units = lease.UsageRate * toSeconds(Options.Horizon);
  return units >= lease.TypicalUnits ? units : 0;
}

AllotmentCharge AllotmentLeases::reserveUnits(TimePoint now, std::uint64_t key,
                                              const ClientAccount &account,
                                              double units) {
  assert(account.Limit.limited() &&
         "the account has no limit, so no units are taken for it");
  Lease &lease = Leases[account.Name];
  lease.Rate = account.Limit.PerSecond;
  endIfExpired(now, lease);
  recordUse(now, lease, units);
  AllotmentCharge charge{.CurrentState = AllotmentCharge::State::Reserved,
                         .Account = account.Name,
                         .Units = std::ceil(units),
                         .Epoch = lease.Epoch};
  if (lease.Queue.empty() && lease.Free >= charge.Units) {
    lease.Free -= charge.Units;
    lease.Reserved += charge.Units;
    return charge;
  }
  charge.CurrentState = AllotmentCharge::State::Pending;
  lease.Queue.push_back({.Key = key, .Units = charge.Units});
  Urgent = true;
  return charge;
}

void AllotmentLeases::spend(AllotmentCharge &charge) {
  if (charge.CurrentState != AllotmentCharge::State::Reserved)
    return;
  charge.CurrentState = AllotmentCharge::State::None;
  const auto it = Leases.find(charge.Account);
  // The ledger already counts the units of an ended lease as spent.
  if (it == Leases.end() || charge.Epoch != it->second.Epoch)
    return;
  Lease &lease = it->second;
  lease.Reserved -= charge.Units;
  lease.Spent += charge.Units;
}

void AllotmentLeases::release(TimePoint now, std::uint64_t key,
                              AllotmentCharge &charge) {
  const AllotmentCharge::State before =
      std::exchange(charge.CurrentState, AllotmentCharge::State::None);
  if (before == AllotmentCharge::State::None)
    return;
  const auto it = Leases.find(charge.Account);
  if (it == Leases.end())
    return;
  Lease &lease = it->second;
  if (before == AllotmentCharge::State::Pending) {
    std::erase_if(lease.Queue,
                  [&](const auto &waiting) { return waiting.Key == key; });
    return;
  }
  endIfExpired(now, lease);
  if (charge.Epoch != lease.Epoch)
    return;
  lease.Reserved -= charge.Units;
  lease.Free += charge.Units;
}

void AllotmentLeases::spendAgain(TimePoint now, const ClientAccount &account,
                                 double units) {
  Lease &lease = Leases[account.Name];
  endIfExpired(now, lease);
  const double spent = std::ceil(units);
  lease.Free -= std::min(spent, lease.Free);
  lease.Spent += spent;
}

std::optional<AllotmentUse>
AllotmentLeases::takeUse(TimePoint now, const AccountName &name, Lease &lease,
                         std::uint64_t nonce, bool renew) const {
  endIfExpired(now, lease);
  AllotmentUse use{.Account = name, .Ledger = lease.Ledger};
  if (now >= lease.NextQueryAt)
    for (Waiting &it : lease.Queue) {
      if (it.Nonce != 0)
        continue;
      it.Nonce = nonce;
      use.Needs.push_back(ceilUnits(it.Units));
    }
  const bool idle = lease.Spent <= 0 && lease.Free + lease.Reserved <= 0;
  if (use.Needs.empty() && (!renew || idle))
    return std::nullopt;
  const double target = targetUnits(now, lease);
  const double surplus = std::floor(std::max(lease.Free - target, 0.0));
  lease.Free -= surplus;
  use.Returned = ceilUnits(surplus);
  use.Spent = ceilUnits(std::exchange(lease.Spent, 0));
  use.Desired = ceilUnits(target - lease.Free);
  return use;
}

void AllotmentLeases::removeUnused(TimePoint now) {
  constexpr int HalfLivesKept = 15;
  std::erase_if(Leases, [&](const auto &it) {
    const Lease &lease = it.second;
    return lease.Queue.empty() && now >= lease.ExpiresAt &&
           now >= lease.LastUsedAt + HalfLivesKept * Options.UsageHalfLife;
  });
}

std::optional<AllotmentReport> AllotmentLeases::takeReport(TimePoint now) {
  const bool renew = now >= NextReportAt;
  if (!Urgent && !renew)
    return std::nullopt;
  Urgent = false;
  if (renew) {
    NextReportAt = now + Options.ReportPeriod;
    removeUnused(now);
  }
  AllotmentReport report{.Host = Options.Host,
                         .Incarnation = Options.Incarnation,
                         .Nonce = LastNonce + 1};
  bool waits = false;
  for (auto &[name, lease] : Leases) {
    auto use = takeUse(now, name, lease, report.Nonce, renew);
    if (!use)
      continue;
    waits = waits || !use->Needs.empty();
    report.Uses.push_back(std::move(*use));
  }
  if (report.Uses.empty())
    return std::nullopt;
  ++LastNonce;
  Queries[LastNonce] = {.QueriedAt = now, .Waits = waits};
  if (Queries.size() > MaxPendingQueries)
    Queries.erase(Queries.begin());
  return report;
}

void AllotmentLeases::applyGrant(TimePoint now, const AllotmentGrants &grants,
                                 const AllotmentGrant &grant,
                                 TimePoint queriedAt,
                                 std::vector<AllotmentDecision> &decisions) {
  const auto it = Leases.find(grant.Account);
  if (it == Leases.end())
    return;
  Lease &lease = it->second;
  endIfExpired(now, lease);
  if (grant.Decided && lease.Ledger != grants.Ledger) {
    // A new ledger doesn't know the units that the former one granted.
    end(lease);
    lease.Ledger = grants.Ledger;
  }
  const bool expired = now >= queriedAt + grants.Lease;
  if (!expired && grant.Decided) {
    lease.ExpiresAt = std::max(lease.ExpiresAt, queriedAt + grants.Lease);
    lease.Free += static_cast<double>(grant.Units);
  }
  std::uint32_t met = 0;
  double unitsAhead = 0;
  std::deque<Waiting> stillWaiting;
  for (Waiting &waiting : lease.Queue) {
    if (waiting.Nonce != grants.Nonce) {
      stillWaiting.push_back(waiting);
    } else if (expired || !grant.Decided) {
      waiting.Nonce = 0;
      stillWaiting.push_back(waiting);
      lease.NextQueryAt = now + Options.QueryRetryDelay;
      Urgent = true;
    } else if (met < grant.NeedsMet && lease.Free >= waiting.Units) {
      ++met;
      lease.Free -= waiting.Units;
      lease.Reserved += waiting.Units;
      decisions.push_back(
          {.Key = waiting.Key,
           .Charge = {.CurrentState = AllotmentCharge::State::Reserved,
                      .Account = grant.Account,
                      .Units = waiting.Units,
                      .Epoch = lease.Epoch},
           .Level = grant.Level,
           .Age = now - queriedAt});
    } else {
      const Duration extraDelay =
          fromSeconds(unitsAhead / std::max(lease.Rate, 1.0));
      unitsAhead += waiting.Units;
      decisions.push_back({.Key = waiting.Key,
                           .RetryAfter = grant.RetryAfter + extraDelay,
                           .Level = grant.Level,
                           .Age = now - queriedAt});
    }
  }
  lease.Queue = std::move(stillWaiting);
}

std::vector<AllotmentDecision>
AllotmentLeases::onGrants(TimePoint now, const AllotmentGrants &grants) {
  const auto query = Queries.extract(grants.Nonce);
  if (!query)
    return {};
  std::vector<AllotmentDecision> decisions;
  for (const AllotmentGrant &it : grants.Grants)
    applyGrant(now, grants, it, query.mapped().QueriedAt, decisions);
  return decisions;
}

void AllotmentLeases::onLinkLost() {
  Queries.clear();
  for (auto &[name, lease] : Leases)
    for (Waiting &it : lease.Queue) {
      it.Nonce = 0;
      Urgent = true;
    }
}

bool AllotmentLeases::hasOverdueQuery(TimePoint now) const {
  return std::ranges::any_of(Queries, [&](const auto &it) {
    return it.second.Waits && now >= it.second.QueriedAt + Options.QueryTimeout;
  });
}

} // namespace pimentofront
