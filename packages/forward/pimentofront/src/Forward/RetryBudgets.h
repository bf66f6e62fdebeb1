#ifndef PIMENTOFRONT_FORWARD_RETRY_BUDGETS_H
#define PIMENTOFRONT_FORWARD_RETRY_BUDGETS_H

#include "RoutingDocument.h"
#include "pimentofront/Serving.h"

#include <map>

namespace pimentofront {

/// \class RetryBudgets
/// \ingroup Forward
/// \brief The retry budgets of one entry, one for each service.
///
/// A backend server can bear a share of further sends beside the requests for
/// its own service. With one budget for all services, a small service could
/// receive retries earned by a large one, and a large one that fails would use
/// up those of the small one.
class RetryBudgets {
public:
  /// \param share retries that each request for a service allows there.
  /// \param reserve unused retries that each service may accumulate.
  RetryBudgets(double share, double reserve) : Share(share), Reserve(reserve) {}

  void recordRequest(const ServiceName &service);
  /// \returns whether a retry at \p service is allowed.
  bool canRetry(const ServiceName &service) const;
  /// \returns whether a retry is allowed, and takes it from the budget.
  bool take(const ServiceName &service);
  /// Changes the reserve when the number of entries that share it has changed.
  void setReserve(double reserve);
  /// Forgets the services that \p document doesn't have.
  void useDocument(const RoutingDocument &document);

private:
  RetryBudget &budgetOf(const ServiceName &service);

  double Share;
  double Reserve;
  std::map<ServiceName, RetryBudget> Budgets;
};

} // namespace pimentofront

#endif
