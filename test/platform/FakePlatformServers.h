#ifndef PIMENTOFRONT_TESTKIT_FAKE_PLATFORM_SERVERS_H
#define PIMENTOFRONT_TESTKIT_FAKE_PLATFORM_SERVERS_H

#include "pimentofront/Http.h"

#include <algorithm>
#include <optional>
#include <set>

struct bufferevent;
struct evconnlistener;

namespace pimentofront::testkit {

/// \class FakeServer
/// \brief A backend server of the platform that misbehaves on demand: the last
/// part of a request's path says how it answers.
///
/// Counts how often each request ran, so that a test sees what ran twice.
class FakeServer {
public:
  /// \param runs counts the runs of each request, over all servers.
  FakeServer(EventLoop &loop, const HostPort &listen, std::string instance,
             std::map<std::string, int> &runs);
  ~FakeServer();
  FakeServer(const FakeServer &) = delete;
  FakeServer &operator=(const FakeServer &) = delete;

  /// \returns the events of a whole stream.
  static std::string events();
  const std::string &instance() const { return Instance; }
  /// Names a limit in each answer from now on, in requests a second.
  void nameLimit(double perSecond) { Limit = perSecond; }
  /// \returns the requests that reached it since \p since.
  std::size_t arrivals(TimePoint since) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        Arrivals, [&](TimePoint it) { return it >= since; }));
  }
  /// \returns whether its process runs: a request that ends it has it refuse
  /// connections for a while, after which another process is there.
  bool up() const { return Listener != nullptr; }
  std::uint64_t crashes() const { return Crashes; }
  std::uint64_t orders() const { return Orders; }
  /// \returns when it started, as servers tell it: milliseconds since 1970.
  std::uint64_t startedAt() const { return StartedAt; }

private:
  class Channel;
  static void onAccept(evconnlistener *, int fd, struct sockaddr *, int,
                       void *arg);
  void listen();
  void crash();
  void answer(Channel &channel, const RequestHead &head);
  void answerStream(Channel &channel, const RequestHead &head,
                    const std::string &stamps, bool cut);
  std::string report() const;
  std::string takeOrder(const std::string &body);

  EventLoop &Loop;
  HostPort Address;
  std::string Instance;
  evconnlistener *Listener = nullptr;
  std::vector<std::unique_ptr<Channel>> Channels;
  std::map<std::string, int> &Runs;
  std::set<std::string> Adapters;
  std::optional<double> Limit;
  std::vector<TimePoint> Arrivals;
  std::uint64_t Orders = 0;
  std::uint64_t StartedAt = 0;
  std::uint64_t Crashes = 0;
  std::unique_ptr<Timer> Restart;
};

} // namespace pimentofront::testkit

#endif
