#ifndef PIMENTOFRONT_SOAK_DISTURBANCE_RECORD_H
#define PIMENTOFRONT_SOAK_DISTURBANCE_RECORD_H

#include "pimentofront/Base.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentofront::soak {

/// What the soak test does to a host. A process that ends by itself isn't
/// disturbed: it counts as running.
enum class HostDisturbance : std::uint8_t {
  /// From SIGTERM or SIGKILL until the process is started again.
  Stopped,
  Frozen,
  /// The connections of its proxy are cut, delayed or reset.
  Link,
};

/// \class DisturbanceRecord
/// \brief Remembers when each host was disturbed.
class DisturbanceRecord {
public:
  void begin(TimePoint now, const std::string &host, HostDisturbance kind);
  /// Ends all disturbances of this kind on \p host.
  void end(TimePoint now, const std::string &host, HostDisturbance kind);
  /// \returns whether \p host was undisturbed from \p from to \p until.
  bool isCalm(const std::string &host, TimePoint from, TimePoint until) const;
  /// \returns the disturbances of \p host from \p from to \p until for the
  /// report, in milliseconds since \p origin; an empty text if there are none.
  std::string describe(const std::string &host, TimePoint from, TimePoint until,
                       TimePoint origin) const;

private:
  struct Disturbed {
    HostDisturbance Kind = HostDisturbance::Stopped;
    TimePoint From;
    /// Not set while it lasts.
    std::optional<TimePoint> Until;
  };
  static bool overlaps(const Disturbed &it, TimePoint from, TimePoint until) {
    return it.From <= until && (!it.Until || *it.Until >= from);
  }

  std::map<std::string, std::vector<Disturbed>> Hosts;
};

} // namespace pimentofront::soak

#endif
