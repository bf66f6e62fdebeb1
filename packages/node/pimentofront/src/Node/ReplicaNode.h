#ifndef PIMENTOFRONT_NODE_REPLICA_NODE_H
#define PIMENTOFRONT_NODE_REPLICA_NODE_H

#include "Subscribers.h"
#include "pimentofront/Consensus.h"

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
  /// Entries after which the log is replaced by a snapshot.
  std::size_t CompactAfter = 8192;
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
    LinkId Link = 0;
    std::uint64_t Nonce = 0;
    Term AtTerm = 0;
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
  void sendToReplica(const ReplicaDescriptor &to, const Message &message);
  void answerProbes();
  void askLeader(TimePoint now);
  void followLeader(TimePoint now);
  void noteTerm(TimePoint now);
  void applyEntry(const LogEntry &entry);
  void compactIfDue();
  void giveTickets(TimePoint now);
  void join(TimePoint now);
  bool leads(TimePoint now) const { return Log.holdsLease(now); }

  ReplicaNodeOptions Options;
  LogStore &Store;
  Transport &Network;
  const WallClock &Wall;
  ReplicatedLog Log;
  StateMachine State;
  MemberTable Members;
  LoadScheduler Loads;
  Subscribers Listeners;
  LogIndex AppliedIndex = 0;
  std::optional<LogStoreError> Failure;

  std::map<ReplicaId, LinkId> ReplicaLinks;
  std::map<LinkId, ReplicaId> ReplicaOfLink;
  std::map<std::string, LinkId> OpenedTo;
  std::map<HostName, LinkId> AgentLinks;
  std::map<LogIndex, PendingProposal> Proposals;
  std::vector<PendingProbe> Probes;
  std::vector<PendingRead> Reads;
  std::uint64_t ReadRound = 0;
  bool ReadUnderWay = false;
  TimePoint ReadAskedAt;
  /// Leader whose members this follower follows, and the term.
  ReplicaId Followed = 0;
  Term FollowedTerm = 0;
  Term LedTerm = 0;
  TimePoint NextJoin;
  TimePoint NextPush;
};

} // namespace pimentofront

#endif
