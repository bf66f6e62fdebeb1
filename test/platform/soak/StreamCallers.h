#ifndef PIMENTOFRONT_SOAK_STREAM_CALLERS_H
#define PIMENTOFRONT_SOAK_STREAM_CALLERS_H

#include "Release.h"
#include "StreamRecord.h"

namespace pimentofront::soak {

/// \class StreamCallers
/// \brief Callers of long streams. A caller whose stream breaks off comes back
/// to another entry, on a new connection and as a new attempt, and names the
/// last event that it has and the attempt that brought the first one.
///
/// Connections for first attempts stay open until the entry closes them.
class StreamCallers : public UpstreamHandler {
public:
  StreamCallers(EventLoop &loop, Deployment &deployment, const Release &release,
                const FaultPlan &faults, std::uint64_t seed, Report &report);
  ~StreamCallers() override;

  void begin();
  void stopSending() { Sender.reset(); }
  bool isIdle() const { return Active.empty(); }
  /// Checks all streams. To be called once, after the last stream has ended.
  void check(std::uint64_t seed);

  HeadDecision onHead(const AttemptId &attempt, ResponseHead head) override;
  void onBody(const AttemptId &attempt, std::string_view bytes) override;
  void onEnd(const AttemptId &attempt, UpstreamEnding ending) override;

private:
  /// A caller that waits for its stream or for its next attempt.
  struct Caller {
    /// Index of its record.
    std::size_t Stream = 0;
    std::size_t Entry = 0;
    TimePoint Deadline;
    TimePoint LastActivityAt;
    /// When it sends its next attempt; not set while one is in flight.
    std::optional<TimePoint> NextAttemptAt;
    /// Attempts that reached an entry.
    int Sent = 0;
    int Status = 0;
    std::optional<Duration> RetryAfter;
    /// Bytes after the last whole event of the current attempt.
    std::string Partial;
    /// Connection of a repeated attempt; null for a first one.
    std::unique_ptr<UpstreamPool> OwnPool;
  };

  void start();
  void tick();
  void sendAttempt(std::uint64_t id, Caller &caller);
  void readEvents(Caller &caller);
  void addEvent(Caller &caller, const std::string &text);
  /// Gives up an attempt whose stream has been silent for too long.
  void abandonSilent(TimePoint now, std::uint64_t id, Caller &caller);
  /// Decides whether the caller comes back.
  void afterEnd(TimePoint now, Caller &caller, UpstreamEnding ending);
  void endCaller(std::uint64_t id);
  /// Notes how the current attempt ended or went on, and whether its entry was
  /// in touch until then.
  void recordCourse(const Caller &caller, const std::string &ending);
  /// \returns whether nothing was done to the entry of \p attempt, or to a
  /// replica, from StableWindow before the attempt until \p now.
  bool isInTouch(const StreamAttempt &attempt, TimePoint now) const;
  std::string describeDisturbances(const StreamAttempt &attempt,
                                   TimePoint now) const;
  /// \returns the resumption that is under way, or null.
  Resumption *currentResumption(const Caller &caller);

  EventLoop &Loop;
  Deployment &System;
  const Release &Versions;
  const FaultPlan &Faults;
  Random Rng;
  Report &Results;
  TimePoint StartedAt;
  UpstreamPool Pool;
  std::uint64_t LastCaller = 0;
  /// Callers by the number of their current attempt.
  std::map<std::uint64_t, Caller> Active;
  std::vector<StreamRecord> Streams;
  /// Pools whose attempt has ended; they can't be destroyed in their callbacks.
  std::vector<std::unique_ptr<UpstreamPool>> EndedPools;
  std::unique_ptr<Timer> Sender;
  std::unique_ptr<Timer> Ticker;
};

} // namespace pimentofront::soak

#endif
