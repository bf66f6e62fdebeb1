#ifndef PIMENTOFRONT_NODE_LEDGER_KEEPER_H
#define PIMENTOFRONT_NODE_LEDGER_KEEPER_H

#include "DocumentCodec.h"
#include "pimentofront/Consensus.h"

namespace pimentofront {

/// \class LedgerKeeper
/// \ingroup Node
/// \brief Manages the allotment ledger of a leading replica: restarts it in a
/// new term, unless this replica has led in the term just before, and updates
/// it with the client accounts in force.
class LedgerKeeper {
public:
  /// \param documents may be null: then no account has a known limit.
  LedgerKeeper(const AllotmentRules &rules, const DocumentCodec *documents)
      : Rules(rules), Documents(documents), Ledger(rules, Sizing) {}

  /// Call it for every term that this process observes.
  void recordTerm(TimePoint now, Term term);
  /// This replica leads in \p term and holds the leader lease. Starts the
  /// ledger at once rather than at the first report, so that its buckets
  /// already fill.
  void startLeading(TimePoint now, Term term);
  /// \pre startLeading() was called for \p term.
  AllotmentGrants onReport(TimePoint now, const Configuration &configuration,
                           const AllotmentReport &report);
  /// \returns the state of the accounts, for operators.
  /// \pre startLeading() was called for the current term.
  std::vector<AccountStatus> status(TimePoint now,
                                    const Configuration &configuration);

private:
  void updateAccounts(TimePoint now, const Configuration &configuration);

  AllotmentRules Rules;
  const DocumentCodec *Documents;
  UsageBasedLeases Sizing;
  AllotmentLedger Ledger;
  Term LedTerm = 0;
  /// The newest term observed, when it was first observed, and whether no other
  /// ledger can have started in the last window and lease before it.
  Term LastTerm = 0;
  TimePoint LastTermSince;
  bool NoRecentLedger = false;
  Revision AccountsRevision = 0;
};

} // namespace pimentofront

#endif
