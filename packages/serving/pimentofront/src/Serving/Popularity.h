#ifndef PIMENTOFRONT_SERVING_POPULARITY_H
#define PIMENTOFRONT_SERVING_POPULARITY_H

#include "pimentofront/Wire.h"

#include <unordered_map>

namespace pimentofront {

/// \class PopularityOptions
/// \ingroup Serving
struct PopularityOptions {
  /// Half-life of the long-term count: how fast adapters that were popular are
  /// forgotten.
  Duration HalfLife = std::chrono::minutes(5);
  /// Half-life of the expectation that a session of requests continues.
  Duration SessionHalfLife = std::chrono::seconds(4);
  /// Maximum number of adapters in the table.
  std::size_t Capacity = 4096;
};

/// \class PopularityTable
/// \ingroup Serving
/// \brief Estimates how soon each adapter will be requested again, as the
/// number of requests expected within a long half-life.
///
/// The estimate is the sum of two parts. The first is a count in which each
/// request loses half its weight every half-life (LRFU, Lee et al., 2001): the
/// long-term popularity. The second is what a recent request adds beyond that,
/// and decays within seconds, since requests often come in sessions. Its size
/// is learned: the table compares how many requests follow one of the same
/// adapter within seconds with how many would if they were independent.
///
/// Bounded: when the capacity is exceeded, the less popular half is forgotten.
class PopularityTable {
public:
  explicit PopularityTable(const PopularityOptions &options);

  void recordRequest(TimePoint now, const AdapterKey &key);
  /// \returns the expected number of requests, 0 for an unknown adapter.
  double valueOf(TimePoint now, const AdapterKey &key) const;
  std::size_t size() const { return Counts.size(); }
  /// \returns the fraction of requests that follow another one of their
  /// session.
  double sessionShare() const;

private:
  struct Count {
    double Value = 0;
    TimePoint At;
  };
  double decayed(TimePoint now, const Count &count) const;
  double expectedRequests(TimePoint now, const Count &count) const;
  /// \returns whether a request at \p now comes within the session horizon
  /// after the one before.
  bool isFollowed(TimePoint now, const Count &before) const;
  void learnSessions(TimePoint now, const Count &before);
  void removeLessPopularHalf(TimePoint now);

  PopularityOptions Options;
  std::unordered_map<AdapterKey, Count> Counts;
  /// Smoothed fraction of the requests that came within the session horizon
  /// after one of the same adapter, and the fraction expected if requests were
  /// independent.
  double FollowedShare = 0;
  double ExpectedFollowedShare = 0;
};

} // namespace pimentofront

#endif
