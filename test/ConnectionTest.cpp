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

/// Two servers of one service with a cap, as an entry among \p entries knows
/// them.
ServerSet serversAmong(std::uint32_t entries) {
  ServerSet set({.Zone = ZoneName("z1")});
  set.useDocument({.Services = {{.Name = Book, .MaxConnections = Cap}}});
  set.apply(Now, {.Full = true,
                  .Complete = true,
                  .Members = {server("near", "z1", "1.0.0.1:80"),
                              server("far", "z2", "1.0.0.2:80")}});
  set.onEntries(Now, entries);
  return set;
}

/// \returns how many requests find a server, of a thousand that come at once.
std::uint32_t admitted(ServerSet &set, TimePoint now) {
  constexpr std::uint32_t Many = 1000;
  for (std::uint32_t n = 0; n < Many; ++n) {
    const ServerView *it = set.choose(now, Book, {}, {});
    if (!it)
      return n;
    set.noteSent(it->Record.process());
  }
  return Many;
}

/// Keeps connections for as long as a busy machine may take.
constexpr UpstreamPoolOptions Lasting{.DefaultKeep = 1min, .OnceIdle = 1min};

/// A server on loopback that answers what it is asked, and a pool before it.
struct PoolUnderTest : UpstreamHandler, CallerHandler {
  explicit PoolUnderTest(const UpstreamPoolOptions &options = Lasting)
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
  void onCallerGone(CallerKey) override {}
  HeadVerdict onHead(const AttemptId &, ResponseHead) override {
    return HeadVerdict::Take;
  }
  void onBody(const AttemptId &, std::string_view) override {}
  void onEnd(const AttemptId &, UpstreamEnding ending) override {
    Endings.push_back(ending);
  }

  void send(std::uint32_t most, bool once = false) {
    const HostPort to = ownAddress();
    Pool.send({.Attempt = {1, ++Sent},
               .Address = to.Ip + ":" + std::to_string(to.Port),
               .Head = {"GET", "/", {{"Host", "h"}}},
               .Body = std::make_shared<const std::string>(),
               .Once = once,
               .Connections = {.Open = most, .Kept = most}});
  }
  void turnUntil(const std::function<bool()> &done) {
    while (!done())
      event_base_loop(Loop.base(), EVLOOP_ONCE);
  }
  /// Sends \p n requests together and answers them all.
  void exchange(std::size_t n, std::uint32_t most, bool once = false) {
    for (std::size_t i = 0; i < n; ++i)
      send(most, once);
    turnUntil([&] { return Asked.size() == n; });
    for (const CallerKey it : std::exchange(Asked, {}))
      Server.reply(it, {.Status = 200, .Headers = {}}, "ok");
    const std::size_t ended = Endings.size() + n;
    turnUntil([&] { return Endings.size() == ended; });
    // The server learns of connections that were given up.
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
// The part of a server's cap that an entry uses
//===----------------------------------------------------------------------===//

TEST_CASE("all entries together stay below a server's cap") {
  const ConnectionShare share;
  for (const std::uint32_t entries : {1U, 4U, 21U, 36U}) {
    const std::uint32_t part = share.part(Now, Cap, entries, Options).Open;
    INFO(entries << " entries, " << part << " connections each");
    CHECK(part * entries <= Cap);
    CHECK(part >= 1);
  }
  CHECK(share.part(Now, 0, 4, Options) == ConnectionPart());
}

TEST_CASE("entries with less than one connection each keep none") {
  const ConnectionPart part = ConnectionShare().part(Now, Cap, 400, Options);
  CHECK(part.Open == Options.Least);
  CHECK(part.Kept == 0);
}

TEST_CASE("a connection that was turned away cuts the part for a while") {
  ConnectionShare share;
  const std::uint32_t whole = share.part(Now, Cap, 4, Options).Open;
  share.noteTurnedAway(Now, Options);
  const std::uint32_t cut = share.part(Now, Cap, 4, Options).Open;
  CHECK(cut == whole / 2);
  // Those that were turned away together are one word.
  share.noteTurnedAway(Now + 1ms, Options);
  CHECK(share.part(Now + 1ms, Cap, 4, Options).Open == cut);
  CHECK(share.part(Now + Options.Recovery / 2, Cap, 4, Options).Open > cut);
  CHECK(share.part(Now + Options.Recovery, Cap, 4, Options).Open == whole);
}

TEST_CASE("an entry that seems to have gone keeps its part for a while") {
  EntryCount count(10);
  count.note(Now, 4);
  CHECK(count.value() == 4);
  count.note(Now + 1s, 1);
  CHECK(count.value() == 4);
  count.note(Now + 3s, 4);
  count.note(Now + 5s, 1);
  CHECK(count.value() == 4);
  count.note(Now + 11s, 1);
  CHECK(count.value() == 1);
  count.note(Now + 12s, 9);
  CHECK(count.value() == 9);
}

// A burst of requests for a plain service: each holds a connection until it is
// answered, so what comes at once mustn't open more than the entry's part. The
// figures are a service of two servers that accept 96 connections each.
TEST_CASE("a burst uses the parts at all servers and no more") {
  ServerSet set = serversAmong(4);
  const std::uint32_t part =
      set.connections(Now, *set.find(HostName("near"))).Open;
  CHECK(admitted(set, Now) == 2 * part);
  SECTION("a server that has answered takes another one") {
    set.noteEnded(Now, {HostName("far")}, ServerOutcome::Answered);
    CHECK(set.choose(Now, Book, {}, {})->Record.Host == HostName("far"));
  }
  SECTION("entries that have ended leave their parts to the others") {
    set.onEntries(Now, 2);
    set.onEntries(Now + 6s, 2);
    CHECK(admitted(set, Now + 6s) > 0);
  }
}

TEST_CASE("a server that turns connections away gets fewer at once") {
  ServerSet set = serversAmong(4);
  const std::uint32_t part =
      set.connections(Now, *set.find(HostName("near"))).Open;
  set.noteTurnedAway(Now, {HostName("near")});
  CHECK(admitted(set, Now) == part + part / 2);
}

//===----------------------------------------------------------------------===//
// The pool
//===----------------------------------------------------------------------===//

TEST_CASE("connections without a request are given up before one too many") {
  PoolUnderTest it;
  it.exchange(4, /*most=*/4);
  CHECK(it.Pool.connectionsOpened() == 4);
  CHECK(it.Server.channels() == 4);
  it.exchange(4, /*most=*/4);
  CHECK(it.Pool.connectionsOpened() == 4);
  // The share has shrunk: what isn't used any more is closed.
  it.exchange(2, /*most=*/2);
  it.turnUntil([&] { return it.Server.channels() == 2; });
  CHECK(it.Pool.connectionsOpened() == 4);
}

TEST_CASE("an entry whose part is less than one connection keeps none") {
  PoolUnderTest it;
  for (int i = 0; i < 3; ++i) {
    it.exchange(1, /*most=*/0);
    it.turnUntil([&] { return it.Server.channels() == 0; });
  }
  CHECK(it.Pool.connectionsOpened() == 3);
}

TEST_CASE("a request that runs once takes a connection that answered lately") {
  SECTION("a moment ago") {
    CHECK(UpstreamPoolOptions().OnceIdle >= 100ms);
    PoolUnderTest it;
    it.exchange(1, 4, /*once=*/true);
    it.exchange(1, 4, /*once=*/true);
    CHECK(it.Pool.connectionsOpened() == 1);
  }
  SECTION("not one that may have ended unseen") {
    PoolUnderTest it({.DefaultKeep = 1min, .OnceIdle = -1us});
    it.exchange(1, 4, /*once=*/true);
    it.exchange(1, /*most=*/1, /*once=*/true);
    CHECK(it.Pool.connectionsOpened() == 2);
    it.turnUntil([&] { return it.Server.channels() == 1; });
  }
}

TEST_CASE("a new connection that ends without an answer was turned away") {
  PoolUnderTest it({.DefaultKeep = 1min, .TurnedAwayWithin = 1min});
  it.exchange(1, 4);
  SECTION("a new one") {
    it.send(4);
    it.send(4);
    it.turnUntil([&] { return it.Asked.size() == 2; });
    it.Server.replyAbort(it.Asked.back());
    it.turnUntil([&] { return it.Endings.size() == 2; });
    CHECK(it.Endings.back() == UpstreamEnding::TurnedAway);
  }
  SECTION("one that has answered before was not") {
    it.send(4);
    it.turnUntil([&] { return it.Asked.size() == 1; });
    it.Server.replyAbort(it.Asked.back());
    it.turnUntil([&] { return it.Endings.size() == 2; });
    CHECK(it.Endings.back() == UpstreamEnding::BrokeOff);
  }
}

TEST_CASE("a look at a server's address tells a process that has ended") {
  PoolUnderTest it;
  ConnectProbe probe(it.Loop);
  HostPort nobody = PoolUnderTest::ownAddress();
  ++nobody.Port;
  const auto look = [&](const HostPort &at) {
    std::optional<ServerLife> life;
    probe.start(at.Ip + ":" + std::to_string(at.Port), [&](ServerLife found) {
      life = found;
      it.Loop.stop();
    });
    CHECK_FALSE(life); // Never from within the call.
    it.Loop.run();
    return life;
  };
  CHECK(look(PoolUnderTest::ownAddress()) == ServerLife::Lives);
  CHECK(look(nobody) == ServerLife::Ended);
}
