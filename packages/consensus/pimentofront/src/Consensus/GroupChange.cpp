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
  if (Role != LogRole::Leader) {
    // Terms never decrease on the way, so the request doesn't go in circles.
    const bool known = Leader != 0 && Leader != Id && Leader != replica.Id;
    if (known)
      sendTo(Leader, JoinRequest{replica});
    return;
  }
  if (!isCurrentMember(replica))
    PendingJoins[replica.Host] = replica;
}

bool ReplicatedLog::isCurrentMember(const ReplicaDescriptor &replica) const {
  const ReplicaDescriptor *known = findReplica(replica.Id);
  return known && known->Address == replica.Address &&
         known->NeverVotes == replica.NeverVotes && known->Zone == replica.Zone;
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

Duration ReplicatedLog::silenceOf(TimePoint now, ReplicaId id) const {
  const auto it = Followers.find(id);
  if (id == Id || it == Followers.end())
    return Duration::zero();
  return now - it->second.LastReplyAt;
}

bool ReplicatedLog::takesPart(TimePoint now, ReplicaId id) const {
  const auto it = Followers.find(id);
  return it != Followers.end() && it->second.Match > 0 &&
         silenceOf(now, id) < Options.ElectionTimeout;
}

bool ReplicatedLog::isDiskLost(TimePoint now,
                               const ReplicaDescriptor &member) const {
  // A late request to join may name a former disk, so only the one that takes
  // part is the host's present one.
  if (member.Id == Id || takesPart(now, member.Id))
    return false;
  return std::ranges::any_of(Group.Replicas, [&](const auto &it) {
    return it.Host == member.Host && it.Id != member.Id &&
           (it.Id == Id || takesPart(now, it.Id));
  });
}

bool ReplicatedLog::isLeaving(ReplicaId id) const {
  if (id == Id)
    return Leaving;
  const auto it = Followers.find(id);
  return it != Followers.end() && it->second.Leaving;
}

ReplicatedLog::ReplaceReason
ReplicatedLog::replaceReason(TimePoint now,
                             const ReplicaDescriptor &voter) const {
  if (isDiskLost(now, voter))
    return ReplaceReason::DiskLost;
  if (silenceOf(now, voter.Id) >= Options.VoterReplaceTimeout)
    return ReplaceReason::Silent;
  if (voter.NeverVotes)
    return ReplaceReason::NeverVotes;
  if (isLeaving(voter.Id))
    return ReplaceReason::Leaving;
  const bool crowded = !voter.Zone.str().empty() &&
                       voterCount() >= Options.WantedVoters &&
                       votersIn(voter.Zone, 0) > voterCount() - quorum();
  return crowded ? ReplaceReason::ZoneCrowded : ReplaceReason::None;
}

std::size_t ReplicatedLog::votersIn(const ZoneName &zone,
                                    ReplicaId except) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Group.Replicas, [&](const auto &it) {
        return !it.Learner && it.Id != except && it.Zone == zone;
      }));
}

ReplicatedLog::ReplaceableVoter
ReplicatedLog::mostReplaceableVoter(TimePoint now) const {
  ReplaceableVoter result;
  for (const ReplicaDescriptor &it : Group.Replicas) {
    if (it.Learner)
      continue;
    const ReplaceableVoter candidate{it.Id, replaceReason(now, it)};
    const bool moreUrgent = candidate.Why > result.Why;
    // The leader comes last, since without its vote it steps down.
    const bool preferred = candidate.Why == result.Why && result.Id != 0 &&
                           (result.Id == Id || silenceOf(now, candidate.Id) >
                                                   silenceOf(now, result.Id));
    if (moreUrgent || preferred)
      result = candidate;
  }
  return result;
}

ReplicatedLog::ReplaceableVoter
ReplicatedLog::surplusVoter(TimePoint now) const {
  ReplaceableVoter result = mostReplaceableVoter(now);
  // One that is about to stop may have been killed and restarted meanwhile, so
  // that there is no reason any more.
  for (const ReplicaDescriptor &it : Group.Replicas)
    if (result.Id == 0 && !it.Learner && it.Id != Id)
      result.Id = it.Id;
  return result;
}

bool ReplicatedLog::canBePromoted(TimePoint now,
                                  const ReplicaDescriptor &learner) const {
  if (!learner.Learner || learner.NeverVotes || !takesPart(now, learner.Id) ||
      isLeaving(learner.Id))
    return false;
  return Followers.at(learner.Id).Match + MaxLearnerLag >= lastIndex();
}

const ReplicaDescriptor *ReplicatedLog::bestLearner(TimePoint now,
                                                    ReplicaId former) const {
  const ReplicaDescriptor *result = nullptr;
  for (const ReplicaDescriptor &it : Group.Replicas)
    if (canBePromoted(now, it) &&
        (!result || votersIn(it.Zone, former) < votersIn(result->Zone, former)))
      result = &it;
  return result;
}

bool ReplicatedLog::needsToJoin(TimePoint now) const {
  return !isCurrentMember(self()) || now >= InTouchAt + Options.RejoinTimeout;
}

ReplicaDescriptor ReplicatedLog::self() const {
  return {.Id = Id,
          .Host = Options.Host,
          .Address = Options.Address,
          .NeverVotes = !Options.MayVote,
          .Zone = Options.Zone};
}

bool ReplicatedLog::mayStop() const {
  if (!isVoter() && GroupIndex <= Committed)
    return true;
  // The successor may have its vote already, with this replica's still counted.
  const bool hasSuccessor =
      voterCount() > Options.WantedVoters ||
      std::ranges::any_of(Group.Replicas, [&](const auto &it) {
        return it.Id != Id && it.Learner && !it.NeverVotes;
      });
  return !hasSuccessor;
}

/// Proposes the next change of the group, once the previous one is committed.
/// Votes pass from one replica to another in two steps, since quorums of two
/// groups that differ in one voter always share a replica.
void ReplicatedLog::proposeNextGroupChange(TimePoint now,
                                           std::uint64_t wallMilliseconds) {
  if (changePending())
    return;
  if (!proposeJoin(now, wallMilliseconds) &&
      !proposeVoterChange(now, wallMilliseconds))
    proposeForget(now, wallMilliseconds);
}

/// Adds a joining replica as a learner, or updates what is known of a member. A
/// learner doesn't count towards a quorum, so a replica that lost its disk
/// can't be mistaken for one with the full log.
bool ReplicatedLog::proposeJoin(TimePoint now, std::uint64_t wallMilliseconds) {
  std::erase_if(PendingJoins,
                [&](const auto &it) { return isCurrentMember(it.second); });
  if (PendingJoins.empty())
    return false;
  ReplicaDescriptor replica = PendingJoins.begin()->second;
  ReplicaGroup group = Group;
  const auto member =
      std::ranges::find(group.Replicas, replica.Id, &ReplicaDescriptor::Id);
  const bool joins = member == group.Replicas.end();
  replica.Learner = joins || member->Learner;
  if (joins) {
    group.Replicas.push_back(replica);
    // What is known of an earlier membership may be outdated.
    Followers.erase(replica.Id);
  } else {
    *member = replica;
  }
  proposeGroup(now, wallMilliseconds, group);
  return true;
}

/// Passes the vote of a replica that should lose it to a learner that has
/// caught up.
bool ReplicatedLog::proposeVoterChange(TimePoint now,
                                       std::uint64_t wallMilliseconds) {
  if (voterCount() > Options.WantedVoters) {
    proposeLossOfVote(now, wallMilliseconds, surplusVoter(now));
    return true;
  }
  const ReplaceableVoter former = mostReplaceableVoter(now);
  const ReplicaDescriptor *learner = bestLearner(now, former.Id);
  if (!learner || (former.Id == 0 && voterCount() == Options.WantedVoters))
    return false;
  // A vote passes to another zone only if that makes the zones more even.
  if (former.Why == ReplaceReason::ZoneCrowded &&
      votersIn(learner->Zone, 0) + 1 >=
          votersIn(findReplica(former.Id)->Zone, 0))
    return false;
  // A voter that takes part keeps its vote until the learner has one, so that
  // the group bears a loss in between. One that doesn't loses its vote first:
  // with it the group would need the replies of all others.
  if (former.Why < ReplaceReason::Silent)
    proposeVote(now, wallMilliseconds, learner->Id);
  else if (former.Why == ReplaceReason::DiskLost ||
           canCommitWithout(now, former.Id))
    proposeLossOfVote(now, wallMilliseconds, former);
  else
    return false;
  return true;
}

bool ReplicatedLog::canCommitWithout(TimePoint now, ReplicaId former) const {
  const auto replying =
      std::ranges::count_if(Group.Replicas, [&](const auto &it) {
        const bool replies =
            takesPart(now, it.Id) &&
            silenceOf(now, it.Id) < 2 * Options.HeartbeatPeriod;
        return !it.Learner && it.Id != former && (it.Id == Id || replies);
      });
  return static_cast<std::size_t>(replying) >= (voterCount() - 1) / 2 + 1;
}

void ReplicatedLog::proposeVote(TimePoint now, std::uint64_t wallMilliseconds,
                                ReplicaId id) {
  ReplicaGroup group = Group;
  std::ranges::find(group.Replicas, id, &ReplicaDescriptor::Id)->Learner =
      false;
  proposeGroup(now, wallMilliseconds, group);
}

void ReplicatedLog::proposeLossOfVote(TimePoint now,
                                      std::uint64_t wallMilliseconds,
                                      const ReplaceableVoter &voter) {
  ReplicaGroup group = Group;
  const auto it =
      std::ranges::find(group.Replicas, voter.Id, &ReplicaDescriptor::Id);
  // As a learner it still gets the log, and so learns that it has no vote.
  if (voter.Why == ReplaceReason::DiskLost)
    group.Replicas.erase(it);
  else
    it->Learner = true;
  proposeGroup(now, wallMilliseconds, group);
}

/// Removes learners that seem to be gone for good.
bool ReplicatedLog::proposeForget(TimePoint now,
                                  std::uint64_t wallMilliseconds) {
  ReplicaGroup group = Group;
  const auto n = std::erase_if(group.Replicas, [&](const auto &it) {
    return it.Learner &&
           (silenceOf(now, it.Id) >= Options.LearnerForgetTimeout ||
            isDiskLost(now, it));
  });
  if (n > 0)
    proposeGroup(now, wallMilliseconds, group);
  return n > 0;
}

} // namespace pimentofront
