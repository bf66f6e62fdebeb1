#ifndef PIMENTOFRONT_SERVING_PAUSE_METER_H
#define PIMENTOFRONT_SERVING_PAUSE_METER_H

#include "pimentofront/Base.h"

#include <map>
#include <string>

namespace pimentofront {

/// \class PauseMeterOptions
/// \ingroup Serving
struct PauseMeterOptions {
  /// Half-life of the counts of streams.
  Duration HalfLife = std::chrono::seconds(10);
  /// Share of the streams with a pause over their target from which a service
  /// counts as disturbed.
  double EnterShare = 0.05;
  /// A disturbed service stays so while the share is at least this.
  double LeaveShare = 0.01;
  /// Streams that must have been seen, after decay: the first few say little.
  double MinStreams = 5;
  /// A service counts as disturbed for this long after the share fell. What was
  /// done about the pauses is why it fell, so a short time would let the
  /// decision swing.
  Duration Dwell = std::chrono::seconds(60);
  /// Maximum number of services, and of routes, that are tracked.
  std::size_t Capacity = 256;
};

/// \class EndedStream
/// \ingroup Serving
/// \brief What an entry has seen of one stream.
struct EndedStream {
  ServiceName Service;
  std::string Route;
  /// Time from sending the request to the end of its answer.
  Duration Took = Duration::zero();
  /// Longest time between two events.
  Duration LongestPause = Duration::zero();
  /// Longest pause that the route allows; zero if it sets none.
  Duration PauseTarget = Duration::zero();

  bool isOverPause() const {
    return PauseTarget > Duration::zero() && LongestPause > PauseTarget;
  }
};

/// \class PauseMeter
/// \ingroup Serving
/// \brief Tells whether the streams of a service keep the pauses that their
/// routes allow, by the streams that this process has passed on.
///
/// Answers the load in which long prompts are read beside long answers: each
/// piece of a prompt delays the next token of every running stream. Use it to
/// decide whether a measure against pauses is called for. It says nothing about
/// first events, and nothing about routes without a target. A process that has
/// just started knows no streams and reports no service as disturbed.
class PauseMeter {
public:
  explicit PauseMeter(const PauseMeterOptions &options = {})
      : Options(options) {}

  void recordStream(TimePoint now, const EndedStream &stream);
  /// \returns whether too many streams of the service exceed their pause.
  bool isDisturbed(TimePoint now, const ServiceName &service) const;
  /// \returns the mean time that the streams of the route take; zero if none
  /// has ended.
  Duration meanDuration(const std::string &route) const;

private:
  struct Service {
    double Streams = 0;
    double OverPause = 0;
    TimePoint At;
    TimePoint DisturbedUntil;
  };
  void recordPause(TimePoint now, const EndedStream &stream);

  PauseMeterOptions Options;
  std::map<ServiceName, Service> Services;
  std::map<std::string, Duration> Durations;
};

} // namespace pimentofront

#endif
