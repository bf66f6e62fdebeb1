//===- GroupChange.cpp - Members of the group, one at a time ----*- C++ -*-===//

#include "pimentofront/Consensus.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// A learner is promoted when it lacks no more entries than this.
constexpr LogIndex CaughtUpWithin = 16;

} // namespace

bool ReplicatedLog::changePending() const {
  return GroupIndex > Committed || Committed < LeaderFrom;
}

void ReplicatedLog::onJoin(TimePoint, const ReplicaDescriptor &replica) {
  if (Role == LogRole::Leader && !findReplica(replica.Id))
    Joining[replica.Host] = replica;
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
  ReplicaId longest = 0;
  TimePoint heard = now - Options.ReplaceAfter;
  for (const ReplicaDescriptor &it : Group.Replicas) {
    const auto follower = Followers.find(it.Id);
    if (it.Learner || follower == Followers.end() ||
        follower->second.HeardAt > heard)
      continue;
    longest = it.Id;
    heard = follower->second.HeardAt;
  }
  return longest;
}

/// One step at a time, each only when the one before is committed: take in
/// who asks, as a learner; when it has caught up, take the host's former
/// identity out, whose disk is lost, or a voter that seems gone for good; then
/// give the learner a vote. A learner never counts before, so a lost disk can't
/// be mistaken for a full one.
void ReplicatedLog::reviewGroup(TimePoint now, std::uint64_t wallMilliseconds) {
  if (changePending())
    return;
  for (const auto &joining : Joining) {
    const HostName &host = joining.first;
    const ReplicaDescriptor &replica = joining.second;
    if (findReplica(replica.Id))
      continue;
    ReplicaGroup group = Group;
    // An earlier identity that was never more than a learner just goes.
    std::erase_if(group.Replicas, [&](const auto &it) {
      return it.Host == host && it.Learner;
    });
    group.Replicas.push_back(replica);
    group.Replicas.back().Learner = true;
    return proposeGroup(now, wallMilliseconds, group);
  }
  std::erase_if(Joining,
                [&](const auto &it) { return findReplica(it.second.Id); });
  for (const ReplicaDescriptor &it : Group.Replicas) {
    const auto follower = Followers.find(it.Id);
    if (!it.Learner || follower == Followers.end() ||
        follower->second.Match + CaughtUpWithin < lastIndex())
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
