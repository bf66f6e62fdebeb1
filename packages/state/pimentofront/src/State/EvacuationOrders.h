#ifndef PIMENTOFRONT_STATE_EVACUATION_ORDERS_H
#define PIMENTOFRONT_STATE_EVACUATION_ORDERS_H

#include "Configuration.h"

namespace pimentofront {

/// What becomes of an order on the evacuation of a zone.
enum class EvacuationVerdict : std::uint8_t {
  /// It is in force already: acknowledged again.
  InForce,
  /// It may be an earlier order that comes late, after an opposite one: no
  /// clear
  /// answer now.
  MaybeLate,
  New,
};

/// \class EvacuationOrders
/// \ingroup State
/// \brief Tells new orders of operators on evacuations from earlier ones that
/// are sent again and come late. Kept by the leader of the replicas.
///
/// For orders without a command id: a name of a zone, and whether it is
/// evacuated or taken back. An order whose acknowledgement got lost is sent
/// again for a bounded time, to any replica, while another operator may have
/// undone it. What tells the two apart is time, by the clock of this process:
/// from a resend time after an order was taken last, no resend of it can come
/// any more. Until then one that would undo an opposite order gets no clear
/// answer; its sender asks again, and a new order is accepted at the end of
/// that time. What former leaders took counts as taken when this one began,
/// which only makes the time longer.
///
/// One order on a zone is decided at a time. Orders with command ids don't need
/// it: the state machine knows their first outcome.
class EvacuationOrders {
public:
  /// \param resentFor the longest time in which an order is sent again.
  explicit EvacuationOrders(Duration resentFor) : ResentFor(resentFor) {}

  /// This process leads in \p term.
  void lead(TimePoint now, std::uint64_t term);
  /// \param current all that was accepted so far.
  EvacuationVerdict judge(TimePoint now, const Configuration &current,
                          const ZoneName &zone, bool evacuated) const;
  /// A new order is being proposed; it is decided by noteTaken().
  void noteProposed(const ZoneName &zone) { Zones[zone].Undecided = true; }
  /// It couldn't be proposed after all.
  void noteNotProposed(const ZoneName &zone) { Zones[zone].Undecided = false; }
  /// An order was applied, or acknowledged again.
  void noteTaken(TimePoint now, const ZoneName &zone, bool evacuated);

private:
  struct Zone {
    /// When an order to evacuate it, and to take that back, was taken last in
    /// this term.
    std::optional<TimePoint> EvacuatedAt;
    std::optional<TimePoint> RestoredAt;
    bool Undecided = false;
  };

  Duration ResentFor;
  std::uint64_t Term = 0;
  TimePoint TermBegan;
  std::map<ZoneName, Zone> Zones;
};

} // namespace pimentofront

#endif
