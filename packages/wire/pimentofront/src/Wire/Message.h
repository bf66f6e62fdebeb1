#ifndef PIMENTOFRONT_WIRE_MESSAGE_H
#define PIMENTOFRONT_WIRE_MESSAGE_H

#include "Allotment.h"
#include "AttemptMessages.h"
#include "ConsensusMessages.h"
#include "ControlMessages.h"
#include "StreamOrigin.h"

namespace pimentofront {

/// \ingroup Wire
/// Any message between two processes. The position in this list is the type
/// number of the message on the wire: new ones are appended at the end.
using Message = std::variant<
    Hello, ExecuteRequest, CancelAttempt, AttemptAdmitted, AttemptRefused,
    AttemptChunk, AttemptFinished, AgentLeaving, Announce, RenewLease,
    LeaseReply, NotLeader, LoadDemand, LoadTicket, LoadDone, LoadQueueStatus,
    Subscribe, ProbeRevision, ProbeReply, ConfigurationUpdate, MemberUpdate,
    Propose, ProposeReply, ReadIndexRequest, ReadIndexReply, VoteRequest,
    VoteReply, AppendRequest, AppendReply, SnapshotPart, SnapshotReply,
    JoinRequest, AdminRequest, AdminReply, AttemptPermit, AttemptReleased,
    EngineProfile, ReplicaAddresses, QuarantineUpdate, AllotmentReport,
    AllotmentGrants, AttemptBegan, RateLimitReport, SendPermitQuery,
    SendPermitReply, StreamOrigins, StreamOriginQuery, StreamOriginReply>;

/// Version of the protocol between processes. A process rejects a `Hello` with
/// a higher one before it reads anything else.
constexpr std::uint32_t ProtocolVersion = 1;

} // namespace pimentofront

#endif
