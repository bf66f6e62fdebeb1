#ifndef PIMENTOFRONT_SOAK_CALLERS_H
#define PIMENTOFRONT_SOAK_CALLERS_H

#include "Operator.h"

namespace pimentofront::soak {

/// \class Callers
/// \brief Sends requests through all entries, on keep-alive connections, and
/// checks that each answer is complete, belongs to its request, and arrives in
/// time, and that no request ran more often than its route allows.
class Callers : public UpstreamHandler {
public:
  Callers(EventLoop &loop, Deployment &deployment, FaultPlan &faults,
          Operator &changes, std::uint64_t seed, Report &report);

  /// Begins to send requests with a crashing part.
  void startCrashing();
  /// Stops sending; requests in flight continue.
  void stopSending() {
    Sender.reset();
    MarkerSender.reset();
    SlowSender.reset();
    CrashSender.reset();
  }
  /// \returns whether the last requests through each entry were all answered
  /// well.
  bool isServing() const;
  /// \returns the counts that decide isServing(), for the report.
  std::string state() const;
  /// Checks how many servers the requests with a crashing part reached. To be
  /// called at the end.
  void checkCrashes();
  /// Checks how often each request ran, and that each one has ended. To be
  /// called once no request is in flight any more.
  void checkRuns();

  HeadDecision onHead(const AttemptId &attempt, ResponseHead head) override;
  void onBody(const AttemptId &attempt, std::string_view bytes) override;
  void onEnd(const AttemptId &attempt, UpstreamEnding ending) override;

private:
  struct Request {
    std::string Id;
    std::string Path;
    std::size_t Entry = 0;
    std::uint32_t EntryStart = 0;
    /// Document version whose own route the request uses; 0 for other requests.
    std::uint64_t Marker = 0;
    /// Time for which its caller reads nothing once the answer has begun; zero
    /// for most callers.
    Duration ReadingPause = Duration::zero();
    /// A part of its prompt crashes servers.
    bool Crashes = false;
    TimePoint SentAt;
    /// Whether there was no fault for CalmTime before it was sent.
    bool SentInCalmPeriod = false;
    int Status = 0;
    std::string Body;
  };
  /// Observations of one incarnation of an entry.
  struct EntryView {
    std::uint32_t Start = 0;
    /// Newest document version that was seen in use, and when it was seen
    /// first.
    std::uint64_t NewestVersion = 0;
    TimePoint NewestSeenAt;
    std::uint32_t ConsecutiveGood = 0;
  };

  void sendOne();
  void sendMarker();
  /// Sends a large prompt whose caller reads its large answer late.
  void sendSlow();
  /// Sends a request with a part of the prompt that crashes servers; no two are
  /// alike.
  void sendCrashing();
  /// Lets the callers read again whose pauses are over.
  void endPauses();
  void send(Request request);
  bool isCalm(TimePoint now, Duration time) const;
  void recordCalm(TimePoint now);
  void checkAnswer(const Request &request);
  void checkMarker(const Request &request);
  void checkDuration(const Request &request);
  void addViolation(const Request &request, const std::string &what);
  void addRunViolation(const std::string &id, const std::string &what);
  /// \returns how often a request for \p path may run.
  static int maxRuns(const std::string &path);

  EventLoop &Loop;
  Deployment &System;
  FaultPlan &Faults;
  Operator &DocumentOperator;
  Random Rng;
  /// For slow readers only, so that the others' requests are the same with and
  /// without them.
  Random SlowRng;
  Report &Results;
  UpstreamPool Pool;
  TimePoint StartedAt;
  std::uint64_t LastId = 0;
  std::map<AttemptId, Request> InFlight;
  /// Callers that don't read now, with the end of their pauses.
  std::map<AttemptId, TimePoint> Paused;
  std::vector<EntryView> Entries;
  /// Paths of all requests by id, and the ids of the requests that were refused
  /// and thus must not have run.
  std::map<std::string, std::string> Paths;
  std::vector<std::string> Refused;
  /// Times without faults so far, from the beginning of the guarantees for calm
  /// periods to the next fault.
  std::vector<std::pair<TimePoint, TimePoint>> CalmPeriods;
  std::unique_ptr<Timer> Sender;
  std::unique_ptr<Timer> MarkerSender;
  std::unique_ptr<Timer> SlowSender;
  std::unique_ptr<Timer> CrashSender;
  std::unique_ptr<Timer> PauseTimer;
};

} // namespace pimentofront::soak

#endif
