//===- GroupChange.cpp - Changes of the group's members ---------*- C++ -*-===//

#include "pimentofront/Consensus.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// A learner is promoted when it lacks at most this number of entries.
constexpr LogIndex MaxLearnerLag = 16;

} // namespace

bool ReplicatedLog::changePending() const {
  return GroupIndex > Committed || Committed < TermStartIndex;
}

void ReplicatedLog::onJoin(TimePoint, const ReplicaDescriptor &replica) {
  if (Role == LogRole::Leader && !findReplica(replica.Id))
    PendingJoins[replica.Host] = replica;
}

bool ReplicatedLog::removeReplica(TimePoint now, std::uint64_t wallMilliseconds,
                                  const HostName &host) {
  if (Role != LogRole::Leader || changePending() || host == Options.Host)
    return false;
  ReplicaGroup group = Group;
  if (std::erase_if(group.Replicas,
                    [&](const auto &it) { return it.Host == host; }) != 1)
    return false;
  proposeGroup(now, wallMilliseconds, group);
  return true;
}

void ReplicatedLog::proposeGroup(TimePoint now, std::uint64_t wallMilliseconds,
                                 const ReplicaGroup &group) {
  append({.EntryTerm = Vote.Current,
          .Index = lastIndex() + 1,
          .Kind = EntryKind::Group,
          .WallMilliseconds = wallMilliseconds,
          .Data = encodeGroup(group)});
  NextHeartbeat = now;
}

ReplicaId
ReplicatedLog::voterToReplace(TimePoint now,
                              const ReplicaDescriptor &learner) const {
  for (const ReplicaDescriptor &it : Group.Replicas)
    if (it.Host == learner.Host && !it.Learner)
      return it.Id;
  if (voterCount() < Options.WantedVoters)
    return 0;
  ReplicaId mostSilent = 0;
  TimePoint lastReplyAt = now - Options.VoterReplaceTimeout;
  for (const ReplicaDescriptor &it : Group.Replicas) {
    const auto follower = Followers.find(it.Id);
    if (it.Learner || follower == Followers.end() ||
        follower->second.LastReplyAt > lastReplyAt)
      continue;
    mostSilent = it.Id;
    lastReplyAt = follower->second.LastReplyAt;
  }
  return mostSilent;
}

/// Proposes the next change of the group, once the previous one is committed.
/// The steps are: add a joining replica as a learner; when it has caught up,
/// remove the former identity of its host, whose disk is lost, or a voter that
/// seems to be lost for good; then give the learner a vote. A learner doesn't
/// count towards a quorum before that, so a replica that lost its disk can't be
/// mistaken for one with the full log.
void ReplicatedLog::proposeNextGroupChange(TimePoint now,
                                           std::uint64_t wallMilliseconds) {
  if (changePending())
    return;
  for (const auto &joining : PendingJoins) {
    const HostName &host = joining.first;
    const ReplicaDescriptor &replica = joining.second;
    if (findReplica(replica.Id))
      continue;
    ReplicaGroup group = Group;
    // A former identity of the host that is still a learner is removed in the
    // same step, as it doesn't count towards a quorum.
    std::erase_if(group.Replicas, [&](const auto &it) {
      return it.Host == host && it.Learner;
    });
    group.Replicas.push_back(replica);
    group.Replicas.back().Learner = true;
    return proposeGroup(now, wallMilliseconds, group);
  }
  std::erase_if(PendingJoins,
                [&](const auto &it) { return findReplica(it.second.Id); });
  for (const ReplicaDescriptor &it : Group.Replicas) {
    const auto follower = Followers.find(it.Id);
    if (!it.Learner || follower == Followers.end() ||
        follower->second.Match + MaxLearnerLag < lastIndex())
      continue;
    ReplicaGroup group = Group;
    if (const ReplicaId former = voterToReplace(now, it)) {
      std::erase_if(group.Replicas,
                    [&](const auto &o) { return o.Id == former; });
      return proposeGroup(now, wallMilliseconds, group);
    }
    if (voterCount() >= Options.WantedVoters)
      continue;
    const auto learner =
        std::ranges::find(group.Replicas, it.Id, &ReplicaDescriptor::Id);
    learner->Learner = false;
    return proposeGroup(now, wallMilliseconds, group);
  }
}

} // namespace pimentofront
