#ifndef PIMENTOFRONT_CONSENSUS_REPLICATED_LOG_H
#define PIMENTOFRONT_CONSENSUS_REPLICATED_LOG_H

#include "GroupStatus.h"
#include "LogStore.h"

#include <deque>
#include <map>
#include <set>

namespace pimentofront {

/// \class ReplicatedLogOptions
/// \ingroup Consensus
struct ReplicatedLogOptions {
  HostName Host;
  std::string Address;
  /// Availability zone of the host; may be empty.
  ZoneName Zone;
  /// Whether this replica may get a vote. Set it to false on hosts of which any
  /// number may be lost at once.
  bool MayVote = true;
  Duration HeartbeatPeriod = std::chrono::milliseconds(150);
  /// A follower that receives nothing from a leader for a random time between
  /// once and twice this value starts a pre-vote.
  Duration ElectionTimeout = std::chrono::milliseconds(600);
  /// Used in place of `ElectionTimeout` by a replica that has just started and
  /// knows no leader, to ask early and repeatedly whether there is one. Long
  /// enough for others that started at the same time, which need some tens of
  /// milliseconds; replicas that ask at the same time may split the votes.
  Duration InitialPreVoteDelay = std::chrono::milliseconds(100);
  /// Subtracted from the leader's lease: the maximum clock drift between
  /// replicas during a lease.
  Duration ClockMargin = std::chrono::milliseconds(60);
  /// Maximum bytes of entries in one message, if there is more than one entry.
  std::size_t MaxBatchBytes = std::size_t(512) << 10;
  /// Maximum bytes of a snapshot in one message.
  std::size_t SnapshotPartBytes = std::size_t(256) << 10;
  /// Number of voters up to which the leader promotes learners.
  std::uint32_t WantedVoters = 3;
  /// A voter that hasn't replied for this time becomes a learner, and a learner
  /// that has caught up gets its vote: the voter may be lost for good, and the
  /// next loss could then take the majority. Together with an election it is
  /// shorter than the time for which a lost host counts after its successor has
  /// started.
  Duration VoterReplaceTimeout = std::chrono::seconds(2);
  /// A learner that hasn't replied for this time is removed from the group. If
  /// it comes back, it asks to join again.
  Duration LearnerForgetTimeout = std::chrono::seconds(60);
  /// A replica that hasn't heard from a leader for this time asks to join: it
  /// may have been removed. Longer than an election.
  Duration RejoinTimeout = std::chrono::seconds(2);
  std::uint64_t Seed = 1;
};

enum class LogRole : std::uint8_t { Follower, Candidate, Leader };

/// \class OutgoingLogMessage
/// \ingroup Consensus
struct OutgoingLogMessage {
  ReplicaDescriptor To;
  Message Content;
};

/// \class LogActions
/// \ingroup Consensus
/// \brief What the caller has to do, in this order: write and sync `Write`,
/// call synced(), send `Messages`, restore the state machine, apply
/// `Committed`.
struct LogActions {
  LogWrite Write;
  std::vector<OutgoingLogMessage> Messages;
  /// Replaces the state of the state machine.
  std::optional<LogSnapshot> Restore;
  /// Newly committed commands, in order of the log. Each is returned once.
  std::vector<LogEntry> Committed;
};

/// \class ReplicatedLog
/// \ingroup Consensus
/// \brief One replica of a log that is replicated with Raft.
///
/// Use it for small, durable state at some thousand commands per second. It
/// isn't meant for bulk data, nor for groups of more than a handful of members.
///
/// Invariants in addition to Raft's own:
/// - A replica counts towards a quorum if it is a voter of the group in the
///   log of the candidate or leader that counts. It grants votes whatever its
///   own log says of its role, since the entry that makes it a voter may not
///   have arrived. Its term and vote belong to its identity, so an emptied disk
///   never counts for the former one.
/// - A replica that has just started grants no vote for an election timeout,
///   since it may have acknowledged a leader's lease before it restarted. The
///   exception is an election whose pre-vote has shown that all voters are in
///   one term and know no leader in it. After a power failure of all replicas
///   nobody holds a lease any more, and waiting for its end would only cost the
///   callers 0.6 s. A leader elected in the meantime has a higher term, which
///   its voters have persisted.
/// - A leader that hasn't received replies from a quorum within an election
///   timeout steps down.
class ReplicatedLog {
public:
  ReplicatedLog(TimePoint now, const ReplicatedLogOptions &options,
                const StoredLog &stored);

  /// Creates a group that consists of this replica alone.
  /// \returns false, without effect, if the log isn't empty or has a group, or
  /// if this replica has a term: it may have voted in another group.
  bool bootstrap(TimePoint now, std::uint64_t wallMilliseconds);
  void onMessage(TimePoint now, std::uint64_t wallMilliseconds,
                 const Message &message);
  /// Checks timeouts and sends heartbeats. Call it every few tens of
  /// milliseconds.
  void tick(TimePoint now, std::uint64_t wallMilliseconds);
  /// Appends a command to the log if this replica is the leader.
  /// \returns the index of its entry, which isn't committed yet.
  std::optional<LogIndex> propose(TimePoint now, std::uint64_t wallMilliseconds,
                                  std::string command);
  /// A replica that may not be in the group asks to join it as a learner. A
  /// follower passes the request on to the leader.
  void onJoin(TimePoint now, const ReplicaDescriptor &replica);
  /// \returns whether this replica should ask to join the group: it isn't a
  /// member by its own log, or not with its present settings, or no leader
  /// treats it as one.
  bool needsToJoin(TimePoint now) const;
  /// \returns how this replica describes itself when it joins a group.
  ReplicaDescriptor self() const;
  /// Announces that this replica is about to stop, so that its vote goes to a
  /// learner before.
  void beginLeave() { Leaving = true; }
  /// \returns whether this replica may stop without weakening the group: it has
  /// no vote, or there is no learner that could have it.
  bool mayStop() const;
  /// Proposes to remove a member, on behalf of an operator.
  /// \returns false if this replica isn't the leader, another change is
  /// pending, or \p host is the leader's own or isn't that of exactly one
  /// member.
  bool removeReplica(TimePoint now, std::uint64_t wallMilliseconds,
                     const HostName &host);

  /// \returns the actions that have accumulated since the last call.
  LogActions takeActions();
  /// Reports that all writes handed out so far are durable.
  void synced(TimePoint now);
  /// Reports that the caller has replaced the entries that \p snapshot covers
  /// in the store.
  void compacted(const LogSnapshot &snapshot);

  LogRole role() const { return Role; }
  ReplicaId id() const { return Id; }
  Term term() const { return Vote.Current; }
  LogIndex commitIndex() const { return Committed; }
  LogIndex lastIndex() const;
  const ReplicaGroup &group() const { return Group; }
  bool isMember() const { return findReplica(Id) != nullptr; }
  /// \returns the leader, if one is known.
  const ReplicaDescriptor *leader() const;
  /// \returns whether this replica is the leader and no other one can be, so
  /// that its state may be read and tickets may be issued.
  bool holdsLease(TimePoint now) const;
  /// \returns the index up to which the state machine must have applied the log
  /// to serve a linearizable read; nothing without a lease, or before an entry
  /// of this leader's term is committed.
  std::optional<LogIndex> readIndex(TimePoint now) const;
  /// \returns a snapshot that covers all entries up to \p index.
  /// \param state the encoded state of the state machine after \p index.
  /// \pre the entries up to \p index have been returned as committed.
  LogSnapshot snapshotAt(LogIndex index, std::string state) const;
  /// \returns entries after \p index, for compaction.
  std::vector<LogEntry> entriesAfter(LogIndex index) const;
  std::size_t entryCount() const { return Entries.size(); }
  /// \returns what this replica knows of its group.
  GroupStatus status(TimePoint now) const;

private:
  struct Progress {
    LogIndex Next = 1;
    LogIndex Match = 0;
    /// When the latest round that it has answered was sent.
    TimePoint AckedRoundSentAt;
    /// When its last reply arrived, at first the start of this leader's term.
    TimePoint LastReplyAt;
    /// It has announced that it is about to stop.
    bool Leaving = false;
    /// A message with entries or a part of a snapshot is unacknowledged.
    bool InFlight = false;
    TimePoint SentAt;
    std::uint64_t SnapshotOffset = 0;
    LogIndex SnapshotIndex = 0;
  };
  /// A heartbeat or replication message, numbered to attribute the replies.
  struct Round {
    std::uint64_t Number = 0;
    TimePoint SentAt;
  };
  /// A snapshot of which some parts have arrived.
  struct PartialSnapshot {
    LogIndex LastIndex = 0;
    Term LastTerm = 0;
    ReplicaGroup Group;
    std::uint64_t TotalSize = 0;
    std::string State;
  };

  // ReplicatedLog.cpp
  Term termAt(LogIndex index) const;
  const LogEntry &entryAt(LogIndex index) const;
  void append(const LogEntry &entry);
  void truncateFrom(LogIndex index);
  void recomputeGroup();
  const ReplicaDescriptor *findReplica(ReplicaId id) const;
  std::size_t voterCount() const;
  std::size_t quorum() const { return voterCount() / 2 + 1; }
  bool isVoter() const;
  /// \returns whether this replica may hold an election: it is a voter, or
  /// was one before a change of the group that may not be committed. If only
  /// this replica has the change, no other one can be elected.
  bool mayCampaign() const;
  /// \returns the group before the entry at `GroupIndex`.
  ReplicaGroup previousGroup() const;
  void sendTo(const ReplicaDescriptor &to, Message message);
  void sendTo(ReplicaId to, Message message);
  void setVote(const Ballot &vote);
  void applyCommitted();

  // Election.cpp
  void becomeFollower(TimePoint now, Term term, ReplicaId leader);
  void startElection(TimePoint now, bool preVote, bool noLeaderKnown = false);
  /// \returns whether every other voter has replied to the pre-vote that it
  /// knows no leader in this term.
  bool noVoterKnowsLeader() const;
  void becomeLeader(TimePoint now, std::uint64_t wallMilliseconds);
  void onVoteRequest(TimePoint now, const VoteRequest &request);
  void onVoteReply(TimePoint now, std::uint64_t wallMilliseconds,
                   const VoteReply &reply);
  bool isUpToDate(const VoteRequest &request) const;
  void resetElectionTimer(TimePoint now);
  TimePoint quorumAckedSince() const;
  TimePoint quorumLastReplyAt() const;

  // Replication.cpp
  void replicateAll(TimePoint now);
  void replicate(TimePoint now, const ReplicaDescriptor &to);
  void sendSnapshotPart(TimePoint now, const ReplicaDescriptor &to,
                        Progress &progress);
  void onAppendRequest(TimePoint now, const AppendRequest &request);
  void onAppendReply(TimePoint now, const AppendReply &reply);
  void onSnapshotPart(TimePoint now, const SnapshotPart &part);
  void onSnapshotReply(TimePoint now, const SnapshotReply &reply);
  bool acceptEntries(const AppendRequest &request);
  void recordRound(TimePoint now, Progress &progress, std::uint64_t round);
  void advanceCommit();
  std::uint64_t beginRound(TimePoint now);

  // GroupChange.cpp
  /// Why a voter should lose its vote, the least urgent reason first.
  enum class ReplaceReason : std::uint8_t {
    None,
    /// Without its availability zone no majority is left.
    ZoneCrowded,
    /// It is about to stop, but takes part until then.
    Leaving,
    /// Its host may be lost together with any others.
    NeverVotes,
    /// It hasn't replied for `VoterReplaceTimeout`.
    Silent,
    /// Its host runs with another disk: this one is lost.
    DiskLost,
  };
  /// A voter, and why it should lose its vote.
  struct ReplaceableVoter {
    ReplicaId Id = 0;
    ReplaceReason Why = ReplaceReason::None;
  };
  /// \returns how long a member hasn't replied; zero for this replica.
  Duration silenceOf(TimePoint now, ReplicaId id) const;
  /// \returns whether a follower has the leader's log at least in part, and has
  /// replied within an election timeout.
  bool takesPart(TimePoint now, ReplicaId id) const;
  /// \returns whether the host of \p member runs with another disk.
  bool isDiskLost(TimePoint now, const ReplicaDescriptor &member) const;
  bool isLeaving(ReplicaId id) const;
  /// \returns whether the group has this replica, with the same address, zone
  /// and right to vote.
  bool isCurrentMember(const ReplicaDescriptor &replica) const;
  /// \returns the number of voters in \p zone other than \p except.
  std::size_t votersIn(const ZoneName &zone, ReplicaId except) const;
  ReplaceReason replaceReason(TimePoint now,
                              const ReplicaDescriptor &voter) const;
  /// \returns the voter with the most urgent reason to lose its vote; no
  /// voter if there is no reason.
  ReplaceableVoter mostReplaceableVoter(TimePoint now) const;
  /// \returns a voter to give up if there are too many.
  ReplaceableVoter surplusVoter(TimePoint now) const;
  /// \returns whether \p learner replies and has the log, so that it can vote.
  bool canBePromoted(TimePoint now, const ReplicaDescriptor &learner) const;
  /// \returns the learner to promote in place of \p former, or null: the one
  /// whose zone has the fewest voters.
  const ReplicaDescriptor *bestLearner(TimePoint now, ReplicaId former) const;
  /// \returns whether the group could commit at once if \p former were no
  /// voter: until it has committed that, a second loss would stop it.
  bool canCommitWithout(TimePoint now, ReplicaId former) const;
  void proposeNextGroupChange(TimePoint now, std::uint64_t wallMilliseconds);
  /// Each of these proposes one change if it is due.
  /// \returns whether it has proposed one.
  bool proposeJoin(TimePoint now, std::uint64_t wallMilliseconds);
  bool proposeVoterChange(TimePoint now, std::uint64_t wallMilliseconds);
  bool proposeForget(TimePoint now, std::uint64_t wallMilliseconds);
  void proposeVote(TimePoint now, std::uint64_t wallMilliseconds, ReplicaId id);
  void proposeLossOfVote(TimePoint now, std::uint64_t wallMilliseconds,
                         const ReplaceableVoter &voter);
  bool changePending() const;
  void proposeGroup(TimePoint now, std::uint64_t wallMilliseconds,
                    const ReplicaGroup &group);

  ReplicatedLogOptions Options;
  ReplicaId Id;
  Ballot Vote;
  LogSnapshot Snapshot;
  std::deque<LogEntry> Entries;
  ReplicaGroup Group;
  /// Index of the entry, or of the snapshot, that the group is from.
  LogIndex GroupIndex = 0;
  LogIndex Committed = 0;
  LogIndex Applied = 0;
  LogIndex Synced = 0;

  LogRole Role = LogRole::Follower;
  ReplicaId Leader = 0;
  bool PreVoting = false;
  std::set<ReplicaId> Votes;
  /// Voters that replied to the pre-vote and know no leader in this term.
  std::set<ReplicaId> VotersWithoutLeader;
  TimePoint LeaderLastSeenAt;
  /// When this replica last was the leader or heard from one, at first when it
  /// started.
  TimePoint InTouchAt;
  /// This replica is about to stop.
  bool Leaving = false;
  /// The voters' answers to the current pre-vote or election.
  std::map<ReplicaId, VoteAnswer> Answers;
  TimePoint ElectionDueAt;
  /// No vote is granted before this time, since this replica may have
  /// acknowledged a leader's lease before it restarted.
  TimePoint NoVoteBefore;
  Random Jitter;

  std::map<ReplicaId, Progress> Followers;
  std::deque<Round> Rounds;
  std::uint64_t LastRound = 0;
  TimePoint NextHeartbeat;
  LogIndex TermStartIndex = 0;
  std::map<HostName, ReplicaDescriptor> PendingJoins;
  std::optional<PartialSnapshot> IncomingSnapshot;
  LogActions Actions;
};

} // namespace pimentofront

#endif
