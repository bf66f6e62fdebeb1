#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

std::string describe(const std::optional<double> &limit) {
  return limit ? std::to_string(*limit) + " requests/s" : "none";
}

} // namespace

std::string ServerFeedback::apply(TimePoint now, const AnswerFeedback &answer,
                                  TimePoint sentAt) {
  std::string changes;
  const auto add = [&](const std::string &text) {
    changes += (changes.empty() ? "" : "; ") + text;
  };
  if (!answer.Unreadable.empty())
    add("unreadable " + answer.Unreadable);
  const bool namesLimit = answer.RateLimit.has_value();
  const bool endsLimit =
      Limit && answer.Unreadable.empty() && sentAt > LimitNamedAt;
  if ((namesLimit || endsLimit) && answer.RateLimit != Limit)
    add("limit " + describe(answer.RateLimit) + ", before " + describe(Limit));
  if (namesLimit || endsLimit)
    Limit = answer.RateLimit;
  if (namesLimit)
    LimitNamedAt = now;
  if (answer.Rest) {
    add("rest " + std::to_string(toSeconds(*answer.Rest)) + " s");
    RestUntil = std::max(RestUntil, now + *answer.Rest);
  }
  if (answer.Leaving && !Leaving)
    add("leaving");
  Leaving = Leaving || answer.Leaving;
  return changes;
}

} // namespace pimentofront
