//===- Replication.cpp - Replication of entries and snapshots ---*- C++ -*-===//

#include "pimentofront/Consensus.h"

#include <algorithm>

namespace pimentofront {
namespace {

constexpr std::size_t MaxRounds = 256;

} // namespace

std::uint64_t ReplicatedLog::beginRound(TimePoint now) {
  Rounds.push_back({++LastRound, now});
  if (Rounds.size() > MaxRounds)
    Rounds.pop_front();
  return LastRound;
}

void ReplicatedLog::recordRound(TimePoint now, Progress &progress,
                                std::uint64_t round) {
  progress.LastReplyAt = now;
  const auto it = std::ranges::find(Rounds, round, &Round::Number);
  if (it != Rounds.end())
    progress.AckedRoundSentAt = std::max(progress.AckedRoundSentAt, it->SentAt);
}

void ReplicatedLog::replicateAll(TimePoint now) {
  NextHeartbeat = now + Options.HeartbeatPeriod;
  for (const ReplicaDescriptor &it : std::vector(Group.Replicas))
    if (it.Id != Id)
      replicate(now, it);
  advanceCommit();
}

void ReplicatedLog::replicate(TimePoint now, const ReplicaDescriptor &to) {
  Progress &progress = Followers[to.Id];
  if (progress.LastReplyAt == TimePoint())
    progress.LastReplyAt = now;
  if (progress.Next <= Snapshot.LastIndex)
    return sendSnapshotPart(now, to, progress);
  AppendRequest request{.From = Id,
                        .LeaderTerm = Vote.Current,
                        .PreviousIndex = progress.Next - 1,
                        .PreviousTerm = termAt(progress.Next - 1),
                        .Committed = Committed,
                        .Round = beginRound(now)};
  // Unacknowledged entries are resent only after an election timeout, when they
  // may have been lost.
  const bool awaitReply =
      progress.InFlight && now < progress.SentAt + Options.ElectionTimeout;
  std::size_t bytes = 0;
  for (LogIndex i = progress.Next; !awaitReply && i <= lastIndex(); ++i) {
    const LogEntry &entry = entryAt(i);
    bytes += entry.Data.size();
    if (!request.Entries.empty() && bytes > Options.MaxBatchBytes)
      break;
    request.Entries.push_back(entry);
  }
  if (!request.Entries.empty()) {
    progress.InFlight = true;
    progress.SentAt = now;
  }
  sendTo(to, std::move(request));
}

void ReplicatedLog::sendSnapshotPart(TimePoint now, const ReplicaDescriptor &to,
                                     Progress &progress) {
  if (progress.SnapshotIndex != Snapshot.LastIndex) {
    progress.SnapshotIndex = Snapshot.LastIndex;
    progress.SnapshotOffset = 0;
    progress.InFlight = false;
  }
  SnapshotPart part{.From = Id,
                    .LeaderTerm = Vote.Current,
                    .LastIndex = Snapshot.LastIndex,
                    .LastTerm = Snapshot.LastTerm,
                    .Group = Snapshot.Group,
                    .Offset = progress.SnapshotOffset,
                    .TotalSize = Snapshot.state().size(),
                    .Round = beginRound(now)};
  const bool awaitReply =
      progress.InFlight && now < progress.SentAt + Options.ElectionTimeout;
  if (awaitReply) {
    // A heartbeat, so that the follower starts no election while the part is
    // unacknowledged.
    return sendTo(to, AppendRequest{.From = Id,
                                    .LeaderTerm = Vote.Current,
                                    .PreviousIndex = Snapshot.LastIndex,
                                    .PreviousTerm = Snapshot.LastTerm,
                                    .Committed = 0,
                                    .Round = part.Round});
  }
  part.Data = Snapshot.state().substr(progress.SnapshotOffset,
                                      Options.SnapshotPartBytes);
  progress.InFlight = true;
  progress.SentAt = now;
  sendTo(to, std::move(part));
}

//===----------------------------------------------------------------------===//
// On a follower
//===----------------------------------------------------------------------===//

void ReplicatedLog::onAppendRequest(TimePoint now,
                                    const AppendRequest &request) {
  AppendReply reply{.From = Id,
                    .FollowerTerm = Vote.Current,
                    .Round = request.Round,
                    .Leaving = Leaving};
  if (request.LeaderTerm < Vote.Current)
    return sendTo(request.From, reply);
  becomeFollower(now, request.LeaderTerm, request.From);
  LeaderLastSeenAt = now;
  InTouchAt = now;
  resetElectionTimer(now);
  reply.FollowerTerm = Vote.Current;
  reply.Matched = acceptEntries(request);
  if (reply.Matched) {
    reply.Index = request.PreviousIndex + request.Entries.size();
    Committed = std::max(Committed, std::min(request.Committed, reply.Index));
    applyCommitted();
  } else {
    // Tell the leader where to retry: not after the end of this log, where
    // nothing can match, and not before the committed entries, which do match.
    const LogIndex guess = std::min(lastIndex(), request.PreviousIndex - 1);
    reply.Index = std::max(guess, Committed);
  }
  sendTo(request.From, reply);
}

bool ReplicatedLog::acceptEntries(const AppendRequest &request) {
  if (request.PreviousIndex > lastIndex())
    return false;
  const bool covered = request.PreviousIndex < Snapshot.LastIndex;
  if (!covered && termAt(request.PreviousIndex) != request.PreviousTerm)
    return false;
  for (const LogEntry &it : request.Entries) {
    if (it.Index <= Snapshot.LastIndex)
      continue;
    if (it.Index <= lastIndex() && termAt(it.Index) == it.EntryTerm)
      continue;
    if (it.Index <= Committed || it.Index > lastIndex() + 1)
      return false;
    if (it.Index <= lastIndex())
      truncateFrom(it.Index);
    append(it);
  }
  return true;
}

void ReplicatedLog::onSnapshotPart(TimePoint now, const SnapshotPart &part) {
  SnapshotReply reply{.From = Id,
                      .FollowerTerm = Vote.Current,
                      .LastIndex = part.LastIndex,
                      .Round = part.Round};
  if (part.LeaderTerm < Vote.Current)
    return sendTo(part.From, reply);
  becomeFollower(now, part.LeaderTerm, part.From);
  LeaderLastSeenAt = now;
  InTouchAt = now;
  resetElectionTimer(now);
  reply.FollowerTerm = Vote.Current;
  if (part.LastIndex <= Committed) {
    reply.Received = part.TotalSize; // All of it is in the log already.
    return sendTo(part.From, reply);
  }
  if (!IncomingSnapshot || IncomingSnapshot->LastIndex != part.LastIndex ||
      IncomingSnapshot->LastTerm != part.LastTerm)
    IncomingSnapshot = PartialSnapshot{part.LastIndex, part.LastTerm,
                                       part.Group, part.TotalSize};
  std::string &state = IncomingSnapshot->State;
  if (part.Offset == state.size())
    state += part.Data;
  reply.Received = state.size();
  if (state.size() >= IncomingSnapshot->TotalSize) {
    Snapshot = LogSnapshot::make(IncomingSnapshot->LastIndex,
                                 IncomingSnapshot->LastTerm,
                                 IncomingSnapshot->Group, std::move(state));
    IncomingSnapshot.reset();
    Entries.clear();
    Actions.Write.Entries.clear();
    Actions.Write.Snapshot = Snapshot;
    Actions.Restore = Snapshot;
    Actions.Committed.clear();
    Committed = Applied = Synced = Snapshot.LastIndex;
    recomputeGroup();
  }
  sendTo(part.From, reply);
}

//===----------------------------------------------------------------------===//
// On the leader
//===----------------------------------------------------------------------===//

void ReplicatedLog::onAppendReply(TimePoint now, const AppendReply &reply) {
  if (reply.FollowerTerm > Vote.Current)
    return becomeFollower(now, reply.FollowerTerm, 0);
  const auto it = Followers.find(reply.From);
  if (Role != LogRole::Leader || it == Followers.end() ||
      reply.FollowerTerm < Vote.Current)
    return;
  Progress &progress = it->second;
  progress.Leaving = reply.Leaving;
  recordRound(now, progress, reply.Round);
  const ReplicaDescriptor *to = findReplica(reply.From);
  if (progress.Next <= Snapshot.LastIndex && !reply.Matched)
    return; // It is receiving a snapshot.
  if (!reply.Matched) {
    progress.Next = std::min(progress.Next, reply.Index + 1);
    progress.InFlight = false;
    if (to)
      replicate(now, *to);
    return;
  }
  const bool advanced = reply.Index > progress.Match;
  progress.Match = std::max(progress.Match, reply.Index);
  progress.Next = std::max(progress.Next, progress.Match + 1);
  if (advanced)
    progress.InFlight = false;
  advanceCommit();
  if (to && !progress.InFlight && progress.Next <= lastIndex())
    replicate(now, *to);
}

void ReplicatedLog::onSnapshotReply(TimePoint now, const SnapshotReply &reply) {
  if (reply.FollowerTerm > Vote.Current)
    return becomeFollower(now, reply.FollowerTerm, 0);
  const auto it = Followers.find(reply.From);
  if (Role != LogRole::Leader || it == Followers.end())
    return;
  Progress &progress = it->second;
  recordRound(now, progress, reply.Round);
  if (reply.LastIndex != Snapshot.LastIndex ||
      progress.Next > Snapshot.LastIndex)
    return;
  progress.InFlight = false;
  progress.SnapshotOffset = reply.Received;
  if (reply.Received >= Snapshot.state().size()) {
    progress.Match = std::max(progress.Match, reply.LastIndex);
    progress.Next = progress.Match + 1;
    progress.SnapshotOffset = 0;
  }
  if (const ReplicaDescriptor *to = findReplica(reply.From))
    replicate(now, *to);
}

void ReplicatedLog::advanceCommit() {
  std::vector<LogIndex> matched;
  for (const ReplicaDescriptor &it : Group.Replicas) {
    if (it.Learner)
      continue;
    const auto follower = Followers.find(it.Id);
    matched.push_back(it.Id == Id                   ? Synced
                      : follower == Followers.end() ? 0
                                                    : follower->second.Match);
  }
  if (matched.size() < quorum() || matched.empty())
    return;
  std::ranges::sort(matched, std::greater<>());
  const LogIndex candidate = matched[quorum() - 1];
  if (candidate <= Committed || termAt(candidate) != Vote.Current)
    return;
  Committed = candidate;
  applyCommitted();
}

} // namespace pimentofront
