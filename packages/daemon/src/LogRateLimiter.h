#ifndef PIMENTOFRONT_DAEMON_LOG_RATE_LIMITER_H
#define PIMENTOFRONT_DAEMON_LOG_RATE_LIMITER_H

#include "pimentofront/Base.h"

#include <map>
#include <string>

namespace pimentofront {

/// \class LogRateLimiterOptions
struct LogRateLimiterOptions {
  /// Maximum number of lines of one event in a burst.
  double Burst = 40;
  /// Maximum long-run rate of one event, in lines per second. A line costs
  /// about 20 microseconds, so ten events at this rate cost 0.4% of a core.
  double PerSecond = 20;
};

/// \class LogRateLimiter
/// \brief Limits the log lines of each event with a token bucket per event, and
/// counts the omitted lines.
class LogRateLimiter {
public:
  LogRateLimiter() : LogRateLimiter(LogRateLimiterOptions()) {}
  explicit LogRateLimiter(const LogRateLimiterOptions &options)
      : Options(options) {}

  /// \returns whether a line of \p event may be written now.
  bool allow(TimePoint now, const std::string &event);
  /// \returns the number of lines of each event omitted since the last call.
  std::map<std::string, std::uint64_t> takeOmitted();

private:
  struct Bucket {
    double Tokens = 0;
    TimePoint At;
    std::uint64_t Omitted = 0;
  };
  LogRateLimiterOptions Options;
  std::map<std::string, Bucket> Buckets;
};

} // namespace pimentofront

#endif
