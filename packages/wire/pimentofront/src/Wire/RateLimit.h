#ifndef PIMENTOFRONT_WIRE_RATE_LIMIT_H
#define PIMENTOFRONT_WIRE_RATE_LIMIT_H

#include "Fields.h"
#include "pimentofront/Base.h"

#include <algorithm>
#include <cmath>

namespace pimentofront {

namespace detail {
/// Rates are sent as a whole number of requests per 1,000 seconds.
constexpr double RateSeconds = 1000;
} // namespace detail

/// \ingroup Wire
/// \returns \p perSecond in the unit in which rates are sent.
inline std::uint64_t toPerThousandSeconds(double perSecond) {
  // A higher rate is equivalent to no limit.
  constexpr double MaxPerSecond = 1e9;
  return static_cast<std::uint64_t>(
      std::llround(std::min(perSecond, MaxPerSecond) * detail::RateSeconds));
}

/// \class RateLimit
/// \ingroup Wire
/// \brief What a process knows of the limit that a backend server names for the
/// requests of all entries together.
struct RateLimit {
  bool Named = false;
  /// Requests per 1,000 seconds.
  std::uint64_t PerThousandSeconds = 0;
  /// Time since the answer that named the limit was received, or since the
  /// request was sent whose answer named none.
  Duration Age = Duration::zero();
  double perSecond() const {
    return static_cast<double>(PerThousandSeconds) / detail::RateSeconds;
  }
  PIMENTOFRONT_FIELDS(RateLimit, Named, PerThousandSeconds, Age)
};

/// \class ColdStart
/// \ingroup Wire
/// \brief Describes a cold backend server: it has just started or recovered,
/// and accepts a limited rate of requests from all entries together for a
/// while.
struct ColdStart {
  /// Requests per 1,000 seconds.
  std::uint64_t PerThousandSeconds = 0;
  /// Remaining time of the cold start; zero if the server is not cold.
  Duration Remaining = Duration::zero();
  bool isCold() const { return Remaining > Duration::zero(); }
  double perSecond() const {
    return static_cast<double>(PerThousandSeconds) / detail::RateSeconds;
  }
  PIMENTOFRONT_FIELDS(ColdStart, PerThousandSeconds, Remaining)
};

/// Entry to agent: what the answer to an attempt said of the engine's limit.
/// Sent while the engine is known to be limited, and when the limit ends.
struct RateLimitReport {
  AttemptId Attempt;
  RateLimit Limit;
  PIMENTOFRONT_FIELDS(RateLimitReport, Attempt, Limit)
};

/// Entry to leader: requests a permit to send to a limited or cold backend
/// server without an agent.
struct SendPermitQuery {
  std::uint64_t Nonce = 0;
  ServerProcess Server;
  RateLimit Limit;
  ColdStart Cold;
  PIMENTOFRONT_FIELDS(SendPermitQuery, Nonce, Server, Limit, Cold)
};

/// Leader to entry, in reply to a query.
struct SendPermitReply {
  std::uint64_t Nonce = 0;
  bool Granted = false;
  /// Time from the receipt of the reply until the request may be sent.
  Duration Delay = Duration::zero();
  /// Time after `Delay` within which the request has to be sent.
  Duration Lifetime = Duration::zero();
  /// Retry-after, if the permit was not granted.
  Duration RetryAfter = Duration::zero();
  PIMENTOFRONT_FIELDS(SendPermitReply, Nonce, Granted, Delay, Lifetime,
                      RetryAfter)
};

} // namespace pimentofront

#endif
