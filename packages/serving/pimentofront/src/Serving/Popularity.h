#ifndef PIMENTOFRONT_SERVING_POPULARITY_H
#define PIMENTOFRONT_SERVING_POPULARITY_H

#include "pimentofront/Wire.h"

#include <unordered_map>

namespace pimentofront {

/// \class PopularityTable
/// \ingroup Serving
/// \brief How often each adapter was asked for lately: a count in which each
/// request loses half its worth every half-life (LRFU, Lee et al., 2001).
///
/// Bounded: beyond its capacity the least popular half is forgotten.
class PopularityTable {
public:
  PopularityTable(Duration halfLife, std::size_t capacity);

  void noteRequest(TimePoint now, const AdapterKey &key);
  /// \returns the decayed count of requests, 0 for what isn't known.
  double valueOf(TimePoint now, const AdapterKey &key) const;
  std::size_t size() const { return Counts.size(); }

private:
  struct Count {
    double Value = 0;
    TimePoint At;
  };
  double decayed(TimePoint now, const Count &count) const;
  void forgetHalf(TimePoint now);

  Duration HalfLife;
  std::size_t Capacity;
  std::unordered_map<AdapterKey, Count> Counts;
};

} // namespace pimentofront

#endif
