#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

std::size_t LoadTimeModel::positionOf(const AdapterKey &key) const {
  const std::list<AdapterKey>::const_iterator it = Positions.at(key);
  return static_cast<std::size_t>(std::distance(RecentlyHeld.begin(), it));
}

bool LoadTimeModel::hasCopy(const AdapterKey &key) const {
  // Determining the position takes linear time, and it matters only after an
  // expected copy was missing.
  return Positions.contains(key) &&
         (CopyCount >= Options.Capacity || positionOf(key) < CopyCount);
}

void LoadTimeModel::learn(Duration &mean, Duration took) const {
  mean += fromSeconds(toSeconds(took - mean) * Options.LearningRate);
}

void LoadTimeModel::onLoaded(const AdapterKey &key, Duration took) {
  const bool fromStore =
      toSeconds(took) > Options.StoreTimeThreshold * toSeconds(StoreTime);
  if (hasCopy(key) && fromStore)
    CopyCount = std::max<std::size_t>(positionOf(key), 1);
  const bool wasHeld = Positions.contains(key);
  learn(wasHeld && !fromStore ? CopyTime : StoreTime, took);
  onHeld(key);
}

void LoadTimeModel::onHeld(const AdapterKey &key) {
  if (const auto it = Positions.find(key); it != Positions.end())
    return RecentlyHeld.splice(RecentlyHeld.begin(), RecentlyHeld, it->second);
  RecentlyHeld.push_front(key);
  Positions.emplace(key, RecentlyHeld.begin());
  if (RecentlyHeld.size() <= Options.Capacity)
    return;
  Positions.erase(RecentlyHeld.back());
  RecentlyHeld.pop_back();
}

void LoadTimeModel::clear() {
  RecentlyHeld.clear();
  Positions.clear();
}

} // namespace pimentofront
