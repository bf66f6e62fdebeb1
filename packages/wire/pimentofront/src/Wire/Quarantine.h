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
  PIMENTOFRONT_FIELDS(InFlightRequest, Content, Answering, Holder)
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

/// The state of one request as reported to entries.
struct QuarantineNotice {
  ContentHash Content;
  QuarantineState State = QuarantineState::Clear;
  PIMENTOFRONT_FIELDS(QuarantineNotice, Content, State)
};

/// Replica to entry: changes of the quarantine.
struct QuarantineUpdate {
  /// Requests that are not listed are clear.
  bool Full = false;
  /// Version of the ledger after this update.
  std::uint64_t To = 0;
  std::vector<QuarantineNotice> Notices;
  PIMENTOFRONT_FIELDS(QuarantineUpdate, Full, To, Notices)
};

} // namespace pimentofront

#endif
