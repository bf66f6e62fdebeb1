#include "pimentofront/State.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {

DepartureRecord merged(const DepartureRecord &a, const DepartureRecord &b) {
  assert(a.Server == b.Server && "departures of one process are merged");
  return {.Server = a.Server,
          .Gone = a.Gone || b.Gone,
          .NamesProcess = a.NamesProcess || b.NamesProcess,
          .Sequence = std::max(a.Sequence, b.Sequence),
          .ChangedAt = std::max(a.ChangedAt, b.ChangedAt)};
}

bool DepartureLedger::covers(const DepartureRecord &departure) const {
  const auto it = Records.find(departure.Server);
  if (it == Records.end())
    return false;
  DepartureRecord both = merged(it->second, departure);
  both.ChangedAt = it->second.ChangedAt;
  return both == it->second;
}

CommandOutcome DepartureLedger::record(const RecordDeparture &command) {
  DepartureRecord departure = command.Departure;
  if (covers(departure))
    return {.Result = CommandResult::Accepted};
  departure.ChangedAt = ++Version;
  const auto it = Records.find(departure.Server);
  if (it != Records.end())
    departure = merged(it->second, departure);
  Records[departure.Server] = departure;
  if (Records.size() > MaxRecords)
    dropOldest();
  return {.Result = CommandResult::Accepted};
}

void DepartureLedger::dropOldest() {
  const auto oldest = std::ranges::min_element(
      Records, {}, [](const auto &it) { return it.second.ChangedAt; });
  Records.erase(oldest);
}

CommandOutcome DepartureLedger::forget(const ForgetDepartures &command) {
  ++Version;
  for (const DepartureRecord &departure : command.Departures) {
    const auto it = Records.find(departure.Server);
    if (it != Records.end() && it->second == departure)
      Records.erase(it);
  }
  return {.Result = CommandResult::Accepted};
}

} // namespace pimentofront
