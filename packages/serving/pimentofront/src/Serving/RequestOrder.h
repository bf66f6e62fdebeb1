#ifndef PIMENTOFRONT_SERVING_REQUEST_ORDER_H
#define PIMENTOFRONT_SERVING_REQUEST_ORDER_H

#include "AgentBoard.h"

#include <span>

namespace pimentofront {

/// \class OrderCandidate
/// \ingroup Serving
/// \brief A waiting request that the engine could start now.
struct OrderCandidate {
  const WaitingAttempt *Attempt = nullptr;
  /// When its first event is expected if it is started now.
  TimePoint FirstEventAt;

  /// \returns whether its first event can't come within its latency target.
  bool isLate() const {
    return Attempt->OnTimeUntil && FirstEventAt > *Attempt->OnTimeUntil;
  }
  /// \returns the time by which it should begin to answer.
  TimePoint due() const {
    return Attempt->OnTimeUntil && !isLate() ? *Attempt->OnTimeUntil
                                             : Attempt->Deadline;
  }
};

/// \class RequestOrder
/// \ingroup Serving
/// \brief Decides which of the waiting requests an engine starts next.
///
/// An order is asked before each start, so it may follow what changes while
/// requests wait. It never holds a request back: as long as there is a
/// candidate, one is chosen.
class RequestOrder {
public:
  /// Why a request was chosen.
  enum class Turn : std::uint8_t {
    /// No request of another class waits.
    Alone,
    /// It precedes requests of other classes.
    First,
    /// It is of a class that would starve otherwise.
    Floor,
  };
  struct Choice {
    std::size_t Position = 0;
    Turn Reason = Turn::Alone;
  };

  virtual ~RequestOrder() = default;
  /// \pre \p candidates isn't empty.
  virtual Choice choose(std::span<const OrderCandidate> candidates) const = 0;
  /// The request of a choice is started.
  virtual void onStarted(const OrderCandidate &started, Turn reason) = 0;
};

/// \returns the work of a request in tokens. A generated token is weighted
/// twice as in Sheng et al. (2024), since it takes a step of its own.
std::uint64_t workOf(const WaitingAttempt &attempt);

/// \returns whether the requests differ in urgency or belong to accounts. If
/// not, an order by kind and deadline serves them.
bool differInDemand(const WaitingAttempt &a, const WaitingAttempt &b);

} // namespace pimentofront

#endif
