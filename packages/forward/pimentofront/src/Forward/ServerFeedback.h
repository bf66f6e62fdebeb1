#ifndef PIMENTOFRONT_FORWARD_SERVER_FEEDBACK_H
#define PIMENTOFRONT_FORWARD_SERVER_FEEDBACK_H

#include "HttpMessage.h"
#include "pimentofront/Serving.h"

#include <algorithm>
#include <optional>

namespace pimentofront {

/// \class AnswerFeedback
/// \ingroup Forward
/// \brief What a backend server asks for with one answer.
struct AnswerFeedback {
  /// Requests a second that it takes from all entries together.
  std::optional<double> LimitPerSecond;
  /// It wants nothing from this entry for so long.
  std::optional<Duration> Rest;
  /// It takes no new work from anybody.
  bool Leaving = false;
  /// It is cold for so long yet.
  std::optional<Duration> ColdFor;
  /// A header that couldn't be read; empty if all could.
  std::string Unreadable;
  friend auto operator<=>(const AnswerFeedback &,
                          const AnswerFeedback &) = default;

  /// \returns its word on the limit, of an answer that came at \p now to a
  /// request that was sent at \p sentAt; nothing if it can't be told.
  std::optional<RateLimit> limitWord(TimePoint now, TimePoint sentAt) const;
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
  /// Takes in what another process knows of the limit.
  /// \returns what changed, for the log; empty if nothing did.
  std::string learnLimit(TimePoint now, const RateLimit &limit);

  bool isLimited() const { return Limit.isNamed(); }
  /// \returns what to tell others of the limit.
  RateLimit limit(TimePoint now) const { return Limit.at(now); }
  bool isResting(TimePoint now) const { return now < RestUntil; }
  TimePoint restUntil() const { return RestUntil; }
  bool isLeaving() const { return Leaving; }
  friend auto operator<=>(const ServerFeedback &,
                          const ServerFeedback &) = default;

private:
  KnownRateLimit Limit;
  TimePoint RestUntil;
  bool Leaving = false;
};

} // namespace pimentofront

#endif
