#ifndef PIMENTOFRONT_SERVING_POPULARITY_H
#define PIMENTOFRONT_SERVING_POPULARITY_H

#include "pimentofront/Wire.h"

#include <unordered_map>

namespace pimentofront {

/// \class PopularityOptions
/// \ingroup Serving
struct PopularityOptions {
  /// Half-life of the long count: how fast yesterday's hot adapters are
  /// forgotten.
  Duration HalfLife = std::chrono::minutes(5);
  /// Half-life of the expectation that a session of requests goes on.
  Duration SessionHalfLife = std::chrono::seconds(4);
  /// Adapters that are remembered.
  std::size_t Capacity = 4096;
};

/// \class PopularityTable
/// \ingroup Serving
/// \brief How soon each adapter will be asked for again, as requests expected
/// in a long half-life.
///
/// The sum of two parts. The first is a count in which each request loses half
/// its worth every half-life (LRFU, Lee et al., 2001): the standing popularity.
/// The second is what a request just now says beyond that, and fades within
/// seconds: requests often come in sessions. How much it says is learned: the
/// table compares how many requests follow one of the same adapter within
/// seconds with how many would if they were independent.
///
/// Bounded: beyond its capacity the least popular half is forgotten.
class PopularityTable {
public:
  explicit PopularityTable(const PopularityOptions &options);

  void noteRequest(TimePoint now, const AdapterKey &key);
  /// \returns the requests expected, 0 for what isn't known.
  double valueOf(TimePoint now, const AdapterKey &key) const;
  std::size_t size() const { return Counts.size(); }
  /// \returns the part of requests that follow another one of their session.
  double sessionShare() const;

private:
  struct Count {
    double Value = 0;
    TimePoint At;
  };
  double decayed(TimePoint now, const Count &count) const;
  double worth(TimePoint now, const Count &count) const;
  /// \returns whether a request now comes soon after the one before.
  bool isFollowed(TimePoint now, const Count &before) const;
  void learn(TimePoint now, const Count &before);
  void forgetHalf(TimePoint now);

  PopularityOptions Options;
  std::unordered_map<AdapterKey, Count> Counts;
  /// Smoothed part of the requests that came within the session horizon after
  /// one of the same adapter, and the part that independence would give.
  double Followed = 0;
  double ExpectedFollowed = 0;
};

} // namespace pimentofront

#endif
