#ifndef PIMENTOFRONT_TEST_SCHEDULES_H
#define PIMENTOFRONT_TEST_SCHEDULES_H

#include "pimentofront/Base.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace pimentofront::testing {

/// \returns the maximum number of \p times within any \p window.
/// \pre \p times is sorted.
inline std::size_t maxWithin(const std::vector<TimePoint> &times,
                             Duration window) {
  std::size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    const auto last =
        std::ranges::upper_bound(first, times.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

/// Runs the schedules of the seeds from \p first to \p last and checks that
/// none fails. \p play returns a description of the failure, or an empty
/// string.
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
