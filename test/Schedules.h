#ifndef PIMENTOFRONT_TEST_SCHEDULES_H
#define PIMENTOFRONT_TEST_SCHEDULES_H

#include "pimentofront/Base.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace pimentofront::testing {

/// \returns the most of \p times, which are in order, within any \p window.
inline std::size_t mostWithin(const std::vector<TimePoint> &times,
                              Duration window) {
  std::size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    const auto last =
        std::ranges::upper_bound(first, times.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

/// Plays the schedules of some seeds; \p play tells what broke, and nothing if
/// nothing did.
inline void checkSchedules(std::string (*play)(std::uint64_t seed),
                           std::uint64_t first, std::uint64_t last) {
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::string broken = play(seed);
    INFO("seed " << seed << ":" << broken);
    CHECK(broken.empty());
  }
}

} // namespace pimentofront::testing

#endif
