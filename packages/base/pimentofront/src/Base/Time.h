#ifndef PIMENTOFRONT_BASE_TIME_H
#define PIMENTOFRONT_BASE_TIME_H

#include <chrono>
#include <cmath>
#include <cstdint>

namespace pimentofront {

/// \class BootClock
/// \ingroup Base
/// \brief Tag of the clock that all decisions use: time since the machine
/// booted, including suspension, so that a process that was suspended sees its
/// leases expired when it resumes.
///
/// It has no `now()` on purpose. Functions that make decisions take the current
/// time as an argument; only the event loop reads a clock.
struct BootClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;
};

/// A duration in microseconds.
using Duration = BootClock::duration;
/// A point in time of the boot clock.
using TimePoint = BootClock::time_point;

/// \returns \p d in seconds as a floating-point number, for rates and scores.
constexpr double toSeconds(Duration d) {
  return static_cast<double>(d.count()) / 1e6;
}

/// \returns \p s seconds as a duration.
constexpr Duration fromSeconds(double s) {
  return Duration(static_cast<std::int64_t>(s * 1e6));
}

/// \returns \p time multiplied by \p factor.
constexpr Duration scaled(Duration time, double factor) {
  return fromSeconds(toSeconds(time) * factor);
}

/// \returns the fraction, from 1 down to 0, that remains after \p age of a
/// value that halves every \p halfLife.
inline double decayFactor(Duration age, Duration halfLife) {
  return std::exp2(-toSeconds(age) / toSeconds(halfLife));
}

} // namespace pimentofront

#endif
