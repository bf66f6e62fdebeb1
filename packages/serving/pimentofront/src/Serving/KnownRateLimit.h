#ifndef PIMENTOFRONT_SERVING_KNOWN_RATE_LIMIT_H
#define PIMENTOFRONT_SERVING_KNOWN_RATE_LIMIT_H

#include "pimentofront/Wire.h"

#include <optional>

namespace pimentofront {

/// \class KnownRateLimit
/// \ingroup Serving
/// \brief What one process knows of the rate limit that a backend server names.
/// Reports of it arrive in any order; the newest one is in force.
class KnownRateLimit {
public:
  /// \returns whether the limit in force changed or ended.
  bool apply(TimePoint now, const RateLimit &report);
  bool isNamed() const { return Limit.Named; }
  double perSecond() const { return Limit.perSecond(); }
  /// \returns the limit with its age, to be sent to other processes.
  RateLimit at(TimePoint now) const;
  friend auto operator<=>(const KnownRateLimit &,
                          const KnownRateLimit &) = default;

private:
  /// Without its age; see NamedAt.
  RateLimit Limit;
  /// When the server named the limit or its end.
  std::optional<TimePoint> NamedAt;
};

} // namespace pimentofront

#endif
