#ifndef PIMENTOFRONT_STATE_CLAIM_LEDGER_H
#define PIMENTOFRONT_STATE_CLAIM_LEDGER_H

#include "pimentofront/Wire.h"

#include <map>
#include <vector>

namespace pimentofront {

/// \class ClaimLedgerOptions
/// \ingroup State
/// \brief Part of the replicated state's meaning: the same on all replicas.
struct ClaimLedgerOptions {
  /// A request may be sent again for so long after it was first issued.
  std::uint64_t RetentionMilliseconds = 3'600'000;
  /// How far callers' clocks may be from ours.
  std::uint64_t ClockSkewMilliseconds = 300'000;
  /// A claim that hasn't ended after this counts as unknown: its holder has
  /// died, or will never tell.
  std::uint64_t AbandonedMilliseconds = 120'000;
};

/// \class ClaimLedger
/// \ingroup State
/// \brief Who may run each request that may not be repeated, and how it ended.
///
/// Invariant: for one caller and request id, no two attempts are granted,
/// unless the first is known not to have run. Time is that of the log entries.
class ClaimLedger {
public:
  explicit ClaimLedger(const ClaimLedgerOptions &options = {})
      : Options(options) {}

  CommandOutcome claim(std::uint64_t wallMilliseconds,
                       const ClaimRequest &request);
  CommandOutcome end(std::uint64_t wallMilliseconds,
                     const RecordEnding &ending);
  std::size_t size() const { return Claims.size(); }

  /// Calls \p visit with each claim.
  template <class Visitor> void forEach(Visitor &&visit) const {
    for (const auto &[key, it] : Claims)
      visit(it);
  }
  /// Puts in a claim of a snapshot.
  void restore(const ClaimRecord &record);

private:
  struct ClaimKey {
    CallerName Caller;
    RequestId Request;
    friend auto operator<=>(const ClaimKey &, const ClaimKey &) = default;
  };
  CommandOutcome answerResend(std::uint64_t wallMilliseconds,
                              const ClaimRecord &known,
                              const ClaimRequest &request) const;
  void place(const ClaimKey &key, const ClaimRecord &record);
  void forgetOld(std::uint64_t wallMilliseconds);

  ClaimLedgerOptions Options;
  std::map<ClaimKey, ClaimRecord> Claims;
  /// Claims by when they were issued: the oldest are forgotten first.
  std::multimap<std::uint64_t, ClaimKey> ByIssue;
};

} // namespace pimentofront

#endif
