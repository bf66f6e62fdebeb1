#include "pimentofront/Consensus.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {

ReplicatedLog::ReplicatedLog(TimePoint now, const ReplicatedLogOptions &options,
                             const StoredLog &stored)
    : Options(options), Id(stored.Id), Vote(stored.Vote),
      Snapshot(stored.Snapshot),
      Entries(stored.Entries.begin(), stored.Entries.end()),
      Committed(stored.Snapshot.LastIndex), Applied(stored.Snapshot.LastIndex),
      InTouchAt(now), Jitter(options.Seed ^ stored.Id) {
  assert(Id != 0 && "a store has an identity before a replica uses it");
  Synced = lastIndex();
  recomputeGroup();
  NoVoteBefore = now + Options.ElectionTimeout;
  resetElectionTimer(now);
  if (Snapshot.LastIndex > 0)
    Actions.Restore = Snapshot;
}

LogIndex ReplicatedLog::lastIndex() const {
  return Snapshot.LastIndex + Entries.size();
}

Term ReplicatedLog::termAt(LogIndex index) const {
  if (index == Snapshot.LastIndex)
    return Snapshot.LastTerm;
  if (index < Snapshot.LastIndex || index > lastIndex())
    return 0;
  return entryAt(index).EntryTerm;
}

const LogEntry &ReplicatedLog::entryAt(LogIndex index) const {
  assert(index > Snapshot.LastIndex && index <= lastIndex());
  return Entries[index - Snapshot.LastIndex - 1];
}

std::vector<LogEntry> ReplicatedLog::entriesAfter(LogIndex index) const {
  const LogIndex from = std::max(index, Snapshot.LastIndex);
  const auto skip = static_cast<std::ptrdiff_t>(from - Snapshot.LastIndex);
  return {Entries.begin() + skip, Entries.end()};
}

void ReplicatedLog::append(const LogEntry &entry) {
  assert(entry.Index == lastIndex() + 1);
  Entries.push_back(entry);
  Actions.Write.Entries.push_back(entry);
  if (entry.Kind == EntryKind::Group)
    recomputeGroup();
}

void ReplicatedLog::truncateFrom(LogIndex index) {
  assert(index > Committed && "what is committed is never cut");
  while (lastIndex() >= index)
    Entries.pop_back();
  std::erase_if(Actions.Write.Entries,
                [&](const LogEntry &it) { return it.Index >= index; });
  Synced = std::min(Synced, index - 1);
  recomputeGroup();
}

/// Sets the group to that of the latest group entry in the log, committed or
/// not.
void ReplicatedLog::recomputeGroup() {
  for (auto it = Entries.rbegin(); it != Entries.rend(); ++it) {
    if (it->Kind != EntryKind::Group)
      continue;
    const auto group = decodeGroup(it->Data);
    assert(group && "the store has checked its records");
    Group = *group;
    GroupIndex = it->Index;
    return;
  }
  Group = Snapshot.Group;
  GroupIndex = Snapshot.LastIndex;
}

const ReplicaDescriptor *ReplicatedLog::findReplica(ReplicaId id) const {
  const auto it = std::ranges::find(Group.Replicas, id, &ReplicaDescriptor::Id);
  return it == Group.Replicas.end() ? nullptr : &*it;
}

std::size_t ReplicatedLog::voterCount() const {
  return static_cast<std::size_t>(
      std::ranges::count(Group.Replicas, false, &ReplicaDescriptor::Learner));
}

bool ReplicatedLog::isVoter() const {
  const ReplicaDescriptor *self = findReplica(Id);
  return self && !self->Learner;
}

ReplicaGroup ReplicatedLog::previousGroup() const {
  for (auto it = Entries.rbegin(); it != Entries.rend(); ++it)
    if (it->Kind == EntryKind::Group && it->Index < GroupIndex)
      return *decodeGroup(it->Data);
  return Snapshot.Group;
}

bool ReplicatedLog::mayCampaign() const {
  if (isVoter())
    return true;
  if (GroupIndex <= Committed)
    return false;
  const ReplicaGroup previous = previousGroup();
  const auto it =
      std::ranges::find(previous.Replicas, Id, &ReplicaDescriptor::Id);
  return it != previous.Replicas.end() && !it->Learner;
}

const ReplicaDescriptor *ReplicatedLog::leader() const {
  return Leader == 0 ? nullptr : findReplica(Leader);
}

void ReplicatedLog::sendTo(const ReplicaDescriptor &to, Message message) {
  Actions.Messages.push_back({to, std::move(message)});
}

void ReplicatedLog::sendTo(ReplicaId to, Message message) {
  // A learner without a group knows only the identity of the sender. The caller
  // of this class maps the identity to a connection.
  const ReplicaDescriptor *known = findReplica(to);
  sendTo(known ? *known : ReplicaDescriptor{.Id = to}, std::move(message));
}

void ReplicatedLog::setVote(const Ballot &vote) {
  if (vote == Vote)
    return;
  Vote = vote;
  Actions.Write.Vote = vote;
}

bool ReplicatedLog::bootstrap(TimePoint now, std::uint64_t wallMilliseconds) {
  if (lastIndex() != 0 || !Group.Replicas.empty() || Vote.Current != 0)
    return false;
  const ReplicaGroup group{{self()}};
  setVote({.Current = 1, .VotedFor = Id});
  append({.EntryTerm = 1,
          .Index = 1,
          .Kind = EntryKind::Group,
          .WallMilliseconds = wallMilliseconds,
          .Data = encodeGroup(group)});
  becomeLeader(now, wallMilliseconds);
  return true;
}

void ReplicatedLog::onMessage(TimePoint now, std::uint64_t wallMilliseconds,
                              const Message &message) {
  if (const auto *it = std::get_if<VoteRequest>(&message))
    return onVoteRequest(now, *it);
  if (const auto *it = std::get_if<VoteReply>(&message))
    return onVoteReply(now, wallMilliseconds, *it);
  if (const auto *it = std::get_if<AppendRequest>(&message))
    return onAppendRequest(now, *it);
  if (const auto *it = std::get_if<AppendReply>(&message))
    return onAppendReply(now, *it);
  if (const auto *it = std::get_if<SnapshotPart>(&message))
    return onSnapshotPart(now, *it);
  if (const auto *it = std::get_if<SnapshotReply>(&message))
    return onSnapshotReply(now, *it);
  if (const auto *it = std::get_if<JoinRequest>(&message))
    return onJoin(now, it->Replica);
}

void ReplicatedLog::tick(TimePoint now, std::uint64_t wallMilliseconds) {
  if (Role == LogRole::Leader) {
    const bool quorumLost = quorumLastReplyAt() + Options.ElectionTimeout < now;
    if (quorumLost)
      return becomeFollower(now, Vote.Current, 0);
    InTouchAt = now;
    const bool lostOwnVote = !isVoter() && !changePending();
    if (lostOwnVote)
      return becomeFollower(now, Vote.Current, 0);
    proposeNextGroupChange(now, wallMilliseconds);
    if (now >= NextHeartbeat)
      replicateAll(now);
    return;
  }
  if (now >= ElectionDueAt && mayCampaign())
    startElection(now, /*preVote=*/true);
}

std::optional<LogIndex> ReplicatedLog::propose(TimePoint now,
                                               std::uint64_t wallMilliseconds,
                                               std::string command) {
  if (Role != LogRole::Leader)
    return std::nullopt;
  append({.EntryTerm = Vote.Current,
          .Index = lastIndex() + 1,
          .Kind = EntryKind::Command,
          .WallMilliseconds = wallMilliseconds,
          .Data = std::move(command)});
  NextHeartbeat = now; // Sends it at the next tick() or synced().
  return lastIndex();
}

void ReplicatedLog::applyCommitted() {
  while (Applied < Committed) {
    ++Applied;
    const LogEntry &entry = entryAt(Applied);
    if (entry.Kind == EntryKind::Command)
      Actions.Committed.push_back(entry);
  }
}

LogActions ReplicatedLog::takeActions() { return std::exchange(Actions, {}); }

void ReplicatedLog::synced(TimePoint now) {
  Synced = lastIndex();
  if (Role != LogRole::Leader)
    return;
  advanceCommit();
  if (now >= NextHeartbeat)
    replicateAll(now);
}

GroupStatus ReplicatedLog::status(TimePoint now) const {
  GroupStatus result{.IsMember = isMember(), .IsVoter = isVoter()};
  const bool leads = Role == LogRole::Leader;
  int replyingVoters = 0;
  for (const ReplicaDescriptor &it : Group.Replicas) {
    MemberStatus member{.Replica = it};
    const auto follower = Followers.find(it.Id);
    if (leads && follower != Followers.end()) {
      member.Match = follower->second.Match;
      member.Replies =
          now <= follower->second.LastReplyAt + Options.ElectionTimeout;
    } else if (it.Id == Id) {
      member.Match = lastIndex();
    }
    const auto answer = Answers.find(it.Id);
    if (Role == LogRole::Candidate && answer != Answers.end())
      member.Answer = answer->second;
    ++(it.Learner ? result.Learners : result.Voters);
    result.Silent += member.Replies ? 0 : 1;
    replyingVoters += !it.Learner && member.Replies ? 1 : 0;
    result.Members.push_back(member);
  }
  if (leads)
    result.SpareVoters = replyingVoters - static_cast<int>(quorum());
  const bool knowsLeader =
      leads || now <= InTouchAt + 2 * Options.ElectionTimeout;
  if (!knowsLeader)
    result.WithoutLeader = now - InTouchAt;
  return result;
}

LogSnapshot ReplicatedLog::snapshotAt(LogIndex index, std::string state) const {
  assert(index <= Applied && "only what was applied can be covered");
  LogSnapshot result =
      LogSnapshot::make(index, termAt(index), Snapshot.Group, std::move(state));
  for (const LogEntry &it : Entries)
    if (it.Kind == EntryKind::Group && it.Index <= index)
      result.Group = *decodeGroup(it.Data);
  return result;
}

void ReplicatedLog::compacted(const LogSnapshot &snapshot) {
  assert(snapshot.LastIndex <= Applied && "only what was applied is covered");
  while (!Entries.empty() && Entries.front().Index <= snapshot.LastIndex)
    Entries.pop_front();
  Snapshot = snapshot;
}

} // namespace pimentofront
