#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

constexpr double UsualPercent = 100;
/// Bounds a stated slowness, so that one false statement can't take a server
/// out of use: a host that is slower than this looks like one that has failed.
constexpr double MaxStatedFactor = 16;

} // namespace

double ServerPace::statedFactor(TimePoint now,
                                const ServerPaceOptions &options) const {
  if (!isStated())
    return 1;
  const double stated =
      std::clamp(Percent / UsualPercent, 1 / MaxStatedFactor, MaxStatedFactor);
  return 1 +
         (stated - 1) * decayFactor(now - StatedAt, options.StatementHalfLife);
}

void ServerPace::recordAnswer(TimePoint now, Duration took,
                              const ServerPaceOptions &options) {
  const double seconds = std::max(toSeconds(took), 0.0);
  // What the host's slowness explains says nothing about the usual time.
  const double unslowed = seconds / statedFactor(now, options);
  if (Usual == 0) {
    Usual = unslowed;
    return;
  }
  if (!isStated()) {
    const double left = Peak * decayFactor(now - PeakAt, options.PeakHalfLife);
    Peak = std::max(left, std::min(seconds, Last) - Usual);
    PeakAt = now;
    Last = seconds;
  }
  // A spell of slow answers must not pass for the server's usual pace.
  constexpr double MaxGrowth = 2;
  Usual +=
      options.UsualWeight * (std::min(unslowed, MaxGrowth * Usual) - Usual);
}

void ServerPace::recordStatement(TimePoint now, std::uint32_t percent) {
  Percent = percent;
  StatedAt = now;
}

Duration ServerPace::expected(TimePoint now,
                              const ServerPaceOptions &options) const {
  if (isStated())
    return fromSeconds(Usual * statedFactor(now, options));
  return fromSeconds(Usual +
                     Peak * decayFactor(now - PeakAt, options.PeakHalfLife));
}

} // namespace pimentofront
