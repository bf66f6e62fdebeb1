#ifndef PIMENTOFRONT_WIRE_RECORDS_H
#define PIMENTOFRONT_WIRE_RECORDS_H

#include "Fields.h"
#include "pimentofront/Base.h"

#include <optional>
#include <variant>
#include <vector>

namespace pimentofront {

/// Number of a state of the configuration; increases with each accepted change.
using Revision = std::uint64_t;

/// \class VersionRecord
/// \ingroup Wire
/// \brief One version of an adapter. Its contents never change.
struct VersionRecord {
  VersionNumber Number = 0;
  /// Where the weight store has it.
  std::string Source;
  /// Requests are accepted for live versions only.
  bool Live = false;
  PIMENTOFRONT_FIELDS(VersionRecord, Number, Source, Live)
};

/// \class AdapterRecord
/// \ingroup Wire
/// \brief An adapter, its versions, and the operator who last changed it.
struct AdapterRecord {
  AdapterName Name;
  std::string BaseModel;
  std::vector<VersionRecord> Versions;
  /// Revision of the configuration at the last change of this record.
  Revision ChangedAt = 0;
  OperatorName ChangedBy;
  PIMENTOFRONT_FIELDS(AdapterRecord, Name, BaseModel, Versions, ChangedAt,
                      ChangedBy)
};

/// \class KindRecord
/// \ingroup Wire
/// \brief Weight and limits of one kind of request.
struct KindRecord {
  KindName Name;
  /// Share of service relative to other kinds, from 1.
  std::uint32_t Weight = 1;
  /// Time in which an answer is useful.
  Duration Window = std::chrono::seconds(30);
  /// Maximum number of requests in progress for each entry process; 0 is no
  /// limit.
  std::uint32_t InFlightLimit = 0;
  /// Maximum number of requests in progress for each caller and entry process;
  /// 0 is no limit.
  std::uint32_t CallerLimit = 0;
  Revision ChangedAt = 0;
  OperatorName ChangedBy;
  PIMENTOFRONT_FIELDS(KindRecord, Name, Weight, Window, InFlightLimit,
                      CallerLimit, ChangedAt, ChangedBy)
};

/// \class DrainRecord
/// \ingroup Wire
/// \brief Whether an operator has taken the host of a backend server out of
/// use.
struct DrainRecord {
  HostName Host;
  bool Drained = false;
  Revision ChangedAt = 0;
  OperatorName ChangedBy;
  PIMENTOFRONT_FIELDS(DrainRecord, Host, Drained, ChangedAt, ChangedBy)
};

/// \class ZoneRecord
/// \ingroup Wire
/// \brief Whether an operator has evacuated an availability zone: its backend
/// servers get no new requests.
struct ZoneRecord {
  ZoneName Zone;
  bool Evacuated = false;
  Revision ChangedAt = 0;
  OperatorName ChangedBy;
  PIMENTOFRONT_FIELDS(ZoneRecord, Zone, Evacuated, ChangedAt, ChangedBy)
};

/// \class DocumentRecord
/// \ingroup Wire
/// \brief The routing document in force, as an operator wrote it. The
/// replicated state orders documents by their number and does not read them.
struct DocumentRecord {
  /// Number chosen by the operators; the highest one is in force.
  std::uint64_t Number = 0;
  /// The compressed document (see packText()).
  std::string Packed;
  Revision ChangedAt = 0;
  OperatorName ChangedBy;
  PIMENTOFRONT_FIELDS(DocumentRecord, Number, Packed, ChangedAt, ChangedBy)
};

/// \class SoftwareRecord
/// \ingroup Wire
/// \brief The software versions of a service whose streams callers may still
/// take up again: those of its registered servers, and of servers that have
/// left recently.
struct SoftwareRecord {
  ServiceName Service;
  /// In the order in which they were added. The empty one stands for servers
  /// that state no version.
  std::vector<std::string> Versions;
  Revision ChangedAt = 0;
  OperatorName ChangedBy;
  PIMENTOFRONT_FIELDS(SoftwareRecord, Service, Versions, ChangedAt, ChangedBy)
};

/// Any record of the configuration. Records are never deleted, so the
/// difference between two revisions consists of the records that changed in
/// between.
using ConfigurationRecord =
    std::variant<AdapterRecord, KindRecord, DrainRecord, DocumentRecord,
                 ZoneRecord, SoftwareRecord>;

/// \class MemberRecord
/// \ingroup Wire
/// \brief What an agent reports of itself and its backend server.
struct MemberRecord {
  HostName Host;
  /// Random number drawn when the agent process started. Of a registered
  /// server: when its process started (see ServerProcess), 0 if unknown.
  std::uint64_t Incarnation = 0;
  ZoneName Zone;
  /// Address of the agent's peer listener, "ip:port".
  std::string Address;
  /// Base model of the engine; empty without an engine.
  std::string BaseModel;
  /// Plain services on the agent's host.
  std::vector<ServiceName> Services;
  std::uint32_t Slots = 0;
  std::uint32_t BatchCapacity = 0;
  /// Takes no new work.
  bool Leaving = false;
  /// The lease expired or the host deregistered.
  bool Gone = false;
  /// A backend server without an agent, which registered itself: `Host` is the
  /// name of its process, `Address` its HTTP address, `Slots` the number of
  /// requests that it runs concurrently.
  bool Registered = false;
  /// Of a registered server: remaining time of its cold start, as last
  /// reported. A cold server takes fewer requests than usual.
  Duration ColdFor = Duration::zero();
  /// Of a registered server: the version of its software; empty if it states
  /// none, or if an older process passed the record on.
  std::string Software;
  /// Of an agent: it takes StreamOrigins and StreamOriginQuery. A process of an
  /// earlier release would close a link on which they arrive.
  bool RemembersStreams = false;
  /// \returns the process of a registered server.
  ServerProcess process() const { return {Host, Incarnation}; }
  PIMENTOFRONT_FIELDS(MemberRecord, Host, Incarnation, Zone, Address, BaseModel,
                      Services, Slots, BatchCapacity, Leaving, Gone, Registered,
                      ColdFor, Software, RemembersStreams)
};

/// \class DepartureRecord
/// \ingroup Wire
/// \brief The process of a registered server that has said that it is leaving,
/// or that it has left. Part of the replicated state, since the process may
/// never announce itself again.
struct DepartureRecord {
  ServerProcess Server;
  /// It has left, and isn't accepted any more. Otherwise it is leaving.
  bool Gone = false;
  /// Whether the process named its start, not only its name.
  bool NamesProcess = false;
  /// Of a process that is leaving: the sequence of the announcement that said
  /// so. Earlier announcements are stale.
  std::uint64_t Sequence = 0;
  /// Version of the ledger at the last change of this record.
  std::uint64_t ChangedAt = 0;
  PIMENTOFRONT_FIELDS(DepartureRecord, Server, Gone, NamesProcess, Sequence,
                      ChangedAt)
};

/// \class MemberVersion
/// \ingroup Wire
/// \brief Position in the stream of membership changes. A new leader of the
/// replicas starts a new term; within it the sequence grows.
struct MemberVersion {
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;
  PIMENTOFRONT_FIELDS(MemberVersion, Term, Sequence)
};

} // namespace pimentofront

#endif
