#ifndef PIMENTOFRONT_ACCOUNT_ALLOTMENT_LEASES_H
#define PIMENTOFRONT_ACCOUNT_ALLOTMENT_LEASES_H

#include "ClientAccount.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace pimentofront {

/// \class AllotmentLeaseOptions
/// \ingroup Account
struct AllotmentLeaseOptions {
  /// Host and incarnation of the entry's process.
  HostName Host;
  std::uint64_t Incarnation = 0;
  /// Interval between reports of the units spent and held. One message covers
  /// all accounts.
  Duration ReportPeriod = std::chrono::seconds(1);
  /// If the leader doesn't answer a query within this time, the query is sent
  /// again. A new leader, if there is one, is known by then.
  Duration QueryTimeout = std::chrono::milliseconds(400);
  /// Delay before a query is repeated that was answered without a decision, or
  /// too late.
  Duration QueryRetryDelay = std::chrono::milliseconds(100);
  /// An entry asks to hold as many units as it uses in this time.
  Duration Horizon = std::chrono::seconds(2);
  /// Half-life of the moving average of an account's usage.
  Duration UsageHalfLife = std::chrono::seconds(4);
};

/// \class AllotmentCharge
/// \ingroup Account
/// \brief The units charged for one request.
struct AllotmentCharge {
  enum class State : std::uint8_t {
    /// The account has no limit, or the units have been spent or released.
    None,
    /// Waiting for the ledger's decision.
    Pending,
    /// The units are reserved: the request may be sent.
    Reserved,
  };
  State CurrentState = State::None;
  AccountName Account;
  double Units = 0;
  /// Epoch of the lease from which the units were taken.
  std::uint64_t Epoch = 0;
  friend auto operator<=>(const AllotmentCharge &,
                          const AllotmentCharge &) = default;
};

/// The ledger's decision on a request that waited for its units.
struct AllotmentDecision {
  std::uint64_t Key = 0;
  /// In the state Reserved if the request was granted, else None.
  AllotmentCharge Charge;
  /// Retry-after delay of a request beyond the limit: the time until its units
  /// are available.
  Duration RetryAfter = Duration::zero();
  /// Units that the account had left.
  std::uint64_t Level = 0;
  /// Time between the query to the ledger and this decision.
  Duration Age = Duration::zero();
  friend auto operator<=>(const AllotmentDecision &,
                          const AllotmentDecision &) = default;

  bool granted() const {
    return Charge.CurrentState == AllotmentCharge::State::Reserved;
  }
};

/// \class AllotmentLeases
/// \ingroup Account
/// \brief The units of each account that the ledger has leased to one entry.
///
/// A request reserves its units before it is sent to any server. The units are
/// spent once a server may have run the request, and released if it certainly
/// wasn't run. Units expire with their lease. The lease starts when the report
/// that the ledger answered was sent, by the clock of this process, so a
/// process that was suspended for longer than a lease holds no units.
class AllotmentLeases {
public:
  explicit AllotmentLeases(const AllotmentLeaseOptions &options)
      : Options(options) {}

  /// Reserves the units of a request, or queues a query for them; onGrants()
  /// then returns the decision under \p key.
  /// \pre the account's allotment is limited.
  AllotmentCharge reserveUnits(TimePoint now, std::uint64_t key,
                               const ClientAccount &account, double units);
  /// Spends the reserved units, since a server may have run the request.
  void spend(AllotmentCharge &charge);
  /// Releases the units, since the request wasn't run and won't be.
  void release(TimePoint now, std::uint64_t key, AllotmentCharge &charge);
  /// Spends the units of a request that is sent again after its units were
  /// spent. This is never refused: units beyond those held are reported as
  /// spent, too, and the ledger subtracts them from the account's level.
  void spendAgain(TimePoint now, const ClientAccount &account, double units);

  /// \returns whether takeReport() may return a report.
  bool isReportDue(TimePoint now) const {
    return !Leases.empty() && (Urgent || now >= NextReportAt);
  }
  /// \returns the report to send to the leader now, if one is due.
  std::optional<AllotmentReport> takeReport(TimePoint now);
  /// \returns the decisions on requests that waited for units.
  std::vector<AllotmentDecision> onGrants(TimePoint now,
                                          const AllotmentGrants &grants);
  /// Marks the queries that were sent on the link to be sent again.
  void onLinkLost();
  /// \returns whether a query on which a request waits has had no answer within
  /// QueryTimeout.
  bool hasOverdueQuery(TimePoint now) const;

private:
  struct Waiting {
    std::uint64_t Key = 0;
    double Units = 0;
    /// Nonce of the report that asked for the units; 0 for none.
    std::uint64_t Nonce = 0;
  };
  struct Lease {
    /// The account's rate limit, in units a second.
    double Rate = 0;
    /// Id of the ledger that granted the units.
    std::uint64_t Ledger = 0;
    /// Number of the lease. Units reserved under a lease that has ended must
    /// not be returned to the current one.
    std::uint64_t Epoch = 1;
    TimePoint ExpiresAt;
    double Free = 0;
    double Reserved = 0;
    /// Units spent that haven't been reported yet.
    double Spent = 0;
    std::deque<Waiting> Queue;
    TimePoint NextQueryAt;
    /// Moving average of the usage, in units a second.
    double UsageRate = 0;
    /// Moving average of the units of one request.
    double TypicalUnits = 0;
    TimePoint LastUsedAt;
  };
  /// A report without an answer so far.
  struct Query {
    TimePoint QueriedAt;
    /// Whether a request waits for the answer.
    bool Waits = false;
  };

  static void endIfExpired(TimePoint now, Lease &lease);
  static void end(Lease &lease);
  void removeUnused(TimePoint now);
  void recordUse(TimePoint now, Lease &lease, double units) const;
  /// \returns the number of units to hold for future requests.
  double targetUnits(TimePoint now, const Lease &lease) const;
  std::optional<AllotmentUse> takeUse(TimePoint now, const AccountName &name,
                                      Lease &lease, std::uint64_t nonce,
                                      bool renew) const;
  void applyGrant(TimePoint now, const AllotmentGrants &grants,
                  const AllotmentGrant &grant, TimePoint queriedAt,
                  std::vector<AllotmentDecision> &decisions);

  AllotmentLeaseOptions Options;
  std::map<AccountName, Lease> Leases;
  std::map<std::uint64_t, Query> Queries;
  std::uint64_t LastNonce = 0;
  bool Urgent = false;
  TimePoint NextReportAt;
};

} // namespace pimentofront

#endif
