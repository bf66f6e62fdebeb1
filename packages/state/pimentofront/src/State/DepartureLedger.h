#ifndef PIMENTOFRONT_STATE_DEPARTURE_LEDGER_H
#define PIMENTOFRONT_STATE_DEPARTURE_LEDGER_H

#include "pimentofront/Wire.h"

#include <map>

namespace pimentofront {

/// \class DepartureLedger
/// \ingroup State
/// \brief The registered servers whose departure was acknowledged: part of the
/// replicated state, so that an acknowledgement outlives the leader that gave
/// it.
///
/// Use it for what a server says once. The members themselves aren't
/// replicated: they repeat their announcements, and a new leader collects them
/// (MemberTable).
class DepartureLedger {
public:
  /// Departures stored. The oldest one is dropped beyond that.
  static constexpr std::size_t MaxRecords = 4096;

  /// \returns 0 as long as no command for this ledger was applied. Increases
  /// with each change.
  std::uint64_t version() const { return Version; }
  const std::map<ServerProcess, DepartureRecord> &records() const {
    return Records;
  }
  /// \returns whether recording \p departure would change nothing.
  bool covers(const DepartureRecord &departure) const;

  CommandOutcome record(const RecordDeparture &command);
  CommandOutcome forget(const ForgetDepartures &command);
  void restoreVersion(std::uint64_t version) { Version = version; }
  void restore(const DepartureRecord &record) {
    Records[record.Server] = record;
  }

private:
  void dropOldest();

  std::uint64_t Version = 0;
  std::map<ServerProcess, DepartureRecord> Records;
};

/// \returns both departures of one process as one: a process that has left
/// doesn't return, and the later announcement counts.
/// \pre a.Server == b.Server
DepartureRecord merged(const DepartureRecord &a, const DepartureRecord &b);

} // namespace pimentofront

#endif
