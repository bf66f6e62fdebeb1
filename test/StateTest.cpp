#include "pimentofront/State.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

Command command(const std::string &id, CommandBody body,
                const std::string &by = "anna", Revision buildsOn = 0) {
  return {CommandId(id), OperatorName(by), buildsOn, std::move(body)};
}

CreateVersion version(VersionNumber number, const std::string &source = "s") {
  return {AdapterName("a"), number, source};
}

StateMachine withAdapter() {
  StateMachine state;
  REQUIRE(state.apply(0, command("1", CreateAdapter{AdapterName("a"), "base"}))
              .Result == CommandResult::Accepted);
  return state;
}

ClaimRequest claim(std::uint64_t holder, std::uint64_t hash = 1) {
  return {CallerName("club"), RequestId("r"), hash, {9, holder}, 1000};
}

RecordEnding ending(std::uint64_t holder, ClaimEnding how) {
  return {CallerName("club"), RequestId("r"), {9, holder}, how, "receipt"};
}

} // namespace

TEST_CASE(
    "of two operators that create the same version exactly one succeeds") {
  StateMachine state = withAdapter();
  CHECK(state.apply(0, command("x", version(5, "of-anna"), "anna")).Result ==
        CommandResult::Accepted);
  const CommandOutcome second =
      state.apply(0, command("y", version(5, "of-bert"), "bert"));
  CHECK(second.Result == CommandResult::Conflict);
  CHECK(second.Winner == OperatorName("anna"));
  const auto adapter = state.configuration().findAdapter(AdapterName("a"));
  CHECK(adapter->Versions.at(0).Source == "of-anna");
}

TEST_CASE(
    "a resent command gets its first outcome, also after other commands") {
  StateMachine state = withAdapter();
  const Command first = command("x", version(1));
  const CommandOutcome outcome = state.apply(0, first);
  state.apply(0, command("y", version(2)));
  CHECK(state.apply(0, first) == outcome);
  CHECK(state.apply(0, command("x", version(3))).Result ==
        CommandResult::IdReused);
}

TEST_CASE("a change based on an outdated record is a conflict") {
  StateMachine state = withAdapter();
  const Revision built = state.configuration().revision();
  state.apply(0, command("x", version(1)));
  CHECK(state.apply(0, command("y", version(2), "bert", built)).Result ==
        CommandResult::Conflict);
}

TEST_CASE("an invalid command changes nothing") {
  StateMachine state = withAdapter();
  const std::string before = state.encode();
  const std::string longName(129, 'x');
  for (const CommandBody &it : std::vector<CommandBody>{
           CreateAdapter{AdapterName(""), "base"},
           CreateAdapter{AdapterName(longName), "base"},
           CreateAdapter{AdapterName("b c"), "base"}, version(0),
           version(1, ""), CreateVersion{AdapterName("none"), 1, "s"},
           DeclareLive{AdapterName("a"), {7}},
           SetKind{{.Name = KindName("k"), .Weight = 0}}})
    CHECK(state.apply(0, {.Body = it}).Result != CommandResult::Accepted);
  CHECK(state.encode() == before);
}

TEST_CASE("the state survives encoding and decoding") {
  StateMachine state = withAdapter();
  state.apply(0, command("x", version(1)));
  state.apply(2000, {.Body = claim(1)});
  StateMachine copy;
  REQUIRE(copy.decode(state.encode()));
  CHECK(copy.encode() == state.encode());
  CHECK(copy.apply(0, command("x", version(1))).Result ==
        CommandResult::Accepted);
  CHECK_FALSE(copy.decode(state.encode().substr(1)));
}

TEST_CASE("a claim is granted to one attempt only") {
  ClaimLedger ledger;
  CHECK(ledger.claim(2000, claim(1)).Result == CommandResult::Accepted);
  CHECK(ledger.claim(2000, claim(1)).Result == CommandResult::Accepted);
  CHECK(ledger.claim(2000, claim(2)).Result == CommandResult::InProgress);
  CHECK(ledger.claim(2000, claim(2, 7)).Result == CommandResult::IdReused);
  CHECK(ledger.end(2000, ending(2, ClaimEnding::NotRun)).Result ==
        CommandResult::Conflict);
  ledger.end(2000, ending(1, ClaimEnding::Answered));
  const CommandOutcome again = ledger.claim(2000, claim(2));
  CHECK(again.Result == CommandResult::AlreadyAnswered);
  CHECK(again.Answer == "receipt");
}

TEST_CASE("a request that did not run may be claimed by another attempt only") {
  ClaimLedger ledger;
  ledger.claim(2000, claim(1));
  ledger.end(2000, ending(1, ClaimEnding::NotRun));
  CHECK(ledger.claim(2000, claim(1)).Result == CommandResult::Invalid);
  CHECK(ledger.claim(2000, claim(2)).Result == CommandResult::Accepted);
}

TEST_CASE("a withdrawal that overtakes its claim prevents the grant") {
  ClaimLedger ledger;
  ledger.end(2000, ending(1, ClaimEnding::NotRun));
  CHECK(ledger.claim(2000, claim(1)).Result == CommandResult::Invalid);
  CHECK(ledger.claim(2000, claim(2)).Result == CommandResult::Accepted);
}

TEST_CASE(
    "a claim whose holder never reports becomes unknown, not granted again") {
  ClaimLedger ledger;
  ledger.claim(2000, claim(1));
  CHECK(ledger.claim(2000 + 119'000, claim(2)).Result ==
        CommandResult::InProgress);
  CHECK(ledger.claim(2000 + 121'000, claim(2)).Result ==
        CommandResult::AlreadyUnknown);
}

TEST_CASE("a claim is removed only when its request can't be resent any more") {
  ClaimLedger ledger;
  ledger.claim(2000, claim(1));
  ledger.end(2000, ending(1, ClaimEnding::Answered));
  ClaimRequest later = claim(2);
  CHECK(ledger.claim(3'600'000, later).Result ==
        CommandResult::AlreadyAnswered);
  CHECK(ledger.claim(3'602'000, later).Result == CommandResult::Invalid);
  ClaimRequest other = claim(3);
  other.Request = RequestId("other");
  other.IssuedAtMilliseconds = 5'000'000;
  ledger.claim(5'000'000, other);
  CHECK(ledger.size() == 1);
  CHECK(ledger.claim(5'000'000, later).Result == CommandResult::Invalid);
}

TEST_CASE("a store of many adapters compacts itself and finds each of them") {
  AdapterStore store;
  for (int round = 0; round < 3; ++round)
    for (int i = 0; i < 5000; ++i)
      store.put({.Name = AdapterName("adapter-" + std::to_string(i)),
                 .BaseModel = "base",
                 .Versions = {{1, "store://" + std::to_string(i), true}},
                 .ChangedAt = static_cast<Revision>(round * 5000 + i + 1)});
  CHECK(store.size() == 5000);
  CHECK(store.memoryBytes() < std::size_t(5000) * 300);
  CHECK(store.find(AdapterName("adapter-77"))->Versions[0].Source ==
        "store://77");
  CHECK_FALSE(store.find(AdapterName("adapter-5000")));
  const auto changed = store.changedSince(14'990);
  REQUIRE(changed.size() == 10);
  CHECK(store.recordAt(changed[9].Handle).Name == AdapterName("adapter-4999"));
}

TEST_CASE("a copy is confirmed for one lease from when its probe was sent") {
  ConfigurationCopy copy({.Lease = 4s});
  TimePoint now{100s};
  CHECK_FALSE(copy.isConfirmed(now));
  const std::uint64_t nonce = copy.beginProbe(now);
  copy.onProbeReply({.Nonce = nonce, .Confirmed = 3});
  CHECK_FALSE(copy.isConfirmed(now)); // Revision 3 hasn't arrived yet.
  copy.apply({.UpTo = 3});
  CHECK(copy.isConfirmed(now + 3900ms));
  CHECK_FALSE(copy.isConfirmed(now + 4s));
  copy.onProbeReply({.Nonce = nonce, .Confirmed = 3}); // A duplicate reply.
  CHECK_FALSE(copy.isConfirmed(now + 4s));
}

TEST_CASE("a copy keeps its revision after older records and partial updates") {
  ConfigurationCopy copy;
  const auto kind = [](const char *name, Revision at) {
    return KindRecord{.Name = KindName(name), .ChangedAt = at};
  };
  copy.apply({.UpTo = 9, .Partial = true, .Records = {kind("a", 5)}});
  CHECK(copy.revision() == 0);
  copy.apply({.UpTo = 9, .Records = {kind("b", 9)}});
  CHECK(copy.revision() == 9);
  copy.apply({.UpTo = 4,
              .Records = {KindRecord{
                  .Name = KindName("a"), .Weight = 7, .ChangedAt = 4}}});
  CHECK(copy.revision() == 9);
  CHECK(copy.findKind(KindName("a"))->Weight == 1);
}

TEST_CASE("a follower applies changes of members and detects missing ones") {
  MemberTable leader({.Lease = 6s, .MaxChanges = 4});
  MemberTable follower;
  const TimePoint now{100s};
  leader.beginTerm(now, 2);
  const auto announce = [&](int i) {
    leader.announce(
        now, {.Host = HostName("w" + std::to_string(i)), .Incarnation = 1});
  };
  announce(1);
  REQUIRE(follower.apply(*leader.updateSince(follower.version())) ==
          MemberUpdateResult::Applied);
  announce(2);
  const auto update = leader.updateSince(follower.version());
  CHECK_FALSE(update->Full);
  CHECK(update->Members.size() == 1);
  announce(3);
  const auto later = leader.updateSince(update->To);
  CHECK(follower.apply(*later) == MemberUpdateResult::Gap);
  CHECK(follower.apply(*update) == MemberUpdateResult::Applied);
  CHECK(follower.apply(*later) == MemberUpdateResult::Applied);
  CHECK(follower.apply(*update) == MemberUpdateResult::Outdated);
  CHECK(follower.members().size() == 3);
  for (int i = 4; i < 20; ++i)
    announce(i);
  CHECK(leader.updateSince(follower.version())->Full);
}

TEST_CASE(
    "a lease expires, and a new leader's table is complete after one lease") {
  MemberTable table({.Lease = 6s});
  const TimePoint now{100s};
  table.beginTerm(now, 1);
  table.announce(now, {.Host = HostName("w"), .Incarnation = 4});
  CHECK(table.renew(now + 5s, HostName("w"), 4));
  CHECK_FALSE(table.renew(now + 5s, HostName("w"), 5));
  CHECK_FALSE(table.complete());
  CHECK(table.expire(now + 10s).empty());
  CHECK(table.complete());
  CHECK(table.expire(now + 12s).size() == 1);
  CHECK(table.members().empty());
}

// With the hosts' lease of 4 s, which suits an interval of 1.2 s, one lost
// announcement of a server that announces itself every 3 s removed that server.
TEST_CASE("a self-registered server has a lease of its own") {
  MemberTable table({.Lease = 4s, .ServerLease = 10s});
  const TimePoint now{100s};
  table.beginTerm(now, 1);
  table.announce(now, {.Host = HostName("agent"), .Incarnation = 1});
  table.announce(now, {.Host = HostName("server"),
                       .Incarnation = 1,
                       .Address = "1.0.0.1:80",
                       .Registered = true});
  CHECK(table.expire(now + 7s) == std::vector{HostName("agent")});
  // A running server may not have announced itself yet.
  CHECK_FALSE(table.complete());
  CHECK(table.expire(now + 10s).empty());
  CHECK(table.complete());
  CHECK(table.expire(now + 11s) == std::vector{HostName("server")});
}

namespace {

MemberRecord registered(const char *process) {
  return {.Host = HostName(process),
          .Address = "1.0.0.1:80",
          .Services = {ServiceName("s")},
          .Registered = true};
}

/// \returns the names of all members, which are those that own the address.
std::string ownerOf(const MemberTable &table) {
  std::string owners;
  for (const auto &[host, it] : table.members())
    owners += host.str();
  return owners;
}

} // namespace

// A network partition can delay a heartbeat until its sender has crashed and a
// new process has registered at the same address.
TEST_CASE("a late heartbeat of a former process doesn't displace the new one") {
  MemberTable table({.Lease = 6s});
  const TimePoint now{100s};
  table.beginTerm(now, 1);
  CHECK(table.announce(now, registered("old"), 1));
  CHECK(table.announce(now + 1s, registered("new"), 1));
  CHECK(ownerOf(table) == "new");
  const MemberVersion version = table.version();
  CHECK_FALSE(table.announce(now + 2s, registered("old"), 3));
  CHECK_FALSE(table.announce(now + 2s, registered("old"), 2));
  CHECK(ownerOf(table) == "new");
  CHECK(table.version() == version);
}

TEST_CASE("a process that continues to send heartbeats gets its address back") {
  MemberTable table({.Lease = 6s});
  const TimePoint now{100s};
  table.beginTerm(now, 1);
  // A new leader knows neither and receives the late announcement last.
  CHECK(table.announce(now, registered("new"), 7));
  CHECK(table.announce(now + 100ms, registered("old"), 4));
  CHECK(ownerOf(table) == "old");
  CHECK_FALSE(table.announce(now + 1200ms, registered("new"), 8));
  CHECK(table.announce(now + 2400ms, registered("new"), 9));
  CHECK(ownerOf(table) == "new");
}

namespace {

MemberRecord process(const char *name, std::uint64_t start,
                     const char *address = "1.0.0.1:80") {
  return {.Host = HostName(name),
          .Incarnation = start,
          .Address = address,
          .Services = {ServiceName("s")},
          .Registered = true};
}

/// The table of a leader at the start of its term.
struct TableUnderTest {
  TableUnderTest() { Table.beginTerm(Now, 1); }
  bool announce(Duration at, const MemberRecord &member, std::uint64_t n) {
    return Table.announce(Now + at, member, n);
  }
  std::uint64_t startOf(const char *name) {
    const auto it = Table.members().find(HostName(name));
    return it == Table.members().end() ? 0 : it->second.Incarnation;
  }
  static constexpr TimePoint Now{100s};
  MemberTable Table{{.Lease = 6s}};
};

} // namespace

TEST_CASE("a server that restarts under its name is accepted at once") {
  TableUnderTest it;
  CHECK(it.announce(0s, process("s", 1000), 9));
  // Its sequence numbers restart at 1; it restarts three times within one
  // lease.
  CHECK(it.announce(1s, process("s", 2000, "1.0.0.2:80"), 1));
  CHECK(it.announce(2s, process("s", 3000), 1));
  CHECK(it.announce(3s, process("s", 4000), 1));
  CHECK(it.startOf("s") == 4000);
  CHECK(it.Table.members().at(HostName("s")).Address == "1.0.0.1:80");
}

TEST_CASE(
    "late announcements of a former process under a name change nothing") {
  TableUnderTest it;
  MemberRecord leaving = process("s", 1000);
  leaving.Leaving = true;
  SECTION("after the new process announced itself") {
    CHECK(it.announce(0s, process("s", 1000), 8));
    CHECK(it.announce(1s, process("s", 2000), 1));
  }
  SECTION("when a new leader receives the former process first") {
    CHECK(it.announce(0s, process("s", 1000), 8));
    it.Table.beginTerm(TableUnderTest::Now + 500ms, 2);
    CHECK(it.announce(600ms, process("s", 1000), 9));
    CHECK(it.announce(1s, process("s", 2000), 1));
  }
  const MemberVersion version = it.Table.version();
  CHECK_FALSE(it.announce(1100ms, leaving, 10));
  CHECK_FALSE(it.announce(1200ms, leaving, 11));
  // The new process continues.
  CHECK(it.announce(2200ms, process("s", 2000), 2));
  CHECK_FALSE(it.announce(2300ms, leaving, 12));
  CHECK(it.Table.version() == version);
  // Nor does the former process's deregistration.
  it.announce(2400ms,
              {.Host = HostName("s"),
               .Incarnation = 1000,
               .Gone = true,
               .Registered = true},
              0);
  CHECK(it.startOf("s") == 2000);
}

TEST_CASE(
    "a process with an earlier start is accepted if the other is silent") {
  TableUnderTest it;
  CHECK(it.announce(0s, process("s", 5000), 3));
  CHECK_FALSE(it.announce(1s, process("s", 4000), 1));
  CHECK(it.announce(2200ms, process("s", 4000), 2));
  CHECK(it.startOf("s") == 4000);
  // The last announcements of the former process arrive late.
  CHECK_FALSE(it.announce(2300ms, process("s", 5000), 4));
  CHECK(it.announce(3400ms, process("s", 4000), 3));
  CHECK_FALSE(it.announce(3500ms, process("s", 5000), 5));
  CHECK(it.startOf("s") == 4000);
}

TEST_CASE("another writer under a server's name changes nothing") {
  TableUnderTest it;
  CHECK(it.announce(0s, process("s", 5000), 3));
  CHECK_FALSE(it.announce(1s, process("s", 0), 9));
  CHECK_FALSE(it.announce(2s, process("s", 0), 10));
  CHECK(it.startOf("s") == 5000);
}

TEST_CASE(
    "a deregistration without an incarnation removes the current process") {
  TableUnderTest it;
  const MemberRecord deregistration{
      .Host = HostName("s"), .Gone = true, .Registered = true};
  CHECK(it.announce(0s, process("s", 5000), 3));
  it.announce(1s, deregistration, 0);
  CHECK(it.startOf("s") == 0);
  // A heartbeat from before the deregistration arrives late.
  CHECK_FALSE(it.announce(2s, process("s", 5000), 4));
  // The deregistration doesn't apply to the next process.
  CHECK(it.announce(3s, process("s", 6000), 1));
  // If it came from a former process, the running one is accepted again later.
  it.announce(4s, deregistration, 0);
  CHECK_FALSE(it.announce(10s, process("s", 6000), 7));
  CHECK(it.announce(20s, process("s", 6000), 15));
}

TEST_CASE(
    "a server without a start time is rejected until its former lease ends") {
  TableUnderTest it;
  CHECK(it.announce(0s, process("s", 0), 9));
  CHECK_FALSE(it.announce(2s, process("s", 0), 1));
  it.Table.expire(TableUnderTest::Now + 7s);
  CHECK(it.announce(8s, process("s", 0), 2));
}

//===----------------------------------------------------------------------===//
// The history of software versions
//===----------------------------------------------------------------------===//

namespace {

const ServiceName Engines("engines");

RecordSoftware stated(const std::string &software) {
  return {.Service = Engines, .Software = software};
}

RecordSoftware retired(const std::string &software) {
  return {.Service = Engines, .Software = software, .Retired = true};
}

std::vector<std::string> versionsOf(const StateMachine &state) {
  const SoftwareRecord *record = state.configuration().findSoftware(Engines);
  return record ? record->Versions : std::vector<std::string>();
}

/// A leader's table of members and its replicated state, in which each command
/// that the history returns is applied, unless the test withholds it.
struct LeaderHistory {
  LeaderHistory() { Members.beginTerm(Now, 1); }

  MemberRecord server(const std::string &name, const std::string &software) {
    return {.Host = HostName(name),
            .Incarnation = 1,
            .Address = name + ":80",
            .Services = {Engines},
            .Registered = true,
            .Software = software};
  }
  std::vector<RecordSoftware> review() {
    const auto commands = History.review(Now, Members, State.configuration());
    for (const RecordSoftware &it : commands)
      History.recordProposed(it);
    return commands;
  }
  void apply(const RecordSoftware &it) {
    CHECK(State.apply(0, {.Body = it}).Result == CommandResult::Accepted);
    History.recordEnded(it);
  }
  /// Lets \p time pass, while the servers of \p softwares announce themselves.
  void run(Duration time, const std::vector<std::string> &softwares) {
    for (const TimePoint end = Now + time; Now < end; Now += 500ms) {
      for (const std::string &it : softwares)
        Members.announce(Now, server("of-" + it, it));
      Members.expire(Now);
      for (const RecordSoftware &it : review())
        apply(it);
    }
  }
  /// Another process begins to lead; it has the state, not the members.
  void changeLeader() {
    Members.beginTerm(Now, ++Term);
    History.reset();
  }

  TimePoint Now{100s};
  std::uint64_t Term = 1;
  MemberTable Members;
  StateMachine State;
  SoftwareHistory History;
};

} // namespace

// Guards against a history that grows with each repeated proposal: every
// revision of the configuration is sent to every process.
TEST_CASE("software that is recorded already makes no new revision",
          "[software-history]") {
  StateMachine state;
  CHECK(state.apply(0, command("", stated("v1"))).At == 1);
  CHECK(state.apply(0, command("", stated("v2"))).At == 2);
  CHECK(state.apply(0, command("", stated("v1"))).At == 2);
  CHECK(state.apply(0, command("", retired("v0"))).At == 2);
  CHECK(versionsOf(state) == std::vector<std::string>{"v1", "v2"});
  CHECK(state.apply(0, command("", retired("v1"))).At == 3);
  CHECK(versionsOf(state) == std::vector<std::string>{"v2"});
  const SoftwareRecord &record = *state.configuration().findSoftware(Engines);
  CHECK(record.ChangedAt == 3);
  CHECK(record.ChangedBy == OperatorName("anna"));
}

// Guards against a record without bound, of a service whose servers each state
// another version, and against one that names a single version then.
TEST_CASE("a service has a bounded number of recorded versions",
          "[software-history]") {
  StateMachine state;
  for (int i = 0; i < 100; ++i)
    state.apply(0, command("", stated("v" + std::to_string(i))));
  CHECK(versionsOf(state).size() == MaxSoftwareVersions);
  CHECK(versionsOf(state).back() == "v99");
  CHECK(state.apply(0, command("", stated(std::string(1000, 'v')))).Result ==
        CommandResult::Invalid);
  CHECK(state.configuration().revision() == 100);
}

// Guards against a history that a restart, or a replica that is sent a
// snapshot, loses.
TEST_CASE("the history of software survives a snapshot", "[software-history]") {
  StateMachine state;
  for (const char *it : {"v1", "", "v2"})
    state.apply(0, command("", stated(it)));
  StateMachine copy;
  REQUIRE(copy.decode(state.encode()));
  CHECK(versionsOf(copy) == std::vector<std::string>{"v1", "", "v2"});
  CHECK(copy.configuration().revision() == 3);
  CHECK(copy.encode() == state.encode());
}

// Guards against versions that nobody records, since only an entry knew them.
TEST_CASE("a leader adds each version that a registered server states",
          "[software-history]") {
  LeaderHistory it;
  it.Members.announce(it.Now, it.server("a", "v1"));
  it.Members.announce(it.Now, {.Host = HostName("agent"),
                               .BaseModel = "engines",
                               .Services = {ServiceName("other")}});
  CHECK(it.review() == std::vector{stated("v1")});
  // In flight: not proposed again.
  it.Now += 5s;
  CHECK(it.review().empty());
  it.apply(stated("v1"));
  it.Now += 5s;
  CHECK(it.review().empty());
  it.Members.announce(it.Now, it.server("b", "v2"));
  CHECK(it.review() == std::vector{stated("v2")});
  // The proposal is lost with the leader: the next one proposes it.
  it.changeLeader();
  it.Members.announce(it.Now, it.server("b", "v2"));
  CHECK(it.review() == std::vector{stated("v2")});
}

// Guards against a version that is retired while callers may still take up its
// streams: since its servers haven't reached a new leader yet, or since they
// were away for a short time.
TEST_CASE("a version is retired when it has had no server for ten minutes",
          "[software-history]") {
  LeaderHistory it;
  it.run(10s, {"v1", "v2"});
  const std::vector<std::string> both{"v1", "v2"};
  const std::vector<std::string> last{"v2"};
  REQUIRE(versionsOf(it.State) == both);
  // The last announcement of v1 counts for a lease of 6 s.
  it.run(605s, last);
  CHECK(versionsOf(it.State) == both);
  SECTION("it is away for longer") {
    it.run(3s, last);
    CHECK(versionsOf(it.State) == last);
  }
  SECTION("it returns") {
    it.run(1s, both);
    it.run(605s, last);
    CHECK(versionsOf(it.State) == both);
  }
  SECTION("another process begins to lead") {
    it.changeLeader();
    it.run(605s, last);
    CHECK(versionsOf(it.State) == both);
    it.run(3s, last);
    CHECK(versionsOf(it.State) == last);
  }
}

// Guards against a server that registers while its version is being retired
// and is told to entries without a record.
TEST_CASE("a version is added again while its retirement is in flight",
          "[software-history]") {
  LeaderHistory it;
  it.apply(stated("v1"));
  it.History.recordProposed(retired("v1"));
  CHECK(it.History.additions(it.server("a", "v1"), it.State.configuration()) ==
        std::vector{stated("v1")});
  it.apply(retired("v1"));
  it.apply(stated("v1"));
  CHECK(it.History.additions(it.server("a", "v1"), it.State.configuration())
            .empty());
}

// Guards against a leader that adds one version of a full record in place of
// another one, and that one again, without end.
TEST_CASE("more versions than a record holds aren't proposed again and again",
          "[software-history]") {
  LeaderHistory it;
  std::vector<std::string> all;
  for (std::size_t i = 0; i < MaxSoftwareVersions + 2; ++i)
    all.push_back("v" + std::to_string(i));
  it.run(10s, all);
  const Revision settled = it.State.configuration().revision();
  it.run(60s, all);
  CHECK(it.State.configuration().revision() == settled);
  CHECK(versionsOf(it.State).size() == MaxSoftwareVersions);
}
