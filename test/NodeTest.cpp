#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

class RecordingTransport : public Transport {
public:
  LinkId open(const std::string &address, LinkPurpose) override {
    Opened.push_back(address);
    return ++LastLink;
  }
  void send(LinkId link, const Message &) override { Used.insert(link); }
  void close(LinkId link) override { Closed.push_back(link); }

  LinkId LastLink = 100;
  std::set<LinkId> Used;
  std::vector<std::string> Opened;
  std::vector<LinkId> Closed;
};

class NoClock : public WallClock {
public:
  std::uint64_t milliseconds() const override { return 0; }
};

/// The disk of replica 1 in a group of three.
MemoryLogStore storeOfThree() {
  MemoryLogStore store(1);
  ReplicaGroup group;
  for (ReplicaId id = 1; id <= 3; ++id)
    group.Replicas.push_back({.Id = id, .Address = std::to_string(id)});
  store.Stored.Snapshot = LogSnapshot::make(1, 1, group, "");
  return store;
}

} // namespace

TEST_CASE("when one of two links to a replica ends the other one serves") {
  MemoryLogStore store = storeOfThree();
  RecordingTransport transport;
  const NoClock clock;
  const TimePoint now{100s};
  ReplicaNode node(now, {}, store.Stored, store, transport, clock);
  const Hello hello{.Protocol = ProtocolVersion, .Replica = 2};
  node.onLinkOpen(now, 1, hello);
  node.onLinkOpen(now, 2, hello);
  node.onLinkClosed(now, 2);
  node.tick(now + 5s); // Starts an election.
  CHECK(transport.Used.contains(1));
  CHECK_FALSE(transport.Used.contains(2));
}

TEST_CASE("a process skips the replica that timed out last") {
  RecordingTransport transport;
  TimePoint now{100s};
  LeaderLink link(transport, {"a", "b", "c"}, 0, 1500ms);
  link.link(now);
  // The addresses are reordered, so the next one in turn is again the one that
  // timed out.
  link.setAddresses({"b", "a", "c"});
  now += 1600ms;
  link.tick(now);
  now += 200ms;
  link.link(now);
  CHECK(transport.Opened == std::vector<std::string>{"a", "c"});
}

TEST_CASE(
    "a process subscribes to another replica before a change is overdue") {
  RecordingTransport transport;
  TimePoint now{100s};
  ReplicaFeed feed({.Replicas = {"a", "b"}}, transport);
  feed.tick(now);
  feed.onLinkOpen(now);
  for (int i = 0; i < 100 && transport.Opened.size() < 2; ++i)
    feed.tick(now += 20ms);
  CHECK(now - TimePoint{100s} < 1700ms);
}

// If two of five replicas were down, a process that followed one of them and
// tried the other one next was without a replica for four seconds. A change
// made a second after the failure did not reach it, and it answered by the
// former configuration.
TEST_CASE("replicas that are down are skipped within about two seconds") {
  RecordingTransport transport;
  TimePoint now{100s};
  ReplicaFeed feed({.Replicas = {"a", "b", "c"}}, transport);
  feed.tick(now);
  feed.onLinkOpen(now);
  for (int i = 0; i < 200 && transport.Opened.size() < 3; ++i)
    feed.tick(now += 20ms);
  CHECK(transport.Opened == std::vector<std::string>{"a", "b", "c"});
  CHECK(now - TimePoint{100s} < 2100ms);
}

TEST_CASE("a link that doesn't open gets more time on each attempt") {
  RecordingTransport transport;
  TimePoint now{100s};
  LeaderLink link(transport, {"a"}, 0, 3s);
  for (int i = 0; i < 500; ++i) {
    link.link(now += 10ms);
    link.tick(now);
  }
  // The attempts end after 0.3, 0.6, 1.2 and 2.4 seconds; the next one, which
  // has 3 seconds, is still opening.
  CHECK(transport.Closed.size() == 4);
}

namespace {

class NoDriver : public BackendDriver {
public:
  void generate(const ExecuteRequest &) override {}
  void callService(const ExecuteRequest &) override {}
  void cancel(const AttemptId &) override {}
  void load(const StartLoad &) override {}
};

} // namespace

// After a power failure agents start before the replicas do. The first packet
// of a connection to a replica that is not up yet is repeated only after a
// second.
TEST_CASE("an agent whose first link doesn't open announces itself on the next "
          "at once") {
  RecordingTransport transport;
  NoDriver driver;
  LeastPopular eviction;
  UncoordinatedLoads loads;
  TimePoint now{100s};
  AgentNode node(now,
                 {.Agent = {.Host = HostName("w"), .Incarnation = 2},
                  .Address = "1.0.0.1:9",
                  .Replicas = {"a", "b"}},
                 eviction, loads, driver, transport);
  REQUIRE(transport.Opened.size() == 1);
  for (int i = 0; i < 30; ++i)
    node.tick(now += 20ms);
  REQUIRE(transport.Opened.size() == 2);
  CHECK(transport.Used.contains(transport.LastLink));
}

TEST_CASE("a link is silent if nothing arrives after a request on it") {
  const TimePoint now{100s};
  LinkWatch watch(1s);
  watch.expectReply(now, 1);
  watch.expectReply(now, 2);
  watch.expectReply(now + 900ms, 2);
  watch.recordReceived(1);
  watch.expectReply(now + 900ms, 1);
  CHECK(watch.takeSilent(now + 999ms).empty());
  CHECK(watch.takeSilent(now + 1000ms) == std::vector<LinkId>{2});
  CHECK(watch.takeSilent(now + 1001ms).empty());
  CHECK(watch.takeSilent(now + 1900ms) == std::vector<LinkId>{1});
}

TEST_CASE("a replica replaces a silent link to another replica") {
  MemoryLogStore store = storeOfThree();
  RecordingTransport transport;
  const NoClock clock;
  TimePoint now{100s};
  ReplicaNode node(now, {}, store.Stored, store, transport, clock);
  constexpr LinkId Silent = 1;
  node.onLinkOpen(now, Silent, {.Protocol = ProtocolVersion, .Replica = 2});
  // It keeps requesting votes and gets no reply.
  for (int i = 0; i < 1000 && transport.Closed.empty(); ++i)
    node.tick(now += 10ms);
  REQUIRE(transport.Closed == std::vector<LinkId>{Silent});
  const std::size_t before = transport.Opened.size();
  for (int i = 0; i < 1000 && transport.Opened.size() == before; ++i)
    node.tick(now += 10ms);
  CHECK(transport.Opened.back() == "2");
}
