#ifndef PIMENTOFRONT_SERVING_REQUEST_PACER_H
#define PIMENTOFRONT_SERVING_REQUEST_PACER_H

#include "KnownRateLimit.h"

#include <algorithm>

namespace pimentofront {

/// \class RequestPacer
/// \ingroup Serving
/// \brief Paces the requests that all entries together send to one backend
/// server which names a limit, or is cold: a token bucket that starts empty.
///
/// There is one for each server: at the agent beside an engine, at the leader
/// of the replicas for a server without one. Of a limit and a cold start the
/// lower one holds. A cold start ends by its time; words on it only make that
/// longer, since an entry may not have heard the newest one.
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
  /// \returns whether the server is cold for longer than was known.
  bool applyCold(TimePoint now, const ColdStart &cold);
  /// Another process of the server runs now, and names no limit so far. A cold
  /// start holds on: an entry that hasn't heard of that process yet may still
  /// name the former one.
  void reset();
  /// \returns whether the server names a limit.
  bool isLimited() const { return Known.isNamed(); }
  bool isCold(TimePoint now) const { return now < ColdUntil; }
  /// \returns whether requests are counted now.
  bool paces(TimePoint now) const { return isLimited() || isCold(now); }
  /// \returns how long one request's share of the pace takes; zero if requests
  /// aren't counted now.
  Duration interval(TimePoint now) const;
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
  /// \returns the requests a second that the limit lets through.
  /// \pre the server is limited.
  double limitRate() const { return std::max(Known.perSecond(), ProbeRate); }
  /// \returns the requests a second that are let through while it is cold.
  double coldRate() const;
  void fill(TimePoint now);
  double levelAt(TimePoint now) const;

  double Burst;
  KnownRateLimit Known;
  double ColdPerSecond = 0;
  TimePoint ColdUntil;
  /// Below 0 while requests are reserved.
  double Level = 0;
  TimePoint FilledAt;
};

} // namespace pimentofront

#endif
