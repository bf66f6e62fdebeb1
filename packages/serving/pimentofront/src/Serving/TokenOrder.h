#ifndef PIMENTOFRONT_SERVING_TOKEN_ORDER_H
#define PIMENTOFRONT_SERVING_TOKEN_ORDER_H

#include "RequestOrder.h"

namespace pimentofront {

/// \class TokenOrder
/// \ingroup Serving
/// \brief Shares the engine's work between urgencies by weighted token
/// counters: each urgency gets half the weight of the one before it.
///
/// It starves nobody and needs no floor, but a burst of a less urgent kind
/// takes its full share although more urgent requests wait. Use UrgencyOrder
/// where urgency matters to the callers.
class TokenOrder : public RequestOrder {
public:
  /// \param accounts must outlive the order.
  explicit TokenOrder(const AccountShares &accounts) : Accounts(accounts) {}

  Choice choose(std::span<const OrderCandidate> candidates) const override;
  void onStarted(const OrderCandidate &started, Turn reason) override;

private:
  double counterOf(std::uint32_t urgency) const;

  const AccountShares &Accounts;
  /// Tokens started of each urgency, divided by its weight.
  std::map<std::uint32_t, double> Counters;
  /// Counter of the urgency that was served last, at which one without waiting
  /// requests resumes.
  double CurrentCounter = 0;
};

} // namespace pimentofront

#endif
