#ifndef PIMENTOFRONT_FORWARD_SERVER_FEEDBACK_H
#define PIMENTOFRONT_FORWARD_SERVER_FEEDBACK_H

#include "HttpMessage.h"
#include "pimentofront/Base.h"

#include <algorithm>
#include <optional>

namespace pimentofront {

/// \class AnswerFeedback
/// \ingroup Forward
/// \brief What a backend server asks for with one answer.
struct AnswerFeedback {
  /// Requests a second that it takes from all entries together.
  std::optional<double> RateLimit;
  /// It wants nothing from this entry for so long.
  std::optional<Duration> Rest;
  /// It takes no new work from anybody.
  bool Leaving = false;
  /// A header that couldn't be read; empty if all could.
  std::string Unreadable;
  friend auto operator<=>(const AnswerFeedback &,
                          const AnswerFeedback &) = default;
};

/// \class ServerFeedback
/// \ingroup Forward
/// \brief What is known of the wishes of one process of a backend server.
///
/// Answers may come out of order: one to a request that was sent before the
/// limit was named doesn't end it, and of several rests the latest end counts.
class ServerFeedback {
public:
  /// The longest rest that is kept. A server that needs more asks again; one
  /// that is there again for long must not stay unused by a mistaken word.
  static constexpr Duration MaxRest = std::chrono::hours(1);

  /// \returns the rest that a server asks for by \p seconds.
  static Duration boundedRest(double seconds) {
    return fromSeconds(std::min(seconds, toSeconds(MaxRest)));
  }
  /// Takes in what an answer said to a request that was sent at \p sentAt.
  /// \returns what changed, for the log; empty if nothing did.
  std::string apply(TimePoint now, const AnswerFeedback &answer,
                    TimePoint sentAt);

  /// \returns the requests a second that the server takes from all entries
  /// together; nothing while it names no limit.
  const std::optional<double> &rateLimit() const { return Limit; }
  /// \returns when the limit was named last.
  TimePoint limitNamedAt() const { return LimitNamedAt; }
  bool isResting(TimePoint now) const { return now < RestUntil; }
  TimePoint restUntil() const { return RestUntil; }
  bool isLeaving() const { return Leaving; }
  friend auto operator<=>(const ServerFeedback &,
                          const ServerFeedback &) = default;

private:
  std::optional<double> Limit;
  TimePoint LimitNamedAt;
  TimePoint RestUntil;
  bool Leaving = false;
};

} // namespace pimentofront

#endif
