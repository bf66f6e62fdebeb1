#include "LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace pimentofront {

bool LogRateLimiter::allow(TimePoint now, const std::string &event) {
  const auto [it, isNew] =
      Buckets.try_emplace(event, Bucket{.Tokens = Options.Burst, .At = now});
  Bucket &bucket = it->second;
  const double refilled = toSeconds(now - bucket.At) * Options.PerSecond;
  bucket.Tokens = std::min(bucket.Tokens + refilled, Options.Burst);
  bucket.At = now;
  if (bucket.Tokens < 1) {
    ++bucket.Omitted;
    return false;
  }
  bucket.Tokens -= 1;
  return true;
}

std::map<std::string, std::uint64_t> LogRateLimiter::takeOmitted() {
  std::map<std::string, std::uint64_t> result;
  for (auto &[event, bucket] : Buckets)
    if (const auto n = std::exchange(bucket.Omitted, 0))
      result.emplace(event, n);
  return result;
}

} // namespace pimentofront
