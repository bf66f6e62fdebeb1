#ifndef PIMENTOFRONT_SERVING_RETRY_BUDGET_H
#define PIMENTOFRONT_SERVING_RETRY_BUDGET_H

#include "pimentofront/Wire.h"

#include <algorithm>

namespace pimentofront {

/// \class RetryBudget
/// \ingroup Serving
/// \brief Token bucket that bounds retries to a share of the requests, so that
/// they can't multiply an overload. It starts with a full reserve, so that a
/// few retries are allowed before any requests.
class RetryBudget {
public:
  /// \param share tokens that each request adds.
  /// \param reserve number of tokens at the start, and their maximum unless it
  /// is below one; a retry takes one. A process whose part of a shared reserve
  /// is below one may still collect the tokens of one retry.
  explicit RetryBudget(double share = 0.2, double reserve = 10)
      : Share(share), Reserve(reserve), Tokens(reserve) {}

  void recordRequest() {
    Tokens = std::min(Tokens + Share, std::max(Reserve, 1.0));
  }
  /// \returns whether a retry is allowed.
  bool canRetry() const { return Tokens >= 1; }
  /// \returns whether a retry is allowed, and takes it from the budget.
  bool take() {
    if (!canRetry())
      return false;
    Tokens -= 1;
    return true;
  }

  /// Changes the reserve when the number of processes that share it has
  /// changed.
  void setReserve(double reserve) {
    const double limit = std::max(reserve, 1.0);
    Tokens = std::min(Tokens + std::max(reserve - Reserve, 0.0), limit);
    Reserve = reserve;
  }

private:
  double Share;
  double Reserve;
  double Tokens;
};

} // namespace pimentofront

#endif
