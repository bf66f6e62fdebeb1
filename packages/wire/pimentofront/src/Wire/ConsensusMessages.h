#ifndef PIMENTOFRONT_WIRE_CONSENSUS_MESSAGES_H
#define PIMENTOFRONT_WIRE_CONSENSUS_MESSAGES_H

#include "Fields.h"
#include "pimentofront/Base.h"

#include <vector>

namespace pimentofront {

/// Identity of a replica's disk: drawn when its data folder is created and lost
/// with it, so that a replica whose disk was erased can't vote as if it still
/// had its earlier votes.
using ReplicaId = std::uint64_t;
using Term = std::uint64_t;
using LogIndex = std::uint64_t;

/// \class ReplicaDescriptor
/// \ingroup Wire
/// \brief A member of the replica group.
struct ReplicaDescriptor {
  ReplicaId Id = 0;
  HostName Host;
  std::string Address;
  /// Receives the log, but neither votes nor counts towards a quorum.
  bool Learner = false;
  /// Remains a learner: any number of hosts of this kind may be lost at once.
  bool NeverVotes = false;
  /// Its availability zone; empty if it isn't known.
  ZoneName Zone;
  PIMENTOFRONT_FIELDS(ReplicaDescriptor, Id, Host, Address, Learner, NeverVotes,
                      Zone)
};

/// \class ReplicaGroup
/// \ingroup Wire
/// \brief The members of the group, as of one log entry.
struct ReplicaGroup {
  std::vector<ReplicaDescriptor> Replicas;
  PIMENTOFRONT_FIELDS(ReplicaGroup, Replicas)
};

enum class EntryKind : std::uint8_t { NoOp, Command, Group };

/// \class LogEntry
/// \ingroup Wire
/// \brief One entry of the replicated log.
struct LogEntry {
  Term EntryTerm = 0;
  LogIndex Index = 0;
  EntryKind Kind = EntryKind::NoOp;
  /// Wall clock of the leader that wrote it, in milliseconds since 1970: the
  /// only time that the state machine uses.
  std::uint64_t WallMilliseconds = 0;
  std::string Data;
  PIMENTOFRONT_FIELDS(LogEntry, EntryTerm, Index, Kind, WallMilliseconds, Data)
};

/// Requests a vote, or with `PreVote` asks whether one would be granted
/// (pre-vote).
struct VoteRequest {
  ReplicaId From = 0;
  Term CandidateTerm = 0;
  LogIndex LastIndex = 0;
  Term LastTerm = 0;
  bool PreVote = false;
  /// All voters have replied that they know of no leader in the previous term,
  /// so that no replica holds a lease: any lease that a voter may have
  /// acknowledged before it started has ended.
  bool NoLeaderKnown = false;
  PIMENTOFRONT_FIELDS(VoteRequest, From, CandidateTerm, LastIndex, LastTerm,
                      PreVote, NoLeaderKnown)
};

/// How a replica answers a vote request.
enum class VoteAnswer : std::uint8_t {
  /// No answer, or that of an older release.
  None,
  Granted,
  /// It hears from a leader, or is one.
  LeaderKnown,
  /// It has just started, and may have acknowledged a leader's lease before.
  RecentStart,
  /// The candidate's log is behind its own.
  LogBehind,
  /// It has voted for another replica in this term, or is in a later one.
  OtherTermOrVote,
};

struct VoteReply {
  ReplicaId From = 0;
  Term VoterTerm = 0;
  /// Term of the request, so that late replies are ignored.
  Term CandidateTerm = 0;
  bool Granted = false;
  bool PreVote = false;
  /// A pre-vote was not granted only because this replica has just started and
  /// may have acknowledged a leader's lease before that.
  bool DeniedByRecentStart = false;
  /// For the candidate's log lines; decides nothing.
  VoteAnswer Answer = VoteAnswer::None;
  PIMENTOFRONT_FIELDS(VoteReply, From, VoterTerm, CandidateTerm, Granted,
                      PreVote, DeniedByRecentStart, Answer)
};

struct AppendRequest {
  ReplicaId From = 0;
  Term LeaderTerm = 0;
  LogIndex PreviousIndex = 0;
  Term PreviousTerm = 0;
  LogIndex Committed = 0;
  /// Counts the leader's rounds. The follower returns it, so that the leader
  /// knows since when the follower has recognised it.
  std::uint64_t Round = 0;
  std::vector<LogEntry> Entries;
  PIMENTOFRONT_FIELDS(AppendRequest, From, LeaderTerm, PreviousIndex,
                      PreviousTerm, Committed, Round, Entries)
};

struct AppendReply {
  ReplicaId From = 0;
  Term FollowerTerm = 0;
  bool Matched = false;
  /// Last index known to match, or the index from which to retry.
  LogIndex Index = 0;
  std::uint64_t Round = 0;
  /// The follower is about to stop: its vote should go to a learner.
  bool Leaving = false;
  PIMENTOFRONT_FIELDS(AppendReply, From, FollowerTerm, Matched, Index, Round,
                      Leaving)
};

/// A part of a snapshot; the next one is sent when it is acknowledged.
struct SnapshotPart {
  ReplicaId From = 0;
  Term LeaderTerm = 0;
  LogIndex LastIndex = 0;
  Term LastTerm = 0;
  ReplicaGroup Group;
  std::uint64_t Offset = 0;
  std::uint64_t TotalSize = 0;
  std::string Data;
  std::uint64_t Round = 0;
  PIMENTOFRONT_FIELDS(SnapshotPart, From, LeaderTerm, LastIndex, LastTerm,
                      Group, Offset, TotalSize, Data, Round)
};

struct SnapshotReply {
  ReplicaId From = 0;
  Term FollowerTerm = 0;
  LogIndex LastIndex = 0;
  /// Number of bytes that have been received without a gap.
  std::uint64_t Received = 0;
  std::uint64_t Round = 0;
  PIMENTOFRONT_FIELDS(SnapshotReply, From, FollowerTerm, LastIndex, Received,
                      Round)
};

/// A replica that isn't in the group, or that hears from no leader and may have
/// been removed from it, asks to be added. A follower passes it on to the
/// leader.
struct JoinRequest {
  ReplicaDescriptor Replica;
  PIMENTOFRONT_FIELDS(JoinRequest, Replica)
};

} // namespace pimentofront

#endif
