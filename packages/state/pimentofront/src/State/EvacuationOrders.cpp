#include "pimentofront/State.h"

namespace pimentofront {

void EvacuationOrders::startLeading(TimePoint now, std::uint64_t term) {
  if (term == Term)
    return;
  Term = term;
  TermStartedAt = now;
  Zones.clear();
}

EvacuationDecision EvacuationOrders::evaluate(TimePoint now,
                                              const Configuration &current,
                                              const ZoneName &zone,
                                              bool evacuated) const {
  const auto it = Zones.find(zone);
  const Zone known = it == Zones.end() ? Zone() : it->second;
  if (known.ProposalPending)
    return EvacuationDecision::Undecided;
  const ZoneRecord *present = current.findZone(zone);
  if ((present && present->Evacuated) == evacuated)
    return EvacuationDecision::InForce;
  // Without a record no order on this zone was ever accepted.
  if (!present)
    return EvacuationDecision::New;
  const auto &last = evacuated ? known.EvacuatedAt : known.RestoredAt;
  return now < last.value_or(TermStartedAt) + ResendWindow
             ? EvacuationDecision::Undecided
             : EvacuationDecision::New;
}

void EvacuationOrders::recordAcknowledged(TimePoint now, const ZoneName &zone,
                                          bool evacuated) {
  Zone &it = Zones[zone];
  (evacuated ? it.EvacuatedAt : it.RestoredAt) = now;
  it.ProposalPending = false;
}

} // namespace pimentofront
