#ifndef PIMENTOFRONT_ACCOUNT_ALLOTMENT_LEDGER_H
#define PIMENTOFRONT_ACCOUNT_ALLOTMENT_LEDGER_H

#include "AccountTable.h"
#include "LeaseSizing.h"

#include <map>

namespace pimentofront {

/// \class AllotmentLedger
/// \ingroup Account
/// \brief Keeps each account below its allotment across all entries, by leasing
/// them units from the account's token buckets.
///
/// Only the leader of the replicas runs a ledger, and only while it holds its
/// leader lease, so at most one ledger is active at any time. A ledger is soft
/// state. The units that a former ledger granted remain valid for one lease, so
/// a new ledger starts at the level that the rules reserve for a change of
/// ledger (AllotmentBucket::NewLedgerLevel). If it can't tell how long ago the
/// former ledger started, it starts at AllotmentBucket::MinLevel and with an
/// empty bucket of the account's own. Units that an entry doesn't return before
/// its lease expires count as spent.
///
/// Accounts without a limit have no bucket. An account is dropped once no units
/// of it are leased and its bucket is full, provided that a bucket that was
/// empty when the ledger started would be full by now, too.
class AllotmentLedger {
public:
  /// \param sizing outlives the ledger.
  AllotmentLedger(const AllotmentRules &rules, const LeaseSizing &sizing)
      : Rules(rules), Sizing(sizing) {}

  /// Resets the ledger and gives it \p id, which no other ledger has had.
  /// \param noRecentLedger whether no other ledger started within the last
  /// window plus lease.
  void begin(TimePoint now, std::uint64_t id, bool noRecentLedger);
  /// Replaces the accounts that are in force.
  void setAccounts(TimePoint now, AccountTable accounts);
  AllotmentGrants onReport(TimePoint now, const AllotmentReport &report);

  /// \returns the status of the first \p maxAccounts accounts in force.
  std::vector<AccountStatus> status(TimePoint now, std::size_t maxAccounts);

private:
  struct Lease {
    double Units = 0;
    TimePoint ExpiresAt;
  };
  struct Account {
    AllotmentBucket Bucket;
    /// Units that the rules still allow across all entries. Leased units are
    /// already subtracted.
    double Level = 0;
    /// Units that the allotment itself still allows, for requests that ask for
    /// their units. Units granted in advance are limited by Level alone.
    double OwnLevel = 0;
    TimePoint FilledAt;
    /// Leases by the incarnation of the entry's process.
    std::map<std::uint64_t, Lease> Leases;
    double LeasedUnits = 0;
    TimePoint NextExpiry;
    /// Units that refused requests will ask for after their retry-after delay.
    double PromisedUnits = 0;
    double Granted = 0;
    std::uint64_t Refused = 0;

    /// \returns the units by which the buckets have to fill before a request
    /// for \p need units can be granted; not above 0 if it can be granted now.
    double missingFor(double need) const;
  };

  /// \returns the account, with its buckets filled up to \p now; null if it has
  /// no limit.
  Account *find(TimePoint now, const AccountName &name);
  void fill(TimePoint now, Account &account) const;
  static void expire(TimePoint now, Account &account);
  static void applyUse(Account &account, Lease &lease, const AllotmentUse &use);
  AllotmentGrant grant(Account &account, Lease &lease, const AllotmentUse &use);
  void removeFull(TimePoint now);

  AllotmentRules Rules;
  const LeaseSizing &Sizing;
  std::uint64_t Id = 0;
  TimePoint StartedAt;
  bool NoRecentLedger = false;
  AccountTable Limits;
  std::map<AccountName, Account> Accounts;
  TimePoint NextSweep;
};

} // namespace pimentofront

#endif
