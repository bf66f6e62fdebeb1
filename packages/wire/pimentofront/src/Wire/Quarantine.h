#ifndef PIMENTOFRONT_WIRE_QUARANTINE_H
#define PIMENTOFRONT_WIRE_QUARANTINE_H

#include "Fields.h"
#include "pimentofront/Base.h"

#include <vector>

namespace pimentofront {

/// What is believed of a request, by the backend servers that ended under it.
enum class QuarantineState : std::uint8_t {
  Clear,
  /// Servers ended while they had it. It is tried by one attempt at a time.
  Watched,
  /// It ends servers, so none gets it.
  Quarantined,
};

/// \class RequestAtWork
/// \ingroup Wire
/// \brief A request that a backend server had when its process ended.
struct RequestAtWork {
  ContentHash Content;
  /// The server had begun to answer it, so it had survived its beginning.
  bool Answering = false;
  /// Attempt that had the leave to try it; empty if nobody had.
  AttemptId Holder;
  PIMENTOFRONT_FIELDS(RequestAtWork, Content, Answering, Holder)
};

/// \class ServerEnd
/// \ingroup Wire
/// \brief The end of a server's process, as it counts for one request.
struct ServerEnd {
  ServerProcess Server;
  bool Answering = false;
  PIMENTOFRONT_FIELDS(ServerEnd, Server, Answering)
};

/// \class QuarantineRecord
/// \ingroup Wire
/// \brief A request under which backend servers ended.
struct QuarantineRecord {
  ContentHash Content;
  /// Each process once, whoever saw it end.
  std::vector<ServerEnd> Ends;
  bool Quarantined = false;
  /// The one attempt that may be made now, and for how long at most.
  AttemptId Holder;
  Duration HeldFor = Duration::zero();
  /// Ends that were known when the leave was given.
  std::uint32_t EndsAtGrant = 0;
  /// Trials since enough servers had ended for a quarantine, without a clear
  /// end.
  std::uint32_t LateTrials = 0;
  /// How often it was put in quarantine.
  std::uint32_t Quarantines = 0;
  /// Version of the ledger at the last change that others must know of.
  std::uint64_t ChangedAt = 0;
  PIMENTOFRONT_FIELDS(QuarantineRecord, Content, Ends, Quarantined, Holder,
                      HeldFor, EndsAtGrant, LateTrials, Quarantines, ChangedAt)
};

/// What entries have to know of one request.
struct QuarantineNotice {
  ContentHash Content;
  QuarantineState State = QuarantineState::Clear;
  PIMENTOFRONT_FIELDS(QuarantineNotice, Content, State)
};

/// Replica to entry: what changed of the quarantine.
struct QuarantineUpdate {
  /// Whatever isn't named is clear.
  bool Full = false;
  /// Version of the ledger that the receiver has then.
  std::uint64_t To = 0;
  std::vector<QuarantineNotice> Notices;
  PIMENTOFRONT_FIELDS(QuarantineUpdate, Full, To, Notices)
};

} // namespace pimentofront

#endif
