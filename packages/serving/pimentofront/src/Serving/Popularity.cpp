#include "pimentofront/Serving.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pimentofront {

PopularityTable::PopularityTable(Duration halfLife, std::size_t capacity)
    : HalfLife(halfLife), Capacity(capacity) {
  assert(halfLife > Duration::zero() && "a half-life is a span of time");
  assert(capacity > 1 && "the table needs room for what it compares");
}

double PopularityTable::decayed(TimePoint now, const Count &count) const {
  return count.Value *
         std::exp2(-toSeconds(now - count.At) / toSeconds(HalfLife));
}

void PopularityTable::noteRequest(TimePoint now, const AdapterKey &key) {
  if (Counts.size() >= Capacity && !Counts.contains(key))
    forgetHalf(now);
  Count &count = Counts[key];
  count.Value = decayed(now, count) + 1;
  count.At = now;
}

double PopularityTable::valueOf(TimePoint now, const AdapterKey &key) const {
  const auto it = Counts.find(key);
  return it == Counts.end() ? 0 : decayed(now, it->second);
}

void PopularityTable::forgetHalf(TimePoint now) {
  std::vector<double> values;
  values.reserve(Counts.size());
  for (const auto &[key, count] : Counts)
    values.push_back(decayed(now, count));
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  std::erase_if(Counts, [&](const auto &it) {
    return decayed(now, it.second) <= *middle;
  });
}

} // namespace pimentofront
