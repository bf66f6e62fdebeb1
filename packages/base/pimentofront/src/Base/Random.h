#ifndef PIMENTOFRONT_BASE_RANDOM_H
#define PIMENTOFRONT_BASE_RANDOM_H

#include "Time.h"

#include <random>

namespace pimentofront {

/// \class Random
/// \ingroup Base
/// \brief Seeded random numbers. Each controller owns a generator, so that runs
/// with the same seed make the same decisions.
class Random {
public:
  explicit Random(std::uint64_t seed) : Engine(seed) {}

  std::uint64_t next() { return Engine(); }
  /// \returns a number in [0, 1).
  double uniform() {
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(Engine() >> 11) * Scale;
  }
  /// \returns a duration in [\p d, 2 * \p d), for timers that must not fire at
  /// the same time.
  Duration jitter(Duration d) {
    return d + fromSeconds(toSeconds(d) * uniform());
  }

private:
  std::mt19937_64 Engine;
};

} // namespace pimentofront

#endif
