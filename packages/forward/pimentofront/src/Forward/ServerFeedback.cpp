#include "pimentofront/Forward.h"

#include <cmath>

namespace pimentofront {
namespace {

constexpr double Thousand = 1000;

std::string describe(const RateLimit &limit) {
  if (!limit.Named)
    return "none";
  const double perSecond =
      static_cast<double>(limit.PerThousandSeconds) / Thousand;
  return std::to_string(perSecond) + " requests/s";
}

} // namespace

std::optional<RateLimit> AnswerFeedback::limitWord(TimePoint now,
                                                   TimePoint sentAt) const {
  // Above this it is as good as none.
  constexpr double MostPerSecond = 1e9;
  if (RateLimit) {
    const double perSecond = std::min(*RateLimit, MostPerSecond);
    return pimentofront::RateLimit{
        .Named = true,
        .PerThousandSeconds =
            static_cast<std::uint64_t>(std::llround(perSecond * Thousand))};
  }
  if (!Unreadable.empty())
    return std::nullopt;
  return pimentofront::RateLimit{.Age = now - sentAt};
}

std::string ServerFeedback::learnLimit(TimePoint now, const RateLimit &limit) {
  const TimePoint saidAt = now - std::max(limit.Age, Duration::zero());
  if (saidAt < LimitSaidAt)
    return {};
  LimitSaidAt = saidAt;
  RateLimit next = limit;
  next.Age = Duration::zero();
  const RateLimit before = std::exchange(Limit, next);
  if (before == next)
    return {};
  return "limit " + describe(next) + ", before " + describe(before);
}

RateLimit ServerFeedback::limit(TimePoint now) const {
  RateLimit result = Limit;
  result.Age = now - LimitSaidAt;
  return result;
}

std::string ServerFeedback::apply(TimePoint now, const AnswerFeedback &answer,
                                  TimePoint sentAt) {
  std::string changes;
  const auto add = [&](const std::string &text) {
    if (!text.empty())
      changes += (changes.empty() ? "" : "; ") + text;
  };
  if (!answer.Unreadable.empty())
    add("unreadable " + answer.Unreadable);
  if (const auto word = answer.limitWord(now, sentAt))
    add(learnLimit(now, *word));
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
