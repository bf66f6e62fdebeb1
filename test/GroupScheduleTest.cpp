// Guards against two leaders at a time, lost commands and a group that stays
// without a leader while replicas join, get their votes and fail in between. A
// group stayed without a leader when its leader ended after it had written the
// entry that makes a learner a voter and before the learner had it.

#include "Schedules.h"
#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testing;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};
constexpr Duration FaultTime = 15s;
/// Time within which the group has a leader and three voters after the last
/// fault: elections, the resend of lost entries and two changes of members.
constexpr Duration RecoveryTime = 10s;
constexpr Duration Step = 5ms;
constexpr Duration ProposalPeriod = 100ms;
constexpr Duration JoinPeriod = 500ms;
constexpr std::size_t Hosts = 3;
constexpr std::size_t CompactAfterEntries = 24;

/// One of three replicas in virtual time. Its messages are delayed, lost and
/// reordered; it is killed, paused and loses its disk.
struct SimulatedReplica {
  std::unique_ptr<MemoryLogStore> Disk;
  std::unique_ptr<ReplicatedLog> Log;
  TimePoint StartsAt;
  TimePoint PausedUntil;
  /// Until then it restarts again and again.
  TimePoint RestartsUntil;
  TimePoint NextJoin;
  TimePoint NextProposal;
};

struct MessageInFlight {
  std::size_t From = 0;
  std::size_t To = 0;
  Message Content;
};

class GroupSchedule {
public:
  explicit GroupSchedule(std::uint64_t seed) : Rng(seed) {
    for (std::size_t i = 0; i < Hosts; ++i) {
      createDisk(i);
      Replicas[i].StartsAt = Start + (i == 0 ? 0s : upTo(3s));
    }
  }

  /// \returns what broke, or an empty string.
  std::string play() {
    while (Now < Start + FaultTime && Broken.empty()) {
      if (Rng.uniform() < 0.02)
        injectFault();
      step();
    }
    for (auto &links : CutUntil)
      links.fill(Now);
    FaultsEnded = true;
    const std::size_t committed = Committed.size();
    const TimePoint end = Now + RecoveryTime;
    while (Now < end && Broken.empty() && !isWhole(committed))
      step();
    if (Broken.empty() && !isWhole(committed))
      fail("no leader of three voters that commits");
    return Broken;
  }

private:
  static HostName hostName(std::size_t host) {
    return HostName("n" + std::to_string(host));
  }
  Duration upTo(Duration longest) {
    return fromSeconds(toSeconds(longest) * Rng.uniform());
  }
  std::size_t pickHost() {
    return static_cast<std::size_t>(Rng.next() % Hosts);
  }
  void fail(const std::string &what) {
    if (Broken.empty())
      Broken = std::to_string(toSeconds(Now - Start)) + " s: " + what;
  }

  void createDisk(std::size_t host) {
    const ReplicaId id = ++LastId;
    HostOf[id] = host;
    Replicas[host].Disk = std::make_unique<MemoryLogStore>(id);
  }

  void start(std::size_t host) {
    SimulatedReplica &it = Replicas[host];
    const ReplicatedLogOptions options{.Host = hostName(host),
                                       .Address = hostName(host).str(),
                                       .Seed = Rng.next()};
    it.Log = std::make_unique<ReplicatedLog>(Now, options, it.Disk->Stored);
    if (host == 0 && !Formed)
      Formed = it.Log->bootstrap(Now, 0);
    flush(host);
  }

  void stop(std::size_t host, Duration time) {
    Replicas[host].Log.reset();
    Replicas[host].StartsAt = Now + time;
  }

  void injectFault() {
    const std::size_t host = pickHost();
    switch (Rng.next() % 8) {
    case 0:
    case 1:
      return stop(host, upTo(Rng.uniform() < 0.5 ? 100ms : 2s));
    case 2:
    case 3:
      Replicas[host].PausedUntil = Now + upTo(1500ms);
      return;
    case 4:
    case 5:
      CutUntil[host][pickHost()] = Now + upTo(1500ms);
      return;
    case 6:
      return cutBesideRestarts(host);
    default:
      if (Rng.uniform() < 0.5)
        return loseDisk(host);
      for (std::size_t i = 0; i < Hosts; ++i)
        stop(i, upTo(200ms));
    }
  }

  /// Cuts \p host off from the next replica while the third one, which both
  /// reach, restarts often: it must not forget whose lease it acknowledged.
  void cutBesideRestarts(std::size_t host) {
    const std::size_t next = (host + 1) % Hosts;
    const TimePoint end = Now + 1500ms;
    CutUntil[host][next] = CutUntil[next][host] = end;
    Replicas[(host + 2) % Hosts].RestartsUntil = end;
  }

  /// Empties the disk of \p host if no second one is lost before the group is
  /// whole again: a majority has to keep what is committed.
  void loseDisk(std::size_t host) {
    if (!isWhole(0))
      return;
    createDisk(host);
    stop(host, upTo(1s));
  }

  /// \returns whether a leader with a lease has a committed group of three
  /// voters that are in use, and more than \p committed commands are.
  bool isWhole(std::size_t committed) const {
    if (Committed.size() <= committed)
      return false;
    return std::ranges::any_of(Replicas, [&](const SimulatedReplica &it) {
      if (!it.Log || !it.Log->readIndex(Now) ||
          it.Log->commitIndex() != it.Log->lastIndex())
        return false;
      const auto &members = it.Log->group().Replicas;
      return members.size() == Hosts &&
             std::ranges::all_of(members, [&](const auto &member) {
               const std::size_t host = HostOf.at(member.Id);
               return !member.Learner &&
                      Replicas[host].Disk->Stored.Id == member.Id;
             });
    });
  }

  void send(std::size_t from, std::size_t to, const Message &message) {
    if (from == to || CutUntil[from][to] > Now ||
        (!FaultsEnded && Rng.uniform() < 0.03))
      return;
    const bool late = !FaultsEnded && Rng.uniform() < 0.03;
    const TimePoint at = Now + 1ms + upTo(late ? 900ms : 20ms);
    InFlight.emplace(at, MessageInFlight{from, to, message});
  }

  /// Performs the actions of the log as `ReplicaNode` does.
  void flush(std::size_t host) {
    SimulatedReplica &it = Replicas[host];
    while (true) {
      const LogActions actions = it.Log->takeActions();
      if (actions.Write.empty() && actions.Messages.empty() &&
          !actions.Restore && actions.Committed.empty())
        break;
      if (!actions.Write.empty()) {
        REQUIRE(it.Disk->write(actions.Write));
        it.Log->synced(Now);
      }
      // A message goes to the address, where the disk may be another one now.
      for (const OutgoingLogMessage &message : actions.Messages)
        send(host, HostOf.at(message.To.Id), message.Content);
      for (const LogEntry &entry : actions.Committed)
        recordCommitted(entry);
    }
    compactIfDue(it);
  }

  static void compactIfDue(SimulatedReplica &it) {
    if (it.Log->entryCount() < CompactAfterEntries)
      return;
    const LogIndex index = it.Log->commitIndex();
    const LogSnapshot snapshot = it.Log->snapshotAt(index, "state");
    REQUIRE(it.Disk->compact(snapshot, it.Log->entriesAfter(index)));
    it.Log->compacted(snapshot);
  }

  void recordCommitted(const LogEntry &entry) {
    const auto [it, first] = Committed.emplace(entry.Index, entry.Data);
    if (!first && it->second != entry.Data)
      fail("two commands committed at index " + std::to_string(entry.Index));
  }

  bool runs(const SimulatedReplica &it) const {
    return it.Log && it.PausedUntil <= Now;
  }

  void step() {
    Now += Step;
    deliver();
    for (std::size_t i = 0; i < Hosts; ++i) {
      if (Replicas[i].RestartsUntil > Now && Rng.uniform() < 0.05)
        stop(i, 10ms);
      if (!Replicas[i].Log && Replicas[i].StartsAt <= Now)
        start(i);
      if (runs(Replicas[i]))
        tick(i);
    }
    checkLeaders();
  }

  void deliver() {
    while (!InFlight.empty() && InFlight.begin()->first <= Now) {
      const MessageInFlight message =
          std::move(InFlight.extract(InFlight.begin()).mapped());
      SimulatedReplica &to = Replicas[message.To];
      if (!to.Log)
        continue;
      if (!runs(to)) {
        InFlight.emplace(to.PausedUntil + Step, message);
        continue;
      }
      to.Log->onMessage(Now, 0, message.Content);
      flush(message.To);
    }
  }

  void tick(std::size_t host) {
    SimulatedReplica &it = Replicas[host];
    it.Log->tick(Now, 0);
    if (it.Log->holdsLease(Now) && Now >= it.NextProposal) {
      it.NextProposal = Now + ProposalPeriod;
      it.Log->propose(Now, 0, "command " + std::to_string(++LastCommand));
    }
    if (!it.Log->isMember() && Now >= it.NextJoin) {
      it.NextJoin = Now + JoinPeriod;
      for (std::size_t to = 0; to < Hosts; ++to)
        send(host, to,
             JoinRequest{{.Id = it.Log->id(),
                          .Host = hostName(host),
                          .Address = hostName(host).str()}});
    }
    flush(host);
  }

  void checkLeaders() {
    std::size_t leases = 0;
    for (const SimulatedReplica &it : Replicas) {
      if (!it.Log || it.Log->role() != LogRole::Leader)
        continue;
      const ReplicaId id = it.Log->id();
      if (LeaderOf.emplace(it.Log->term(), id).first->second != id)
        fail("two leaders of term " + std::to_string(it.Log->term()));
      leases += it.Log->holdsLease(Now) ? 1 : 0;
    }
    if (leases > 1)
      fail("two leases at a time");
  }

  Random Rng;
  TimePoint Now = Start;
  bool Formed = false;
  bool FaultsEnded = false;
  ReplicaId LastId = 0;
  std::uint64_t LastCommand = 0;
  std::array<SimulatedReplica, Hosts> Replicas;
  std::array<std::array<TimePoint, Hosts>, Hosts> CutUntil;
  std::map<ReplicaId, std::size_t> HostOf;
  std::multimap<TimePoint, MessageInFlight> InFlight;
  std::map<Term, ReplicaId> LeaderOf;
  std::map<LogIndex, std::string> Committed;
  std::string Broken;
};

std::string playGroup(std::uint64_t seed) { return GroupSchedule(seed).play(); }

} // namespace

TEST_CASE("a group that grows and repairs itself under random faults has one "
          "leader at a time, loses no command and serves again",
          "[group-schedules]") {
  checkSchedules(playGroup, 1, 200);
}

TEST_CASE("many schedules of a group under random faults",
          "[.][group-schedules-long]") {
  checkSchedules(playGroup, 201, 10000);
}
