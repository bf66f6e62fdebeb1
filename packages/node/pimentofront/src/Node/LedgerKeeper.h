#ifndef PIMENTOFRONT_NODE_LEDGER_KEEPER_H
#define PIMENTOFRONT_NODE_LEDGER_KEEPER_H

#include "DocumentCodec.h"
#include "pimentofront/Consensus.h"

namespace pimentofront {

/// \class LedgerKeeper
/// \ingroup Node
/// \brief Keeps the allotment ledger of a replica that leads: begins it anew
/// with each term, and has it follow the accounts in force.
class LedgerKeeper {
public:
  /// \param documents may be null: then no account has a limit that is known.
  LedgerKeeper(const AllotmentRules &rules, const DocumentCodec *documents)
      : Rules(rules), Documents(documents), Ledger(rules, Sizing) {}

  /// To be told of every term that this process sees.
  void noteTerm(TimePoint now, Term term);
  /// This replica leads in \p term, under its lease. Begins the ledger at once:
  /// buckets fill before anybody asks.
  void startLeading(TimePoint now, Term term);
  /// \pre startLeading() was called for \p term.
  AllotmentGrants onReport(TimePoint now, const Configuration &configuration,
                           const AllotmentReport &report);
  /// \returns what is known of the accounts, for operators.
  /// \pre startLeading() was called for the present term.
  std::vector<AccountStatus> status(TimePoint now,
                                    const Configuration &configuration);

private:
  void follow(TimePoint now, const Configuration &configuration);

  AllotmentRules Rules;
  const DocumentCodec *Documents;
  UsageBasedLeases Sizing;
  AllotmentLedger Ledger;
  Term Led = 0;
  /// The newest term, and whether another ledger can have begun in the last
  /// window and lease before it.
  Term Seen = 0;
  TimePoint SeenSince;
  bool QuietBefore = false;
  Revision Followed = 0;
};

} // namespace pimentofront

#endif
