#ifndef PIMENTOFRONT_SERVING_URGENCY_ORDER_H
#define PIMENTOFRONT_SERVING_URGENCY_ORDER_H

#include "RequestOrder.h"

namespace pimentofront {

/// \class UrgencyOrder
/// \ingroup Serving
/// \brief Starts the most urgent requests first, with a floor for the others.
///
/// Requests that can still be on time form one class for each urgency, those
/// that are late another, behind all that can be on time: a late answer is
/// worth as much a little later. While a class precedes others, the others
/// together are owed FloorShare of all tokens, and the longest waiting of them
/// is started as soon as they are owed its tokens. So each request is started
/// after a bounded amount of work.
class UrgencyOrder : public RequestOrder {
public:
  /// Share of the engine's work that goes to the classes which don't come
  /// first.
  static constexpr double FloorShare = 0.25;

  /// \param accounts must outlive the order.
  explicit UrgencyOrder(const AccountShares &accounts) : Accounts(accounts) {}

  Choice choose(std::span<const OrderCandidate> candidates) const override;
  void onStarted(const OrderCandidate &started, Turn reason) override;

private:
  const AccountShares &Accounts;
  /// Tokens owed to the classes that don't come first.
  double Owed = 0;
};

} // namespace pimentofront

#endif
