#ifndef PIMENTOFRONT_SERVING_RETRY_BUDGET_H
#define PIMENTOFRONT_SERVING_RETRY_BUDGET_H

#include "pimentofront/Wire.h"

#include <algorithm>

namespace pimentofront {

/// \class RetryBudget
/// \ingroup Serving
/// \brief Bounds attempts after failures to a share of the requests, so that
/// retries can't multiply an overload. A few are allowed without any requests.
class RetryBudget {
public:
  /// \param share retries for each request. \param reserve most that is saved.
  explicit RetryBudget(double share = 0.2, double reserve = 10)
      : Share(share), Reserve(reserve), Tokens(reserve) {}

  void noteRequest() { Tokens = std::min(Tokens + Share, Reserve); }
  /// \returns whether a retry may be made.
  bool hasRoom() const { return Tokens >= 1; }
  /// \returns whether a retry may be made, and takes it from the budget.
  bool take() {
    if (!hasRoom())
      return false;
    Tokens -= 1;
    return true;
  }

  /// Another number of processes shares what may be saved up.
  void setReserve(double reserve) {
    Tokens = std::min(Tokens + std::max(reserve - Reserve, 0.0), reserve);
    Reserve = reserve;
  }

private:
  double Share;
  double Reserve;
  double Tokens;
};

} // namespace pimentofront

#endif
