#ifndef PIMENTOFRONT_SERVING_DISPATCH_CONTROLLER_H
#define PIMENTOFRONT_SERVING_DISPATCH_CONTROLLER_H

#include "StrideOrder.h"

#include <memory>

namespace pimentofront {

/// \class DispatchController
/// \ingroup Serving
/// \brief Starts waiting requests while the engine has capacity, in the order
/// of a RequestOrder: by kind while they are equally urgent and belong to no
/// account, otherwise by the order that the options name.
class DispatchController {
public:
  explicit DispatchController(AgentBoard &board);

  void run(TimePoint now);

private:
  /// \returns the waiting requests whose adapter is ready and whose prompt
  /// may be read now, by adapter and in order of arrival.
  std::vector<OrderCandidate> candidates(TimePoint now) const;
  RequestOrder &orderFor(std::span<const OrderCandidate> candidates);
  /// \returns whether an idle engine should wait for more requests to batch.
  bool waitsForBatch(TimePoint now) const;
  void start(TimePoint now, const WaitingAttempt &chosen);
  WaitingAttempt extract(const WaitingAttempt &chosen);

  AgentBoard &Board;
  StrideOrder ByKind;
  std::unique_ptr<RequestOrder> ByDemand;
};

} // namespace pimentofront

#endif
