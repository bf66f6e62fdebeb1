#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {

RetryBudget &RetryBudgets::budgetOf(const ServiceName &service) {
  return Budgets.try_emplace(service, Share, Reserve).first->second;
}

void RetryBudgets::recordRequest(const ServiceName &service) {
  budgetOf(service).recordRequest();
}

bool RetryBudgets::canRetry(const ServiceName &service) const {
  const auto it = Budgets.find(service);
  return it == Budgets.end() ? RetryBudget(Share, Reserve).canRetry()
                             : it->second.canRetry();
}

bool RetryBudgets::take(const ServiceName &service) {
  return budgetOf(service).take();
}

void RetryBudgets::setReserve(double reserve) {
  Reserve = reserve;
  for (auto &[service, it] : Budgets)
    it.setReserve(reserve);
}

void RetryBudgets::useDocument(const RoutingDocument &document) {
  std::erase_if(Budgets, [&](const auto &it) {
    return std::ranges::find(document.Services, it.first, &ServiceSpec::Name) ==
           document.Services.end();
  });
}

} // namespace pimentofront
