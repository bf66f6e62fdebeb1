#ifndef PIMENTOFRONT_WIRE_ALLOTMENT_H
#define PIMENTOFRONT_WIRE_ALLOTMENT_H

#include "Fields.h"
#include "pimentofront/Base.h"

#include <vector>

namespace pimentofront {

/// \class AllotmentUse
/// \ingroup Wire
/// \brief How an entry used its units of one account, and which it needs.
struct AllotmentUse {
  AccountName Account;
  /// Ledger that granted the units; units that another one granted are not
  /// counted.
  std::uint64_t Ledger = 0;
  /// Units spent since the last report.
  std::uint64_t Spent = 0;
  /// Units returned unspent.
  std::uint64_t Returned = 0;
  /// Units that each waiting request needs, in order.
  std::vector<std::uint64_t> Needs;
  /// Units that the entry would like to hold in addition.
  std::uint64_t Desired = 0;
  PIMENTOFRONT_FIELDS(AllotmentUse, Account, Ledger, Spent, Returned, Needs,
                      Desired)
};

/// Entry to leader: reports use, and renews the leases of the accounts that it
/// names.
struct AllotmentReport {
  HostName Host;
  /// Of the entry's process. Units that an earlier process of the entry held do
  /// not belong to this one.
  std::uint64_t Incarnation = 0;
  std::uint64_t Nonce = 0;
  std::vector<AllotmentUse> Uses;
  PIMENTOFRONT_FIELDS(AllotmentReport, Host, Incarnation, Nonce, Uses)
};

/// \class AllotmentGrant
/// \ingroup Wire
/// \brief Units of one account that an entry may spend.
struct AllotmentGrant {
  AccountName Account;
  /// Whether the ledger knows the account's limit; without it nothing is
  /// decided.
  bool Decided = false;
  /// How many of the reported needs, from the first on, may be met; the others
  /// exceed the limit.
  std::uint32_t NeedsMet = 0;
  std::uint64_t Units = 0;
  /// Retry-after: time until units for the first unmet need are available.
  Duration RetryAfter = Duration::zero();
  /// Units that the account has left, for logs.
  std::uint64_t Level = 0;
  PIMENTOFRONT_FIELDS(AllotmentGrant, Account, Decided, NeedsMet, Units,
                      RetryAfter, Level)
};

/// \class AccountStatus
/// \ingroup Wire
/// \brief What the leader knows of one client account, for operators.
struct AccountStatus {
  AccountName Account;
  /// First digits of the digests of its keys.
  std::vector<std::string> Keys;
  /// Its allotment, in units per second and units; 0 means no limit.
  std::uint64_t PerSecond = 0;
  std::uint64_t Burst = 0;
  /// Units that it may spend now, and units that entries hold.
  std::uint64_t Level = 0;
  std::uint64_t LeasedUnits = 0;
  /// Units granted and requests refused since the ledger began.
  std::uint64_t Granted = 0;
  std::uint64_t Refused = 0;
  PIMENTOFRONT_FIELDS(AccountStatus, Account, Keys, PerSecond, Burst, Level,
                      LeasedUnits, Granted, Refused)
};

/// Leader to entry, in reply to a report.
struct AllotmentGrants {
  std::uint64_t Nonce = 0;
  /// The leader's term.
  std::uint64_t Ledger = 0;
  /// How long after the report was sent the units may be spent.
  Duration Lease = Duration::zero();
  std::vector<AllotmentGrant> Grants;
  PIMENTOFRONT_FIELDS(AllotmentGrants, Nonce, Ledger, Lease, Grants)
};

} // namespace pimentofront

#endif
