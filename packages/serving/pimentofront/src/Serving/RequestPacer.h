#ifndef PIMENTOFRONT_SERVING_REQUEST_PACER_H
#define PIMENTOFRONT_SERVING_REQUEST_PACER_H

#include "KnownRateLimit.h"

#include <algorithm>

namespace pimentofront {

/// \class RequestPacer
/// \ingroup Serving
/// \brief Paces the requests that all entries together send to one backend
/// server which names a limit: a token bucket that starts empty.
///
/// There is one for each server: at the agent beside an engine, at the leader
/// of the replicas for a server without one.
class RequestPacer {
public:
  /// \param burst requests that may be saved up: more of them would come all at
  /// once to a server that is in need.
  explicit RequestPacer(double burst = 2) : Burst(burst) {}

  /// Requests a second that are sent however low the limit is: without an
  /// answer nobody learns that it has ended.
  static constexpr double ProbeRate = 0.25;

  /// \returns whether another limit is in force now, or none any more.
  bool apply(TimePoint now, const RateLimit &limit);
  /// Another process of the server runs now.
  void reset() { *this = RequestPacer(Burst); }
  bool isLimited() const { return Known.isNamed(); }
  /// \returns how long one request's share of the limit takes.
  /// \pre the server is limited.
  Duration interval() const { return fromSeconds(1 / rate()); }
  /// \returns what to tell others of the limit.
  RateLimit limit(TimePoint now) const { return Known.at(now); }
  /// \returns how long it takes until a request may be sent that has \p ahead
  /// others before it.
  Duration wait(TimePoint now, std::size_t ahead) const;
  /// \returns whether a request may be sent now, and counts it.
  bool take(TimePoint now) {
    return reserve(now, Duration::zero()).has_value();
  }
  /// Counts a request that may be sent within \p ahead.
  /// \returns when it may; nothing if that would be later.
  std::optional<Duration> reserve(TimePoint now, Duration ahead);

private:
  /// \returns the requests a second that are let through.
  /// \pre the server is limited.
  double rate() const { return std::max(Known.perSecond(), ProbeRate); }
  void fill(TimePoint now);
  double levelAt(TimePoint now) const;

  double Burst;
  KnownRateLimit Known;
  /// Below 0 while requests are reserved.
  double Level = 0;
  TimePoint FilledAt;
};

} // namespace pimentofront

#endif
