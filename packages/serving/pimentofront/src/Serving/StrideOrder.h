#ifndef PIMENTOFRONT_SERVING_STRIDE_ORDER_H
#define PIMENTOFRONT_SERVING_STRIDE_ORDER_H

#include "RequestOrder.h"

namespace pimentofront {

/// \class StrideOrder
/// \ingroup Serving
/// \brief Shares starts between kinds by weight (stride scheduling, Waldspurger
/// and Weihl, 1995); within a kind the earliest deadline goes first. No kind
/// starves, since each start advances the pass of its kind.
///
/// It serves requests that are equally urgent and belong to no account.
class StrideOrder : public RequestOrder {
public:
  Choice choose(std::span<const OrderCandidate> candidates) const override;
  void onStarted(const OrderCandidate &started, Turn reason) override;

private:
  double passOf(const KindName &kind) const;

  /// Virtual time (pass) of each kind: its starts divided by its weight.
  std::map<KindName, double> Passes;
  /// Pass of the kind that was served last, at which a kind without waiting
  /// requests resumes.
  double CurrentPass = 0;
};

} // namespace pimentofront

#endif
