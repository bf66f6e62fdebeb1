//===- Election.cpp - Elections and the leader's lease ----------*- C++ -*-===//

#include "pimentofront/Consensus.h"

#include <algorithm>

namespace pimentofront {

void ReplicatedLog::resetElectionTimer(TimePoint now) {
  const bool justStarted = now < NoVoteBefore && Leader == 0;
  ElectionDueAt = now + Jitter.jitter(justStarted ? Options.InitialPreVoteDelay
                                                  : Options.ElectionTimeout);
}

bool ReplicatedLog::noVoterKnowsLeader() const {
  return std::ranges::all_of(Group.Replicas, [&](const auto &it) {
    return it.Learner || it.Id == Id || VotersWithoutLeader.contains(it.Id);
  });
}

void ReplicatedLog::becomeFollower(TimePoint now, Term term, ReplicaId leader) {
  if (term > Vote.Current)
    setVote({.Current = term, .VotedFor = 0});
  if (Role != LogRole::Follower)
    resetElectionTimer(now);
  Role = LogRole::Follower;
  Leader = leader;
  Followers.clear();
  Rounds.clear();
  Votes.clear();
  PendingJoins.clear();
}

void ReplicatedLog::startElection(TimePoint now, bool preVote,
                                  bool noLeaderKnown) {
  Role = LogRole::Candidate;
  Leader = 0;
  PreVoting = preVote;
  Votes.clear();
  if (isVoter())
    Votes.insert(Id);
  VotersWithoutLeader.clear();
  Answers.clear();
  resetElectionTimer(now);
  if (!preVote)
    setVote({.Current = Vote.Current + 1, .VotedFor = Id});
  const VoteRequest request{.From = Id,
                            .CandidateTerm = Vote.Current + (preVote ? 1 : 0),
                            .LastIndex = lastIndex(),
                            .LastTerm = termAt(lastIndex()),
                            .PreVote = preVote,
                            .NoLeaderKnown = noLeaderKnown};
  for (const ReplicaDescriptor &it : Group.Replicas)
    if (it.Id != Id && !it.Learner)
      sendTo(it, request);
  // The only voter has a majority with its own vote.
  if (voterCount() == 1 && isVoter())
    onVoteReply(now, 0,
                {.From = Id,
                 .VoterTerm = Vote.Current,
                 .CandidateTerm = request.CandidateTerm,
                 .Granted = true,
                 .PreVote = preVote});
}

bool ReplicatedLog::isUpToDate(const VoteRequest &request) const {
  const Term ours = termAt(lastIndex());
  if (request.LastTerm != ours)
    return request.LastTerm > ours;
  return request.LastIndex >= lastIndex();
}

void ReplicatedLog::onVoteRequest(TimePoint now, const VoteRequest &request) {
  // The leader's lease depends on this: no vote is granted while the leader may
  // still count this replica in its quorum.
  const bool leaderAlive =
      Role == LogRole::Leader
          ? quorumLastReplyAt() + Options.ElectionTimeout >= now
          : Leader != 0 && LeaderLastSeenAt + Options.ElectionTimeout > now;
  const bool justStarted = now < NoVoteBefore && !request.NoLeaderKnown;
  const bool leaseMayHold = leaderAlive || justStarted;
  VoteReply reply{.From = Id,
                  .VoterTerm = Vote.Current,
                  .CandidateTerm = request.CandidateTerm,
                  .PreVote = request.PreVote};
  // The candidate's log decides whether this replica is a voter, since its own
  // log may lack the entry that makes it one.
  const bool eligible =
      request.CandidateTerm >= Vote.Current && isUpToDate(request);
  const bool mayGrant = eligible && !leaseMayHold;
  reply.Answer = leaderAlive             ? VoteAnswer::LeaderKnown
                 : !isUpToDate(request)  ? VoteAnswer::LogBehind
                 : eligible && !mayGrant ? VoteAnswer::RecentStart
                                         : VoteAnswer::OtherTermOrVote;
  if (request.PreVote) {
    const bool newer = request.CandidateTerm > Vote.Current;
    reply.Granted = mayGrant && newer;
    if (reply.Granted)
      reply.Answer = VoteAnswer::Granted;
    reply.DeniedByRecentStart =
        eligible && newer && !leaderAlive && !reply.Granted;
    return sendTo(request.From, reply);
  }
  if (!leaseMayHold && request.CandidateTerm > Vote.Current)
    becomeFollower(now, request.CandidateTerm, 0);
  const bool voteAvailable =
      Vote.VotedFor == 0 || Vote.VotedFor == request.From;
  reply.Granted =
      mayGrant && request.CandidateTerm == Vote.Current && voteAvailable;
  reply.VoterTerm = Vote.Current;
  if (reply.Granted) {
    reply.Answer = VoteAnswer::Granted;
    setVote({.Current = Vote.Current, .VotedFor = request.From});
    resetElectionTimer(now);
  }
  sendTo(request.From, reply);
}

void ReplicatedLog::onVoteReply(TimePoint now, std::uint64_t wallMilliseconds,
                                const VoteReply &reply) {
  if (Role != LogRole::Candidate || reply.PreVote != PreVoting)
    return;
  Answers[reply.From] = reply.Answer;
  if (reply.VoterTerm > Vote.Current && !reply.Granted)
    return becomeFollower(now, reply.VoterTerm, 0);
  const Term requestedTerm = Vote.Current + (PreVoting ? 1 : 0);
  const ReplicaDescriptor *voter = findReplica(reply.From);
  if (reply.CandidateTerm != requestedTerm || !voter || voter->Learner)
    return;
  const bool noLeader = reply.Granted || reply.DeniedByRecentStart;
  if (PreVoting && noLeader && reply.VoterTerm == Vote.Current)
    VotersWithoutLeader.insert(reply.From);
  if (PreVoting && noVoterKnowsLeader())
    return startElection(now, /*preVote=*/false, /*noLeaderKnown=*/true);
  if (!reply.Granted)
    return;
  Votes.insert(reply.From);
  // The candidate's own vote counts, too, so its own acknowledgement of an
  // earlier lease must have expired.
  const bool ownVoteCounts = !PreVoting || now >= NoVoteBefore;
  if (Votes.size() < quorum() || !ownVoteCounts)
    return;
  if (PreVoting)
    return startElection(now, /*preVote=*/false);
  becomeLeader(now, wallMilliseconds);
}

void ReplicatedLog::becomeLeader(TimePoint now,
                                 std::uint64_t wallMilliseconds) {
  Role = LogRole::Leader;
  Leader = Id;
  Followers.clear();
  Rounds.clear();
  for (const ReplicaDescriptor &it : Group.Replicas)
    if (it.Id != Id)
      Followers[it.Id] = {.Next = lastIndex() + 1, .LastReplyAt = now};
  // Entries of earlier terms are committed indirectly, by an entry of this
  // term.
  TermStartIndex = lastIndex() + 1;
  append({.EntryTerm = Vote.Current,
          .Index = TermStartIndex,
          .Kind = EntryKind::NoOp,
          .WallMilliseconds = wallMilliseconds});
  replicateAll(now);
}

/// \returns the latest time such that a quorum, including this replica, has
/// answered a round that was sent then or later.
TimePoint ReplicatedLog::quorumAckedSince() const {
  std::vector<TimePoint> times;
  for (const ReplicaDescriptor &it : Group.Replicas) {
    if (it.Learner)
      continue;
    const auto follower = Followers.find(it.Id);
    times.push_back(it.Id == Id ? TimePoint::max()
                    : follower == Followers.end()
                        ? TimePoint::min()
                        : follower->second.AckedRoundSentAt);
  }
  if (times.size() < quorum() || times.empty())
    return TimePoint::min();
  std::ranges::sort(times, std::greater<>());
  return times[quorum() - 1];
}

/// \returns the latest time such that a quorum, including this replica, has
/// replied then or later.
TimePoint ReplicatedLog::quorumLastReplyAt() const {
  std::vector<TimePoint> times;
  for (const ReplicaDescriptor &it : Group.Replicas) {
    if (it.Learner)
      continue;
    const auto follower = Followers.find(it.Id);
    times.push_back(it.Id == Id ? TimePoint::max() - Options.ElectionTimeout
                    : follower == Followers.end()
                        ? TimePoint()
                        : follower->second.LastReplyAt);
  }
  if (times.empty())
    return TimePoint();
  std::ranges::sort(times, std::greater<>());
  return times[quorum() - 1];
}

bool ReplicatedLog::holdsLease(TimePoint now) const {
  if (Role != LogRole::Leader)
    return false;
  if (voterCount() == 1 && isVoter())
    return true;
  const TimePoint since = quorumAckedSince();
  if (since == TimePoint::min())
    return false;
  return now < since + Options.ElectionTimeout - Options.ClockMargin;
}

std::optional<LogIndex> ReplicatedLog::readIndex(TimePoint now) const {
  if (!holdsLease(now) || Committed < TermStartIndex)
    return std::nullopt;
  return Committed;
}

} // namespace pimentofront
