#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

void StreamOriginTable::record(TimePoint now, const StreamOrigin &origin) {
  const Duration lifetime = std::min(origin.Lifetime, Options.MaxLifetime);
  if (lifetime <= Duration::zero())
    return;
  const auto [it, added] = Streams.insert_or_assign(
      origin.Stream, Entry{origin.Software, now + lifetime});
  if (added)
    Order.push_back(origin.Stream);
  while (Streams.size() > Options.Capacity) {
    Streams.erase(Order.front());
    Order.pop_front();
  }
}

std::optional<std::string>
StreamOriginTable::find(TimePoint now, const RequestId &stream) const {
  const auto it = Streams.find(stream);
  if (it == Streams.end() || now >= it->second.Until)
    return std::nullopt;
  return it->second.Software;
}

void StreamOriginTable::expire(TimePoint now) {
  // Lifetimes differ, so that a stream behind the first one may have expired
  // before it. It stays until the first one has expired.
  while (!Order.empty()) {
    const auto it = Streams.find(Order.front());
    if (it != Streams.end() && now < it->second.Until)
      return;
    if (it != Streams.end())
      Streams.erase(it);
    Order.pop_front();
  }
}

} // namespace pimentofront
