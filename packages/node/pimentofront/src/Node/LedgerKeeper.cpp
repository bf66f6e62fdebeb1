#include "pimentofront/Node.h"

namespace pimentofront {

void LedgerKeeper::noteTerm(TimePoint now, Term term) {
  if (term == Seen)
    return;
  // A term that was skipped may have had a leader, and so may a term that began
  // before this process started.
  QuietBefore = Seen != 0 && term == Seen + 1 &&
                now >= SeenSince + Rules.Window + Rules.Lease;
  Seen = term;
  SeenSince = now;
}

void LedgerKeeper::lead(TimePoint now, Term term) {
  if (Led == term)
    return;
  noteTerm(now, term);
  // No other replica led in between, so the units granted in advance are known.
  const bool goesOn = Led != 0 && term == Led + 1;
  if (!goesOn)
    Ledger.begin(now, term, QuietBefore);
  Led = term;
}

AllotmentGrants LedgerKeeper::onReport(TimePoint now,
                                       const Configuration &configuration,
                                       const AllotmentReport &report) {
  follow(now, configuration);
  return Ledger.onReport(now, report);
}

std::vector<AccountStatus>
LedgerKeeper::status(TimePoint now, const Configuration &configuration) {
  constexpr std::size_t MostShown = 1000;
  follow(now, configuration);
  return Ledger.status(now, MostShown);
}

void LedgerKeeper::follow(TimePoint now, const Configuration &configuration) {
  const DocumentRecord *record = configuration.document();
  if (!Documents || !record || record->ChangedAt == Followed)
    return;
  Followed = record->ChangedAt;
  Findings findings;
  RoutingDocument document =
      Documents->decode(unpackText(record->Packed), findings);
  document.check(findings);
  if (findings.empty())
    Ledger.setAccounts(now, AccountTable(std::move(document.Accounts)));
}

} // namespace pimentofront
