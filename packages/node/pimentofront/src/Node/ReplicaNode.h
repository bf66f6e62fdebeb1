#ifndef PIMENTOFRONT_NODE_REPLICA_NODE_H
#define PIMENTOFRONT_NODE_REPLICA_NODE_H

#include "LedgerKeeper.h"
#include "Subscribers.h"

#include <functional>
#include <unordered_map>

namespace pimentofront {

/// \class ReplicaNodeOptions
/// \ingroup Node
struct ReplicaNodeOptions {
  ReplicatedLogOptions Log;
  /// Addresses of the other hosts that may have a replica, for joining.
  std::vector<std::string> Others;
  MemberTableOptions Members;
  LoadSchedulerOptions Loads;
  ClaimLedgerOptions Claims;
  QuarantineReviewOptions Quarantine;
  /// An operator's order without a command id is sent again for so long at
  /// most.
  Duration OrdersResentFor = std::chrono::seconds(6);
  AllotmentRules Allotments;
  /// Reads the accounts of the documents in force; may be null.
  const DocumentCodec *Documents = nullptr;
  /// Entries after which the log is replaced by a snapshot.
  std::size_t CompactAfter = 8192;
  /// The same by bytes of entries: documents of operators are large.
  std::size_t CompactAfterBytes = std::size_t(4) << 20;
  /// Replicas with a vote before the first command is accepted: what is
  /// accepted must outlive the loss of a disk from the first one on.
  std::uint32_t VotersAtFirst = 1;
};

/// \class ReplicaNode
/// \ingroup Node
/// \brief A process with a disk that keeps the replicated state; when it leads,
/// also the table of live members and the load scheduler.
class ReplicaNode : public Node {
public:
  ReplicaNode(TimePoint now, const ReplicaNodeOptions &options,
              const StoredLog &stored, LogStore &store, Transport &transport,
              const WallClock &wall);

  void onLinkOpen(TimePoint now, LinkId link, const Hello &hello) override;
  void onMessage(TimePoint now, LinkId link, const Message &message) override;
  void onLinkClosed(TimePoint now, LinkId link) override;
  void tick(TimePoint now) override;

  /// Makes this replica, alone, the group.
  bool bootstrap(TimePoint now);

  /// Whether this replica leads, so that it may announce, propose and read.
  bool leads(TimePoint now) const { return Log.holdsLease(now); }
  /// \returns the peer address of the leader, empty when none is known or it
  /// is this replica.
  std::string leaderAddress() const;
  /// A backend server has registered itself here.
  /// \pre leads(now)
  void announce(TimePoint now, const MemberRecord &member,
                std::uint64_t sequence);
  /// Has the group decide on a command. \p done is called with the outcome, or
  /// with nothing when another leader took over before it was known.
  /// \returns false when this replica can't accept it now.
  using DecisionCallback =
      std::function<void(const std::optional<CommandOutcome> &)>;
  bool propose(TimePoint now, const Command &command, DecisionCallback done);
  /// Has the group decide on an operator's order, sent without a command id, to
  /// evacuate a zone or to take that back. One that may be an earlier order
  /// which comes late gets no outcome: its sender is to ask again.
  /// \returns false when this replica can't accept it now.
  bool orderEvacuation(TimePoint now, const EvacuateZone &order,
                       DecisionCallback done);
  /// \returns the configuration as of now, or null when a newer one may be in
  /// force elsewhere.
  const Configuration *currentConfiguration(TimePoint now) const;
  /// Carries out what was decided: writes, sends, applies. To be called when
  /// the messages at hand have been taken in, so that they share one sync.
  void flush(TimePoint now);
  ReplicaStatus status(TimePoint now) const;
  /// \returns why the store refuses to write, once it has.
  const std::optional<LogStoreError> &storeError() const { return Failure; }

  const ReplicatedLog &log() const { return Log; }
  const StateMachine &state() const { return State; }
  const MemberTable &members() const { return Members; }

private:
  struct PendingProposal {
    /// Set for a command that came over a link.
    LinkId Link = 0;
    std::uint64_t Nonce = 0;
    Term AtTerm = 0;
    /// Set for a command of this process.
    DecisionCallback Done;
  };
  /// A question for the current revision, waiting for its confirmation.
  struct PendingProbe {
    LinkId Link = 0;
    std::uint64_t Nonce = 0;
    /// The round of questions to the leader that it waits for.
    std::uint64_t Round = 0;
  };
  struct PendingRead {
    std::uint64_t Round = 0;
    LogIndex Index = 0;
    MemberVersion Members;
    std::uint32_t Subscribers = 0;
  };
  /// What a follower said of those that it serves.
  struct FollowerSubscribers {
    std::uint32_t Count = 0;
    TimePoint HeardAt;
  };

  bool onLogMessage(TimePoint now, LinkId link, const Message &message);
  bool onLeaderMessage(TimePoint now, LinkId link, const Message &message);
  void onPropose(TimePoint now, LinkId link, const Propose &message);
  void onProbe(TimePoint now, LinkId link, const ProbeRevision &message);
  void onReadIndex(TimePoint now, LinkId link, const ReadIndexRequest &message);
  void onReadIndexReply(const ReadIndexReply &message);
  void onAdmin(TimePoint now, LinkId link, const AdminRequest &message);
  void answerLease(TimePoint now, LinkId link, const HostName &host,
                   bool known);
  void redirect(LinkId link);
  void useOtherLink(ReplicaId replica);
  void sendToReplica(TimePoint now, const ReplicaDescriptor &to,
                     const Message &message);
  /// Ends links to replicas that carry nothing any more.
  void endSilentLinks(TimePoint now);
  std::uint32_t allSubscribers(TimePoint now) const;
  void answerProbes();
  void askLeader(TimePoint now);
  void followLeader(TimePoint now);
  void noteTerm(TimePoint now);
  void applyEntry(TimePoint now, const LogEntry &entry);
  void compactIfDue();
  void giveTickets(TimePoint now);
  void reviewQuarantine(TimePoint now);
  void join(TimePoint now);
  bool acceptsCommands() const;
  void decide(const PendingProposal &proposal, bool ours,
              const CommandOutcome &outcome);
  void pushAddresses();
  std::vector<std::string> groupAddresses() const;

  ReplicaNodeOptions Options;
  LogStore &Store;
  Transport &Network;
  const WallClock &Wall;
  ReplicatedLog Log;
  StateMachine State;
  QuarantineReview Review;
  EvacuationOrders Evacuations;
  MemberTable Members;
  LoadScheduler Loads;
  LedgerKeeper Allotments;
  SendPermitLedger SendPermits;
  Subscribers Listeners;
  LogIndex AppliedIndex = 0;
  std::optional<LogStoreError> Failure;

  std::map<ReplicaId, LinkId> ReplicaLinks;
  std::map<LinkId, ReplicaId> ReplicaOfLink;
  std::map<std::string, LinkId> OpenedTo;
  /// Finds links between replicas that carry nothing any more.
  LinkWatch Watch;
  std::map<HostName, LinkId> AgentLinks;
  std::map<LogIndex, PendingProposal> Proposals;
  std::vector<PendingProbe> Probes;
  std::vector<PendingRead> Reads;
  std::map<ReplicaId, FollowerSubscribers> FollowersSubscribers;
  std::uint64_t ReadRound = 0;
  bool ReadUnderWay = false;
  TimePoint ReadAskedAt;
  /// Leader whose members this follower follows, and the term.
  ReplicaId Followed = 0;
  Term FollowedTerm = 0;
  Term LedTerm = 0;
  /// Fencing tokens given out in this term.
  std::uint64_t FencesGiven = 0;
  /// Bytes of entries since the last snapshot.
  std::size_t BytesSinceSnapshot = 0;
  std::vector<std::string> PushedAddresses;
  TimePoint NextJoin;
  TimePoint NextPush;
};

} // namespace pimentofront

#endif
