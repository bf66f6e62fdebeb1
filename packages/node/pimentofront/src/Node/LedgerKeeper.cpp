#include "pimentofront/Node.h"

namespace pimentofront {

void LedgerKeeper::recordTerm(TimePoint now, Term term) {
  if (term == LastTerm)
    return;
  // A term that was skipped may have had a leader, and so may a term that began
  // before this process started.
  NoRecentLedger = LastTerm != 0 && term == LastTerm + 1 &&
                   now >= LastTermSince + Rules.Window + Rules.Lease;
  LastTerm = term;
  LastTermSince = now;
}

void LedgerKeeper::startLeading(TimePoint now, Term term) {
  if (LedTerm == term)
    return;
  recordTerm(now, term);
  // No other replica led in between, so the units granted in advance are known.
  const bool continues = LedTerm != 0 && term == LedTerm + 1;
  if (!continues)
    Ledger.begin(now, term, NoRecentLedger);
  LedTerm = term;
}

AllotmentGrants LedgerKeeper::onReport(TimePoint now,
                                       const Configuration &configuration,
                                       const AllotmentReport &report) {
  updateAccounts(now, configuration);
  return Ledger.onReport(now, report);
}

std::vector<AccountStatus>
LedgerKeeper::status(TimePoint now, const Configuration &configuration) {
  constexpr std::size_t MaxAccounts = 1000;
  updateAccounts(now, configuration);
  return Ledger.status(now, MaxAccounts);
}

void LedgerKeeper::updateAccounts(TimePoint now,
                                  const Configuration &configuration) {
  const DocumentRecord *record = configuration.document();
  if (!Documents || !record || record->ChangedAt == AccountsRevision)
    return;
  AccountsRevision = record->ChangedAt;
  Findings findings;
  RoutingDocument document =
      Documents->decode(unpackText(record->Packed), findings);
  document.check(findings);
  if (findings.empty())
    Ledger.setAccounts(now, AccountTable(std::move(document.Accounts)));
}

} // namespace pimentofront
