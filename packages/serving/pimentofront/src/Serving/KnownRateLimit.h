#ifndef PIMENTOFRONT_SERVING_KNOWN_RATE_LIMIT_H
#define PIMENTOFRONT_SERVING_KNOWN_RATE_LIMIT_H

#include "pimentofront/Wire.h"

#include <optional>

namespace pimentofront {

/// \class KnownRateLimit
/// \ingroup Serving
/// \brief What one process knows of the limit that a backend server names.
/// Words on it arrive in any order; the newest holds.
class KnownRateLimit {
public:
  /// \returns whether another limit holds now, or none any more.
  bool apply(TimePoint now, const RateLimit &word);
  bool isNamed() const { return Limit.Named; }
  double perSecond() const { return Limit.perSecond(); }
  /// \returns what to tell others, with its age.
  RateLimit at(TimePoint now) const;
  friend auto operator<=>(const KnownRateLimit &,
                          const KnownRateLimit &) = default;

private:
  /// Its age isn't set.
  RateLimit Limit;
  /// When the limit, or its end, was said.
  std::optional<TimePoint> SaidAt;
};

} // namespace pimentofront

#endif
