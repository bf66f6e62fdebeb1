#ifndef PIMENTOFRONT_WIRE_COMMANDS_H
#define PIMENTOFRONT_WIRE_COMMANDS_H

#include "Quarantine.h"
#include "Records.h"

namespace pimentofront {

/// Creates an adapter without versions.
struct CreateAdapter {
  AdapterName Adapter;
  std::string BaseModel;
  PIMENTOFRONT_FIELDS(CreateAdapter, Adapter, BaseModel)
};

/// Adds a version; of two operators with one number exactly one wins.
struct CreateVersion {
  AdapterName Adapter;
  VersionNumber Number = 0;
  std::string Source;
  PIMENTOFRONT_FIELDS(CreateVersion, Adapter, Number, Source)
};

/// Replaces the set of live versions of an adapter.
struct DeclareLive {
  AdapterName Adapter;
  std::vector<VersionNumber> Versions;
  PIMENTOFRONT_FIELDS(DeclareLive, Adapter, Versions)
};

/// Sets weight and limits of a kind; `Record.ChangedAt` is ignored.
struct SetKind {
  KindRecord Record;
  PIMENTOFRONT_FIELDS(SetKind, Record)
};

/// Takes a host out of use, or back.
struct SetDrained {
  HostName Host;
  bool Drained = false;
  PIMENTOFRONT_FIELDS(SetDrained, Host, Drained)
};

/// Has an availability zone evacuated, or takes that back.
struct EvacuateZone {
  ZoneName Zone;
  bool Evacuated = false;
  PIMENTOFRONT_FIELDS(EvacuateZone, Zone, Evacuated)
};

/// \class ClaimRequest
/// \ingroup Wire
/// \brief Takes the right to run a non-idempotent request. Granted once for
/// each pair of caller and request id.
struct ClaimRequest {
  CallerName Caller;
  RequestId Request;
  /// Hash of method and payload: the id with other contents is refused.
  std::uint64_t ContentHash = 0;
  /// The attempt that may run it.
  AttemptId Holder;
  /// When the caller first sent it: after the ledger's retention it is refused,
  /// so that a claim may be forgotten then.
  std::uint64_t IssuedAtMilliseconds = 0;
  PIMENTOFRONT_FIELDS(ClaimRequest, Caller, Request, ContentHash, Holder,
                      IssuedAtMilliseconds)
};

/// How a claimed request ended.
enum class ClaimEnding : std::uint8_t {
  /// Ran, and the answer is recorded.
  Answered,
  /// May have run; nobody will learn more.
  Unknown,
  /// Certainly did not run: the claim is released, the id may be sent again.
  NotRun,
};

/// \class RecordEnding
/// \ingroup Wire
/// \brief Ends a claim. Only the holder's word counts.
struct RecordEnding {
  CallerName Caller;
  RequestId Request;
  AttemptId Holder;
  ClaimEnding Ending = ClaimEnding::Unknown;
  std::string Answer;
  PIMENTOFRONT_FIELDS(RecordEnding, Caller, Request, Holder, Ending, Answer)
};

/// Puts a routing document in force. One whose number isn't higher than that
/// of the document in force is accepted, and changes nothing.
struct PutDocument {
  std::uint64_t Number = 0;
  std::string Packed;
  PIMENTOFRONT_FIELDS(PutDocument, Number, Packed)
};

/// Makes a version of an adapter the only live one, unless a higher one is
/// live; the adapter comes into being by it.
struct NameVersion {
  AdapterName Adapter;
  std::string BaseModel;
  VersionNumber Number = 0;
  PIMENTOFRONT_FIELDS(NameVersion, Adapter, BaseModel, Number)
};

/// The process of a backend server has ended; whatever it had may have ended
/// it.
struct ReportServerEnd {
  ServerProcess Server;
  std::vector<RequestAtWork> AtWork;
  PIMENTOFRONT_FIELDS(ReportServerEnd, Server, AtWork)
};

/// Takes the leave to try a watched request. Granted to one attempt at a time.
struct ClaimTrial {
  ContentHash Content;
  AttemptId Holder;
  /// The attempt lasts no longer.
  Duration HeldFor = Duration::zero();
  PIMENTOFRONT_FIELDS(ClaimTrial, Content, Holder, HeldFor)
};

/// How a trial of a watched request ended, where its server didn't.
enum class TrialEnding : std::uint8_t {
  /// No server began to run it.
  NotRun,
  /// Nobody knows whether it would have ended its server.
  Unclear,
  /// A server ran it and lives.
  Survived,
};

/// Gives the leave back. That a server survived clears the request, whoever
/// says so.
struct EndTrial {
  ContentHash Content;
  AttemptId Holder;
  TrialEnding Ending = TrialEnding::Unclear;
  PIMENTOFRONT_FIELDS(EndTrial, Content, Holder, Ending)
};

/// A record that has stood unchanged for its time.
struct DueRecord {
  ContentHash Content;
  std::uint64_t ChangedAt = 0;
  AttemptId Holder;
  PIMENTOFRONT_FIELDS(DueRecord, Content, ChangedAt, Holder)
};

/// Leader: these trials have lasted too long, these requests have been watched
/// or in quarantine for long enough. A record that has changed stays.
struct ReviewQuarantine {
  std::vector<DueRecord> Due;
  PIMENTOFRONT_FIELDS(ReviewQuarantine, Due)
};

/// An operator clears a request: whatever made it end servers is mended.
struct ReleaseQuarantine {
  ContentHash Content;
  PIMENTOFRONT_FIELDS(ReleaseQuarantine, Content)
};

/// The position in this list is the number of the command in the log: new ones
/// go to the end.
using CommandBody =
    std::variant<CreateAdapter, CreateVersion, DeclareLive, SetKind, SetDrained,
                 ClaimRequest, RecordEnding, PutDocument, NameVersion,
                 ReportServerEnd, ClaimTrial, EndTrial, ReviewQuarantine,
                 ReleaseQuarantine, EvacuateZone>;

/// \class Command
/// \ingroup Wire
/// \brief A change of the replicated state.
struct Command {
  /// A command sent again under its id gets its first outcome. Claims and
  /// their endings leave it empty: the ledger itself answers a resend.
  CommandId Id;
  OperatorName Operator;
  /// Revision of the record that the change builds on; 0 accepts any.
  Revision BuildsOn = 0;
  CommandBody Body;
  PIMENTOFRONT_FIELDS(Command, Id, Operator, BuildsOn, Body)
};

/// How a command ended.
enum class CommandResult : std::uint8_t {
  Accepted,
  /// Another command was first; `Winner` says whose.
  Conflict,
  /// The command names something that doesn't exist.
  NotFound,
  /// The command can never be accepted.
  Invalid,
  /// The id was used before with other contents.
  IdReused,
  /// Claim: the request is claimed by another attempt and hasn't ended.
  InProgress,
  /// Claim: the request ended; `Answer` holds what was recorded.
  AlreadyAnswered,
  /// Claim: it may have run; nobody will learn more.
  AlreadyUnknown,
  /// Trial: the request ends servers, so none gets it.
  Quarantined,
};

/// \class CommandOutcome
/// \ingroup Wire
/// \brief What the replicated state answered to a command.
struct CommandOutcome {
  CommandResult Result = CommandResult::Accepted;
  /// Revision in which it is in force, or at which it was refused.
  Revision At = 0;
  /// In a conflict, who was first.
  OperatorName Winner;
  std::string Detail;
  /// Recorded answer of a claimed request.
  std::string Answer;
  PIMENTOFRONT_FIELDS(CommandOutcome, Result, At, Winner, Detail, Answer)
};

} // namespace pimentofront

#endif
