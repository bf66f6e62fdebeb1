// Guards against processes that believe they follow the replicas and don't. A
// replica had no node for half a second after a failed write, accepted links
// and dropped what arrived on them. An entry that subscribed then was answered
// later like any other, but was never sent a change: it kept its routing
// document and its backend servers until it was restarted, and stayed ready.

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

/// Time within which a change is in force at every entry that reaches a
/// replica.
constexpr Duration FollowBound = 2s;

/// A fleet whose configuration is changed by evacuating a zone that has no
/// servers.
class FollowedFleet {
public:
  explicit FollowedFleet(const ForwardFleetOptions &options) : Fleet(options) {
    Fleet.runFor(5s);
  }

  SimulatedProcess &leader() {
    SimulatedProcess *it = Fleet.simulation().leader();
    REQUIRE(it);
    return *it;
  }
  /// \returns the revision that the change has.
  Revision change() {
    Evacuated = !Evacuated;
    REQUIRE(leader().Replica->propose(
        Fleet.now(), Command{.Body = EvacuateZone{ZoneName("far"), Evacuated}},
        [](const auto &) {}));
    Fleet.runFor(50ms);
    return leader().Replica->state().configuration().revision();
  }
  /// \returns the number of entries that have revision \p at.
  std::size_t entriesAt(Revision at) {
    std::size_t n = 0;
    for (std::uint32_t i = 0; i < Entries; ++i)
      n += Fleet.entry(i).Forward->configuration().revision() >= at ? 1U : 0U;
    return n;
  }
  std::size_t readyEntries() {
    std::size_t n = 0;
    for (std::uint32_t i = 0; i < Entries; ++i)
      n += Fleet.entry(i).Alive && Fleet.entry(i).Forward->ready(Fleet.now());
    return n;
  }
  std::size_t serversKnownTo(std::uint32_t entry) {
    return Fleet.entry(entry)
        .Forward->controller()
        .board()
        .Servers.servers()
        .size();
  }
  /// Runs for \p time. \returns the minimum of readyEntries() meanwhile.
  std::size_t fewestReadyWithin(Duration time) {
    std::size_t fewest = Entries;
    const TimePoint end = Fleet.now() + time;
    while (Fleet.now() < end) {
      Fleet.runFor(20ms);
      fewest = std::min(fewest, readyEntries());
    }
    return fewest;
  }

  static constexpr std::uint32_t Entries = 4;
  ForwardFleet Fleet;
  bool Evacuated = false;
};

} // namespace

TEST_CASE("an entry that subscribed while the replica had no node follows it",
          "[subscriptions]") {
  FollowedFleet fleet({.Replicas = 1, .Servers = 4});
  fleet.Fleet.simulation().closeStoreFor(fleet.leader(), 500ms);
  fleet.Fleet.runFor(4s);
  const Revision changed = fleet.change();
  fleet.Fleet.runFor(FollowBound);
  CHECK(fleet.entriesAt(changed) == FollowedFleet::Entries);
}

TEST_CASE(
    "an entry that subscribed while the replica had no node learns of new "
    "servers",
    "[subscriptions]") {
  FollowedFleet fleet({.Replicas = 1, .Servers = 4});
  fleet.Fleet.simulation().closeStoreFor(fleet.leader(), 500ms);
  fleet.Fleet.runFor(4s);
  fleet.Fleet.addServer("");
  fleet.Fleet.runFor(1s + FollowBound);
  for (std::uint32_t i = 0; i < FollowedFleet::Entries; ++i)
    CHECK(fleet.serversKnownTo(i) == 5);
}

TEST_CASE("an entry that starts while a replica has no node is ready soon",
          "[subscriptions]") {
  FollowedFleet fleet({.Servers = 4});
  for (std::uint32_t i = 0; i < 3; ++i)
    if (&fleet.Fleet.replica(i) != &fleet.leader())
      fleet.Fleet.simulation().closeStoreFor(fleet.Fleet.replica(i), 500ms);
  for (std::uint32_t i = 0; i < FollowedFleet::Entries; ++i)
    fleet.Fleet.killEntry(i, 100ms);
  fleet.Fleet.runFor(4s);
  CHECK(fleet.readyEntries() == FollowedFleet::Entries);
}

//===----------------------------------------------------------------------===//
// What answers name, and what arrives
//===----------------------------------------------------------------------===//

namespace {

/// A feed and a replica that says what the test tells it to say.
class FeedUnderTest : public Transport {
public:
  FeedUnderTest()
      : Feed({.Replicas = {"a", "b"}, .WantsQuarantine = true}, *this) {
    Feed.tick(Now);
    Feed.onLinkOpen(Now);
  }
  LinkId open(const std::string &address, LinkPurpose) override {
    Opened.push_back(address);
    return Opened.size();
  }
  void send(LinkId, const Message &message) override {
    if (std::holds_alternative<Subscribe>(message))
      SubscribedAt.push_back(Now);
    if (const auto *it = std::get_if<ProbeRevision>(&message))
      Probes.push_back(*it);
  }
  void close(LinkId) override {}

  /// Lets \p time pass; the replica answers each probe at once with what the
  /// test set.
  void run(Duration time) {
    for (const TimePoint end = Now + time; Now < end; Now += 20ms) {
      Feed.tick(Now);
      for (const ProbeRevision &it : std::exchange(Probes, {})) {
        Answer.Nonce = it.Nonce;
        if (Answers)
          Feed.onMessage(Now, Answer);
      }
      // Counts as a message, but answers nothing.
      if (Chatters)
        Feed.onMessage(Now, ReplicaAddresses{});
    }
  }
  /// The replica's versions move on; the updates arrive after \p delay.
  void moveAfter(Duration delay) {
    ++Answer.Confirmed;
    ++Answer.Members.Sequence;
    ++Answer.Quarantine;
    run(delay);
    Feed.onMessage(Now, QuarantineUpdate{.To = Answer.Quarantine});
    Feed.onMessage(Now, ConfigurationUpdate{.UpTo = Answer.Confirmed});
    Feed.onMessage(Now, MemberUpdate{.Full = true, .To = Answer.Members});
  }

  TimePoint Now{100s};
  std::vector<std::string> Opened;
  std::vector<TimePoint> SubscribedAt;
  std::vector<ProbeRevision> Probes;
  ProbeReply Answer;
  bool Answers = true;
  bool Chatters = false;
  ReplicaFeed Feed;
};

/// The time until a feed that lacks something subscribes again, and until it
/// tries another replica.
constexpr Duration RenewBound = 1s;
constexpr Duration LeaveBound = 2200ms;

/// Checks that a feed acts on what it lacks.
void checkActs(FeedUnderTest &it) {
  it.run(RenewBound);
  CHECK(it.SubscribedAt.size() == 2);
  CHECK(it.Opened.size() == 1);
  it.run(LeaveBound - RenewBound);
  CHECK(it.Opened == std::vector<std::string>{"a", "b"});
}

} // namespace

TEST_CASE("a feed acts if a confirmed revision doesn't arrive",
          "[subscriptions]") {
  FeedUnderTest it;
  it.Answer.Confirmed = 5;
  checkActs(it);
}

TEST_CASE("a feed acts if the members don't move to the confirmed version",
          "[subscriptions]") {
  FeedUnderTest it;
  it.Answer.Members = {1, 5};
  checkActs(it);
}

TEST_CASE("a feed acts if the quarantine doesn't move to the confirmed version",
          "[subscriptions]") {
  FeedUnderTest it;
  it.Answer.Quarantine = 5;
  checkActs(it);
}

TEST_CASE("a feed leaves a replica that sends messages but answers no probe",
          "[subscriptions]") {
  FeedUnderTest it;
  it.Answers = false;
  it.Chatters = true;
  it.run(3500ms);
  CHECK(it.Opened.size() == 2);
}

TEST_CASE("a feed that receives its updates late doesn't subscribe again",
          "[subscriptions]") {
  FeedUnderTest it;
  for (int i = 0; i < 100; ++i)
    it.moveAfter(400ms);
  CHECK(it.SubscribedAt.size() == 1);
  CHECK(it.Opened.size() == 1);
}

TEST_CASE("a feed whose process was suspended waits for what is under way",
          "[subscriptions]") {
  FeedUnderTest it;
  ++it.Answer.Confirmed;
  it.run(100ms);
  // The suspension is longer than all limits but that of a silent link.
  it.Now += 900ms;
  it.run(100ms);
  CHECK(it.SubscribedAt.size() == 1);
  it.Now += 900ms;
  it.run(100ms);
  it.Now += 900ms;
  it.run(100ms);
  CHECK(it.Opened.size() == 1);
}

// Guards against an entry that takes over an old list of servers from a replica
// that is cut off from the leader, and sends requests to servers that have
// left.
TEST_CASE("a feed ignores a list of members that is older than its copy",
          "[subscriptions]") {
  FeedUnderTest it;
  const MemberRecord former{.Host = HostName("former"), .Registered = true};
  const auto list = [&](std::uint64_t term, std::uint64_t sequence) {
    return it.Feed.onMessage(
        it.Now, MemberUpdate{.Full = true,
                             .Complete = true,
                             .To = {.Term = term, .Sequence = sequence},
                             .Members = {former}});
  };
  CHECK(list(2, 5).Members);
  CHECK_FALSE(list(2, 4).Members);
  CHECK_FALSE(list(1, 9).Members);
  CHECK(list(2, 6).Members);
  CHECK(it.SubscribedAt.size() == 1);
}

// Guards against a quarantine that an older list of it ends.
TEST_CASE("a feed ignores a quarantine that is older than its copy",
          "[subscriptions]") {
  FeedUnderTest it;
  const auto list = [&](std::uint64_t version) {
    return it.Feed.onMessage(it.Now,
                             QuarantineUpdate{.Full = true, .To = version});
  };
  CHECK(list(5).Quarantine);
  CHECK_FALSE(list(4).Quarantine);
  CHECK(list(5).Quarantine);
  CHECK(list(6).Quarantine);
}

//===----------------------------------------------------------------------===//
// Readiness
//===----------------------------------------------------------------------===//

namespace {

/// An entry reports that it isn't ready within this time after it lost the
/// replicas: two confirmation leases of 4 s.
constexpr Duration UnreadyBound = 8500ms;

} // namespace

TEST_CASE("an entry that follows no replica isn't ready, but serves",
          "[subscriptions]") {
  FollowedFleet fleet({.Servers = 4});
  CHECK(fleet.readyEntries() == FollowedFleet::Entries);
  fleet.Fleet.cutOffReplicas(fleet.Fleet.entry(0).Spec.Host);
  fleet.Fleet.runFor(UnreadyBound);
  CHECK_FALSE(fleet.Fleet.entry(0).Forward->ready(fleet.Fleet.now()));
  CHECK(fleet.readyEntries() == FollowedFleet::Entries - 1);
  CallerAnswer answer;
  fleet.Fleet.call(fleet.Fleet.entry(0), "r",
                   [&](const CallerAnswer &it) { answer = it; });
  fleet.Fleet.runFor(5s);
  CHECK(answer.Status == 200);
  CHECK(answer.IsComplete);
  fleet.Fleet.simulation().healAll();
  fleet.Fleet.runFor(4s);
  CHECK(fleet.readyEntries() == FollowedFleet::Entries);
}

TEST_CASE("entries stay ready while another leader is elected",
          "[subscriptions]") {
  FollowedFleet fleet({.Servers = 4});
  for (int i = 0; i < 3; ++i) {
    fleet.Fleet.simulation().killFor(fleet.leader(), 1s);
    CHECK(fleet.fewestReadyWithin(6s) == FollowedFleet::Entries);
  }
}

TEST_CASE("entries stay ready while all replicas restart", "[subscriptions]") {
  FollowedFleet fleet({.Servers = 4});
  for (std::uint32_t i = 0; i < 3; ++i)
    fleet.Fleet.simulation().killFor(fleet.Fleet.replica(i), 2s);
  CHECK(fleet.fewestReadyWithin(10s) == FollowedFleet::Entries);
}

//===----------------------------------------------------------------------===//
// Followers and agents
//===----------------------------------------------------------------------===//

TEST_CASE("agents are members again after the leader's node was away",
          "[subscriptions]") {
  FollowedFleet fleet({.Replicas = 1, .Servers = 3, .Engines = true});
  REQUIRE(fleet.Fleet.entry(0)
              .Forward->controller()
              .board()
              .Servers.agents()
              .size() == 3);
  fleet.Fleet.simulation().closeStoreFor(fleet.leader(), 500ms);
  fleet.Fleet.runFor(4s);
  std::size_t agents = 0;
  for (const auto &[host, it] : fleet.leader().Replica->members().members())
    agents += it.Registered ? 0U : 1U;
  CHECK(agents == 3);
}

//===----------------------------------------------------------------------===//
// Subscribers of an earlier release
//===----------------------------------------------------------------------===//

namespace {

/// Records which configuration each link was sent.
class RecordedUpdates : public Transport {
public:
  LinkId open(const std::string &, LinkPurpose) override { return 0; }
  void send(LinkId link, const Message &message) override {
    if (const auto *it = std::get_if<ConfigurationUpdate>(&message))
      Updates[link] = *it;
  }
  void close(LinkId) override {}

  std::map<LinkId, ConfigurationUpdate> Updates;
};

} // namespace

// Guards against a process of an earlier release that is sent a record which it
// can't decode: it would close the link, subscribe again and be sent it again.
// It must have the revision all the same, or it wouldn't be confirmed.
TEST_CASE("a subscriber of an earlier release is sent no record of software",
          "[software-history]") {
  RecordedUpdates network;
  Subscribers listeners(network);
  const bool firstTakes = GENERATE(true, false);
  listeners.add(1, {.TakesSoftware = firstTakes});
  listeners.add(2, {.TakesSoftware = !firstTakes});
  Configuration configuration;
  configuration.put(KindRecord{.Name = KindName("k"), .ChangedAt = 1});
  configuration.put(SoftwareRecord{
      .Service = ServiceName("s"), .Versions = {"v1"}, .ChangedAt = 2});
  configuration.advance(2);
  listeners.push(configuration, MemberTable(), QuarantineLedger());
  const LinkId takes = firstTakes ? 1 : 2;
  const LinkId former = firstTakes ? 2 : 1;
  CHECK(network.Updates.at(takes).Records.size() == 2);
  CHECK(network.Updates.at(former).Records.size() == 1);
  CHECK(network.Updates.at(former).UpTo == 2);
}

// Guards against a history that is lost with a leader, with all replicas at
// once, or between a version's first announcement and its record.
TEST_CASE("the history of software outlives leaders and restarts",
          "[subscriptions]") {
  FollowedFleet fleet({.Servers = 4, .Software = "v1"});
  const auto recorded = [&](std::uint32_t entry) {
    const auto &all =
        fleet.Fleet.entry(entry).Forward->configuration().records().software();
    return all.empty() ? std::vector<std::string>()
                       : all.begin()->second.Versions;
  };
  CHECK(recorded(0) == std::vector<std::string>{"v1"});
  fleet.Fleet.addServer("v2");
  fleet.Fleet.simulation().killFor(fleet.leader(), 4s);
  fleet.Fleet.runFor(8s);
  const std::vector<std::string> both{"v1", "v2"};
  for (std::uint32_t i = 0; i < FollowedFleet::Entries; ++i)
    CHECK(recorded(i) == both);
  for (std::uint32_t i = 0; i < 3; ++i)
    fleet.Fleet.simulation().killFor(fleet.Fleet.replica(i), 2s);
  for (std::uint32_t i = 0; i < FollowedFleet::Entries; ++i)
    fleet.Fleet.killEntry(i, 100ms);
  fleet.Fleet.runFor(12s);
  for (std::uint32_t i = 0; i < FollowedFleet::Entries; ++i) {
    CHECK(recorded(i) == both);
    CHECK(fleet.serversKnownTo(i) == 5);
  }
}
