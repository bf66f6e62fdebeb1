#ifndef PIMENTOFRONT_WIRE_CONTROL_MESSAGES_H
#define PIMENTOFRONT_WIRE_CONTROL_MESSAGES_H

#include "Allotment.h"
#include "Commands.h"
#include "ConsensusMessages.h"

namespace pimentofront {

/// Agent to leader: registers the agent. Sent once a renewal period and at each
/// change.
struct Announce {
  MemberRecord Member;
  PIMENTOFRONT_FIELDS(Announce, Member)
};

/// Replica to process: the current addresses of the group's members, so that a
/// process continues to work when all replicas that it was configured with have
/// been replaced.
struct ReplicaAddresses {
  std::vector<std::string> Peers;
  PIMENTOFRONT_FIELDS(ReplicaAddresses, Peers)
};

/// Agent to leader: renews the lease; nothing has changed since the last
/// `Announce`.
struct RenewLease {
  HostName Host;
  std::uint64_t Incarnation = 0;
  PIMENTOFRONT_FIELDS(RenewLease, Host, Incarnation)
};

/// Leader to agent. If `Known` is false, the agent has to send `Announce`.
struct LeaseReply {
  bool Known = false;
  Duration Lease = Duration::zero();
  /// Live agents with an engine, to compute the share of the weight store that
  /// an agent uses without a scheduler.
  std::uint32_t Members = 0;
  /// Fencing token for the orders of this incarnation: higher than any token
  /// issued before. Its upper bits are the leader's term, which is persistent.
  std::uint64_t Fence = 0;
  PIMENTOFRONT_FIELDS(LeaseReply, Known, Lease, Members, Fence)
};

/// Replica to process, when the replica is not the leader: the leader's
/// address, empty if unknown.
struct NotLeader {
  std::string LeaderAddress;
  PIMENTOFRONT_FIELDS(NotLeader, LeaderAddress)
};

/// \class LoadDemand
/// \ingroup Wire
/// \brief Agent to load scheduler: requests wait for this adapter. Sent when a
/// demand arises and when it changes significantly.
struct LoadDemand {
  HostName Host;
  std::uint64_t Incarnation = 0;
  AdapterKey Key;
  /// Sum of the weights of the waiting requests; 0 withdraws the demand.
  std::uint32_t WaitingWeight = 0;
  /// Time until the first of them misses its first-event target or has waited
  /// for its adapter as long as it may.
  Duration Slack = Duration::zero();
  PIMENTOFRONT_FIELDS(LoadDemand, Host, Incarnation, Key, WaitingWeight, Slack)
};

/// Load scheduler to agent: the load may begin now.
struct LoadTicket {
  std::uint64_t Ticket = 0;
  AdapterKey Key;
  PIMENTOFRONT_FIELDS(LoadTicket, Ticket, Key)
};

/// Agent to load scheduler: the ticket was used or is not needed any more.
struct LoadDone {
  HostName Host;
  std::uint64_t Ticket = 0;
  /// The load was started, so it used the weight store.
  bool Started = false;
  Duration Took = Duration::zero();
  PIMENTOFRONT_FIELDS(LoadDone, Host, Ticket, Started, Took)
};

/// Load scheduler to agent, in reply to a demand: the expected wait.
struct LoadQueueStatus {
  AdapterKey Key;
  /// Time until the loads that are ordered before this one have ended.
  Duration Backlog = Duration::zero();
  PIMENTOFRONT_FIELDS(LoadQueueStatus, Key, Backlog)
};

/// Process to replica: subscribes to changes after the given versions, of the
/// configuration and, if wanted, of the members and the quarantine.
struct Subscribe {
  HostName Host;
  Revision Known = 0;
  MemberVersion KnownMembers;
  bool WantsMembers = false;
  bool WantsQuarantine = false;
  std::uint64_t KnownQuarantine = 0;
  /// The process decodes SoftwareRecord and, if it is a replica,
  /// RecordSoftware. One of an earlier release would close the link.
  bool TakesSoftware = false;
  /// Of a replica: it decodes RecordDeparture and ForgetDepartures.
  bool TakesDepartures = false;
  PIMENTOFRONT_FIELDS(Subscribe, Host, Known, KnownMembers, WantsMembers,
                      WantsQuarantine, KnownQuarantine, TakesSoftware,
                      TakesDepartures)
};

/// Process to replica: asks whether its configuration is current, and reports
/// the revision that it has in force.
struct ProbeRevision {
  HostName Host;
  std::uint64_t Nonce = 0;
  Revision InForce = 0;
  PIMENTOFRONT_FIELDS(ProbeRevision, Host, Nonce, InForce)
};

/// Replica to process: the newest accepted revision when the probe arrived,
/// confirmed with the leader and its quorum.
struct ProbeReply {
  std::uint64_t Nonce = 0;
  Revision Confirmed = 0;
  /// No membership change up to this version was missed.
  MemberVersion Members;
  /// Processes that subscribe to the configuration, over all replicas: a common
  /// budget is divided among them.
  std::uint32_t Subscribers = 0;
  /// Version of the quarantine ledger at that time.
  std::uint64_t Quarantine = 0;
  /// The replica knows the link on which the probe arrived as a subscriber's.
  bool Subscribed = true;
  PIMENTOFRONT_FIELDS(ProbeReply, Nonce, Confirmed, Members, Subscribers,
                      Quarantine, Subscribed)
};

/// Replica to process: records that changed. After applying them in order a
/// process is at `UpTo`, unless more follow (`Partial`).
struct ConfigurationUpdate {
  Revision UpTo = 0;
  bool Partial = false;
  std::vector<ConfigurationRecord> Records;
  PIMENTOFRONT_FIELDS(ConfigurationUpdate, UpTo, Partial, Records)
};

/// Replica to process: members that changed.
struct MemberUpdate {
  /// The update replaces the receiver's table rather than adding to it.
  bool Full = false;
  /// The leader has led for a whole lease: hosts that are not listed are gone.
  bool Complete = false;
  /// Version before these changes; the receiver subscribes again on a gap.
  MemberVersion From;
  MemberVersion To;
  std::vector<MemberRecord> Members;
  PIMENTOFRONT_FIELDS(MemberUpdate, Full, Complete, From, To, Members)
};

/// Process to leader: apply this command.
struct Propose {
  std::uint64_t Nonce = 0;
  Command Proposal;
  PIMENTOFRONT_FIELDS(Propose, Nonce, Proposal)
};

/// Leader to process: the outcome of a proposal. If not `Decided`, it is
/// unknown.
struct ProposeReply {
  std::uint64_t Nonce = 0;
  bool Decided = false;
  CommandOutcome Outcome;
  PIMENTOFRONT_FIELDS(ProposeReply, Nonce, Decided, Outcome)
};

/// Follower to leader: asks up to which index it must have applied the log to
/// be current.
struct ReadIndexRequest {
  ReplicaId From = 0;
  std::uint64_t Nonce = 0;
  /// Processes that subscribe to the configuration at this replica.
  std::uint32_t Subscribers = 0;
  PIMENTOFRONT_FIELDS(ReadIndexRequest, From, Nonce, Subscribers)
};

struct ReadIndexReply {
  std::uint64_t Nonce = 0;
  std::uint64_t Index = 0;
  MemberVersion Members;
  /// The same, summed over all replicas.
  std::uint32_t Subscribers = 0;
  /// The follower is subscribed to the leader's members.
  bool Subscribed = true;
  PIMENTOFRONT_FIELDS(ReadIndexReply, Nonce, Index, Members, Subscribers,
                      Subscribed)
};

/// Operations of an operator on the replica group itself.
enum class AdminAction : std::uint8_t { Status, RemoveReplica };

/// Process to replica.
struct AdminRequest {
  std::uint64_t Nonce = 0;
  AdminAction Action = AdminAction::Status;
  HostName Host;
  PIMENTOFRONT_FIELDS(AdminRequest, Nonce, Action, Host)
};

/// A process and the revision that it last reported as in force.
struct RevisionInForce {
  HostName Host;
  Revision At = 0;
  PIMENTOFRONT_FIELDS(RevisionInForce, Host, At)
};

/// \class ReplicaStatus
/// \ingroup Wire
/// \brief What one replica reports of itself and of the processes it serves.
struct ReplicaStatus {
  HostName Host;
  std::uint64_t Identity = 0;
  bool Leads = false;
  std::uint64_t Term = 0;
  std::uint64_t CommitIndex = 0;
  Revision Current = 0;
  std::uint32_t Adapters = 0;
  std::uint32_t Claims = 0;
  std::vector<ReplicaDescriptor> Group;
  std::vector<MemberRecord> Members;
  std::vector<RevisionInForce> InForce;
  /// Requests under which backend servers exited.
  std::vector<QuarantineRecord> Quarantine;
  /// Client accounts, if this replica is the leader.
  std::vector<AccountStatus> Accounts;
  /// Prompt parts under which backend servers exited.
  std::vector<PartRecord> Parts;
  PIMENTOFRONT_FIELDS(ReplicaStatus, Host, Identity, Leads, Term, CommitIndex,
                      Current, Adapters, Claims, Group, Members, InForce,
                      Quarantine, Accounts, Parts)
};

/// Replica to process.
struct AdminReply {
  std::uint64_t Nonce = 0;
  bool Done = false;
  ReplicaStatus Status;
  PIMENTOFRONT_FIELDS(AdminReply, Nonce, Done, Status)
};

/// First message on each connection.
struct Hello {
  std::uint32_t Protocol = 0;
  HostName Host;
  /// Identity of the disk; zero when the sender has none, or opened the
  /// connection for another purpose than replication.
  std::uint64_t Replica = 0;
  /// The sender accepted this connection; the other side opened it.
  bool Accepted = false;
  PIMENTOFRONT_FIELDS(Hello, Protocol, Host, Replica, Accepted)
};

} // namespace pimentofront

#endif
