#ifndef PIMENTOFRONT_TESTKIT_FAKE_PLATFORM_SERVERS_H
#define PIMENTOFRONT_TESTKIT_FAKE_PLATFORM_SERVERS_H

#include "pimentofront/Http.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <set>

struct bufferevent;
struct evconnlistener;

namespace pimentofront::testkit {

/// \class FakeServer
/// \brief A fake backend server of the users' platform. The last segment of a
/// request's path selects how it answers or misbehaves.
///
/// Counts how often each request ran, so that a test detects repeated runs.
class FakeServer {
public:
  /// \param runs counts the runs of each request on all servers, by its
  /// attempt id.
  /// \param softwareVersion version of the server's own software, which it
  /// names in each event of a long stream.
  FakeServer(EventLoop &loop, const HostPort &listen, std::string instance,
             std::map<std::string, int> &runs,
             std::string softwareVersion = "v1");
  ~FakeServer();
  FakeServer(const FakeServer &) = delete;
  FakeServer &operator=(const FakeServer &) = delete;

  /// \returns all events of a complete stream.
  static std::string events();
  /// \returns the same for a stream that is larger than the kernel's buffers.
  static const std::string &largeEvents();
  const std::string &instance() const { return Instance; }
  const std::string &softwareVersion() const { return SoftwareVersion; }
  /// \returns the path's last segment for a stream of \p events events at
  /// intervals. The data of each names the software version and the id of the
  /// server that wrote it. Each second such stream of a server has no chunks
  /// and ends with its connection.
  static std::string longStream(std::uint64_t events) {
    return "stream-long-" + std::to_string(events);
  }
  /// Reports a limit, in requests per second, in each answer from now on.
  void reportLimit(double perSecond) { Limit = perSecond; }
  /// \returns the number of requests that arrived at or after \p since.
  std::size_t arrivals(TimePoint since) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        Arrivals, [&](TimePoint it) { return it >= since; }));
  }
  /// \returns whether the simulated process runs. After a request crashed it,
  /// the server refuses connections for 300 ms and then acts as a new process.
  bool isUp() const { return Listener != nullptr; }
  /// Calls \p action whenever the simulated process begins to run or ends.
  void onUpChanged(std::function<void(bool up)> action) {
    UpChanged = std::move(action);
  }
  /// Ends the simulated process, possibly in the middle of an event.
  void exit();
  /// Ends the simulated process and starts another one at the same address
  /// after a short delay.
  void restart(std::string instance, std::string softwareVersion);
  std::uint64_t crashes() const { return Crashes; }
  /// \returns when it last asked for a backoff.
  std::optional<TimePoint> restAt() const { return RestAt; }
  /// \returns when requests that crash the server arrived.
  const std::vector<TimePoint> &crashingArrivals() const {
    return CrashingArrivals;
  }
  std::uint64_t orders() const { return Orders; }
  /// \returns when it started, in milliseconds since 1970 as servers report it.
  std::uint64_t startedAt() const { return StartedAt; }

private:
  class Channel;
  static void onAccept(evconnlistener *, int fd, struct sockaddr *, int,
                       void *arg);
  void listen();
  void crash();
  void startLater();
  void answer(Channel &channel, const RequestHead &head);
  void answerStream(Channel &channel, const RequestHead &head,
                    const std::string &stampedHeaders, bool cut, bool large);
  std::string report() const;
  std::string handleOrder(const std::string &body);

  EventLoop &Loop;
  HostPort Address;
  std::string Instance;
  std::string SoftwareVersion;
  evconnlistener *Listener = nullptr;
  std::vector<std::unique_ptr<Channel>> Channels;
  std::map<std::string, int> &Runs;
  std::set<std::string> Adapters;
  std::optional<double> Limit;
  std::vector<TimePoint> Arrivals;
  std::vector<TimePoint> CrashingArrivals;
  std::optional<TimePoint> RestAt;
  std::uint64_t Orders = 0;
  std::uint64_t StartedAt = 0;
  std::uint64_t Crashes = 0;
  std::uint64_t LongStreams = 0;
  std::unique_ptr<Timer> Restart;
  std::function<void(bool up)> UpChanged;
};

} // namespace pimentofront::testkit

#endif
