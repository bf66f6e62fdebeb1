#ifndef PIMENTOFRONT_SERVING_REQUEST_PACER_H
#define PIMENTOFRONT_SERVING_REQUEST_PACER_H

#include "KnownRateLimit.h"

#include <algorithm>

namespace pimentofront {

/// \class RequestPacer
/// \ingroup Serving
/// \brief Paces the requests that all entries together send to one backend
/// server that names a rate limit or is cold: a token bucket that starts empty.
///
/// There is one for each server: at the agent beside an engine, at the leader
/// of the replicas for a server without an agent. When both a limit and a cold
/// start apply, the lower rate counts. A cold start ends when its time has
/// passed; reports of it can only prolong it, since an entry may not have
/// received the newest one.
class RequestPacer {
public:
  /// \param burst maximum number of requests that may be saved up; a higher one
  /// would send more requests at once to a server that is overloaded.
  explicit RequestPacer(double burst = 2) : Burst(burst) {}

  /// Minimum rate in requests per second, applied however low the limit is:
  /// only an answer can tell that the limit has ended.
  static constexpr double ProbeRate = 0.25;

  /// \returns whether the limit in force changed or ended.
  bool apply(TimePoint now, const RateLimit &limit);
  /// \returns whether the cold start was prolonged.
  bool applyCold(TimePoint now, const ColdStart &cold);
  /// The server's process was replaced, and the new one has named no limit yet.
  /// The cold start stays in force, because an entry that does not know of the
  /// new process yet may still name the former one.
  void reset();
  /// \returns whether the server names a limit.
  bool isLimited() const { return Known.isNamed(); }
  bool isCold(TimePoint now) const { return now < ColdUntil; }
  /// \returns whether requests are paced now.
  bool isPacing(TimePoint now) const { return isLimited() || isCold(now); }
  /// \returns the time between two requests at the current rate; zero if
  /// requests are not paced now.
  Duration interval(TimePoint now) const;
  /// \returns the limit with its age, to be sent to other processes.
  RateLimit limit(TimePoint now) const { return Known.at(now); }
  /// \returns the time until a request may be sent that has \p ahead others
  /// before it.
  Duration wait(TimePoint now, std::size_t ahead) const;
  /// \returns whether a request may be sent now; counts it if so.
  bool take(TimePoint now) {
    return reserve(now, Duration::zero()).has_value();
  }
  /// Reserves the sending of a request, provided that it may be sent within
  /// \p ahead.
  /// \returns the delay after which it may be sent; nothing, and no
  /// reservation, if that is longer than \p ahead.
  std::optional<Duration> reserve(TimePoint now, Duration ahead);

private:
  /// \returns the rate that the limit allows, in requests per second.
  /// \pre the server is limited.
  double limitRate() const { return std::max(Known.perSecond(), ProbeRate); }
  /// \returns the rate that is allowed while the server is cold, in requests
  /// per second.
  double coldRate() const;
  void refill(TimePoint now);
  double levelAt(TimePoint now) const;

  double Burst;
  KnownRateLimit Known;
  double ColdPerSecond = 0;
  TimePoint ColdUntil;
  /// Tokens in the bucket; negative while requests are reserved.
  double Level = 0;
  TimePoint RefilledAt;
};

} // namespace pimentofront

#endif
