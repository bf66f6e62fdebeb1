#ifndef PIMENTOFRONT_SERVING_ENGINE_SLOWNESS_H
#define PIMENTOFRONT_SERVING_ENGINE_SLOWNESS_H

#include "pimentofront/Base.h"

#include <optional>

namespace pimentofront {

/// \class EngineSlownessOptions
/// \ingroup Serving
struct EngineSlownessOptions {
  /// Age at which a statement expires. Other load on a host comes and goes
  /// within fractions of a second.
  Duration StatementLifetime = std::chrono::milliseconds(400);
  /// Work that takes at least this many times as long as usual makes a slow
  /// period. Less is within what requests of unlike sizes differ by anyway.
  double SlowFactor = 1.5;
  /// Expected length of a slow period, until one has been observed.
  Duration InitialLength = std::chrono::milliseconds(500);
};

/// \class EngineSlowness
/// \ingroup Serving
/// \brief How much longer than usual work takes on an engine's host, as the
/// engine states it, and how long such slow periods last.
///
/// Use it where an engine shares its host with other load. An engine that
/// states nothing, or whose last statement has expired, counts as usual.
class EngineSlowness {
public:
  explicit EngineSlowness(const EngineSlownessOptions &options = {})
      : Options(options), ExpectedLength(options.InitialLength) {}

  /// Records that work takes \p percent of the usual time now; 0 for an engine
  /// that doesn't state it.
  void record(TimePoint now, std::uint32_t percent);
  /// \returns the factor on the time that work takes, at least 1.
  double factor(TimePoint now) const;
  /// \returns whether the engine is in a slow period.
  bool isSlow(TimePoint now) const { return factor(now) >= Options.SlowFactor; }
  /// \returns the expected rest of the slow period; zero if there is none.
  Duration expectedRest(TimePoint now) const;
  /// \returns whether the engine states its slowness at all.
  bool isStated() const { return RecordedAt.has_value(); }
  /// Forgets the engine's statements after a restart of the engine.
  void clear();

private:
  EngineSlownessOptions Options;
  double Factor = 1;
  std::optional<TimePoint> RecordedAt;
  std::optional<TimePoint> SlowSince;
  /// Moving average over the slow periods that have ended.
  Duration ExpectedLength;
};

} // namespace pimentofront

#endif
