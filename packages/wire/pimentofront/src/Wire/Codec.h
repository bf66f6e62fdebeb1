#ifndef PIMENTOFRONT_WIRE_CODEC_H
#define PIMENTOFRONT_WIRE_CODEC_H

#include "Message.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace pimentofront {

/// A hybrid logical time: milliseconds since 1970 in the upper 48 bits, a
/// counter in the lower 16 (Kulkarni et al., 2014).
using HybridTime = std::uint64_t;

/// \class DecodeError
/// \ingroup Wire
/// \brief Why some bytes could not be decoded.
struct DecodeError {
  std::string Reason;
};

/// \class Frame
/// \ingroup Wire
/// \brief A message with the sender's hybrid time.
struct Frame {
  HybridTime SentAt = 0;
  Message Content;
  friend auto operator<=>(const Frame &, const Frame &) = default;
};

/// \class ClaimRecord
/// \ingroup Wire
/// \brief What the ledger records of one non-idempotent request.
struct ClaimRecord {
  CallerName Caller;
  RequestId Request;
  std::uint64_t ContentHash = 0;
  AttemptId Holder;
  bool Ended = false;
  ClaimEnding Ending = ClaimEnding::Unknown;
  std::string Answer;
  std::uint64_t ClaimedAtMilliseconds = 0;
  std::uint64_t IssuedAtMilliseconds = 0;
  PIMENTOFRONT_FIELDS(ClaimRecord, Caller, Request, ContentHash, Holder, Ended,
                      Ending, Answer, ClaimedAtMilliseconds,
                      IssuedAtMilliseconds)
};

/// First outcome of a command; a resend of the command gets it again.
struct OutcomeRecord {
  CommandId Id;
  std::uint64_t ContentHash = 0;
  CommandOutcome Outcome;
  std::uint64_t AtMilliseconds = 0;
  PIMENTOFRONT_FIELDS(OutcomeRecord, Id, ContentHash, Outcome, AtMilliseconds)
};

/// First item of an encoded state.
struct StateHeader {
  Revision Current = 0;
  PIMENTOFRONT_FIELDS(StateHeader, Current)
};

/// Version of the quarantine ledger in a snapshot.
struct QuarantineHeader {
  std::uint64_t Version = 0;
  PIMENTOFRONT_FIELDS(QuarantineHeader, Version)
};

/// Version of the ledger of departures in a snapshot.
struct DepartureHeader {
  std::uint64_t Version = 0;
  PIMENTOFRONT_FIELDS(DepartureHeader, Version)
};

/// \ingroup Wire
/// One item of the replicated state in a snapshot. A snapshot is a sequence of
/// these, so that no process ever has to hold all of it decoded.
using StateItem =
    std::variant<StateHeader, AdapterRecord, KindRecord, DrainRecord,
                 ClaimRecord, OutcomeRecord, DocumentRecord, QuarantineHeader,
                 QuarantineRecord, ZoneRecord, PartRecord, SoftwareRecord,
                 DepartureHeader, DepartureRecord>;

/// Encodes as CBOR: an array of type number, hybrid time and fields.
std::string encodeFrame(const Frame &frame);
/// \returns the frame, or why \p bytes is not one. The nesting depth is
/// bounded, and the cost is linear in the size of \p bytes.
tl::expected<Frame, DecodeError> decodeFrame(std::string_view bytes);

/// Encoding of the contents of the log and of snapshots. The first byte is the
/// version of the format; any other version than the present one is rejected.
std::string encodeCommand(const Command &command);
tl::expected<Command, DecodeError> decodeCommand(std::string_view bytes);
std::string encodeAdapter(const AdapterRecord &record);
tl::expected<AdapterRecord, DecodeError> decodeAdapter(std::string_view bytes);
std::string encodeGroup(const ReplicaGroup &group);
tl::expected<ReplicaGroup, DecodeError> decodeGroup(std::string_view bytes);
std::string encodeEntry(const LogEntry &entry);
tl::expected<LogEntry, DecodeError> decodeEntry(std::string_view bytes);
std::string encodeStateItem(const StateItem &item);
tl::expected<StateItem, DecodeError> decodeStateItem(std::string_view bytes);

} // namespace pimentofront

#endif
