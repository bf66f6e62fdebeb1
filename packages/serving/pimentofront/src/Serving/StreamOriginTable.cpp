#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Callers choose the ids. A longer one isn't remembered, so that it doesn't
/// displace the streams of other callers.
constexpr std::size_t MaxIdBytes = 128;
/// The keys of a table are this long on average, at most.
constexpr std::size_t MaxMeanIdBytes = 64;

} // namespace

void StreamOriginTable::record(TimePoint now, const StreamOrigin &origin) {
  const Duration lifetime = std::min(origin.Lifetime, Options.MaxLifetime);
  if (lifetime <= Duration::zero() || origin.Stream.str().size() > MaxIdBytes)
    return;
  const std::string *software = &*Versions.insert(origin.Software).first;
  const auto [it, added] =
      Streams.try_emplace(origin.Stream, Entry{software, now + lifetime});
  if (added) {
    Order.push_back(&it->first);
    IdBytes += origin.Stream.str().size();
  } else {
    Entry &known = it->second;
    const bool conflicts = Options.RejectsConflicts && now < known.Until &&
                           known.Software != software;
    known = {conflicts ? nullptr : software, now + lifetime};
  }
  while (isFull())
    dropOldest();
}

bool StreamOriginTable::isFull() const {
  return Streams.size() > Options.Capacity ||
         IdBytes > Options.Capacity * MaxMeanIdBytes;
}

void StreamOriginTable::dropOldest() {
  const auto it = Streams.find(*Order.front());
  Order.pop_front();
  IdBytes -= it->first.str().size();
  Streams.erase(it);
  if (Streams.empty())
    Versions.clear();
}

std::optional<std::string>
StreamOriginTable::find(TimePoint now, const RequestId &stream) const {
  const auto it = Streams.find(stream);
  if (it == Streams.end() || now >= it->second.Until || !it->second.Software)
    return std::nullopt;
  return *it->second.Software;
}

std::vector<StreamOrigin> StreamOriginTable::all(TimePoint now) const {
  std::vector<StreamOrigin> result;
  for (const RequestId *stream : Order) {
    const Entry &it = Streams.at(*stream);
    if (now < it.Until && it.Software)
      result.push_back({.Stream = *stream,
                        .Software = *it.Software,
                        .Lifetime = it.Until - now});
  }
  return result;
}

void StreamOriginTable::expire(TimePoint now) {
  // Lifetimes differ, so that a stream behind the first one may have expired
  // before it. It stays until the first one has expired.
  while (!Order.empty() && now >= Streams.at(*Order.front()).Until)
    dropOldest();
}

} // namespace pimentofront
