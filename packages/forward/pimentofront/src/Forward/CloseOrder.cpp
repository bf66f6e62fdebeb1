#include "pimentofront/Forward.h"

namespace pimentofront {
namespace {

/// The first bytes of a new connection arrive within a round trip.
constexpr Duration MinUnusedTime = std::chrono::milliseconds(250);
/// A connection that was active more recently isn't closed.
constexpr Duration MinInactiveTime = std::chrono::seconds(1);

Duration minAge(ConnectionUse use) {
  return use == ConnectionUse::Unused ? MinUnusedTime : MinInactiveTime;
}

} // namespace

const char *shedReasonName(ShedReason reason) {
  constexpr const char *Names[] = {"displaced", "no_connection",
                                   "no_descriptor", "unfinished", "unread"};
  return Names[static_cast<std::size_t>(reason)];
}

void CloseOrder::record(TimePoint now, Id id, ConnectionUse use) {
  Queue &to = queueOf(use);
  const auto [it, isNew] = Places.try_emplace(id);
  Place &place = it->second;
  if (isNew)
    place.At = to.insert(to.end(), {id, now});
  else
    to.splice(to.end(), queueOf(place.Use), place.At);
  place.Use = use;
  place.At->ActiveAt = now;
}

void CloseOrder::remove(Id id) {
  const auto it = Places.find(id);
  if (it == Places.end())
    return;
  queueOf(it->second.Use).erase(it->second.At);
  Places.erase(it);
}

std::optional<CloseOrder::Id> CloseOrder::first(TimePoint now) const {
  for (const ConnectionUse use :
       {ConnectionUse::Unused, ConnectionUse::Unread, ConnectionUse::Receiving,
        ConnectionUse::Idle}) {
    const Queue &queue = Queues[static_cast<std::size_t>(use)];
    if (!queue.empty() && now >= queue.front().ActiveAt + minAge(use))
      return queue.front().Name;
  }
  return std::nullopt;
}

} // namespace pimentofront
