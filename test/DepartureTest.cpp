// Guards against an acknowledged departure of a backend server that is lost
// with the leader. A server that says goodbye announces itself no more. Its
// leader answered from memory, and the next one knew nothing of it: entries
// kept the server for the 4 s that the new list took to be complete, and sent
// requests that were lost when the server exited.

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

/// Time after the acknowledgement from which no request may reach the server.
constexpr Duration DrainBound = 2s;

MemberRecord server(const char *name, std::uint64_t start) {
  return {.Host = HostName(name),
          .Incarnation = start,
          .Address = "1.0.0.1:80",
          .Services = {ServiceName("s")},
          .Registered = true};
}

MemberRecord leaving(const char *name, std::uint64_t start) {
  MemberRecord record = server(name, start);
  record.Leaving = true;
  return record;
}

MemberRecord goodbye(const char *name, std::uint64_t start) {
  return {.Host = HostName(name),
          .Incarnation = start,
          .Gone = true,
          .Registered = true};
}

/// Servers with start times, one of which leaves.
class LeavingFleet {
public:
  LeavingFleet() : Fleet({.Servers = 4, .Software = "v1"}) {
    Fleet.runFor(6s);
    REQUIRE(entriesThatKnowIt() == Entries);
  }
  /// The server says goodbye. \p onAnswer is called in the moment of the
  /// acknowledgement.
  void leave(const std::function<void()> &onAnswer) {
    SimulatedProcess *leader = Fleet.simulation().leader();
    REQUIRE(leader);
    Fleet.deregisterServer(0, [&](const auto &outcome) {
      Acknowledged = outcome && outcome->Result == CommandResult::Accepted;
      // The process can't end inside its own call.
      Fleet.simulation().after(Duration::zero(), onAnswer);
    });
    Fleet.runFor(100ms);
    REQUIRE(Acknowledged);
  }
  void killLeader(Duration downtime) {
    Fleet.simulation().killFor(*Fleet.simulation().leader(), downtime);
  }
  std::size_t entriesThatKnowIt() {
    std::size_t n = 0;
    for (std::uint32_t i = 0; i < Entries; ++i)
      n += Fleet.entry(i).Alive && knowsIt(i) ? 1U : 0U;
    return n;
  }
  /// Runs for \p time. \returns the maximum of entriesThatKnowIt() meanwhile.
  std::size_t mostThatKnowItWithin(Duration time) {
    std::size_t most = 0;
    for (const TimePoint end = Fleet.now() + time; Fleet.now() < end;) {
      Fleet.runFor(20ms);
      most = std::max(most, entriesThatKnowIt());
    }
    return most;
  }

  static constexpr std::uint32_t Entries = 4;
  ForwardFleet Fleet;

private:
  bool knowsIt(std::uint32_t entry) {
    return Fleet.entry(entry)
        .Forward->controller()
        .board()
        .Servers.servers()
        .contains(Fleet.serverName(0));
  }
  bool Acknowledged = false;
};

} // namespace

// Guards against requests to a server whose goodbye was acknowledged by a
// leader that ended before it told anybody.
TEST_CASE("an acknowledged goodbye outlives the leader that gave it",
          "[departures]") {
  LeavingFleet it;
  it.leave([&] { it.killLeader(100ms); });
  it.Fleet.runFor(DrainBound - 100ms);
  CHECK(it.mostThatKnowItWithin(8s) == 0);
  SECTION("a late announcement of the process changes nothing") {
    it.Fleet.announceServer(0);
    CHECK(it.mostThatKnowItWithin(2s) == 0);
  }
  SECTION("a process that starts under the name is served") {
    it.Fleet.replaceServer(0, "v1", /*keepsName=*/true);
    it.Fleet.runFor(8s);
    CHECK(it.entriesThatKnowIt() == LeavingFleet::Entries);
  }
}

TEST_CASE("an acknowledged goodbye outlives the restart of all replicas",
          "[departures]") {
  LeavingFleet it;
  it.leave([&] {
    for (std::uint32_t i = 0; i < 3; ++i)
      it.Fleet.simulation().killFor(it.Fleet.replica(i), 500ms);
  });
  it.Fleet.runFor(DrainBound + 500ms - 100ms);
  CHECK(it.mostThatKnowItWithin(3s) == 0);
  it.Fleet.announceServer(0);
  CHECK(it.mostThatKnowItWithin(5s) == 0);
}

// Guards against a goodbye that is acknowledged by a new leader, which hasn't
// heard of the server, and that entries aren't told of.
TEST_CASE("a new leader tells entries of a goodbye of a server that it doesn't "
          "know",
          "[departures]") {
  LeavingFleet it;
  it.killLeader(20s);
  while (!it.Fleet.simulation().leader())
    it.Fleet.runFor(5ms);
  it.leave([] {});
  it.Fleet.runFor(DrainBound - 100ms);
  CHECK(it.mostThatKnowItWithin(8s) == 0);
}

//===----------------------------------------------------------------------===//
// The table of a new leader
//===----------------------------------------------------------------------===//

namespace {

/// The table of a leader that took over departures at the start of its term.
MemberTable tableAfter(TimePoint now,
                       const std::vector<DepartureRecord> &departures) {
  MemberTable table({.Lease = 6s});
  table.beginTerm(now, 2);
  for (const DepartureRecord &it : departures)
    table.restoreDeparture(now, it);
  return table;
}

constexpr TimePoint Start{100s};

DepartureRecord departure(std::uint64_t start, bool gone,
                          std::uint64_t sequence = 0) {
  return {.Server = {HostName("s"), start},
          .Gone = gone,
          .NamesProcess = start != 0,
          .Sequence = sequence};
}

} // namespace

TEST_CASE("a new leader rejects announcements of a process that has left",
          "[departures]") {
  MemberTable table = tableAfter(Start, {departure(1000, true)});
  CHECK_FALSE(table.announce(Start + 1s, server("s", 1000), 7));
  CHECK_FALSE(table.announce(Start + 2s, leaving("s", 1000), 8));
  CHECK(table.members().empty());
  CHECK(table.announce(Start + 3s, server("s", 2000), 1));
  CHECK(table.members().size() == 1);
  CHECK_FALSE(table.announce(Start + 4s, server("s", 1000), 9));
}

// Guards against a server that is leaving and gets requests again, since a new
// leader received one of its earlier announcements.
TEST_CASE("a new leader rejects announcements from before a server was leaving",
          "[departures]") {
  MemberTable table = tableAfter(Start, {departure(1000, false, 9)});
  CHECK_FALSE(table.announce(Start + 1s, server("s", 1000), 8));
  CHECK(table.announce(Start + 1s, leaving("s", 1000), 10));
  CHECK(table.members().at(HostName("s")).Leaving);
  CHECK_FALSE(table.announce(Start + 2s, server("s", 1000), 8));
  SECTION("it takes requests again") {
    CHECK(table.announce(Start + 2s, server("s", 1000), 11));
    CHECK_FALSE(table.remembersDeparture({HostName("s"), 1000}));
  }
}

TEST_CASE("a departure that is restored after an announcement takes effect",
          "[departures]") {
  MemberTable table({.Lease = 6s});
  table.beginTerm(Start, 2);
  table.announce(Start, server("s", 1000), 8);
  SECTION("of a process that is leaving") {
    table.restoreDeparture(Start, departure(1000, false, 9));
    CHECK(table.members().at(HostName("s")).Leaving);
  }
  SECTION("of a process that has left") {
    table.restoreDeparture(Start, departure(1000, true));
    CHECK(table.members().empty());
  }
  SECTION("of a former process") {
    table.restoreDeparture(Start, departure(500, true));
    CHECK_FALSE(table.members().at(HostName("s")).Leaving);
  }
}

// Guards against a leader that led before and remembers the departure, so that
// it doesn't tell entries which have missed it.
TEST_CASE("a leader names a departure in each of its terms", "[departures]") {
  MemberTable table({.Lease = 6s});
  table.beginTerm(Start, 1);
  table.announce(Start, server("s", 1000), 8);
  table.announce(Start + 1s, goodbye("s", 1000));
  table.beginTerm(Start + 2s, 3);
  table.restoreDeparture(Start + 2s, departure(1000, true));
  const auto list = table.updateSince({.Term = 2, .Sequence = 9});
  REQUIRE(list);
  REQUIRE(list->Members.size() == 1);
  CHECK(list->Members.front().Gone);
  // The entry of the log is applied a second time.
  table.restoreDeparture(Start + 3s, departure(1000, true));
  CHECK(table.version() == list->To);
}

// Guards against a goodbye without a start time that a new leader, which hasn't
// heard of the process yet, takes for nobody's.
TEST_CASE("a goodbye that names only the server is resolved by the former list",
          "[departures]") {
  MemberTable table({.Lease = 6s});
  table.beginTerm(Start, 1);
  table.announce(Start, server("s", 1000), 8);
  table.beginTerm(Start + 1s, 2);
  CHECK(table.departureOf(goodbye("s", 0), 0).Server.StartedAt == 1000);
  table.announce(Start + 1s, goodbye("s", 0));
  CHECK_FALSE(table.announce(Start + 2s, server("s", 1000), 9));
}

TEST_CASE("the departure of a former process doesn't replace a later one",
          "[departures]") {
  MemberTable table({.Lease = 6s});
  table.beginTerm(Start, 1);
  table.announce(Start, server("s", 2000), 8);
  table.announce(Start + 1s, goodbye("s", 2000));
  table.announce(Start + 1s, goodbye("s", 1000));
  CHECK_FALSE(table.announce(Start + 2s, server("s", 2000), 9));
}

TEST_CASE("a list names departed servers until it is complete",
          "[departures]") {
  MemberTable leader = tableAfter(Start, {departure(1000, true)});
  MemberTable follower;
  follower.apply(*leader.updateSince(follower.version()));
  const auto relayed = follower.updateSince({.Term = 1, .Sequence = 50});
  REQUIRE(relayed);
  REQUIRE(relayed->Members.size() == 1);
  CHECK(relayed->Members.front().Gone);
  leader.expire(Start + 7s);
  REQUIRE(leader.complete());
  CHECK(leader.updateSince({.Term = 1, .Sequence = 50})->Members.empty());
  follower.apply(*leader.updateSince(follower.version()));
  CHECK(follower.updateSince({.Term = 1, .Sequence = 50})->Members.empty());
}

//===----------------------------------------------------------------------===//
// The replicated ledger
//===----------------------------------------------------------------------===//

TEST_CASE("departures survive a snapshot and are forgotten if unchanged",
          "[departures]") {
  StateMachine state;
  CHECK(state.encode() == StateMachine().encode());
  state.apply(0, {.Body = RecordDeparture{departure(1000, false, 9)}});
  const DepartureRecord old = state.departures().records().begin()->second;
  state.apply(0, {.Body = RecordDeparture{departure(1000, true)}});
  StateMachine copy;
  REQUIRE(copy.decode(state.encode()));
  CHECK(copy.departures().records() == state.departures().records());
  CHECK(copy.departures().version() == state.departures().version());
  const DepartureRecord now = copy.departures().records().begin()->second;
  CHECK(now.Gone);
  CHECK(now.Sequence == 9);
  copy.apply(0, {.Body = ForgetDepartures{{old}}});
  CHECK(copy.departures().records().size() == 1);
  copy.apply(0, {.Body = ForgetDepartures{{now}}});
  CHECK(copy.departures().records().empty());
  CHECK(copy.departures().version() > 0);
}

TEST_CASE("the ledger of departures is bounded and drops the oldest",
          "[departures]") {
  DepartureLedger ledger;
  for (std::uint64_t i = 1; i <= DepartureLedger::MaxRecords + 1; ++i)
    ledger.record({departure(i, true)});
  CHECK(ledger.records().size() == DepartureLedger::MaxRecords);
  CHECK_FALSE(ledger.records().contains({HostName("s"), 1}));
}

//===----------------------------------------------------------------------===//
// Entries
//===----------------------------------------------------------------------===//

// Guards against a server that restarted and loses its requests, since a new
// leader lists the departure of its former process.
TEST_CASE("the departure of a former process doesn't remove its successor",
          "[departures]") {
  ServerSet servers({});
  servers.apply(Start, {.Full = true, .Members = {server("s", 2000)}});
  servers.apply(Start, {.Full = true, .Members = {goodbye("s", 1000)}});
  CHECK(servers.servers().size() == 1);
  servers.apply(Start, {.Full = true, .Members = {goodbye("s", 2000)}});
  CHECK(servers.servers().empty());
}
