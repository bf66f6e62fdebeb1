#ifndef PIMENTOFRONT_SOAK_CALLERS_H
#define PIMENTOFRONT_SOAK_CALLERS_H

#include "Operator.h"

namespace pimentofront::soak {

/// \class Callers
/// \brief Sends requests through all entries, on connections that are kept for
/// as long as the entry keeps them, and checks each answer: whole, its own, of
/// a request that ran as often as it may, in time.
class Callers : public UpstreamHandler {
public:
  Callers(EventLoop &loop, Deployment &deployment, FaultPlan &faults,
          Operator &changes, std::uint64_t seed, Report &report);

  /// Sends no more requests; those under way go on.
  void end() {
    Sender.reset();
    MarkerSender.reset();
  }
  /// \returns whether the last requests through each entry were all answered.
  bool served() const;
  /// \returns what served() is decided by, for the report.
  std::string state() const;
  /// Looks at what ran, once nothing is under way any more.
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
    /// Version whose own route it asks for; 0 for a usual request.
    std::uint64_t Marker = 0;
    TimePoint SentAt;
    /// Nothing was disturbed for some time when it was sent.
    bool SentCalm = false;
    int Status = 0;
    std::string Body;
  };
  /// What has been seen of one start of an entry.
  struct EntryView {
    std::uint32_t Start = 0;
    /// Newest document whose effect was seen, and when.
    std::uint64_t Newest = 0;
    TimePoint SeenAt;
    std::uint32_t GoodInARow = 0;
  };

  void sendOne();
  void sendMarker();
  void send(Request request);
  bool isCalm(TimePoint now, Duration time) const;
  void judge(const Request &request);
  void judgeMarker(const Request &request);
  void judgeTime(const Request &request);
  void broke(const Request &request, const std::string &what);
  void brokeRun(const std::string &id, const std::string &what);
  /// \returns how often a request for \p path may run.
  static int mostRunsOf(const std::string &path);

  EventLoop &Loop;
  Deployment &World;
  FaultPlan &Faults;
  Operator &Changes;
  Random Numbers;
  Report &Seen;
  UpstreamPool Pool;
  TimePoint BegunAt;
  std::uint64_t LastId = 0;
  std::map<AttemptId, Request> UnderWay;
  std::vector<EntryView> Entries;
  /// Paths of all requests, and those that were promised not to have run.
  std::map<std::string, std::string> Paths;
  std::vector<std::string> Refused;
  std::unique_ptr<Timer> Sender;
  std::unique_ptr<Timer> MarkerSender;
};

} // namespace pimentofront::soak

#endif
