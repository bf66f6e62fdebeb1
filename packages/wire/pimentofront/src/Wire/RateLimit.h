#ifndef PIMENTOFRONT_WIRE_RATE_LIMIT_H
#define PIMENTOFRONT_WIRE_RATE_LIMIT_H

#include "Fields.h"
#include "pimentofront/Base.h"

#include <algorithm>
#include <cmath>

namespace pimentofront {

namespace detail {
/// Rates are sent as whole numbers of requests in 1,000 seconds.
constexpr double RateSeconds = 1000;
} // namespace detail

/// \ingroup Wire
/// \returns a rate as it is sent.
inline std::uint64_t toPerThousandSeconds(double perSecond) {
  // Above this it is as good as no limit.
  constexpr double MostPerSecond = 1e9;
  return static_cast<std::uint64_t>(
      std::llround(std::min(perSecond, MostPerSecond) * detail::RateSeconds));
}

/// \class RateLimit
/// \ingroup Wire
/// \brief What a process knows of the limit that a backend server names for the
/// requests of all entries together.
struct RateLimit {
  bool Named = false;
  /// Requests in 1,000 seconds.
  std::uint64_t PerThousandSeconds = 0;
  /// How old that is: since the answer that named the limit came, or since the
  /// request was sent whose answer named none.
  Duration Age = Duration::zero();
  double perSecond() const {
    return static_cast<double>(PerThousandSeconds) / detail::RateSeconds;
  }
  PIMENTOFRONT_FIELDS(RateLimit, Named, PerThousandSeconds, Age)
};

/// \class ColdStart
/// \ingroup Wire
/// \brief That a backend server is cold: it has started or come back just now,
/// and takes only so many requests from all entries together for a while.
struct ColdStart {
  /// Requests in 1,000 seconds.
  std::uint64_t PerThousandSeconds = 0;
  /// How long yet; zero of one that isn't cold.
  Duration Left = Duration::zero();
  bool isCold() const { return Left > Duration::zero(); }
  double perSecond() const {
    return static_cast<double>(PerThousandSeconds) / detail::RateSeconds;
  }
  PIMENTOFRONT_FIELDS(ColdStart, PerThousandSeconds, Left)
};

/// Entry to agent: what the answer to an attempt said of the engine's limit.
/// Sent while the engine is known to be limited, and when that ends.
struct RateLimitSeen {
  AttemptId Attempt;
  RateLimit Limit;
  PIMENTOFRONT_FIELDS(RateLimitSeen, Attempt, Limit)
};

/// Entry to leader: asks for sends to a limited or cold backend server without
/// an agent.
struct SendPermitQuery {
  std::uint64_t Nonce = 0;
  ServerProcess Server;
  RateLimit Limit;
  ColdStart Cold;
  PIMENTOFRONT_FIELDS(SendPermitQuery, Nonce, Server, Limit, Cold)
};

/// Leader to entry, in answer to a query.
struct SendPermitReply {
  std::uint64_t Nonce = 0;
  bool Granted = false;
  /// The send may begin so long after the reply has come,
  Duration Delay = Duration::zero();
  /// and has to begin so soon after that.
  Duration Lifetime = Duration::zero();
  /// When to ask again, if none was granted.
  Duration ComeBack = Duration::zero();
  PIMENTOFRONT_FIELDS(SendPermitReply, Nonce, Granted, Delay, Lifetime,
                      ComeBack)
};

} // namespace pimentofront

#endif
