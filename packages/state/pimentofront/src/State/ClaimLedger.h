#ifndef PIMENTOFRONT_STATE_CLAIM_LEDGER_H
#define PIMENTOFRONT_STATE_CLAIM_LEDGER_H

#include "pimentofront/Wire.h"

#include <map>
#include <vector>

namespace pimentofront {

/// \class ClaimLedgerOptions
/// \ingroup State
/// \brief Options of the claim ledger. They determine the outcomes of
/// replicated commands, so they must be the same on all replicas.
struct ClaimLedgerOptions {
  /// How long after it was first issued a request may be sent again.
  std::uint64_t RetentionMilliseconds = 3'600'000;
  /// Maximum difference between a caller's clock and the replicas' clock.
  std::uint64_t ClockSkewMilliseconds = 300'000;
  /// A claim whose end isn't recorded within this time counts as unknown: its
  /// holder has crashed or won't report any more.
  std::uint64_t AbandonTimeoutMilliseconds = 120'000;
};

/// \class ClaimLedger
/// \ingroup State
/// \brief Records, for each request that may not be executed twice, which
/// attempt may run it and how that attempt ended.
///
/// Invariant: for one caller and request id, a second attempt is granted only
/// if the first is known not to have run. All times are the wall-clock times of
/// the log entries, so that every replica decides alike.
class ClaimLedger {
public:
  explicit ClaimLedger(const ClaimLedgerOptions &options = {})
      : Options(options) {}

  CommandOutcome claim(std::uint64_t wallMilliseconds,
                       const ClaimRequest &request);
  CommandOutcome end(std::uint64_t wallMilliseconds,
                     const RecordEnding &ending);
  std::size_t size() const { return Claims.size(); }

  /// Calls \p visit for each claim.
  template <class Visitor> void forEach(Visitor &&visit) const {
    for (const auto &[key, it] : Claims)
      visit(it);
  }
  /// Inserts a claim from a snapshot.
  void restore(const ClaimRecord &record);

private:
  struct ClaimKey {
    CallerName Caller;
    RequestId Request;
    friend auto operator<=>(const ClaimKey &, const ClaimKey &) = default;
  };
  CommandOutcome outcomeOfResend(std::uint64_t wallMilliseconds,
                                 const ClaimRecord &known,
                                 const ClaimRequest &request) const;
  void insertClaim(const ClaimKey &key, const ClaimRecord &record);
  void removeExpired(std::uint64_t wallMilliseconds);

  ClaimLedgerOptions Options;
  std::map<ClaimKey, ClaimRecord> Claims;
  /// Claims ordered by the time at which their request was issued, for removal
  /// of expired ones.
  std::multimap<std::uint64_t, ClaimKey> ByIssueTime;
};

} // namespace pimentofront

#endif
