#ifndef PIMENTOFRONT_FORWARD_SERVER_PACE_H
#define PIMENTOFRONT_FORWARD_SERVER_PACE_H

#include "pimentofront/Base.h"

#include <cstdint>

namespace pimentofront {

/// \class ServerPaceOptions
/// \ingroup Forward
struct ServerPaceOptions {
  /// Weight of the newest answer in the usual time; 0.1 averages over about
  /// the last ten answers.
  double UsualWeight = 0.1;
  /// Half-life of what an answer was slower than usual. A server that gets no
  /// requests because it was slow is tried again after a few half-lives.
  Duration PeakHalfLife = std::chrono::milliseconds(250);
  /// Half-life of a stated slowness, which changes many times a second.
  Duration StatementHalfLife = std::chrono::milliseconds(200);
};

/// \class ServerPace
/// \ingroup Forward
/// \brief How long a plain server takes for a request that doesn't wait there,
/// by the times of its answers and by the slowness that it states.
///
/// For servers that share their hosts with other work and are several times as
/// slow as usual for less than a second. The expected time rises with the
/// second slow answer in a row, since single requests may take long, and falls
/// with time, as in the peak-sensitive moving average (Peak EWMA) of Finagle's
/// load balancers; a fresh statement of the server replaces older observations
/// in either direction and counts at once. Not for engines: their agents know
/// what they run.
class ServerPace {
public:
  /// Records that an answer took \p took, the wait for a slot excluded.
  void recordAnswer(TimePoint now, Duration took,
                    const ServerPaceOptions &options);
  /// Records that work on the server's host takes \p percent of the usual time.
  /// 0 means that the server states nothing.
  void recordStatement(TimePoint now, std::uint32_t percent);
  /// \returns the expected time for one request; zero if none was answered.
  Duration expected(TimePoint now, const ServerPaceOptions &options) const;
  /// \returns expected() without the influence of the present slowness.
  Duration usual() const { return fromSeconds(Usual); }
  /// \returns whether the server has stated its slowness.
  bool isStated() const { return Percent != 0; }

private:
  /// \returns the factor on the usual time by the last statement; 1 once the
  /// statement is old.
  double statedFactor(TimePoint now, const ServerPaceOptions &options) const;

  /// In seconds; 0 before the first answer.
  double Usual = 0;
  /// Time of the last answer, in seconds.
  double Last = 0;
  /// By how much the answers at PeakAt were slower than usual, in seconds.
  double Peak = 0;
  TimePoint PeakAt;
  std::uint32_t Percent = 0;
  TimePoint StatedAt;
};

} // namespace pimentofront

#endif
