#ifndef PIMENTOFRONT_TEST_SMALL_SERVICE_H
#define PIMENTOFRONT_TEST_SMALL_SERVICE_H

#include "ForwardUnderTest.h"

#include <deque>
#include <functional>
#include <map>
#include <random>

namespace pimentofront::testing {

/// Options of SmallService.
struct SmallServiceOptions {
  std::uint64_t Seed = 1;
  std::size_t Entries = 21;
  std::size_t Servers = 3;
  std::uint32_t Slots = 6;
  std::size_t QueueLength = 24;
  Duration Work = 30ms;
  Duration Target = 150ms;
  Duration Timeout = 1s;
  /// Times that a caller on a first route, or on the added one, comes back
  /// after a refusal.
  int Returns = 1;
  int AddedReturns = 0;
  /// Client accounts and their shares of the requests, or none.
  std::map<std::string, double> Accounts;
  ForwardOptions Forward;
};

/// How the requests of one group of callers ended.
struct CallerCounts {
  int Asked = 0;
  int InTime = 0;
  int Late = 0;
  int Refused = 0;
  int Failed = 0;

  int served() const { return InTime + Late; }
  double servedShare() const {
    return static_cast<double>(served()) / std::max(Asked, 1);
  }
  std::string text() const;
};

/// A plain service with few slots behind many entries, in virtual time. Entries
/// are ForwardControllers and share nothing but the servers. Their numbers of
/// callers differ. The routes are "once" (one server allowed), "safe" (two),
/// and "added", which a later document adds and which has few callers, the same
/// number at each entry. A request that returns goes to another entry.
class SmallService {
public:
  explicit SmallService(const SmallServiceOptions &options);

  TimePoint now() const { return Time; }
  /// Lets callers send \p perSecond requests on the first routes and
  /// \p addedPerSecond on the added one for this time.
  void run(Duration time, double perSecond, double addedPerSecond = 0);
  /// Waits until all requests have ended.
  void drain() { run(3s, 0); }
  /// The server says that it leaves, ends its queue and is gone.
  void removeServer(std::size_t i);
  /// Registers a further server.
  void addServer();
  /// Ends the process of entry \p i and starts another one; its callers' open
  /// requests count as failed.
  void restartEntry(std::size_t i);
  /// Forgets the counts.
  void resetCounts();

  /// Requests by route, by entry of the first attempt, and by account.
  CallerCounts onRoute(const std::string &name) const {
    return of(Routes, name);
  }
  CallerCounts entry(std::size_t i) const { return of(ByEntry, i); }
  CallerCounts account(const std::string &name) const {
    return of(ByAccount, name);
  }
  /// Counts of "once" and "safe" together.
  CallerCounts first() const;
  int arrivals() const { return Arrivals; }
  int declines() const { return Declines; }
  /// \returns the number of refusals that named no time to return.
  int refusalsWithoutReturn() const { return RefusalsWithoutReturn; }
  /// Answers that the servers in use complete in this time if no slot idles.
  double capacity(Duration time) const;

private:
  struct Call {
    std::string Route;
    std::string Account;
    std::size_t FirstEntry = 0;
    TimePoint SentAt;
    int ReturnsLeft = 0;
  };
  struct Job {
    std::size_t Entry = 0;
    std::uint64_t Generation = 0;
    AttemptId Attempt;
    std::string Id;
    bool Cancelled = false;
  };
  struct Server {
    MemberRecord Record;
    std::deque<std::shared_ptr<Job>> Queue;
    std::uint32_t Running = 0;
  };
  struct Entry {
    std::unique_ptr<ForwardController> Controller;
    std::uint64_t Generation = 0;
    double Weight = 1;
    std::map<std::uint64_t, Call> Calls;
    std::map<AttemptId, std::shared_ptr<Job>> Jobs;
  };

  template <class Key>
  static CallerCounts of(const std::map<Key, CallerCounts> &counts,
                         const Key &key) {
    const auto it = counts.find(key);
    return it == counts.end() ? CallerCounts() : it->second;
  }
  void at(TimePoint time, std::function<void()> action) {
    Events.emplace(time, std::move(action));
  }
  std::shared_ptr<const RoutingTable> table() const;
  void start(std::size_t i);
  std::size_t pickEntry(bool byWeight);
  std::string pickAccount();
  void arrive(const std::string &route, bool byWeight);
  void call(std::size_t i, Call call);
  void onCommands(std::size_t i);
  void onSend(std::size_t i, const SendUpstream &send);
  void reachServer(const HostName &name, const std::shared_ptr<Job> &job);
  void startNext(Server &server);
  void answer(const Server &server, const Job &job, int status,
              HttpHeaders headers);
  void onReply(std::size_t i, const ReplyComplete &reply);
  void count(const Call &call, int CallerCounts::*outcome);
  Duration workTime();
  double uniform();
  void announce();

  SmallServiceOptions Options;
  std::mt19937_64 Rng;
  TimePoint Time = Now;
  FakeConfiguration Configuration;
  TestHeaderCodec Headers;
  LeastLoaded Routing;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<Entry> Entries;
  std::map<HostName, Server> Servers;
  std::uint64_t LastKey = 0;
  std::uint64_t LastServer = 0;
  std::map<std::string, CallerCounts> Routes;
  std::map<std::string, CallerCounts> ByAccount;
  std::map<std::size_t, CallerCounts> ByEntry;
  int Arrivals = 0;
  int Declines = 0;
  int RefusalsWithoutReturn = 0;
};

} // namespace pimentofront::testing

#endif
