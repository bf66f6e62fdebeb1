#ifndef PIMENTOFRONT_ACCOUNT_ALLOTMENT_BUCKET_H
#define PIMENTOFRONT_ACCOUNT_ALLOTMENT_BUCKET_H

#include "ClientAccount.h"

namespace pimentofront {

/// \class AllotmentRules
/// \ingroup Account
/// \brief How far all entries together may exceed an allotment.
struct AllotmentRules {
  /// In each window of this length an account's requests stay below
  /// (rate x window + burst) x (1 + Overshoot) + Slack.
  Duration Window = std::chrono::seconds(8);
  double Overshoot = 0;
  /// In units of the allotment.
  double Slack = 0;
  /// How long an entry may spend the units that it holds, counted from its last
  /// report. After a limit is reduced, units granted before can be spent for
  /// this long, and the units of an entry that has exited are unavailable to
  /// the account for as long.
  Duration Lease = std::chrono::seconds(4);
  friend auto operator<=>(const AllotmentRules &,
                          const AllotmentRules &) = default;
};

/// \class AllotmentBucket
/// \ingroup Account
/// \brief The two token buckets of one account.
///
/// The account's own bucket, with its rate and burst, limits what the account
/// may send. The second bucket, with levels from MinLevel to MaxLevel, limits
/// what all entries together may send under any failure: units that entries
/// hold are already subtracted from it. In any window it lets through
/// (MaxLevel - MinLevel) + rate x window, plus what a new ledger starts with
/// above MinLevel. The sum does not exceed the bound of AllotmentRules. One
/// half of the error that the rules allow is used to size the second bucket, so
/// that units held by entries don't reduce the account's burst; the other half
/// is reserved for a new ledger, at most once a window.
struct AllotmentBucket {
  /// Units a second.
  double Rate = 0;
  double Burst = 0;
  double MaxLevel = 0;
  /// Not above 0.
  double MinLevel = 0;
  /// Level at which a new ledger may start, at most once a window.
  double NewLedgerLevel = 0;
  friend auto operator<=>(const AllotmentBucket &,
                          const AllotmentBucket &) = default;

  static AllotmentBucket of(const Allotment &allotment,
                            const AllotmentRules &rules);
  /// \returns the level of the account's own bucket at which \p units may be
  /// granted. A request larger than the burst requires a full bucket.
  double requiredOwnLevel(double units) const;
  /// \returns the level of the second bucket at which the rules allow \p units.
  double requiredLevel(double units) const;
  /// \returns the units that may be granted in advance at \p level. The burst
  /// is reserved for requests that ask for their units.
  double grantableInAdvance(double level) const;
};

} // namespace pimentofront

#endif
