#include "OrderWithinUrgency.h"
#include "pimentofront/Serving.h"

#include <algorithm>
#include <limits>

namespace pimentofront {
namespace {

/// \returns the counter above which an account has received more than its
/// share.
double servedLimit(std::span<const OrderCandidate> candidates,
                   const AccountShares &accounts) {
  double lowest = std::numeric_limits<double>::max();
  double largest = 0;
  for (const OrderCandidate &it : candidates) {
    const AccountShares::Id account = it.Attempt->Account.id();
    lowest = std::min(lowest, accounts.served(account));
    largest = std::max(largest, static_cast<double>(workOf(*it.Attempt)) /
                                    accounts.share(account));
  }
  return lowest + largest;
}

} // namespace

RequestOrder::Choice
UrgencyOrder::choose(std::span<const OrderCandidate> candidates) const {
  const auto urgencyOf = [](const OrderCandidate &it) {
    return it.Attempt->Request.Demand.Urgency;
  };
  const std::uint32_t first =
      urgencyOf(*std::ranges::min_element(candidates, {}, urgencyOf));
  const bool allLate =
      std::ranges::none_of(candidates, [&](const OrderCandidate &it) {
        return urgencyOf(it) == first && !it.isLate();
      });
  // The floor must not help an account that sends more than its share: most of
  // what waits longest is its own.
  const double limit = servedLimit(candidates, Accounts);
  const OrderCandidate *oldest = nullptr;
  for (const OrderCandidate &it : candidates) {
    const bool goesFirst = urgencyOf(it) == first && (allLate || !it.isLate());
    if (!goesFirst && Accounts.served(it.Attempt->Account.id()) <= limit &&
        (!oldest || it.Attempt->ArrivedAt < oldest->Attempt->ArrivedAt))
      oldest = &it;
  }
  if (oldest && Owed >= static_cast<double>(workOf(*oldest->Attempt)))
    return {static_cast<std::size_t>(oldest - candidates.data()), Turn::Floor};
  return {detail::chooseWithinUrgency(candidates, first, Accounts),
          oldest ? Turn::First : Turn::Alone};
}

void UrgencyOrder::onStarted(const OrderCandidate &started, Turn reason) {
  const auto work = static_cast<double>(workOf(*started.Attempt));
  if (reason == Turn::Floor)
    Owed = std::max(Owed - work, 0.0);
  else if (reason == Turn::First)
    Owed += work * FloorShare / (1 - FloorShare);
}

} // namespace pimentofront
