#include "pimentofront/Consensus.h"

#include <catch2/catch.hpp>
#include <set>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

/// The stored log of replica 1 of a group of three.
StoredLog storedGroupOfThree(Term term,
                             const std::vector<std::string> &zones = {}) {
  StoredLog stored{.Id = 1, .Vote = {.Current = term}};
  stored.Snapshot = {.LastIndex = 1, .LastTerm = 1};
  for (ReplicaId id = 1; id <= 3; ++id)
    stored.Snapshot.Group.Replicas.push_back(
        {.Id = id,
         .Host = HostName("n" + std::to_string(id)),
         .Address = "a",
         .Zone = ZoneName(zones.empty() ? "" : zones[id - 1])});
  return stored;
}

template <class T> std::vector<T> sent(ReplicatedLog &log) {
  std::vector<T> result;
  for (const OutgoingLogMessage &it : log.takeActions().Messages)
    if (const auto *message = std::get_if<T>(&it.Content))
      result.push_back(*message);
  return result;
}

constexpr TimePoint Start{100s};

/// Makes \p log the leader of its group with the vote of replica 2.
void elect(ReplicatedLog &log, TimePoint now) {
  log.tick(now, 0);
  REQUIRE(log.role() == LogRole::Candidate);
  const Term next = log.term() + 1;
  log.onMessage(
      now, 0,
      VoteReply{2, log.term(), next, /*Granted=*/true, /*PreVote=*/true});
  log.onMessage(now, 0, VoteReply{2, next, next, true, false});
  REQUIRE(log.role() == LogRole::Leader);
}

} // namespace

TEST_CASE("a group of one commits what it has synced") {
  ReplicatedLog log(Start, {.Host = HostName("n1")}, {.Id = 1});
  REQUIRE(log.bootstrap(Start, 5));
  log.takeActions();
  log.synced(Start);
  REQUIRE(log.propose(Start, 7, "x"));
  log.tick(Start + 1s, 8);
  CHECK(log.takeActions().Committed.empty()); // Not synced yet.
  log.synced(Start);
  const LogActions actions = log.takeActions();
  REQUIRE(actions.Committed.size() == 1);
  CHECK(actions.Committed[0].Data == "x");
  CHECK(actions.Committed[0].WallMilliseconds == 7);
}

TEST_CASE("a log that has a group can't be bootstrapped again") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(1));
  CHECK_FALSE(log.bootstrap(Start, 0));
}

TEST_CASE("a replica that has just started grants no vote") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(1));
  const VoteRequest request{
      .From = 2, .CandidateTerm = 5, .LastIndex = 9, .LastTerm = 4};
  log.onMessage(Start + 10ms, 0, request);
  const auto early = sent<VoteReply>(log);
  REQUIRE(early.size() == 1);
  CHECK_FALSE(early[0].Granted);
  log.onMessage(Start + 700ms, 0, request);
  const auto later = sent<VoteReply>(log);
  REQUIRE(later.size() == 1);
  CHECK(later[0].Granted);
}

TEST_CASE("a replica votes once per term and only for an up-to-date log") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(1));
  const TimePoint now = Start + 1s;
  log.onMessage(now, 0, VoteRequest{2, 5, 0, 0, false});
  CHECK_FALSE(sent<VoteReply>(log).at(0).Granted);
  log.onMessage(now, 0, VoteRequest{2, 5, 1, 1, false});
  CHECK(sent<VoteReply>(log).at(0).Granted);
  log.onMessage(now, 0, VoteRequest{3, 5, 1, 1, false});
  CHECK_FALSE(sent<VoteReply>(log).at(0).Granted);
}

TEST_CASE("a vote request doesn't change the term while there is a leader") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(1));
  log.onMessage(
      Start + 1s, 0,
      AppendRequest{
          .From = 3, .LeaderTerm = 2, .PreviousIndex = 1, .PreviousTerm = 1});
  log.onMessage(Start + 1100ms, 0, VoteRequest{2, 9, 5, 5, false});
  CHECK(log.term() == 2);
}

TEST_CASE("a lost disk gives a new identity, whose vote doesn't count") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(1));
  const TimePoint now = Start + 5s;
  log.tick(now, 0);
  log.onMessage(now, 0, VoteReply{99, 1, 2, true, true});
  CHECK(log.role() == LogRole::Candidate);
  CHECK(log.term() == 1);
}

TEST_CASE("a leader's lease counts from when its request was sent") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(1));
  const TimePoint now = Start + 5s;
  elect(log, now);
  CHECK_FALSE(log.holdsLease(now));
  const std::uint64_t round = sent<AppendRequest>(log).at(0).Round;
  log.synced(now);
  // The reply comes late, but the lease counts from when the request was sent.
  log.onMessage(now + 400ms, 0, AppendReply{2, 2, true, 2, round});
  CHECK(log.holdsLease(now + 500ms));
  CHECK_FALSE(log.holdsLease(now + 550ms));
  CHECK_FALSE(log.readIndex(now + 550ms));
}

TEST_CASE("a leader without replies from a quorum steps down") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(1));
  elect(log, Start + 5s);
  log.tick(Start + 5500ms, 0);
  CHECK(log.role() == LogRole::Leader);
  log.tick(Start + 5700ms, 0);
  CHECK(log.role() == LogRole::Follower);
}

TEST_CASE("an entry of an earlier term isn't committed by counting replicas") {
  StoredLog stored = storedGroupOfThree(1);
  stored.Entries = {{1, 2, EntryKind::Command, 0, "old"}};
  ReplicatedLog log(Start, {}, stored);
  elect(log, Start + 5s);
  log.takeActions();
  log.synced(Start + 5s);
  log.onMessage(Start + 5s, 0, AppendReply{2, 2, true, 2, 1});
  CHECK(log.commitIndex() == 1);
  log.onMessage(Start + 5s, 0, AppendReply{2, 2, true, 3, 1});
  CHECK(log.commitIndex() == 3);
}

TEST_CASE("a follower truncates conflicting entries but never committed ones") {
  StoredLog stored = storedGroupOfThree(3);
  stored.Entries = {{2, 2, EntryKind::Command, 0, "a"},
                    {2, 3, EntryKind::Command, 0, "b"}};
  ReplicatedLog log(Start, {}, stored);
  log.onMessage(Start, 0,
                AppendRequest{.From = 2,
                              .LeaderTerm = 3,
                              .PreviousIndex = 2,
                              .PreviousTerm = 2,
                              .Committed = 2,
                              .Entries = {{3, 3, EntryKind::Command, 0, "c"}}});
  CHECK(log.lastIndex() == 3);
  CHECK(log.takeActions().Write.Entries.at(0).Data == "c");
  // An invalid message that would truncate the committed entry 2.
  log.onMessage(Start, 0,
                AppendRequest{.From = 2,
                              .LeaderTerm = 3,
                              .PreviousIndex = 1,
                              .PreviousTerm = 1,
                              .Entries = {{3, 2, EntryKind::Command, 0, "d"}}});
  CHECK_FALSE(sent<AppendReply>(log).at(0).Matched);
  CHECK(log.lastIndex() == 3);
}

namespace {

/// Replica 1 as the leader of a group of three, with simulated followers.
struct LeaderOfThree {
  /// \param zones the zones of the three replicas; may be empty.
  explicit LeaderOfThree(const std::vector<std::string> &zones = {})
      : Log(Start, {}, storedGroupOfThree(1, zones)) {
    elect(Log, Now);
  }

  /// Runs the leader for \p time, with replicas \p alive answering its
  /// messages.
  void run(Duration time, const std::set<ReplicaId> &alive) {
    for (const TimePoint end = Now + time; Now < end; Now += 50ms) {
      Log.tick(Now, 0);
      const LogActions actions = Log.takeActions();
      Log.synced(Now);
      for (const OutgoingLogMessage &it : actions.Messages)
        if (alive.contains(it.To.Id))
          answer(it);
    }
  }
  void answer(const OutgoingLogMessage &message) {
    if (const auto *it = std::get_if<AppendRequest>(&message.Content))
      Log.onMessage(Now, 0,
                    AppendReply{message.To.Id, Log.term(), true,
                                it->PreviousIndex + it->Entries.size(),
                                it->Round});
  }
  std::set<ReplicaId> voters() const { return members(false); }
  std::set<ReplicaId> learners() const { return members(true); }
  std::set<ReplicaId> members(bool learner) const {
    std::set<ReplicaId> result;
    for (const ReplicaDescriptor &it : Log.group().Replicas)
      if (it.Learner == learner)
        result.insert(it.Id);
    return result;
  }

  TimePoint Now = Start + 5s;
  ReplicatedLog Log;
};

} // namespace

TEST_CASE(
    "a learner of another host replaces a voter that is silent for too long") {
  LeaderOfThree leader;
  leader.run(500ms, {2, 3});
  const JoinRequest join{
      {.Id = 4, .Host = HostName("n4"), .Address = "b", .Learner = true}};
  SECTION("not one that replies") {
    leader.Log.onMessage(leader.Now, 0, join);
    leader.run(10s, {2, 3, 4});
    CHECK(leader.voters() == std::set<ReplicaId>{1, 2, 3});
  }
  const Duration limit = ReplicatedLogOptions().VoterReplaceTimeout;
  SECTION("not one that is silent for less than the limit") {
    leader.Log.onMessage(leader.Now, 0, join);
    leader.run(limit - 100ms, {2, 4});
    CHECK(leader.voters() == std::set<ReplicaId>{1, 2, 3});
    leader.run(300ms, {2, 4});
    CHECK(leader.voters() == std::set<ReplicaId>{1, 2, 4});
  }
  SECTION("one that is silent for longer than the limit") {
    leader.run(limit / 2, {2});
    leader.Log.onMessage(leader.Now, 0, join);
    leader.run(limit / 2 + 500ms, {2, 4});
    CHECK(leader.voters() == std::set<ReplicaId>{1, 2, 4});
    CHECK(leader.Log.role() == LogRole::Leader);
    // It keeps its place as a learner, so that it learns that it has no vote.
    leader.run(1s, {2, 3, 4});
    CHECK(leader.learners() == std::set<ReplicaId>{3});
  }
}

// Any number of hosts that don't count may be lost at once.
TEST_CASE("a replica whose host doesn't count gets no vote") {
  LeaderOfThree leader;
  leader.run(500ms, {2, 3});
  leader.Log.onMessage(
      leader.Now, 0,
      JoinRequest{{.Id = 4, .Host = HostName("n4"), .NeverVotes = true}});
  leader.run(10s, {2, 4});
  CHECK(leader.voters() == std::set<ReplicaId>{1, 2, 3});
  CHECK(leader.learners() == std::set<ReplicaId>{4});
  leader.Log.onMessage(leader.Now, 0,
                       JoinRequest{{.Id = 5, .Host = HostName("n5")}});
  leader.run(1s, {2, 4, 5});
  CHECK(leader.voters() == std::set<ReplicaId>{1, 2, 5});
}

// A whole availability zone may be lost at once.
TEST_CASE("votes spread over the availability zones") {
  SECTION("a zone with the majority of the voters gives one away") {
    LeaderOfThree leader({"x", "x", "y"});
    leader.run(500ms, {2, 3});
    const JoinRequest join{
        {.Id = 4, .Host = HostName("n4"), .Zone = ZoneName("z")}};
    leader.Log.onMessage(leader.Now, 0, join);
    leader.run(1s, {2, 3, 4});
    CHECK(leader.voters() == std::set<ReplicaId>{1, 3, 4});
  }
  SECTION("not to a zone that would have as many") {
    LeaderOfThree leader({"x", "x", "y"});
    leader.run(500ms, {2, 3});
    const JoinRequest join{
        {.Id = 4, .Host = HostName("n4"), .Zone = ZoneName("y")}};
    leader.Log.onMessage(leader.Now, 0, join);
    leader.run(1s, {2, 3, 4});
    CHECK(leader.voters() == std::set<ReplicaId>{1, 2, 3});
  }
  SECTION(
      "the learner whose zone has the fewest voters replaces a silent one") {
    LeaderOfThree leader({"x", "y", "z"});
    leader.run(500ms, {2, 3});
    for (const auto &[id, zone] : {std::pair(4, "y"), std::pair(5, "z")})
      leader.Log.onMessage(leader.Now, 0,
                           JoinRequest{{.Id = static_cast<ReplicaId>(id),
                                        .Host = HostName(std::to_string(id)),
                                        .Zone = ZoneName(zone)}});
    leader.run(500ms, {2, 3, 4, 5});
    leader.run(5s, {2, 4, 5});
    CHECK(leader.voters() == std::set<ReplicaId>{1, 2, 5});
  }
}

// The request of a former disk, delayed by a cut, must not take the vote of the
// present one.
TEST_CASE("a late request to join of a lost disk changes no vote") {
  LeaderOfThree leader;
  leader.run(500ms, {2, 3});
  leader.Log.onMessage(leader.Now, 0,
                       JoinRequest{{.Id = 9, .Host = HostName("n3")}});
  leader.Log.onMessage(leader.Now, 0,
                       JoinRequest{{.Id = 4, .Host = HostName("n4")}});
  leader.run(10s, {2, 3, 4});
  CHECK(leader.voters() == std::set<ReplicaId>{1, 2, 3});
  CHECK(leader.learners() == std::set<ReplicaId>{4});
}

// A learner has matched nothing before its first reply, also if the log is
// short.
TEST_CASE("a learner that has never replied gets no vote") {
  LeaderOfThree leader;
  leader.run(500ms, {2, 3});
  leader.Log.onMessage(leader.Now, 0,
                       JoinRequest{{.Id = 4, .Host = HostName("n4")}});
  leader.run(5s, {2});
  CHECK(leader.voters() == std::set<ReplicaId>{1, 2, 3});
}

TEST_CASE("a follower passes a request to join on to the leader") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(1));
  log.onMessage(Start, 0, AppendRequest{.From = 2, .LeaderTerm = 1});
  log.takeActions();
  log.onMessage(Start, 0, JoinRequest{{.Id = 4}});
  const auto actions = log.takeActions();
  REQUIRE(actions.Messages.size() == 1);
  CHECK(actions.Messages[0].To.Id == 2);
  CHECK(std::get<JoinRequest>(actions.Messages[0].Content).Replica.Id == 4);
}

TEST_CASE("a replica asks to join when no leader calls it") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(1));
  log.onMessage(Start + 1s, 0, AppendRequest{.From = 2, .LeaderTerm = 1});
  CHECK_FALSE(log.needsToJoin(Start + 2900ms));
  CHECK(log.needsToJoin(Start + 3s));
}

// A leader ended after only the replica that loses its vote had the entry that
// says so. The others' logs were behind, and it held no election itself.
TEST_CASE("a replica whose loss of vote may not be committed can be elected") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(1));
  ReplicaGroup group = log.group();
  group.Replicas[0].Learner = true;
  group.Replicas.push_back({.Id = 4, .Host = HostName("n4")});
  log.onMessage(Start, 0,
                AppendRequest{.From = 2,
                              .LeaderTerm = 2,
                              .PreviousIndex = 1,
                              .PreviousTerm = 1,
                              .Committed = 1,
                              .Entries = {{.EntryTerm = 2,
                                           .Index = 2,
                                           .Kind = EntryKind::Group,
                                           .Data = encodeGroup(group)}}});
  log.takeActions();
  const TimePoint now = Start + 5s;
  log.tick(now, 0);
  REQUIRE(log.role() == LogRole::Candidate);
  SECTION("with a majority of the voters, itself not counted") {
    const auto vote = [&](ReplicaId from, Term term, bool preVote) {
      log.onMessage(now, 0, VoteReply{from, term, 3, true, preVote});
    };
    vote(3, 2, true);
    CHECK(log.term() == 2);
    vote(4, 2, true);
    CHECK(log.term() == 3);
    vote(3, 3, false);
    CHECK(log.role() == LogRole::Candidate);
    vote(4, 3, false);
    CHECK(log.role() == LogRole::Leader);
  }
  SECTION("not once the loss of its vote is committed") {
    log.onMessage(now, 0,
                  AppendRequest{.From = 2,
                                .LeaderTerm = 2,
                                .PreviousIndex = 2,
                                .PreviousTerm = 2,
                                .Committed = 2});
    log.tick(now + 5s, 0);
    CHECK(log.role() == LogRole::Follower);
  }
}

namespace {

/// The reply of a voter that denies a pre-vote.
VoteReply deniedPreVote(ReplicaId from, Term term, Term asked,
                        bool justStarted) {
  return {.From = from,
          .VoterTerm = term,
          .CandidateTerm = asked,
          .Granted = false,
          .PreVote = true,
          .DeniedByRecentStart = justStarted};
}

} // namespace

// After a power failure of all replicas nobody holds a lease any more. Waiting
// for the end of one added 0.4 to 0.8 s to each recovery.
TEST_CASE("after a power failure of all replicas none waits for a lease") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(4));
  const TimePoint now = Start + 200ms;
  log.tick(now, 0);
  REQUIRE(log.role() == LogRole::Candidate);
  REQUIRE(sent<VoteRequest>(log).at(0).PreVote);
  log.onMessage(now, 0, deniedPreVote(2, 4, 5, true));
  CHECK(sent<VoteRequest>(log).empty()); // Replica 3 may be the leader.
  SECTION("no voter knows a leader") {
    log.onMessage(now, 0, deniedPreVote(3, 4, 5, true));
    const auto asked = sent<VoteRequest>(log);
    REQUIRE(asked.size() == 2);
    CHECK(asked[0].NoLeaderKnown);
    CHECK(asked[0].CandidateTerm == 5);
    log.onMessage(now, 0, VoteReply{2, 5, 5, true, false});
    CHECK(log.role() == LogRole::Leader);
  }
  SECTION("one voter knows a leader") {
    log.onMessage(now, 0, deniedPreVote(3, 4, 5, false));
    CHECK(sent<VoteRequest>(log).empty());
  }
  SECTION(
      "one voter is in an earlier term, where it may still extend a lease") {
    log.onMessage(now, 0, deniedPreVote(3, 3, 5, true));
    CHECK(sent<VoteRequest>(log).empty());
  }
  SECTION(
      "a quorum isn't enough while its own vote is withheld after the start") {
    VoteReply granted = deniedPreVote(2, 4, 5, false);
    granted.Granted = true;
    log.onMessage(now, 0, granted);
    CHECK(sent<VoteRequest>(log).empty());
  }
}

TEST_CASE(
    "a pre-vote reply says whether only the voter's recent start denies it") {
  ReplicatedLog log(Start, {}, storedGroupOfThree(4));
  const TimePoint now = Start + 100ms;
  const VoteRequest probe{.From = 2,
                          .CandidateTerm = 5,
                          .LastIndex = 1,
                          .LastTerm = 1,
                          .PreVote = true};
  log.onMessage(now, 0, probe);
  CHECK(sent<VoteReply>(log).at(0).DeniedByRecentStart);
  VoteRequest behind = probe;
  behind.LastIndex = 0;
  log.onMessage(now, 0, behind);
  CHECK_FALSE(sent<VoteReply>(log).at(0).DeniedByRecentStart);
  VoteRequest vote = probe;
  vote.PreVote = false;
  log.onMessage(now, 0, vote);
  CHECK_FALSE(sent<VoteReply>(log).at(0).Granted);
  vote.NoLeaderKnown = true;
  SECTION("it votes when the request says that there is no leader") {
    log.onMessage(now, 0, vote);
    CHECK(sent<VoteReply>(log).at(0).Granted);
  }
  SECTION("it doesn't vote while it receives messages of a leader") {
    log.onMessage(now, 0, AppendRequest{.From = 3, .LeaderTerm = 4});
    sent<AppendReply>(log);
    log.onMessage(now + 50ms, 0, probe);
    CHECK_FALSE(sent<VoteReply>(log).at(0).DeniedByRecentStart);
    log.onMessage(now + 50ms, 0, vote);
    CHECK_FALSE(sent<VoteReply>(log).at(0).Granted);
  }
}

// First start on a busy machine: the leader of a group of one made replica 2 a
// voter, lost its quorum by that, and stepped down before it had sent the
// entry. It needed the vote of replica 2, which refused for good, since it was
// a learner by its own log.
TEST_CASE(
    "a replica votes for a candidate whose log makes it a voter, before its "
    "own does",
    "[vote-before-promotion]") {
  StoredLog stored{.Id = 2, .Vote = {.Current = 1}};
  stored.Snapshot = {.LastIndex = 4, .LastTerm = 1};
  for (ReplicaId id = 1; id <= 3; ++id)
    stored.Snapshot.Group.Replicas.push_back(
        {.Id = id,
         .Host = HostName("n" + std::to_string(id)),
         .Address = "a",
         .Learner = id != 1});
  ReplicatedLog log(Start, {}, stored);
  log.onMessage(Start + 700ms, 0,
                VoteRequest{.From = 1,
                            .CandidateTerm = 2,
                            .LastIndex = 5,
                            .LastTerm = 1,
                            .PreVote = true});
  const auto replies = sent<VoteReply>(log);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].Granted);
}

// A learner counts as caught up while the log is short, even if it has received
// none of it, so a new voter may have an empty log and no group.
TEST_CASE("a replica with an empty log votes, and then forms no group itself",
          "[vote-before-promotion]") {
  ReplicatedLog log(Start, {}, {.Id = 2});
  log.onMessage(Start + 700ms, 0, VoteRequest{1, 2, 5, 1, false});
  const LogActions actions = log.takeActions();
  REQUIRE(actions.Messages.size() == 1);
  CHECK(std::get<VoteReply>(actions.Messages[0].Content).Granted);
  REQUIRE(actions.Write.Vote);
  // After a restart, too: its own group would begin with a lower term.
  ReplicatedLog restarted(Start + 1s, {},
                          {.Id = 2, .Vote = *actions.Write.Vote});
  CHECK_FALSE(log.bootstrap(Start + 1s, 0));
  CHECK_FALSE(restarted.bootstrap(Start + 1s, 0));
}

TEST_CASE("a learner that acknowledged a leader grants no vote while the lease "
          "may hold",
          "[vote-before-promotion]") {
  StoredLog stored = storedGroupOfThree(1);
  stored.Snapshot.Group.Replicas[0].Learner = true;
  ReplicatedLog log(Start, {}, stored);
  const VoteRequest request{3, 2, 5, 1, false};
  log.onMessage(Start + 100ms, 0, request);
  CHECK_FALSE(sent<VoteReply>(log).at(0).Granted); // It has just started.
  log.onMessage(Start + 1s, 0, AppendRequest{.From = 2, .LeaderTerm = 1});
  sent<AppendReply>(log);
  log.onMessage(Start + 1500ms, 0, request);
  CHECK_FALSE(sent<VoteReply>(log).at(0).Granted);
  CHECK(log.term() == 1);
  log.onMessage(Start + 1700ms, 0, request);
  CHECK(sent<VoteReply>(log).at(0).Granted);
}
