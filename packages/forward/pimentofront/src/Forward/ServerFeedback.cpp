#include "pimentofront/Forward.h"

namespace pimentofront {
namespace {

std::string describe(const KnownRateLimit &limit) {
  if (!limit.isNamed())
    return "none";
  return std::to_string(limit.perSecond()) + " requests/s";
}

} // namespace

std::optional<RateLimit> AnswerFeedback::impliedLimit(TimePoint now,
                                                      TimePoint sentAt) const {
  if (LimitPerSecond)
    return RateLimit{.Named = true,
                     .PerThousandSeconds =
                         toPerThousandSeconds(*LimitPerSecond)};
  if (!MalformedHeader.empty())
    return std::nullopt;
  return RateLimit{.Age = now - sentAt};
}

std::string ServerFeedback::applyLimit(TimePoint now, const RateLimit &limit) {
  const KnownRateLimit before = Limit;
  if (!Limit.apply(now, limit))
    return {};
  return "limit " + describe(Limit) + ", previously " + describe(before);
}

std::string ServerFeedback::apply(TimePoint now, const AnswerFeedback &answer,
                                  TimePoint sentAt) {
  std::string changes;
  const auto add = [&](const std::string &text) {
    if (!text.empty())
      changes += (changes.empty() ? "" : "; ") + text;
  };
  if (!answer.MalformedHeader.empty())
    add("unreadable header " + answer.MalformedHeader);
  if (const auto reported = answer.impliedLimit(now, sentAt))
    add(applyLimit(now, *reported));
  if (answer.Backoff) {
    add("backoff " + std::to_string(toSeconds(*answer.Backoff)) + " s");
    BackoffUntil = std::max(BackoffUntil, now + *answer.Backoff);
  }
  if (answer.Leaving && !Leaving)
    add("leaving");
  Leaving = Leaving || answer.Leaving;
  return changes;
}

} // namespace pimentofront
