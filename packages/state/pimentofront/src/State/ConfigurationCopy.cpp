#include "pimentofront/State.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Maximum number of unanswered probes, and of confirmations that wait for
/// their revision. Replies to older probes are ignored.
constexpr std::size_t MaxProbes = 64;

} // namespace

std::uint64_t ConfigurationCopy::beginProbe(TimePoint now) {
  Probes.push_back({++LastNonce, now});
  if (Probes.size() > MaxProbes)
    Probes.pop_front();
  return LastNonce;
}

std::optional<TimePoint>
ConfigurationCopy::onProbeReply(const ProbeReply &reply) {
  const auto it = std::ranges::find(Probes, reply.Nonce, &Probe::Nonce);
  if (it == Probes.end())
    return std::nullopt;
  const TimePoint sentAt = it->SentAt;
  PendingConfirmations.push_back({reply.Confirmed, sentAt});
  Probes.erase(Probes.begin(), it + 1);
  if (PendingConfirmations.size() > MaxProbes)
    PendingConfirmations.pop_front();
  applyConfirmations();
  return sentAt;
}

void ConfigurationCopy::applyConfirmations() {
  std::erase_if(PendingConfirmations, [&](const Confirmation &it) {
    if (it.At > Records.revision())
      return false;
    if (!ConfirmedAt || it.ProbeSentAt > *ConfirmedAt)
      ConfirmedAt = it.ProbeSentAt;
    return true;
  });
}

bool ConfigurationCopy::apply(const ConfigurationUpdate &update) {
  bool availabilityChanged = false;
  for (const ConfigurationRecord &it : update.Records) {
    if (changedAt(it) <= Records.revision())
      continue;
    Records.put(it);
    availabilityChanged = availabilityChanged ||
                          std::holds_alternative<DrainRecord>(it) ||
                          std::holds_alternative<ZoneRecord>(it);
  }
  // A partial update alone doesn't give the state of any revision, since a
  // record that changed twice is sent with its last change only.
  if (!update.Partial)
    Records.advance(update.UpTo);
  applyConfirmations();
  return availabilityChanged;
}

Duration ConfigurationCopy::remainingLease(TimePoint now) const {
  if (!ConfirmedAt)
    return Duration::zero();
  return std::max(*ConfirmedAt + Options.Lease - now, Duration::zero());
}

std::optional<Duration>
ConfigurationCopy::confirmationAge(TimePoint now) const {
  if (!ConfirmedAt)
    return std::nullopt;
  return now - *ConfirmedAt;
}

bool ConfigurationCopy::isDrained(const HostName &host) const {
  const DrainRecord *drain = Records.findDrain(host);
  return drain && drain->Drained;
}

bool ConfigurationCopy::isEvacuated(const ZoneName &zone) const {
  const ZoneRecord *record = Records.findZone(zone);
  return record && record->Evacuated;
}

bool ConfigurationCopy::isConfirmed(TimePoint now) const {
  return remainingLease(now) > Duration::zero();
}

} // namespace pimentofront
