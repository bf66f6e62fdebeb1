#include "pimentofront/Serving.h"

namespace pimentofront {

void UnansweredOrders::note(TimePoint now, const HostName &server,
                            std::uint64_t count) {
  std::erase_if(Given, [&](const auto &it) {
    return now >= it.second + Options.Lifetime;
  });
  Given[{server, count}] = now;
}

bool UnansweredOrders::isPending(TimePoint now, const Place &place) const {
  const auto it = Given.find(place);
  return it != Given.end() && now < it->second + Options.Lifetime;
}

bool UnansweredOrders::mayReach(TimePoint now, const HostName &server,
                                std::uint64_t count, std::size_t held,
                                std::size_t slots) const {
  std::uint64_t between = 0;
  auto it = Given.lower_bound({server, count});
  for (; it != Given.end() && it->first.Server == server; ++it) {
    Place place = it->first;
    if (!isPending(now, place))
      continue;
    // Each count in between is used up by an order that evicts an adapter, or
    // by one of the unanswered orders, which adds one.
    const std::uint64_t steps = place.Count - count;
    std::uint64_t run = 0;
    for (; isPending(now, place); ++place.Count)
      ++run;
    if (held + 2 * between + run > slots + steps)
      return false;
    ++between;
  }
  return true;
}

} // namespace pimentofront
