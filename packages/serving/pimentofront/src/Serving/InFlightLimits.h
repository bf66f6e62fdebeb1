#ifndef PIMENTOFRONT_SERVING_IN_FLIGHT_LIMITS_H
#define PIMENTOFRONT_SERVING_IN_FLIGHT_LIMITS_H

#include "pimentofront/Wire.h"

#include <map>

namespace pimentofront {

/// \class InFlightLimits
/// \ingroup Serving
/// \brief Counts the requests in flight of each kind, and of each caller within
/// a kind, and enforces the limits of the configuration.
class InFlightLimits {
public:
  /// Counts a new request unless a limit is reached.
  /// \returns None, KindLimit or CallerLimit.
  RefusalReason enter(const KindRecord &kind, const CallerName &caller) {
    const CallerKey key{kind.Name, caller};
    if (kind.InFlightLimit > 0 &&
        countOf(Kinds, kind.Name) >= kind.InFlightLimit)
      return RefusalReason::KindLimit;
    if (kind.CallerLimit > 0 && countOf(Callers, key) >= kind.CallerLimit)
      return RefusalReason::CallerLimit;
    ++Kinds[kind.Name];
    ++Callers[key];
    return RefusalReason::None;
  }

  void leave(const KindName &kind, const CallerName &caller) {
    decrement(Kinds, kind);
    decrement(Callers, CallerKey{kind, caller});
  }

private:
  struct CallerKey {
    KindName Kind;
    CallerName Caller;
    friend auto operator<=>(const CallerKey &, const CallerKey &) = default;
  };
  template <class Key>
  static std::uint32_t countOf(const std::map<Key, std::uint32_t> &counts,
                               const Key &key) {
    const auto it = counts.find(key);
    return it == counts.end() ? 0 : it->second;
  }
  template <class Key>
  static void decrement(std::map<Key, std::uint32_t> &counts, const Key &key) {
    const auto it = counts.find(key);
    if (it != counts.end() && --it->second == 0)
      counts.erase(it);
  }

  std::map<KindName, std::uint32_t> Kinds;
  std::map<CallerKey, std::uint32_t> Callers;
};

} // namespace pimentofront

#endif
