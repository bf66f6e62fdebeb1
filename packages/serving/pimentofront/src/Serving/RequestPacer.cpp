#include "pimentofront/Serving.h"

namespace pimentofront {
namespace {

/// No server is cold for longer; a wrong report must not slow it down for good.
constexpr Duration MaxColdTime = std::chrono::minutes(5);

} // namespace

bool RequestPacer::apply(TimePoint now, const RateLimit &limit) {
  // Tokens saved up so far accrued at the former rate.
  refill(now);
  const bool wasPaced = isPacing(now);
  const bool changed = Known.apply(now, limit);
  if (!wasPaced)
    Level = 0;
  return changed;
}

bool RequestPacer::applyCold(TimePoint now, const ColdStart &cold) {
  const TimePoint until = now + std::min(cold.Remaining, MaxColdTime);
  if (!cold.isCold() || until <= ColdUntil)
    return false;
  refill(now);
  if (!isPacing(now))
    Level = 0;
  ColdPerSecond = cold.perSecond();
  ColdUntil = until;
  return true;
}

void RequestPacer::reset() {
  Known = KnownRateLimit();
  Level = std::min(Level, 0.0);
}

double RequestPacer::coldRate() const {
  const double rate = std::max(ColdPerSecond, ProbeRate);
  return isLimited() ? std::min(rate, limitRate()) : rate;
}

Duration RequestPacer::interval(TimePoint now) const {
  if (!isPacing(now))
    return Duration::zero();
  return fromSeconds(1 / (isCold(now) ? coldRate() : limitRate()));
}

double RequestPacer::levelAt(TimePoint now) const {
  const TimePoint coldEnd = std::clamp(ColdUntil, RefilledAt, now);
  double level = Level + coldRate() * toSeconds(coldEnd - RefilledAt);
  if (isLimited())
    level += limitRate() * toSeconds(now - coldEnd);
  return std::min(level, Burst);
}

void RequestPacer::refill(TimePoint now) {
  now = std::max(now, RefilledAt);
  Level = levelAt(now);
  RefilledAt = now;
}

Duration RequestPacer::wait(TimePoint now, std::size_t ahead) const {
  if (!isPacing(now))
    return Duration::zero();
  const double missing =
      static_cast<double>(ahead) + 1 - levelAt(std::max(now, RefilledAt));
  if (missing <= 0)
    return Duration::zero();
  const Duration cold = std::max(ColdUntil - now, Duration::zero());
  const double whileCold = coldRate() * toSeconds(cold);
  // Rounded up, so that a request that returns then is not too early.
  constexpr Duration RoundUp(1);
  if (missing <= whileCold)
    return fromSeconds(missing / coldRate()) + RoundUp;
  if (!isLimited())
    return cold;
  return cold + fromSeconds((missing - whileCold) / limitRate()) + RoundUp;
}

std::optional<Duration> RequestPacer::reserve(TimePoint now, Duration ahead) {
  if (!isPacing(now))
    return Duration::zero();
  const Duration delay = wait(now, 0);
  if (delay > ahead)
    return std::nullopt;
  refill(now);
  Level -= 1;
  return delay;
}

} // namespace pimentofront
