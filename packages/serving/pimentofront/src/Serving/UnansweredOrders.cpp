#include "pimentofront/Serving.h"

namespace pimentofront {

void UnansweredOrders::recordUnanswered(TimePoint now, const HostName &server,
                                        std::uint64_t count) {
  std::erase_if(SentAt, [&](const auto &it) {
    return now >= it.second + Options.Lifetime;
  });
  SentAt[{server, count}] = now;
}

bool UnansweredOrders::isPending(TimePoint now,
                                 const OrderPosition &position) const {
  const auto it = SentAt.find(position);
  return it != SentAt.end() && now < it->second + Options.Lifetime;
}

bool UnansweredOrders::isSafeToReach(TimePoint now, const HostName &server,
                                     std::uint64_t count, std::size_t held,
                                     std::size_t slots) const {
  std::uint64_t between = 0;
  auto it = SentAt.lower_bound({server, count});
  for (; it != SentAt.end() && it->first.Server == server; ++it) {
    OrderPosition position = it->first;
    if (!isPending(now, position))
      continue;
    // Each count in between is used up by an order that evicts an adapter, or
    // by one of the unanswered orders, which adds one.
    const std::uint64_t steps = position.Count - count;
    std::uint64_t run = 0;
    for (; isPending(now, position); ++position.Count)
      ++run;
    if (held + 2 * between + run > slots + steps)
      return false;
    ++between;
  }
  return true;
}

} // namespace pimentofront
