// Servers of one plain service may differ in speed, or be slowed down for less
// than a second by other work on their hosts. Guards against choosing a slow
// server as often as the others because it has as many free slots, and against
// avoiding it for longer than it is slow.

#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

const ServiceName Plain("plain");
constexpr Duration Usual = 20ms;

/// Three servers as one entry sees them.
struct PacedServers {
  PacedServers() : Servers({.Zone = ZoneName("z")}) {
    Servers.apply(Now, {.Full = true,
                        .Complete = true,
                        .Members = {server("p1", "plain", "1.0.0.1:80"),
                                    server("p2", "plain", "1.0.0.2:80"),
                                    server("p3", "plain", "1.0.0.3:80")}});
    for (const char *name : {"p1", "p2", "p3"})
      answer(Now, name, Usual);
  }
  ServerProcess process(const char *name) {
    return Servers.find(HostName(name))->Record.process();
  }
  void answer(TimePoint now, const char *name, Duration took,
              std::uint32_t slowness = 0, std::uint32_t running = 0) {
    Servers.recordLoad(now, process(name),
                       {.Running = running, .Slots = 4, .Slowness = slowness});
    Servers.recordAnswerTime(now, process(name), took);
  }
  std::string chosen(TimePoint now) {
    const ServerView *it = Servers.choose(now, Plain, {}, Permits);
    return it ? it->Record.Host.str() : "none";
  }
  /// \returns how many of \p n requests sent at once go to \p name.
  int shareOf(TimePoint now, const char *name, int n) {
    int there = 0;
    for (int i = 0; i < n; ++i) {
      const std::string it = chosen(now);
      there += it == name ? 1 : 0;
      Servers.recordSent(process(it.c_str()));
    }
    return there;
  }

  ServerSet Servers;
  SendPermits Permits;
};

} // namespace

TEST_CASE("a server that states to be 2.5 times as slow gets fewer requests "
          "from its next answer on, and gets them back",
          "[server-pace]") {
  PacedServers it;
  const TimePoint slow = Now + 100ms;
  it.answer(slow, "p1", 50ms, 250);
  CHECK(it.chosen(slow) == "p2");
  CHECK(PacedServers(it).shareOf(slow, "p1", 12) <= 2);
  // A later statement counts at once, and an old one no longer.
  PacedServers recovered(it);
  recovered.answer(slow + 600ms, "p1", Usual, 100);
  CHECK(recovered.shareOf(slow + 600ms, "p1", 12) == 4);
  CHECK(it.shareOf(slow + 600ms, "p1", 12) == 4);
}

TEST_CASE("a server that states nothing is judged by the times of its answers",
          "[server-pace]") {
  PacedServers it;
  it.answer(Now + 100ms, "p1", 50ms);
  // One request may take long by itself.
  CHECK(it.chosen(Now + 100ms) == "p1");
  it.answer(Now + 120ms, "p1", 50ms);
  CHECK(it.chosen(Now + 120ms) == "p2");
  CHECK(it.chosen(Now + 720ms) == "p1");
}

TEST_CASE("servers of about equal pace are chosen by their load alone",
          "[server-pace]") {
  PacedServers it;
  for (int i = 1; i <= 20; ++i) {
    const TimePoint at = Now + i * 10ms;
    it.answer(at, "p1", 24ms);
    it.answer(at, "p2", 20ms);
    it.answer(at, "p3", 18ms, 0, /*running=*/1);
  }
  CHECK(it.shareOf(Now + 200ms, "p1", 11) == 4);
}

TEST_CASE("a slow server in the own zone is passed over for one in another "
          "zone if that saves the time that its preference stands for",
          "[server-pace]") {
  const ServerSetOptions options{.Zone = ZoneName("z")};
  const auto viewIn = [&](const char *zone, Duration took) {
    MemberRecord record = server("p", "plain", "1.0.0.1:80");
    record.Zone = ZoneName(zone);
    ServerView view{.Record = record};
    view.Pace.recordAnswer(Now, took, options.Pace);
    return view;
  };
  const auto score = [&](const ServerView &view) {
    return scoreOf(Now, options, view, {.FastestPace = Usual});
  };
  const double other = score(viewIn("y", Usual));
  CHECK(score(viewIn("z", Usual)) < other);
  CHECK(score(viewIn("z", 28ms)) < other);
  CHECK(score(viewIn("z", 50ms)) > other);
}

TEST_CASE("demand that swings to one zone spills into the others before its "
          "requests wait",
          "[server-pace]") {
  ServerSet servers({.Zone = ZoneName("z")});
  MemberRecord away = server("p2", "plain", "1.0.0.2:80");
  away.Zone = ZoneName("y");
  servers.apply(Now, {.Full = true,
                      .Complete = true,
                      .Members = {server("p1", "plain", "1.0.0.1:80"), away}});
  int spilled = 0;
  for (int i = 0; i < 6; ++i) {
    ServerView *it = servers.choose(Now, Plain, {}, {});
    REQUIRE(it);
    spilled += it->Record.Host == HostName("p2") ? 1 : 0;
    CHECK(it->InFlight < it->Record.Slots);
    servers.recordSent(it->Record.process());
  }
  CHECK(spilled >= 2);
}

TEST_CASE("a false statement can't take the only server out of use, and a "
          "restart clears what was believed",
          "[server-pace]") {
  ServerSet servers({.Zone = ZoneName("z")});
  MemberRecord record = server("p1", "plain", "1.0.0.1:80");
  record.Incarnation = 1;
  const auto put = [&] {
    servers.apply(Now, {.Full = true, .Complete = true, .Members = {record}});
    return servers.find(HostName("p1"));
  };
  ServerView *it = put();
  servers.recordLoad(Now, it->Record.process(), {.Slowness = 4000000000U});
  servers.recordAnswerTime(Now, it->Record.process(), 1h);
  CHECK(servers.choose(Now, Plain, {}, {}) == it);
  CHECK(it->Pace.expected(Now, {}) > Duration::zero());
  record.Incarnation = 2;
  it = put();
  CHECK(it->Pace.expected(Now, {}) == Duration::zero());
}
