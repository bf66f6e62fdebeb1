#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

FirstEventModel::FirstEventModel(const FirstEventOptions &options)
    : Options(options), SecondsPerToken(1 / options.TokensPerSecond) {}

Duration FirstEventModel::readingTime(std::uint64_t tokens) const {
  return fromSeconds(static_cast<double>(tokens) * SecondsPerToken);
}

Duration FirstEventModel::expected(TimePoint now, std::uint32_t urgency,
                                   std::uint64_t tokens,
                                   std::uint64_t ahead) const {
  const double work = unread(now, urgency) + static_cast<double>(ahead) +
                      static_cast<double>(tokens);
  return fromSeconds(work * SecondsPerToken + LagSeconds);
}

double FirstEventModel::unread(TimePoint now, std::uint32_t urgency) const {
  double done = std::max(toSeconds(now - ReadUntil), 0.0) / SecondsPerToken;
  double left = 0;
  for (const Prompt &it : Sent) {
    if (it.Urgency > urgency)
      break;
    const double read = std::min(done, it.Unread);
    done -= read;
    left += it.Unread - read;
  }
  return left;
}

std::uint64_t FirstEventModel::unreadTokens(TimePoint now,
                                            std::uint32_t urgency) const {
  return static_cast<std::uint64_t>(std::llround(unread(now, urgency)));
}

std::uint64_t FirstEventModel::unreadTokens(TimePoint now) const {
  return unreadTokens(now, std::numeric_limits<std::uint32_t>::max());
}

void FirstEventModel::advance(TimePoint now) {
  double done = std::max(toSeconds(now - ReadUntil), 0.0) / SecondsPerToken;
  for (Prompt &it : Sent) {
    const double read = std::min(done, it.Unread);
    done -= read;
    it.Unread -= read;
  }
  ReadUntil = std::max(ReadUntil, now);
}

void FirstEventModel::onSent(TimePoint now, const AttemptId &attempt,
                             std::uint32_t urgency, std::uint32_t tokens) {
  advance(now);
  const double work = unread(now, urgency) + tokens;
  const auto after =
      std::ranges::upper_bound(Sent, urgency, {}, &Prompt::Urgency);
  Sent.insert(after, {.Attempt = attempt,
                      .Urgency = urgency,
                      .Number = ++LastNumber,
                      .Unread = static_cast<double>(tokens),
                      .Work = work});
}

std::vector<FirstEventModel::Prompt>::iterator
FirstEventModel::find(const AttemptId &attempt) {
  return std::ranges::find(Sent, attempt, &Prompt::Attempt);
}

void FirstEventModel::onBegan(TimePoint now, const AttemptId &attempt,
                              Duration took) {
  const auto begun = find(attempt);
  if (begun == Sent.end())
    return;
  advance(now);
  for (auto it = Sent.begin(); it != begun; ++it)
    if (it->Number < begun->Number)
      it->Unread = 0;
  if (took > Duration::zero())
    learn(begun->Work, toSeconds(took));
  Sent.erase(begun);
}

void FirstEventModel::onEnded(TimePoint now, const AttemptId &attempt) {
  const auto it = find(attempt);
  if (it == Sent.end())
    return;
  advance(now);
  Sent.erase(it);
}

void FirstEventModel::clear(TimePoint now) {
  Sent.clear();
  ReadUntil = std::max(ReadUntil, now);
}

void FirstEventModel::learn(double tokens, double seconds) {
  const double expected = tokens * SecondsPerToken + LagSeconds;
  const double largest =
      expected * Options.LargestShare + toSeconds(Options.LargestExcess);
  const double y = std::min(seconds, largest);
  const double newest = 1 - Options.Retention;
  MeanError += newest * (std::abs(y - expected) - MeanError);
  for (double *it : {&SumWeight, &SumX, &SumY, &SumXx, &SumXy})
    *it *= Options.Retention;
  SumWeight += 1;
  SumX += tokens;
  SumY += y;
  SumXx += tokens * tokens;
  SumXy += tokens * y;
  fit();
}

void FirstEventModel::fit() {
  // The prior keeps the fit determined while all observations are alike.
  const double prior = Options.PriorWeight;
  const double priorXx = prior * Options.PriorTokens * Options.PriorTokens;
  const double xx = SumXx + priorXx;
  const double xy = SumXy + priorXx / Options.TokensPerSecond;
  const double weight = SumWeight + prior;
  LagSeconds = (xx * SumY - SumX * xy) / (xx * weight - SumX * SumX);
  LagSeconds = std::max(LagSeconds, 0.0);
  constexpr double MaxTokensPerSecond = 1e7;
  SecondsPerToken =
      std::max((xy - LagSeconds * SumX) / xx, 1 / MaxTokensPerSecond);
}

} // namespace pimentofront
