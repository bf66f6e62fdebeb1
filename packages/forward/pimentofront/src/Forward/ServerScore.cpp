#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// \returns what unexplained declines add to the server's score.
double declinePenalty(TimePoint now, const ServerSetOptions &options,
                      const ServerView &server, bool canRetry) {
  if (server.UnexplainedDeclines == 0)
    return 0;
  // A request that may go to another server finds out whether this one takes
  // requests again. One that may not stays away for twice as long.
  constexpr int LastSendFactor = 2;
  const std::uint32_t factor = backoffFactor(server.UnexplainedDeclines - 1);
  const Duration time =
      options.DeclinePenaltyTime * factor * (canRetry ? 1 : LastSendFactor);
  return now < server.LastDeclineAt + time ? options.DeclinePenalty * factor
                                           : 0;
}

/// \returns how many times as long as the fastest server this one takes; 1 if
/// the difference isn't noticeable.
double slownessOf(TimePoint now, const ServerSetOptions &options,
                  const ServerView &server, Duration fastest) {
  const Duration pace = server.Pace.expected(now, options.Pace);
  if (fastest <= Duration::zero() || pace <= fastest)
    return 1;
  const double ratio = toSeconds(pace) / toSeconds(fastest);
  const double noticeable = server.Pace.isStated()
                                ? options.NoticeableStatedSlowness
                                : options.NoticeableSlowness;
  return ratio < noticeable ? 1 : ratio;
}

} // namespace

double scoreOf(TimePoint now, const ServerSetOptions &options,
               const ServerView &server, const ScoreContext &context) {
  const double slots = std::max(server.Record.Slots, 1U);
  std::uint32_t busy = server.InFlight;
  if (hasLoadReport(now, options, server))
    busy = std::max(busy, server.Load.Running + server.Load.Waiting);
  const double slowness = slownessOf(now, options, server, context.FastestPace);
  double score = (1 + busy / slots) * slowness - 1;
  if (server.Record.Zone != options.Zone)
    score += options.ZonePreference;
  score += options.FailurePenalty *
           std::max(server.FailureShare - context.MeanFailures, 0.0);
  return score + declinePenalty(now, options, server, context.CanRetry);
}

} // namespace pimentofront
