#ifndef PIMENTOFRONT_STATE_EVACUATION_ORDERS_H
#define PIMENTOFRONT_STATE_EVACUATION_ORDERS_H

#include "Configuration.h"

namespace pimentofront {

/// How an order to evacuate or restore a zone is handled.
enum class EvacuationDecision : std::uint8_t {
  /// The zone is already evacuated, or restored, as ordered: the order is
  /// acknowledged again.
  InForce,
  /// The order may be a late resend that an opposite order has superseded, or
  /// another order on the zone is pending. It can't be decided now.
  Undecided,
  New,
};

/// \class EvacuationOrders
/// \ingroup State
/// \brief Distinguishes new evacuation orders of operators from late resends of
/// earlier ones. Used by the leader of the replicas.
///
/// It serves orders without a command id, which consist of the name of a zone
/// and whether to evacuate or restore it. An order whose acknowledgement was
/// lost is resent for a bounded time, to any replica, and another operator may
/// have reversed it meanwhile. Resends are recognized by time, on the clock of
/// this process: once the resend window has passed since an order was last
/// acknowledged, no resend of it can arrive any more. Until then, the same
/// order after an opposite one isn't decided; its sender asks again, and an
/// order that really is new is accepted when the resend window is over. Orders
/// that former leaders acknowledged count as acknowledged at the start of this
/// leader's term, which can only make the wait longer.
///
/// One order per zone is decided at a time. Orders with command ids don't need
/// this class, since the state machine stores their first outcome.
class EvacuationOrders {
public:
  /// \param resendWindow maximum time during which an order is resent.
  explicit EvacuationOrders(Duration resendWindow)
      : ResendWindow(resendWindow) {}

  /// This process is the leader in \p term. Further calls with the same term
  /// have no effect.
  void startLeading(TimePoint now, std::uint64_t term);
  /// Decides how to handle an order to evacuate or, if \p evacuated is false,
  /// to restore \p zone.
  /// \param current the configuration with all orders accepted so far.
  EvacuationDecision evaluate(TimePoint now, const Configuration &current,
                              const ZoneName &zone, bool evacuated) const;
  /// A new order was proposed to the log. Further orders on the zone wait until
  /// recordAcknowledged() or recordProposalFailed().
  void recordProposed(const ZoneName &zone) {
    Zones[zone].ProposalPending = true;
  }
  /// The order couldn't be proposed.
  void recordProposalFailed(const ZoneName &zone) {
    Zones[zone].ProposalPending = false;
  }
  /// An order was applied, or was in force already and acknowledged again.
  void recordAcknowledged(TimePoint now, const ZoneName &zone, bool evacuated);

private:
  struct Zone {
    /// When an order to evacuate the zone, and one to restore it, was last
    /// acknowledged in this term.
    std::optional<TimePoint> EvacuatedAt;
    std::optional<TimePoint> RestoredAt;
    bool ProposalPending = false;
  };

  Duration ResendWindow;
  std::uint64_t Term = 0;
  TimePoint TermStartedAt;
  std::map<ZoneName, Zone> Zones;
};

} // namespace pimentofront

#endif
