#include "pimentofront/Forward.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pimentofront {
namespace {

/// Time constant over which released bytes are averaged.
constexpr Duration FreedMemory = std::chrono::seconds(1);

} // namespace

std::size_t ByteBudget::neededFor(std::size_t bytes) const {
  const std::size_t headroom =
      Options.KeepsHeadroom ? headroomBeside(bytes, Options.Limit) : 0;
  return bytes + Options.AnswerReserve + headroom;
}

std::vector<ByteBudget::Key>
ByteBudget::findDisplaced(std::uint32_t urgency, std::size_t bytes) const {
  // Keys increase with the arrival of requests.
  std::vector<std::tuple<std::uint32_t, Key, std::size_t>> candidates;
  for (const auto &[key, it] : Holders)
    if (!it.Sent && it.Urgency > urgency)
      candidates.emplace_back(it.Urgency, key, it.Bytes);
  std::ranges::sort(candidates, std::greater<>());
  std::vector<Key> displaced;
  std::size_t freed = 0;
  for (const auto &[itsUrgency, key, itsBytes] : candidates) {
    displaced.push_back(key);
    freed += itsBytes;
    if (held() + bytes <= Options.Limit + freed)
      return displaced;
  }
  return {};
}

ByteBudget::Admission ByteBudget::admit(TimePoint now, Key key,
                                        std::uint32_t urgency,
                                        std::size_t bytes) {
  if (!bounded())
    return {};
  if (const auto it = Holders.find(key); it != Holders.end()) {
    it->second.Urgency = urgency;
    return {};
  }
  const std::size_t needed = neededFor(bytes);
  Admission result;
  if (!fits(needed)) {
    result.Displaced = findDisplaced(urgency, needed);
    result.Admitted = !result.Displaced.empty();
  }
  if (!result.Admitted)
    return result;
  for (const Key it : result.Displaced)
    release(now, it);
  const std::size_t taken = bytes + Options.AnswerReserve;
  Holders[key] = {.Urgency = urgency, .Bytes = taken};
  Requests += taken;
  return result;
}

void ByteBudget::recordSent(Key key) {
  if (const auto it = Holders.find(key); it != Holders.end())
    it->second.Sent = true;
}

double ByteBudget::recentlyFreed(TimePoint now) const {
  return Freed * std::exp(-toSeconds(now - FreedAt) / toSeconds(FreedMemory));
}

void ByteBudget::release(TimePoint now, Key key) {
  const auto it = Holders.find(key);
  if (it == Holders.end())
    return;
  Freed = recentlyFreed(now) + static_cast<double>(it->second.Bytes);
  FreedAt = now;
  Requests -= it->second.Bytes;
  Holders.erase(it);
}

bool ByteBudget::pauses(std::size_t unsent, bool paused) const {
  if (!bounded())
    return false;
  const bool full = held() > Options.Limit;
  return unsent > (paused || full ? Options.ResumeBelow : Options.PauseAbove);
}

Duration ByteBudget::timeUntilRoom(TimePoint now, std::size_t bytes) const {
  const std::size_t needed = neededFor(bytes);
  if (fits(needed))
    return Duration::zero();
  const double missing = static_cast<double>(held() + needed - Options.Limit);
  const double perSecond = recentlyFreed(now) / toSeconds(FreedMemory);
  if (missing >= perSecond * toSeconds(MaxWait))
    return MaxWait;
  return fromSeconds(missing / perSecond);
}

} // namespace pimentofront
