#include "pimentofront/Serving.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numbers>

namespace pimentofront {
namespace {

/// A request belongs to a session when it comes within this many session
/// half-lives after the previous one.
constexpr int HorizonHalfLives = 2;
/// Weight of the newest request in the learned session fractions.
constexpr double LearningRate = 1.0 / 256;

} // namespace

PopularityTable::PopularityTable(const PopularityOptions &options)
    : Options(options) {
  assert(options.HalfLife > Duration::zero() &&
         options.SessionHalfLife > Duration::zero() &&
         "half-lives are positive");
  assert(options.Capacity > 1 && "the capacity is at least 2");
}

double PopularityTable::decayed(TimePoint now, const Count &count) const {
  return count.Value * decayFactor(now - count.At, Options.HalfLife);
}

double PopularityTable::sessionShare() const {
  return std::max(FollowedShare - ExpectedFollowedShare, 0.0);
}

double PopularityTable::expectedRequests(TimePoint now,
                                         const Count &count) const {
  const double decay = decayFactor(now - count.At, Options.SessionHalfLife);
  // The session share is spread over the session's half-life, the count over
  // the long one: their ratio converts the share to requests in a long
  // half-life.
  const double ratio =
      toSeconds(Options.HalfLife) / toSeconds(Options.SessionHalfLife);
  return decayed(now, count) + sessionShare() * decay * ratio;
}

bool PopularityTable::isFollowed(TimePoint now, const Count &before) const {
  const Duration horizon = HorizonHalfLives * Options.SessionHalfLife;
  return before.Value > 0 && now - before.At <= horizon;
}

void PopularityTable::learnSessions(TimePoint now, const Count &before) {
  const Duration horizon = HorizonHalfLives * Options.SessionHalfLife;
  const double followed = isFollowed(now, before) ? 1 : 0;
  // A steady rate r keeps the count at r times half-life over ln 2.
  const double rate =
      decayed(now, before) * std::numbers::ln2 / toSeconds(Options.HalfLife);
  const double expected = 1 - std::exp(-rate * toSeconds(horizon));
  FollowedShare += LearningRate * (followed - FollowedShare);
  ExpectedFollowedShare += LearningRate * (expected - ExpectedFollowedShare);
}

void PopularityTable::recordRequest(TimePoint now, const AdapterKey &key) {
  if (Counts.size() >= Options.Capacity && !Counts.contains(key))
    removeLessPopularHalf(now);
  Count &count = Counts[key];
  learnSessions(now, count);
  // A request that follows within a session says little about the long-term
  // popularity: it counts by the probability that it would have come without
  // the session.
  const bool follows = isFollowed(now, count);
  const double weight =
      follows && FollowedShare > 0 ? 1 - sessionShare() / FollowedShare : 1;
  count.Value = decayed(now, count) + weight;
  count.At = now;
}

double PopularityTable::valueOf(TimePoint now, const AdapterKey &key) const {
  const auto it = Counts.find(key);
  return it == Counts.end() ? 0 : expectedRequests(now, it->second);
}

void PopularityTable::removeLessPopularHalf(TimePoint now) {
  std::vector<double> values;
  values.reserve(Counts.size());
  for (const auto &[key, count] : Counts)
    values.push_back(expectedRequests(now, count));
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::ranges::nth_element(values, middle);
  std::erase_if(Counts, [&](const auto &it) {
    return expectedRequests(now, it.second) <= *middle;
  });
}

} // namespace pimentofront
