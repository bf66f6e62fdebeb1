#include "pimentofront/Account.h"

#include <algorithm>
#include <cmath>

namespace pimentofront {
namespace {

/// Upper bound on the time over which the retry-after delays of refused
/// requests are spread.
constexpr double MaxPromisedSeconds = 3;
constexpr Duration SweepPeriod = std::chrono::seconds(1);

std::uint64_t floorUnits(double units) {
  return static_cast<std::uint64_t>(std::max(std::floor(units), 0.0));
}

} // namespace

void AllotmentLedger::begin(TimePoint now, std::uint64_t id,
                            bool noRecentLedger) {
  Id = id;
  StartedAt = now;
  NoRecentLedger = noRecentLedger;
  Accounts.clear();
}

void AllotmentLedger::setAccounts(TimePoint now, AccountTable accounts) {
  Limits = std::move(accounts);
  std::erase_if(Accounts, [&](const auto &it) {
    const ClientAccount *limit = Limits.find(it.first);
    return !limit || !limit->Limit.limited();
  });
  for (auto &[name, account] : Accounts) {
    fill(now, account);
    account.Bucket = AllotmentBucket::of(Limits.find(name)->Limit, Rules);
    account.Level =
        std::min(account.Level, account.Bucket.MaxLevel - account.LeasedUnits);
  }
}

AllotmentLedger::Account *AllotmentLedger::find(TimePoint now,
                                                const AccountName &name) {
  const ClientAccount *limit = Limits.find(name);
  if (!limit || !limit->Limit.limited())
    return nullptr;
  const auto [it, isNew] = Accounts.try_emplace(name);
  Account &account = it->second;
  if (isNew) {
    account.Bucket = AllotmentBucket::of(limit->Limit, Rules);
    account.Level = NoRecentLedger ? account.Bucket.NewLedgerLevel
                                   : account.Bucket.MinLevel;
    account.FilledAt = StartedAt;
    account.OwnLevel = NoRecentLedger ? account.Bucket.Burst : 0;
  }
  fill(now, account);
  expire(now, account);
  return &account;
}

void AllotmentLedger::fill(TimePoint now, Account &account) const {
  const double units = account.Bucket.Rate * toSeconds(now - account.FilledAt);
  account.FilledAt = now;
  account.PromisedUnits = std::max(account.PromisedUnits - units, 0.0);
  const double maxLevel = account.Bucket.MaxLevel - account.LeasedUnits;
  if (account.Level < maxLevel)
    account.Level = std::min(account.Level + units, maxLevel);
  account.OwnLevel = std::min(account.OwnLevel + units, account.Bucket.Burst);
}

void AllotmentLedger::expire(TimePoint now, Account &account) {
  if (account.Leases.empty() || now < account.NextExpiry)
    return;
  account.NextExpiry = TimePoint::max();
  std::erase_if(account.Leases, [&](const auto &it) {
    const Lease &lease = it.second;
    const bool over = now >= lease.ExpiresAt;
    if (over)
      account.LeasedUnits -= lease.Units;
    else
      account.NextExpiry = std::min(account.NextExpiry, lease.ExpiresAt);
    return over;
  });
}

void AllotmentLedger::applyUse(Account &account, Lease &lease,
                               const AllotmentUse &use) {
  const auto spent = static_cast<double>(use.Spent);
  const double returned =
      std::min(static_cast<double>(use.Returned), lease.Units);
  lease.Units -= returned;
  account.LeasedUnits -= returned;
  account.Level += returned;
  account.OwnLevel =
      std::min(account.OwnLevel + returned, account.Bucket.Burst);
  // A request that was sent again may have spent more units than were leased.
  const double leased = std::min(spent, lease.Units);
  lease.Units -= leased;
  account.LeasedUnits -= leased;
  account.Level -= spent - leased;
}

double AllotmentLedger::Account::missingFor(double need) const {
  return std::max(Bucket.requiredOwnLevel(need) - OwnLevel,
                  Bucket.requiredLevel(need) - Level);
}

AllotmentGrant AllotmentLedger::grant(Account &account, Lease &lease,
                                      const AllotmentUse &use) {
  AllotmentGrant grant{.Account = use.Account, .Decided = true};
  const AllotmentBucket &bucket = account.Bucket;
  double units = 0;
  for (const std::uint64_t it : use.Needs) {
    const auto need = static_cast<double>(it);
    const double missing = account.missingFor(need);
    if (missing > 0) {
      grant.RetryAfter =
          fromSeconds((missing + account.PromisedUnits) / bucket.Rate);
      account.PromisedUnits = std::min(account.PromisedUnits + need,
                                       MaxPromisedSeconds * bucket.Rate);
      account.Refused += use.Needs.size() - grant.NeedsMet;
      break;
    }
    account.Level -= need;
    account.OwnLevel -= need;
    account.LeasedUnits += need;
    units += need;
    ++grant.NeedsMet;
  }
  if (grant.NeedsMet == use.Needs.size()) {
    const double inAdvance = std::floor(Sizing.advance(
        bucket, static_cast<double>(use.Desired), account.Level));
    account.Level -= inAdvance;
    account.LeasedUnits += inAdvance;
    units += inAdvance;
  }
  lease.Units += units;
  account.Granted += units;
  grant.Units = floorUnits(units);
  grant.Level = floorUnits(account.OwnLevel);
  return grant;
}

AllotmentGrants AllotmentLedger::onReport(TimePoint now,
                                          const AllotmentReport &report) {
  removeFull(now);
  AllotmentGrants grants{
      .Nonce = report.Nonce, .Ledger = Id, .Lease = Rules.Lease};
  for (const AllotmentUse &use : report.Uses) {
    Account *account = find(now, use.Account);
    if (!account) {
      // The account has no limit, or none any more: grant all units asked for.
      AllotmentGrant all{.Account = use.Account,
                         .Decided = Limits.requiresKey(),
                         .NeedsMet =
                             static_cast<std::uint32_t>(use.Needs.size())};
      for (const std::uint64_t it : use.Needs)
        all.Units += it;
      grants.Grants.push_back(std::move(all));
      continue;
    }
    Lease &lease = account->Leases[report.Incarnation];
    if (use.Ledger == Id)
      applyUse(*account, lease, use);
    grants.Grants.push_back(grant(*account, lease, use));
    lease.ExpiresAt = now + Rules.Lease;
    account->NextExpiry = account->Leases.size() == 1
                              ? lease.ExpiresAt
                              : std::min(account->NextExpiry, lease.ExpiresAt);
    if (lease.Units <= 0)
      account->Leases.erase(report.Incarnation);
  }
  return grants;
}

void AllotmentLedger::removeFull(TimePoint now) {
  if (now < NextSweep)
    return;
  NextSweep = now + SweepPeriod;
  // An account that is added again starts with the level that its bucket would
  // have reached since the ledger started. So only an account whose bucket
  // would be full by that rule, too, may be dropped.
  const double age = toSeconds(now - StartedAt);
  for (auto &[name, it] : Accounts) {
    fill(now, it);
    expire(now, it);
  }
  std::erase_if(Accounts, [&](const auto &it) {
    const Account &account = it.second;
    const AllotmentBucket &bucket = account.Bucket;
    return account.Leases.empty() && account.Level >= bucket.MaxLevel &&
           bucket.MinLevel + bucket.Rate * age >= bucket.MaxLevel;
  });
}

std::vector<AccountStatus> AllotmentLedger::status(TimePoint now,
                                                   std::size_t maxAccounts) {
  std::vector<AccountStatus> result;
  for (const ClientAccount &it : Limits.accounts()) {
    if (result.size() == maxAccounts)
      break;
    AccountStatus status{.Account = it.Name,
                         .PerSecond = floorUnits(it.Limit.PerSecond),
                         .Burst = floorUnits(it.Limit.Burst),
                         .Level = floorUnits(it.Limit.Burst)};
    for (const KeyDigest &key : it.Keys)
      status.Keys.push_back(key.shortText());
    const auto known = Accounts.find(it.Name);
    if (known != Accounts.end()) {
      Account &account = known->second;
      fill(now, account);
      expire(now, account);
      status.Level = floorUnits(account.OwnLevel);
      status.LeasedUnits = floorUnits(account.LeasedUnits);
      status.Granted = floorUnits(account.Granted);
      status.Refused = account.Refused;
    }
    result.push_back(std::move(status));
  }
  return result;
}

} // namespace pimentofront
