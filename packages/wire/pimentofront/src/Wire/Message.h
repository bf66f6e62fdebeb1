#ifndef PIMENTOFRONT_WIRE_MESSAGE_H
#define PIMENTOFRONT_WIRE_MESSAGE_H

#include "Allotment.h"
#include "AttemptMessages.h"
#include "ConsensusMessages.h"
#include "ControlMessages.h"

namespace pimentofront {

/// \ingroup Wire
/// Anything that one process sends another. The position in this list is the
/// number of the message on the wire: new ones go to the end.
using Message = std::variant<
    Hello, ExecuteRequest, CancelAttempt, AttemptAdmitted, AttemptRefused,
    AttemptChunk, AttemptFinished, AgentLeaving, Announce, RenewLease,
    LeaseReply, NotLeader, LoadDemand, LoadTicket, LoadDone, LoadQueueStatus,
    Subscribe, ProbeRevision, ProbeReply, ConfigurationUpdate, MemberUpdate,
    Propose, ProposeReply, ReadIndexRequest, ReadIndexReply, VoteRequest,
    VoteReply, AppendRequest, AppendReply, SnapshotPart, SnapshotReply,
    JoinRequest, AdminRequest, AdminReply, AttemptPermit, AttemptReleased,
    EngineProfile, ReplicaAddresses, QuarantineUpdate, AllotmentReport,
    AllotmentGrants, AttemptBegan, RateLimitSeen, SendPermitQuery,
    SendPermitReply>;

/// Version of the protocol between processes. A process refuses a `Hello`
/// with a higher one before it reads anything else.
constexpr std::uint32_t ProtocolVersion = 1;

} // namespace pimentofront

#endif
