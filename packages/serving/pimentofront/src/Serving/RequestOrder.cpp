#include "OrderWithinUrgency.h"
#include "pimentofront/Serving.h"

#include <algorithm>
#include <limits>

namespace pimentofront {

std::uint64_t workOf(const WaitingAttempt &attempt) {
  constexpr std::uint64_t OutputWeight = 2;
  return std::max<std::uint64_t>(attempt.ReadingTokens +
                                     OutputWeight *
                                         attempt.Request.Demand.OutputTokens,
                                 1);
}

bool differInDemand(const WaitingAttempt &a, const WaitingAttempt &b) {
  return a.Request.Demand.Urgency != b.Request.Demand.Urgency ||
         a.Account.id() != AccountShares::NoAccount ||
         b.Account.id() != AccountShares::NoAccount;
}

namespace detail {
namespace {

bool precedes(const OrderCandidate &a, const OrderCandidate &b) {
  if (a.isLate() != b.isLate())
    return b.isLate();
  if (a.due() != b.due())
    return a.due() < b.due();
  return workOf(*a.Attempt) > workOf(*b.Attempt);
}

} // namespace

std::size_t chooseWithinUrgency(std::span<const OrderCandidate> candidates,
                                std::uint32_t urgency,
                                const AccountShares &accounts) {
  double lowest = std::numeric_limits<double>::max();
  double largest = 0;
  for (const OrderCandidate &it : candidates) {
    if (it.Attempt->Request.Demand.Urgency != urgency)
      continue;
    const AccountShares::Id account = it.Attempt->Account.id();
    lowest = std::min(lowest, accounts.served(account));
    largest = std::max(largest, static_cast<double>(workOf(*it.Attempt)) /
                                    accounts.share(account));
  }
  // Requests aren't interrupted, so no order keeps the counters closer together
  // than the largest request.
  const OrderCandidate *best = nullptr;
  for (const OrderCandidate &it : candidates) {
    if (it.Attempt->Request.Demand.Urgency != urgency ||
        accounts.served(it.Attempt->Account.id()) > lowest + largest)
      continue;
    if (!best || precedes(it, *best))
      best = &it;
  }
  return static_cast<std::size_t>(best - candidates.data());
}

} // namespace detail
} // namespace pimentofront
