#include "OrderWithinUrgency.h"
#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

double TokenOrder::counterOf(std::uint32_t urgency) const {
  const auto it = Counters.find(urgency);
  return it == Counters.end() ? CurrentCounter
                              : std::max(it->second, CurrentCounter);
}

RequestOrder::Choice
TokenOrder::choose(std::span<const OrderCandidate> candidates) const {
  std::uint32_t first = candidates[0].Attempt->Request.Demand.Urgency;
  double lowest = counterOf(first);
  std::uint32_t seen = first;
  bool alone = true;
  for (const OrderCandidate &it : candidates) {
    const std::uint32_t urgency = it.Attempt->Request.Demand.Urgency;
    if (urgency == seen)
      continue;
    seen = urgency;
    alone = false;
    const double counter = counterOf(urgency);
    if (counter > lowest || (counter == lowest && urgency > first))
      continue;
    first = urgency;
    lowest = counter;
  }
  return {detail::chooseWithinUrgency(candidates, first, Accounts),
          alone ? Turn::Alone : Turn::First};
}

void TokenOrder::onStarted(const OrderCandidate &started, Turn) {
  constexpr std::uint32_t MaxDoublings = 16;
  const std::uint32_t urgency = started.Attempt->Request.Demand.Urgency;
  const auto invertedWeight =
      static_cast<double>(1U << std::min(urgency, MaxDoublings));
  CurrentCounter = counterOf(urgency);
  Counters[urgency] =
      CurrentCounter +
      invertedWeight * static_cast<double>(workOf(*started.Attempt));
}

} // namespace pimentofront
