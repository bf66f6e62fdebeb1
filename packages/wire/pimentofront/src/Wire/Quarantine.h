#ifndef PIMENTOFRONT_WIRE_QUARANTINE_H
#define PIMENTOFRONT_WIRE_QUARANTINE_H

#include "Fields.h"
#include "pimentofront/Base.h"

#include <vector>

namespace pimentofront {

/// State of a request, derived from the backend servers that exited under it.
enum class QuarantineState : std::uint8_t {
  Clear,
  /// Servers exited while they had it. One attempt at a time may try it.
  Watched,
  /// It crashes servers, so no server gets it.
  Quarantined,
};

/// \class SharedPart
/// \ingroup Wire
/// \brief A part of a prompt, as the requests of one client account share it.
struct SharedPart {
  /// Hash of the client account and of the part's id. Callers choose the ids of
  /// parts, and one account must not be able to have another one's requests
  /// refused.
  ContentHash Id;
  /// The id that callers use.
  std::uint64_t Part = 0;
  PIMENTOFRONT_FIELDS(SharedPart, Id, Part)
};

/// \class InFlightParts
/// \ingroup Wire
/// \brief The parts that a request in flight may share with others.
struct InFlightParts {
  /// Without the last part, which belongs to the request or to its session.
  std::vector<SharedPart> Parts;
  AccountName Account;
  ServiceName Service;
  /// Version of the quarantine ledger that the entry knew when it sent the
  /// request.
  std::uint64_t KnownVersion = 0;
  PIMENTOFRONT_FIELDS(InFlightParts, Parts, Account, Service, KnownVersion)
};

/// \class InFlightRequest
/// \ingroup Wire
/// \brief A request that a backend server had when its process exited.
struct InFlightRequest {
  ContentHash Content;
  /// The server had begun to answer, so it did not crash when it began to run
  /// the request.
  bool Answering = false;
  /// Attempt that held the trial grant; empty if none did.
  AttemptId Holder;
  /// Empty if it shares no part of its prompt.
  InFlightParts Shared;
  PIMENTOFRONT_FIELDS(InFlightRequest, Content, Answering, Holder, Shared)
};

/// \class ServerExit
/// \ingroup Wire
/// \brief The exit of a server's process, as counted for one request.
struct ServerExit {
  ServerProcess Server;
  bool Answering = false;
  PIMENTOFRONT_FIELDS(ServerExit, Server, Answering)
};

/// \class QuarantineRecord
/// \ingroup Wire
/// \brief A request under which backend servers exited.
struct QuarantineRecord {
  ContentHash Content;
  /// Each process once, however many entries reported its exit.
  std::vector<ServerExit> Exits;
  bool Quarantined = false;
  /// The one attempt that may be made now, and its maximum duration.
  AttemptId Holder;
  Duration MaxTrialDuration = Duration::zero();
  /// Number of exits that were known when the trial grant was given.
  std::uint32_t ExitsAtGrant = 0;
  /// Trials after the number of exits sufficed for a quarantine, without a
  /// conclusive result.
  std::uint32_t TrialsAfterThreshold = 0;
  /// How often it was put in quarantine.
  std::uint32_t Quarantines = 0;
  /// Version of the ledger at the last change that is reported to entries.
  std::uint64_t ChangedAt = 0;
  PIMENTOFRONT_FIELDS(QuarantineRecord, Content, Exits, Quarantined, Holder,
                      MaxTrialDuration, ExitsAtGrant, TrialsAfterThreshold,
                      Quarantines, ChangedAt)
};

/// State of a prompt part, derived from the backend servers that exited under
/// requests with it.
enum class PartState : std::uint8_t {
  /// Servers exited under requests with it. Such requests run as usual.
  Accused,
  /// It crashes servers, so no server gets a request with it.
  Quarantined,
  /// It was in quarantine for its time: one attempt at a time may try it.
  OnTrial,
};

/// \class PartExit
/// \ingroup Wire
/// \brief The exit of a server's process, as counted for one prompt part.
struct PartExit {
  ServerProcess Server;
  /// Version of the ledger since which the exit is known.
  std::uint64_t ReportedAt = 0;
  /// A part in quarantine was waiting there, too.
  bool Explained = false;
  PIMENTOFRONT_FIELDS(PartExit, Server, ReportedAt, Explained)
};

/// \class PartRecord
/// \ingroup Wire
/// \brief A prompt part under which backend servers exited.
struct PartRecord {
  SharedPart Part;
  AccountName Account;
  PartState State = PartState::Accused;
  /// The other parts that all accused requests with this one have as well.
  std::vector<SharedPart> With;
  /// Services whose servers exited.
  std::vector<ServiceName> Services;
  std::vector<PartExit> Exits;
  /// Exits that count, less what survivors took away.
  std::uint32_t Score = 0;
  /// Number of requests with this part that waited for their first event at
  /// servers that exited.
  std::uint32_t Requests = 0;
  /// Version of the ledger at the last exit that counted.
  std::uint64_t CountedAt = 0;
  /// The one attempt that may be made on trial, and its maximum duration.
  AttemptId Holder;
  Duration MaxTrialDuration = Duration::zero();
  /// How often it was put in quarantine.
  std::uint32_t Quarantines = 0;
  /// Version of the ledger at the last change that is reported to entries.
  std::uint64_t ChangedAt = 0;
  PIMENTOFRONT_FIELDS(PartRecord, Part, Account, State, With, Services, Exits,
                      Score, Requests, CountedAt, Holder, MaxTrialDuration,
                      Quarantines, ChangedAt)
};

/// The state of one request as reported to entries.
struct QuarantineNotice {
  ContentHash Content;
  QuarantineState State = QuarantineState::Clear;
  PIMENTOFRONT_FIELDS(QuarantineNotice, Content, State)
};

/// The state of one prompt part as reported to entries. It holds for requests
/// that have the part and all of `With`.
struct PartNotice {
  SharedPart Part;
  PartState State = PartState::Accused;
  std::vector<SharedPart> With;
  /// Number of server exits known, for logs.
  std::uint32_t Exits = 0;
  PIMENTOFRONT_FIELDS(PartNotice, Part, State, With, Exits)
};

/// Replica to entry: changes of the quarantine.
struct QuarantineUpdate {
  /// Requests and parts that are not listed are clear.
  bool Full = false;
  /// Version of the ledger after this update.
  std::uint64_t To = 0;
  /// `Clear` is reported here for parts, too, by their hash.
  std::vector<QuarantineNotice> Notices;
  std::vector<PartNotice> Parts;
  PIMENTOFRONT_FIELDS(QuarantineUpdate, Full, To, Notices, Parts)
};

} // namespace pimentofront

#endif
