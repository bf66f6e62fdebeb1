#include "OwnAddress.h"
#include "pimentofront/Http.h"

#include <catch2/catch.hpp>
#include <event2/event.h>

#include <deque>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};
constexpr ConnectionShareOptions Options{};
constexpr std::uint32_t Cap = 96;
const ServiceName Book("book");

MemberRecord server(const char *name, const char *zone, const char *address) {
  return {.Host = HostName(name),
          .Zone = ZoneName(zone),
          .Address = address,
          .Services = {Book},
          .Slots = 6,
          .Registered = true};
}

/// \returns an entry's view of two servers of a service with a connection cap,
/// in a fleet of \p entries entries.
ServerSet serversAmong(std::uint32_t entries) {
  ServerSet set({.Zone = ZoneName("z1")});
  set.useDocument({.Services = {{.Name = Book, .MaxConnections = Cap}}});
  set.apply(Now, {.Full = true,
                  .Complete = true,
                  .Members = {server("near", "z1", "1.0.0.1:80"),
                              server("far", "z2", "1.0.0.2:80")}});
  set.onEntryCount(Now, entries);
  return set;
}

/// \returns how many of 1000 simultaneous requests find a server.
std::uint32_t admitted(ServerSet &set, TimePoint now) {
  constexpr std::uint32_t Many = 1000;
  for (std::uint32_t n = 0; n < Many; ++n) {
    const ServerView *it = set.choose(now, Book, {}, {});
    if (!it)
      return n;
    set.recordSent(it->Record.process());
  }
  return Many;
}

/// Keeps idle connections for long enough even on a heavily loaded machine.
constexpr UpstreamPoolOptions LongIdle{.DefaultKeepAlive = 1min,
                                       .MaxIdleForOnce = 1min};

/// An HTTP server on loopback and a connection pool that sends requests to it.
struct PoolUnderTest : UpstreamHandler, CallerHandler {
  explicit PoolUnderTest(const UpstreamPoolOptions &options = LongIdle)
      : Server(Loop, {.Address = ownAddress()}, *this),
        Pool(Loop, options, *this) {}

  static HostPort ownAddress() {
    constexpr int Net = 78;
    return test::ownAddress(Net);
  }

  void onRequest(CallerKey key, RequestHead, std::string,
                 const ContentHash &) override {
    Asked.push_back(key);
  }
  void onCallerDisconnected(CallerKey) override {}
  HeadDecision onHead(const AttemptId &, ResponseHead) override {
    return HeadDecision::Take;
  }
  void onBody(const AttemptId &, std::string_view) override {}
  void onEnd(const AttemptId &, UpstreamEnding ending) override {
    Endings.push_back(ending);
  }

  void send(std::uint32_t maxOpen, bool once = false) {
    const HostPort to = ownAddress();
    Pool.send({.Attempt = {1, ++Sent},
               .Address = to.Ip + ":" + std::to_string(to.Port),
               .Head = {"GET", "/", {{"Host", "h"}}},
               .Body = std::make_shared<const std::string>(),
               .Once = once,
               .Connections = {.MaxOpen = maxOpen, .MaxIdle = maxOpen}});
  }
  void turnUntil(const std::function<bool()> &done) {
    while (!done())
      event_base_loop(Loop.base(), EVLOOP_ONCE);
  }
  /// Sends \p n requests together and answers them all.
  void exchange(std::size_t n, std::uint32_t maxOpen, bool once = false) {
    for (std::size_t i = 0; i < n; ++i)
      send(maxOpen, once);
    turnUntil([&] { return Asked.size() == n; });
    for (const CallerKey it : std::exchange(Asked, {}))
      Server.reply(it, {.Status = 200, .Headers = {}}, "ok");
    const std::size_t ended = Endings.size() + n;
    turnUntil([&] { return Endings.size() == ended; });
    // Lets the server notice the connections that the pool closed.
    for (int turn = 0; turn < 3; ++turn)
      event_base_loop(Loop.base(), EVLOOP_NONBLOCK);
  }

  EventLoop Loop;
  CallerListener Server;
  UpstreamPool Pool;
  std::deque<CallerKey> Asked;
  std::vector<UpstreamEnding> Endings;
  std::uint64_t Sent = 0;
};

} // namespace

//===----------------------------------------------------------------------===//
// An entry's share of a server's connection cap
//===----------------------------------------------------------------------===//

TEST_CASE("all entries together stay within a server's connection cap") {
  const ConnectionShare share;
  for (const std::uint32_t entries : {1U, 4U, 21U, 36U}) {
    const std::uint32_t openLimit =
        share.limitsFor(Now, Cap, entries, Options).MaxOpen;
    INFO(entries << " entries, " << openLimit << " connections each");
    CHECK(openLimit * entries <= Cap);
    CHECK(openLimit >= 1);
  }
  CHECK(share.limitsFor(Now, 0, 4, Options) == ConnectionLimits());
}

TEST_CASE("entries whose share is below one connection keep none idle") {
  const ConnectionLimits limits =
      ConnectionShare().limitsFor(Now, Cap, 400, Options);
  CHECK(limits.MaxOpen == Options.MinOpen);
  CHECK(limits.MaxIdle == 0);
}

TEST_CASE("a rejected connection reduces the entry's share for a while") {
  ConnectionShare share;
  const std::uint32_t full = share.limitsFor(Now, Cap, 4, Options).MaxOpen;
  share.recordRejection(Now, Options);
  const std::uint32_t cut = share.limitsFor(Now, Cap, 4, Options).MaxOpen;
  CHECK(cut == full / 2);
  // Connections that are rejected together reduce the share only once.
  share.recordRejection(Now + 1ms, Options);
  CHECK(share.limitsFor(Now + 1ms, Cap, 4, Options).MaxOpen == cut);
  CHECK(
      share.limitsFor(Now + Options.RecoveryTime / 2, Cap, 4, Options).MaxOpen >
      cut);
  CHECK(share.limitsFor(Now + Options.RecoveryTime, Cap, 4, Options).MaxOpen ==
        full);
}

TEST_CASE("an entry that is no longer counted keeps its share for a while") {
  EntryCount count(10);
  count.recordCount(Now, 4);
  CHECK(count.value() == 4);
  count.recordCount(Now + 1s, 1);
  CHECK(count.value() == 4);
  count.recordCount(Now + 3s, 4);
  count.recordCount(Now + 5s, 1);
  CHECK(count.value() == 4);
  count.recordCount(Now + 11s, 1);
  CHECK(count.value() == 1);
  count.recordCount(Now + 12s, 9);
  CHECK(count.value() == 9);
}

// Guards against a burst of requests for a plain service that opens more
// connections than the entry's share, since each request holds a connection
// until it is answered. The service has two servers that accept 96 connections
// each.
TEST_CASE("a burst opens no more connections than the entry's shares at all "
          "servers") {
  ServerSet set = serversAmong(4);
  const std::uint32_t openLimit =
      set.connections(Now, *set.find(HostName("near"))).MaxOpen;
  CHECK(admitted(set, Now) == 2 * openLimit);
  SECTION("a server that has answered a request gets another one") {
    set.recordOutcome(Now, {HostName("far")}, ServerOutcome::Answered);
    CHECK(set.choose(Now, Book, {}, {})->Record.Host == HostName("far"));
  }
  SECTION("the shares of entries that have exited go to the others") {
    set.onEntryCount(Now, 2);
    set.onEntryCount(Now + 6s, 2);
    CHECK(admitted(set, Now + 6s) > 0);
  }
}

TEST_CASE("a server that rejects a connection gets fewer connections at once") {
  ServerSet set = serversAmong(4);
  const std::uint32_t openLimit =
      set.connections(Now, *set.find(HostName("near"))).MaxOpen;
  set.recordRejection(Now, {HostName("near")});
  CHECK(admitted(set, Now) == openLimit + openLimit / 2);
}

//===----------------------------------------------------------------------===//
// The pool
//===----------------------------------------------------------------------===//

TEST_CASE("idle connections are closed when the limit is reached or reduced") {
  PoolUnderTest it;
  it.exchange(4, /*maxOpen=*/4);
  CHECK(it.Pool.connectionsOpened() == 4);
  CHECK(it.Server.channels() == 4);
  it.exchange(4, /*maxOpen=*/4);
  CHECK(it.Pool.connectionsOpened() == 4);
  // After the limit has been reduced, excess idle connections are closed.
  it.exchange(2, /*maxOpen=*/2);
  it.turnUntil([&] { return it.Server.channels() == 2; });
  CHECK(it.Pool.connectionsOpened() == 4);
}

TEST_CASE(
    "an entry whose share is below one connection closes it after the answer") {
  PoolUnderTest it;
  for (int i = 0; i < 3; ++i) {
    it.exchange(1, /*maxOpen=*/0);
    it.turnUntil([&] { return it.Server.channels() == 0; });
  }
  CHECK(it.Pool.connectionsOpened() == 3);
}

TEST_CASE(
    "a request that may run only once reuses only a recently used connection") {
  SECTION("a connection used a moment ago is reused") {
    CHECK(UpstreamPoolOptions().MaxIdleForOnce >= 100ms);
    PoolUnderTest it;
    it.exchange(1, 4, /*once=*/true);
    it.exchange(1, 4, /*once=*/true);
    CHECK(it.Pool.connectionsOpened() == 1);
  }
  SECTION("a connection that the server may have closed meanwhile isn't") {
    PoolUnderTest it({.DefaultKeepAlive = 1min, .MaxIdleForOnce = -1us});
    it.exchange(1, 4, /*once=*/true);
    it.exchange(1, /*maxOpen=*/1, /*once=*/true);
    CHECK(it.Pool.connectionsOpened() == 2);
    it.turnUntil([&] { return it.Server.channels() == 1; });
  }
}

TEST_CASE(
    "a new connection that is closed without an answer counts as rejected") {
  PoolUnderTest it({.DefaultKeepAlive = 1min, .RejectedWithin = 1min});
  it.exchange(1, 4);
  SECTION("a new connection") {
    it.send(4);
    it.send(4);
    it.turnUntil([&] { return it.Asked.size() == 2; });
    it.Server.replyAbort(it.Asked.back());
    it.turnUntil([&] { return it.Endings.size() == 2; });
    CHECK(it.Endings.back() == UpstreamEnding::Rejected);
  }
  SECTION("a connection that has answered before") {
    it.send(4);
    it.turnUntil([&] { return it.Asked.size() == 1; });
    it.Server.replyAbort(it.Asked.back());
    it.turnUntil([&] { return it.Endings.size() == 2; });
    CHECK(it.Endings.back() == UpstreamEnding::BrokeOff);
  }
}

TEST_CASE("a probe of a server's address detects that its process has exited") {
  PoolUnderTest it;
  ConnectProbe probe(it.Loop);
  HostPort nobody = PoolUnderTest::ownAddress();
  ++nobody.Port;
  const auto probeAt = [&](const HostPort &at) {
    std::optional<ServerCheckResult> checkResult;
    probe.start(at.Ip + ":" + std::to_string(at.Port),
                [&](ServerCheckResult found) {
                  checkResult = found;
                  it.Loop.stop();
                });
    CHECK_FALSE(checkResult); // The callback is never run inside start().
    it.Loop.run();
    return checkResult;
  };
  CHECK(probeAt(PoolUnderTest::ownAddress()) ==
        ServerCheckResult::StillRunning);
  CHECK(probeAt(nobody) == ServerCheckResult::Exited);
}

// Guards against whole answers that are taken for broken off: one lost packet
// of the handshake made the server look unreachable.
TEST_CASE("a probe whose first connection isn't answered opens another one",
          "[probe-lost-packet]") {
  PoolUnderTest it;
  ConnectProbe probe(it.Loop);
  HostPort full = PoolUnderTest::ownAddress();
  full.Port += 2;
  const sockaddr_in address = toSocketAddress(full);
  const auto *to = reinterpret_cast<const sockaddr *>(&address);
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(::bind(listener, to, sizeof(address)) == 0);
  REQUIRE(::listen(listener, 0) == 0);
  // With a full queue of connections the kernel drops the packets of others.
  const int queued = ::socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(::connect(queued, to, sizeof(address)) == 0);
  std::optional<ServerCheckResult> checkResult;
  probe.start(full.Ip + ":" + std::to_string(full.Port),
              [&](ServerCheckResult found) {
                checkResult = found;
                it.Loop.stop();
              });
  const auto accept = it.Loop.after(std::chrono::milliseconds(20), [&] {
    ::close(::accept(listener, nullptr, nullptr));
  });
  it.Loop.run();
  CHECK(checkResult == ServerCheckResult::StillRunning);
  ::close(queued);
  ::close(listener);
}
