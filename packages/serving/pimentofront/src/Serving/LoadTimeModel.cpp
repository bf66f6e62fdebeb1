#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

std::size_t LoadTimeModel::placeOf(const AdapterKey &key) const {
  const std::list<AdapterKey>::const_iterator it = Places.at(key);
  return static_cast<std::size_t>(std::distance(Held.begin(), it));
}

bool LoadTimeModel::hasCopy(const AdapterKey &key) const {
  // Determining the position takes linear time, and it matters only after an
  // expected copy was missing.
  return Places.contains(key) &&
         (Depth >= Options.Capacity || placeOf(key) < Depth);
}

void LoadTimeModel::learn(Duration &mean, Duration took) const {
  mean += fromSeconds(toSeconds(took - mean) * Options.LearningRate);
}

void LoadTimeModel::onLoaded(const AdapterKey &key, Duration took) {
  const bool fromStore = toSeconds(took) > Options.StorePart * toSeconds(Store);
  if (hasCopy(key) && fromStore)
    Depth = std::max<std::size_t>(placeOf(key), 1);
  const bool wasHeld = Places.contains(key);
  learn(wasHeld && !fromStore ? Copy : Store, took);
  onHeld(key);
}

void LoadTimeModel::onHeld(const AdapterKey &key) {
  if (const auto it = Places.find(key); it != Places.end())
    return Held.splice(Held.begin(), Held, it->second);
  Held.push_front(key);
  Places.emplace(key, Held.begin());
  if (Held.size() <= Options.Capacity)
    return;
  Places.erase(Held.back());
  Held.pop_back();
}

void LoadTimeModel::clear() {
  Held.clear();
  Places.clear();
}

} // namespace pimentofront
