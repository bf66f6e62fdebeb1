#ifndef PIMENTOFRONT_FORWARD_SERVER_FEEDBACK_H
#define PIMENTOFRONT_FORWARD_SERVER_FEEDBACK_H

#include "HttpMessage.h"
#include "pimentofront/Serving.h"

#include <algorithm>
#include <optional>

namespace pimentofront {

/// \class AnswerFeedback
/// \ingroup Forward
/// \brief Flow-control feedback that a backend server sends in the headers of
/// one answer.
struct AnswerFeedback {
  /// Rate limit, in requests a second from all entries together.
  std::optional<double> LimitPerSecond;
  /// Backoff: how long this entry must send the server nothing.
  std::optional<Duration> Backoff;
  /// The server accepts no new requests from any entry.
  bool Leaving = false;
  /// How long the server will remain cold.
  std::optional<Duration> ColdFor;
  /// Name of a header that couldn't be parsed; empty if all could.
  std::string MalformedHeader;
  friend auto operator<=>(const AnswerFeedback &,
                          const AnswerFeedback &) = default;

  /// \returns the rate limit that the answer implies, which arrived at \p now
  /// for a request that was sent at \p sentAt. An answer that names no limit
  /// implies that there is none; nothing is returned if a header couldn't be
  /// parsed.
  std::optional<RateLimit> impliedLimit(TimePoint now, TimePoint sentAt) const;
};

/// \class ServerFeedback
/// \ingroup Forward
/// \brief The feedback that one process of a backend server has sent so far.
///
/// Answers may arrive out of order. An answer without a limit doesn't remove
/// the limit if its request was sent before the limit was last named, and of
/// several backoffs the one that ends last applies.
class ServerFeedback {
public:
  /// Upper bound on a backoff. A server that needs a longer one asks again, and
  /// a mistaken value must not keep a server that has recovered out of use for
  /// long.
  static constexpr Duration MaxBackoff = std::chrono::hours(1);
  /// \returns a backoff of \p seconds, capped at the maximum.
  static Duration boundedBackoff(double seconds) {
    return fromSeconds(std::min(seconds, toSeconds(MaxBackoff)));
  }

  /// Applies the feedback of an answer to a request that was sent at \p sentAt.
  /// \returns what changed, for the log; empty if nothing did.
  std::string apply(TimePoint now, const AnswerFeedback &answer,
                    TimePoint sentAt);
  /// Applies the rate limit as another process reported it.
  /// \returns what changed, for the log; empty if nothing did.
  std::string applyLimit(TimePoint now, const RateLimit &limit);

  bool isLimited() const { return Limit.isNamed(); }
  /// \returns the limit and its age, to report to other processes.
  RateLimit limit(TimePoint now) const { return Limit.at(now); }
  bool isBackingOff(TimePoint now) const { return now < BackoffUntil; }
  TimePoint backoffUntil() const { return BackoffUntil; }
  bool isLeaving() const { return Leaving; }
  friend auto operator<=>(const ServerFeedback &,
                          const ServerFeedback &) = default;

private:
  KnownRateLimit Limit;
  TimePoint BackoffUntil;
  bool Leaving = false;
};

} // namespace pimentofront

#endif
