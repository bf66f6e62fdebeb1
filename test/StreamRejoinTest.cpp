// All entries end at once, and with them what they know of the streams that
// they served and of the software versions that have served. Callers come back
// to entries that have just started: to go on at a version that didn't begin
// the stream gives it events of two versions, and to refuse all of them loses
// streams whose version still serves.

#include "StreamFleet.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Entries = 4;
constexpr std::uint32_t Servers = 12;
constexpr std::uint32_t Replicas = 3;
/// Events of a stream that lasts 2 s, and of one that lasts 6 s.
constexpr std::uint32_t Events = 32;
constexpr std::uint32_t ManyEvents = 96;
constexpr std::uint64_t Seeds = 5;
constexpr Duration Downtime = 1s;
/// The leases of servers that are gone have ended after this time.
constexpr Duration LeaseEnd = 7500ms;
/// The servers' next registration is over after this time.
constexpr Duration Registration = 1s;

enum class ReplicaFault { None, RestartLeader, RestartAll };

ForwardFleetOptions fleetOptions(std::uint64_t seed, std::uint32_t servers,
                                 std::uint32_t events) {
  ForwardFleetOptions options = streamFleetOptions(
      seed, {.Entries = Entries, .Servers = servers, .Events = events});
  options.RestartDelay = 1h;
  options.CallerTime = 40s;
  return options;
}

/// A fleet whose processes end many at once. Its first servers run v1.
class RejoinFleet : public StreamFleet {
public:
  RejoinFleet(std::uint64_t seed, std::uint32_t firstServers,
              const StreamCallerOptions &callers, std::uint32_t events = Events)
      : StreamFleet(fleetOptions(seed, firstServers, events), callers),
        Seed(seed), FirstServers(firstServers) {
    Fleet.runFor(5s);
  }

  void addSecondVersion() { addServers(Servers - FirstServers, "v2"); }
  void killEntries(Duration downtime = Downtime) {
    for (std::uint32_t i = 0; i < Entries; ++i)
      Fleet.killEntry(i, downtime);
  }
  void loseFirstServers() {
    for (std::uint32_t i = 0; i < FirstServers; ++i)
      Fleet.crashServer(i);
  }
  void loseFirstAgents() {
    for (std::uint32_t i = 0; i < FirstServers; ++i)
      Fleet.simulation().kill(Fleet.agent(i));
  }
  /// Restarts the processes of this share of all agents; their engines go on.
  void restartAgents(double share) {
    std::vector<std::uint32_t> all(Servers);
    for (std::uint32_t i = 0; i < Servers; ++i) {
      all[i] = i;
      std::swap(all[i], all[any(i + 1)]);
    }
    all.resize(static_cast<std::size_t>(share * Servers));
    for (const std::uint32_t i : all)
      Fleet.simulation().killFor(Fleet.agent(i), Downtime);
  }
  void restartReplica(std::uint32_t i) {
    Fleet.simulation().killFor(Fleet.replica(i), Downtime);
  }
  void restart(ReplicaFault fault) {
    SimulatedProcess *leader = Fleet.simulation().leader();
    for (std::uint32_t i = 0; i < Replicas; ++i)
      if (fault == ReplicaFault::RestartAll ||
          (fault == ReplicaFault::RestartLeader && &Fleet.replica(i) == leader))
        restartReplica(i);
  }

  /// Lets all callers come back, and checks that streams of v1, of which no
  /// server is left, are refused, and that streams of v2 go on and begin.
  void checkFirstVersionGone() {
    Fleet.runFor(MaxAttempts * DrainTime);
    CallerStream &fresh = begin();
    Fleet.runFor(DrainTime);
    CHECK(fresh.Software == std::vector<std::string>(Events, "v2"));
    const auto brokenOff = [](const CallerStream &it) {
      return !it.Software.empty() && it.Software.front() == "v1" &&
             it.Attempts > 1;
    };
    // The route's target for the first event: an answer in time takes no
    // longer.
    constexpr Duration AtOnce = 1s;
    const int refusedAtOnce = count([&](const auto &it) {
      return brokenOff(it) && it.Status == 503 && it.Took <= AtOnce;
    });
    INFO("seed " << Seed << ": " << count(brokenOff)
                 << " streams of v1 broke off, " << refusedAtOnce
                 << " were refused at once");
    CHECK(count(brokenOff) > 0);
    CHECK(refusedAtOnce == count(brokenOff));
    check(Seed, /*maxMixed=*/0);
  }
  /// Lets all callers come back, and checks that streams go on.
  void checkStreamsGoOn() {
    Fleet.runFor(MaxAttempts * DrainTime);
    CHECK(count([](const auto &it) { return it.Resumed; }) > 0);
    check(Seed, /*maxMixed=*/0);
    checkEachVersion(Seed);
  }

  const std::uint64_t Seed;
  const std::uint32_t FirstServers;
};

/// Callers come back when the leases of the servers that are gone have ended.
constexpr StreamCallerOptions LateCallers{.ComeBackAfter = 8s};
/// Callers come back when entries have started again.
constexpr StreamCallerOptions PromptCallers{.ComeBackAfter = 2s};

/// Nine servers of v1 and three of v2 serve, and streams are in progress.
class SideBySideFleet : public RejoinFleet {
public:
  explicit SideBySideFleet(std::uint64_t seed, std::uint32_t firstServers = 9,
                           const StreamCallerOptions &callers = LateCallers,
                           std::uint32_t events = Events)
      : RejoinFleet(seed, firstServers, callers, events) {
    addSecondVersion();
    Fleet.runFor(5s);
    runFor(4s);
  }
};

/// Plays \p fault on a new fleet for each seed, with two versions half and
/// half, and with three servers of the second.
void playSideBySide(const std::function<void(RejoinFleet &)> &fault) {
  for (const std::uint32_t firstServers : {6U, 9U})
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      INFO(firstServers << " servers of v1");
      SideBySideFleet it(seed, firstServers, PromptCallers, ManyEvents);
      fault(it);
      it.checkStreamsGoOn();
    }
}

} // namespace

//===----------------------------------------------------------------------===//
// A version that has left
//===----------------------------------------------------------------------===//

// Guards against entries that forget with their processes that another version
// has served: the agents that knew were beside its servers and left with them.
TEST_CASE("a stream isn't joined after its version left and all entries were "
          "killed",
          "[stream-history]") {
  for (const ReplicaFault fault :
       {ReplicaFault::None, ReplicaFault::RestartLeader,
        ReplicaFault::RestartAll})
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      INFO("replica fault " << static_cast<int>(fault));
      SideBySideFleet it(seed);
      it.loseFirstServers();
      it.loseFirstAgents();
      it.runFor(LeaseEnd);
      it.killEntries();
      it.restart(fault);
      it.checkFirstVersionGone();
    }
}

// Guards against entries that rely on agents which are lost together with them.
TEST_CASE("a stream isn't joined after its version's agents were lost with all "
          "entries",
          "[stream-history]") {
  for (const ReplicaFault fault :
       {ReplicaFault::None, ReplicaFault::RestartLeader,
        ReplicaFault::RestartAll})
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      INFO("replica fault " << static_cast<int>(fault));
      SideBySideFleet it(seed);
      it.loseFirstServers();
      it.runFor(LeaseEnd);
      it.killEntries();
      it.loseFirstAgents();
      it.restart(fault);
      it.checkFirstVersionGone();
    }
}

// Guards against entries that count on agents which leave after the entries
// have started again and before the callers come back.
TEST_CASE("a stream isn't joined after its version's agents were lost once all "
          "entries were back",
          "[stream-history]") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    SideBySideFleet it(seed);
    it.loseFirstServers();
    it.runFor(LeaseEnd);
    it.killEntries();
    it.Fleet.runFor(Downtime + 200ms);
    it.loseFirstAgents();
    it.checkFirstVersionGone();
  }
}

// Guards against a history of versions that only living entries keep up: none
// sees the old version leave.
TEST_CASE("a stream isn't joined after its version left while all entries were "
          "down",
          "[stream-history]") {
  for (const ReplicaFault fault :
       {ReplicaFault::None, ReplicaFault::RestartLeader,
        ReplicaFault::RestartAll})
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      INFO("replica fault " << static_cast<int>(fault));
      SideBySideFleet it(seed, /*firstServers=*/6);
      it.killEntries(LeaseEnd + 2s);
      it.Fleet.runFor(100ms);
      it.loseFirstServers();
      it.loseFirstAgents();
      it.restart(fault);
      it.checkFirstVersionGone();
    }
}

// Guards against a history that starts only when two versions serve side by
// side: the first has left before the second comes.
TEST_CASE("a stream isn't joined at a version that came after its own had left",
          "[stream-history]") {
  for (const bool killsEntries : {false, true})
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      INFO("entries killed: " << killsEntries);
      RejoinFleet it(seed, 9, LateCallers);
      it.runFor(4s);
      it.loseFirstServers();
      it.loseFirstAgents();
      it.Fleet.runFor(LeaseEnd);
      it.addSecondVersion();
      it.Fleet.runFor(Registration);
      it.runFor(4s);
      if (killsEntries)
        it.killEntries();
      it.checkFirstVersionGone();
    }
}

// Guards against a history that is written some time after a version's first
// registration: entries and replicas end before.
TEST_CASE("a stream isn't joined after faults right after the next version's "
          "first registration",
          "[stream-history]") {
  for (const ReplicaFault fault :
       {ReplicaFault::None, ReplicaFault::RestartLeader,
        ReplicaFault::RestartAll})
    for (const Duration delay : {50ms, 500ms})
      for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("replica fault " << static_cast<int>(fault) << " after "
                              << toSeconds(delay) << " s");
        RejoinFleet it(seed, 9, LateCallers);
        it.runFor(4s);
        it.addSecondVersion();
        it.runFor(Registration + delay);
        it.killEntries(LeaseEnd + 2s);
        it.loseFirstServers();
        it.loseFirstAgents();
        it.restart(fault);
        it.checkFirstVersionGone();
      }
}

//===----------------------------------------------------------------------===//
// Versions that still serve
//===----------------------------------------------------------------------===//

// Guards against streams whose version is known only to entries and agents that
// are lost at once, and against one refused though its version serves.
TEST_CASE("streams go on after all entries were killed together with agents",
          "[stream-memory]") {
  for (const double share : {0.5, 0.7, 1.0}) {
    INFO("share of agents " << share);
    playSideBySide([&](RejoinFleet &it) {
      it.killEntries();
      it.restartAgents(share);
    });
  }
}

// Guards against entries that don't tell the agents again that have lost their
// memory, before the entries end too.
TEST_CASE("streams go on after agents and, seconds later, all entries were "
          "killed",
          "[stream-memory]") {
  for (const double share : {0.5, 0.7, 1.0}) {
    INFO("share of agents " << share);
    playSideBySide([&](RejoinFleet &it) {
      it.restartAgents(share);
      it.runFor(3s);
      it.killEntries();
    });
  }
}

// Guards against entries that, once started, leave the memory of streams to
// agents that end before the callers come back.
TEST_CASE("streams go on after all entries and then agents were killed",
          "[stream-memory]") {
  for (const double share : {0.5, 0.7, 1.0}) {
    INFO("share of agents " << share);
    playSideBySide([&](RejoinFleet &it) {
      it.killEntries();
      it.Fleet.runFor(Downtime + 500ms);
      it.restartAgents(share);
    });
  }
}

// Guards against a memory that needs all replicas, or those that were there
// when the stream began.
TEST_CASE("streams go on after entries and agents were killed while a replica "
          "is away",
          "[stream-memory]") {
  for (const bool comesBack : {false, true}) {
    INFO("the replica restarts: " << comesBack);
    playSideBySide([&](RejoinFleet &it) {
      const std::uint32_t replica = it.any(Replicas);
      if (comesBack)
        it.restartReplica(replica);
      else
        it.Fleet.simulation().kill(it.Fleet.replica(replica));
      it.killEntries();
      it.restartAgents(1);
    });
  }
}

// Guards against a memory that the replicas lose one after another.
TEST_CASE("streams go on after entries and agents were killed when all "
          "replicas have restarted in turn",
          "[stream-memory]") {
  playSideBySide([](RejoinFleet &it) {
    for (std::uint32_t i = 0; i < Replicas; ++i) {
      it.restartReplica(i);
      it.runFor(Downtime + 1s);
    }
    it.killEntries();
    it.restartAgents(1);
  });
}

// Guards against streams that are known by their first attempt only: a caller
// names the last attempt that brought an event, which had itself resumed.
TEST_CASE("a stream goes on when its caller names an attempt that had resumed "
          "it",
          "[stream-memory]") {
  constexpr Duration ShortDowntime = 200ms;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    SideBySideFleet it(seed, 9,
                       {.ComeBackAfter = 400ms, .NamesLastAttempt = true},
                       ManyEvents);
    it.killEntries(ShortDowntime);
    it.Fleet.runFor(ShortDowntime + 2s);
    it.killEntries(ShortDowntime);
    it.checkStreamsGoOn();
    const int again = it.count([](const auto &it) { return it.ResumedAgain; });
    const int goOn = it.count([](const auto &it) { return it.Parts > 2; });
    INFO("seed " << seed << ": " << again << " streams resumed again, " << goOn
                 << " go on");
    CHECK(again > 0);
    CHECK(2 * goOn >= again);
  }
}

// Guards against streams of the only version that are refused because nobody is
// left who knows them.
TEST_CASE("streams of the only version go on after all entries, all agents and "
          "the leader were killed",
          "[stream-memory]") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    RejoinFleet it(seed, Servers, PromptCallers, ManyEvents);
    it.runFor(4s);
    it.killEntries();
    it.restartAgents(1);
    it.restart(ReplicaFault::RestartLeader);
    it.checkStreamsGoOn();
  }
}

// Guards against streams that are refused as unknown, because one version
// served when they began and nobody was told: their entries end as the second
// one appears, before they know of it.
TEST_CASE("streams that began while one version served go on after their "
          "entries ended as the second one came",
          "[stream-memory]") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    RejoinFleet it(seed, 9, PromptCallers, ManyEvents);
    it.runFor(4s);
    it.killEntries();
    it.addSecondVersion();
    it.checkStreamsGoOn();
  }
}

// Guards against an entry that takes its last list and record for the present
// ones: it has lost contact with the replicas, a second version has come, and
// the other entries, which know the streams of that version, end together with
// the agents.
TEST_CASE("a stream isn't joined by an entry whose list and record are old",
          "[stream-history]") {
  for (const double share : {0.0, 0.5, 1.0})
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      INFO("share of agents " << share);
      RejoinFleet it(seed, 9, PromptCallers, ManyEvents);
      // Its list of servers is complete by then.
      it.Fleet.runFor(10s);
      it.Fleet.cutOffReplicas(it.Fleet.entry(0).Spec.Host);
      it.Fleet.runFor(100ms);
      it.addSecondVersion();
      it.Fleet.runFor(5s);
      it.runFor(4s);
      for (std::uint32_t i = 1; i < Entries; ++i)
        it.Fleet.killEntry(i, 20s);
      it.restartAgents(share);
      it.Fleet.runFor(MaxAttempts * DrainTime);
      INFO("seed " << seed << ": " << it.mixed() << " of " << it.Streams.size()
                   << " streams have events of two versions");
      CHECK(it.mixed() == 0);
    }
}

// Guards against the same without any fault of a process: a caller's connection
// ends and it comes back to an entry that is cut off from the replicas and from
// the agents of the other zone.
TEST_CASE("a stream isn't joined by an entry that is cut off with the servers "
          "of the former version",
          "[stream-history]") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    RejoinFleet it(seed, 9, PromptCallers, ManyEvents);
    // Its list of servers is complete by then.
    it.Fleet.runFor(10s);
    const HostName entry = it.Fleet.entry(0).Spec.Host;
    it.Fleet.cutOffReplicas(entry);
    it.Fleet.runFor(100ms);
    it.addSecondVersion();
    it.Fleet.runFor(5s);
    for (int i = 0; i < 8; ++i) {
      it.runFor(500ms);
      it.reset(10);
    }
    it.Fleet.runFor(MaxAttempts * DrainTime);
    INFO("seed " << seed << ": " << it.mixed() << " of " << it.Streams.size()
                 << " streams have events of two versions");
    CHECK(it.mixed() == 0);
  }
}

// Guards against a service without a history because one replica of the group
// has never been up.
TEST_CASE("a stream isn't joined after its version left if a replica has been "
          "away from the start",
          "[stream-no-record]") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    StreamFleet it(fleetOptions(seed, 9, Events), LateCallers);
    it.Fleet.simulation().kill(it.Fleet.replica(2));
    it.Fleet.runFor(5s);
    it.addServers(3, "v2");
    it.Fleet.runFor(5s);
    it.runFor(4s);
    for (std::uint32_t i = 0; i < 9; ++i) {
      it.Fleet.crashServer(i);
      it.Fleet.simulation().kill(it.Fleet.agent(i));
    }
    it.runFor(LeaseEnd);
    for (std::uint32_t i = 0; i < Entries; ++i)
      it.Fleet.killEntry(i, Downtime);
    it.Fleet.runFor(MaxAttempts * DrainTime);
    INFO("seed " << seed << ": " << it.mixed() << " of " << it.Streams.size()
                 << " streams have events of two versions");
    CHECK(it.mixed() == 0);
  }
}

// Guards against streams that nobody is told of, because their entry never sees
// two versions at once: the first has left when the second comes, and comes
// back after all entries were killed. No agent of a server that stays and no
// replica ends.
TEST_CASE("streams go on at a version that left and came back while all "
          "entries were killed",
          "[stream-memory]") {
  constexpr StreamCallerOptions Callers{.ComeBackAfter = 18s};
  for (const bool killsEntries : {false, true})
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      INFO("entries killed: " << killsEntries);
      RejoinFleet it(seed, 9, Callers, ManyEvents);
      it.runFor(4s);
      it.loseFirstServers();
      it.Fleet.runFor(LeaseEnd + 7s);
      it.addSecondVersion();
      it.Fleet.runFor(Registration + 500ms);
      if (killsEntries)
        it.killEntries(500ms);
      it.addServers(9, "v1");
      it.checkStreamsGoOn();
    }
}

// Guards against a memory that the replicas lose one after another when no
// entry is left that could tell them again.
TEST_CASE("streams go on after all entries and agents were killed and all "
          "replicas restarted in turn",
          "[stream-replicas-in-turn]") {
  constexpr StreamCallerOptions Callers{.ComeBackAfter = 16s};
  for (const double share : {0.5, 0.7, 1.0})
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      INFO("share of agents " << share);
      SideBySideFleet it(seed, 9, Callers, ManyEvents);
      it.killEntries();
      it.restartAgents(share);
      it.Fleet.runFor(Downtime + 500ms);
      for (std::uint32_t i = 0; i < Replicas; ++i) {
        it.restartReplica(i);
        it.Fleet.runFor(Downtime + 500ms);
      }
      it.checkStreamsGoOn();
    }
}

// Guards against resumed streams that are refused, although new ones are
// served, because no leader confirms the record to entries that have just
// started.
TEST_CASE("streams of the only version go on after all entries were killed "
          "while the group has no leader",
          "[stream-memory]") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    RejoinFleet it(seed, Servers, PromptCallers, ManyEvents);
    it.runFor(4s);
    for (std::uint32_t i = 0; i < 2; ++i)
      it.Fleet.simulation().killFor(it.Fleet.replica(i), 30s);
    it.Fleet.runFor(1s);
    it.killEntries();
    it.Fleet.runFor(Downtime + 500ms);
    const std::size_t before = it.Streams.size();
    it.runFor(4s);
    it.Fleet.runFor(20s);
    const auto begun = std::count_if(
        it.Streams.begin() + static_cast<std::ptrdiff_t>(before),
        it.Streams.end(), [](const auto &s) { return !s->Software.empty(); });
    const int resumed = it.count([](const auto &s) { return s.Resumed; });
    const int goOn = it.count([](const auto &s) { return s.GoesOn; });
    INFO("seed " << seed << ": " << goOn << " of " << resumed
                 << " resumed streams go on, " << begun << " of "
                 << it.Streams.size() - before << " new ones begin");
    CHECK((begun == 0 || 2 * goOn >= resumed));
  }
}
