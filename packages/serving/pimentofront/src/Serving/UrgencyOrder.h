#ifndef PIMENTOFRONT_SERVING_URGENCY_ORDER_H
#define PIMENTOFRONT_SERVING_URGENCY_ORDER_H

#include "RequestOrder.h"

namespace pimentofront {

/// \class UrgencyOrder
/// \ingroup Serving
/// \brief Starts the most urgent requests first, with a floor for the others.
///
/// Within an urgency the accounts with the least service relative to their
/// share go first, then what can be on time, then what is due first. What
/// doesn't come first, since it is less urgent or late, is owed FloorShare of
/// all tokens: the longest waiting of it is started as soon as its tokens are
/// owed, unless its account has received more than its share. So each request
/// is started after a bounded amount of work.
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
