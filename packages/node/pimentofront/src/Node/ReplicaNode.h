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
  /// Addresses of the other hosts that may run a replica; join requests are
  /// sent to them.
  std::vector<std::string> PeerAddresses;
  MemberTableOptions Members;
  LoadSchedulerOptions Loads;
  ClaimLedgerOptions Claims;
  QuarantineReviewOptions Quarantine;
  SoftwareHistoryOptions History;
  /// Longest time for which a sender repeats an operator's order that has no
  /// command id.
  Duration OrderResendWindow = std::chrono::seconds(6);
  AllotmentRules Allotments;
  /// Decodes the routing document in force to obtain the client accounts; may
  /// be null.
  const DocumentCodec *Documents = nullptr;
  /// Number of log entries at which the log is compacted into a snapshot.
  std::size_t CompactAfterEntries = 8192;
  /// Bytes of log entries at which the log is compacted into a snapshot:
  /// operators' documents are large.
  std::size_t CompactAfterBytes = std::size_t(4) << 20;
  /// Number of voting replicas required before the first command is accepted,
  /// so that every accepted command survives the loss of a disk.
  std::uint32_t InitialVoters = 1;
};

/// \class ReplicaNode
/// \ingroup Node
/// \brief A replica: stores the log on disk and applies it to the replicated
/// state. The leader also runs the table of live members and the load
/// scheduler.
class ReplicaNode : public Node {
public:
  ReplicaNode(TimePoint now, const ReplicaNodeOptions &options,
              const StoredLog &stored, LogStore &store, Transport &transport,
              const WallClock &wall);

  void onLinkOpen(TimePoint now, LinkId link, const Hello &hello) override;
  void onMessage(TimePoint now, LinkId link, const Message &message) override;
  void onLinkClosed(TimePoint now, LinkId link) override;
  void tick(TimePoint now) override;

  /// Creates a replica group whose only member is this replica.
  bool bootstrap(TimePoint now);

  /// \returns whether this replica is the leader and its lease is valid. Only
  /// then may it announce members, propose commands and read.
  bool leads(TimePoint now) const { return Log.holdsLease(now); }
  /// Announces that this replica is about to stop.
  void beginLeave() { Log.beginLeave(); }
  /// \returns whether this replica may stop without weakening the group.
  bool mayStop() const { return Log.mayStop(); }
  /// \returns the peer address of the leader, empty if none is known or this
  /// replica is the leader.
  std::string leaderAddress() const;
  /// Records a backend server that registered itself with this replica.
  /// \pre leads(now)
  void announce(TimePoint now, const MemberRecord &member,
                std::uint64_t sequence);
  /// Receives the outcome of a command, or nothing if it isn't known.
  using DecisionCallback =
      std::function<void(const std::optional<CommandOutcome> &)>;
  /// Records a backend server that said that it is leaving, or that it has left
  /// (`Gone`), and proposes to record its departure in the replicated state,
  /// since it may not repeat the announcement to another leader.
  /// \returns false if this replica can't accept the command now; the server
  /// has to ask again.
  /// \pre leads(now)
  bool announceDeparture(TimePoint now, const MemberRecord &member,
                         std::uint64_t sequence, DecisionCallback done);
  /// Proposes a command to the group. \p done is called with the outcome, or
  /// with nothing if another leader took over before the outcome was known.
  /// \returns false if this replica can't accept the command now.
  bool propose(TimePoint now, const Command &command, DecisionCallback done);
  /// Proposes an operator's order, sent without a command id, to evacuate a
  /// zone or to end its evacuation. If the order may be a delayed duplicate of
  /// an earlier one, \p done is called without an outcome, and the sender has
  /// to ask again.
  /// \returns false if this replica can't accept the order now.
  bool orderEvacuation(TimePoint now, const EvacuateZone &order,
                       DecisionCallback done);
  /// \returns the current configuration, or null if a newer one may be in force
  /// elsewhere.
  const Configuration *currentConfiguration(TimePoint now) const;
  /// Performs the pending actions of the log: writes entries, sends messages
  /// and applies committed entries. Call it after all available messages have
  /// been processed, so that they share one sync of the disk.
  void flush(TimePoint now);
  ReplicaStatus status(TimePoint now) const;
  /// \returns the error after which this replica stopped writing, if there was
  /// one: a failed write or compaction, or a corrupt snapshot.
  const std::optional<LogStoreError> &storeError() const { return Failure; }

  const ReplicatedLog &log() const { return Log; }
  const StateMachine &state() const { return State; }
  const MemberTable &members() const { return Members; }

private:
  struct PendingProposal {
    /// Set for a command that arrived over a link.
    LinkId Link = 0;
    std::uint64_t Nonce = 0;
    Term AtTerm = 0;
    /// Set for a command that this process proposed itself.
    DecisionCallback Done;
  };
  /// A probe for the current revision that has not been answered yet.
  struct PendingProbe {
    LinkId Link = 0;
    std::uint64_t Nonce = 0;
    /// Round of read-index requests whose result, or a later one, answers the
    /// probe.
    std::uint64_t Round = 0;
  };
  /// Result of a read-index request. It answers the probes once the log is
  /// applied up to Index.
  struct PendingRead {
    std::uint64_t Round = 0;
    LogIndex Index = 0;
    MemberVersion Members;
    std::uint32_t Subscribers = 0;
  };
  /// An announcement that waits until its software version is recorded.
  struct HeldAnnouncement {
    TimePoint ArrivedAt;
    MemberRecord Member;
    std::uint64_t Sequence = 0;
  };
  /// The number of subscribers that a follower last reported.
  struct FollowerReport {
    std::uint32_t Count = 0;
    TimePoint LastReceivedAt;
  };

  bool onLogMessage(TimePoint now, LinkId link, const Message &message);
  bool onLeaderMessage(TimePoint now, LinkId link, const Message &message);
  void onPropose(TimePoint now, LinkId link, const Propose &message);
  void onProbe(TimePoint now, LinkId link, const ProbeRevision &message);
  void onReadIndex(TimePoint now, LinkId link, const ReadIndexRequest &message);
  void onReadIndexReply(TimePoint now, const ReadIndexReply &message);
  /// Subscribes to the leader again if its updates don't arrive, or if the
  /// leader doesn't know this subscriber.
  void checkMembers(TimePoint now, const ReadIndexReply &reply);
  bool isSubscribed(ReplicaId follower) const;
  void onAdmin(TimePoint now, LinkId link, const AdminRequest &message);
  void answerLease(TimePoint now, LinkId link, const HostName &host,
                   bool known);
  /// Remembers or tells at which software version streams began.
  void onStreamMessage(TimePoint now, LinkId link, const Message &message);
  void redirect(LinkId link);
  void useOtherLink(ReplicaId replica);
  void sendToReplica(TimePoint now, const ReplicaDescriptor &to,
                     const Message &message);
  /// Closes links to replicas that no longer deliver messages.
  void closeSilentLinks(TimePoint now);
  std::uint32_t allSubscribers(TimePoint now) const;
  void answerProbes();
  void requestReadIndex(TimePoint now);
  void subscribeToLeader(TimePoint now);
  /// Prepares the state that only a leader holds, once in each term that this
  /// replica leads.
  void ensureTermStarted(TimePoint now);
  void applyEntry(TimePoint now, const LogEntry &entry);
  void compactIfDue();
  void issueTickets(TimePoint now);
  void reviewQuarantine(TimePoint now);
  /// \returns whether each other replica has a link that \p accepts.
  bool allReplicas(const std::function<bool(LinkId)> &accepts) const;
  /// \returns whether all replicas decode RecordSoftware.
  bool recordsSoftware() const;
  /// \returns whether all replicas decode the commands of departures.
  bool recordsDepartures() const;
  /// \returns whether \p member repeats a departure that is recorded.
  bool isRecordedAsLeaving(const MemberRecord &member) const;
  /// Proposes to forget departures that the member table no longer needs.
  void reviewDepartures(TimePoint now);
  /// \returns whether a command that adds what \p member states is in the log
  /// and isn't applied yet.
  bool awaitsSoftwareRecord(TimePoint now, const MemberRecord &member);
  void reviewSoftware(TimePoint now);
  void proposeSoftware(TimePoint now,
                       const std::vector<RecordSoftware> &commands);
  /// Records the announcements that wait for no command any more.
  void releaseAnnouncements();
  void join(TimePoint now);
  bool acceptsCommands() const;
  /// Reports the outcome of a proposal to its sender.
  /// \param ours whether the applied entry is the proposed one, rather than
  /// another leader's entry at the same index.
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
  SoftwareHistory History;
  /// In order of arrival, the last one of each process.
  std::vector<HeldAnnouncement> HeldAnnouncements;
  EvacuationOrders Evacuations;
  MemberTable Members;
  LoadScheduler Loads;
  LedgerKeeper Allotments;
  SendPermitLedger SendPermits;
  Subscribers Listeners;
  /// Of the streams of all entries; not replicated, since each entry tells all
  /// replicas.
  StreamOriginTable Origins;
  LogIndex AppliedIndex = 0;
  std::optional<LogStoreError> Failure;

  std::map<ReplicaId, LinkId> ReplicaLinks;
  std::map<LinkId, ReplicaId> ReplicaOfLink;
  /// Links that this replica opened to other ones.
  std::map<std::string, LinkId> LinksByAddress;
  /// Detects links between replicas that no longer deliver messages.
  LinkWatch Watch;
  std::map<HostName, LinkId> AgentLinks;
  std::map<LogIndex, PendingProposal> Proposals;
  std::vector<PendingProbe> Probes;
  std::vector<PendingRead> Reads;
  std::map<ReplicaId, FollowerReport> SubscribersByFollower;
  std::uint64_t ReadRound = 0;
  bool ReadInFlight = false;
  TimePoint ReadSentAt;
  /// Leader from which this follower receives the members, 0 if none, and the
  /// term in which it subscribed.
  ReplicaId SubscribedLeader = 0;
  Term SubscribedTerm = 0;
  TimePoint SubscribedAt;
  /// A version that the leader's table had at AwaitedSince. This follower's
  /// copy reaches it soon if its subscription works.
  MemberVersion AwaitedMembers;
  TimePoint AwaitedSince;
  Term LedTerm = 0;
  /// Number of fencing tokens issued in this term.
  std::uint64_t FencesIssued = 0;
  /// Token that each link has of this leader in this term.
  std::map<LinkId, std::uint64_t> Fences;
  /// Bytes of entries applied since the last snapshot.
  std::size_t BytesSinceSnapshot = 0;
  std::vector<std::string> PushedAddresses;
  TimePoint NextJoin;
  TimePoint NextDepartureReview;
  TimePoint NextPush;
};

} // namespace pimentofront

#endif
