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

/// Adds a version. Of two commands with the same number exactly one is
/// accepted.
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

/// Takes a host out of use, or puts it back into use.
struct SetDrained {
  HostName Host;
  bool Drained = false;
  PIMENTOFRONT_FIELDS(SetDrained, Host, Drained)
};

/// Evacuates an availability zone, or restores it.
struct EvacuateZone {
  ZoneName Zone;
  bool Evacuated = false;
  PIMENTOFRONT_FIELDS(EvacuateZone, Zone, Evacuated)
};

/// \class ClaimRequest
/// \ingroup Wire
/// \brief Claims the right to run a non-idempotent request. Granted once for
/// each pair of caller and request id.
struct ClaimRequest {
  CallerName Caller;
  RequestId Request;
  /// Hash of method and payload: the same id with other contents is rejected.
  std::uint64_t ContentHash = 0;
  /// The attempt that may run it.
  AttemptId Holder;
  /// When the caller first sent it. A request older than the ledger's retention
  /// is rejected, so that its claim can be forgotten by then.
  std::uint64_t IssuedAtMilliseconds = 0;
  PIMENTOFRONT_FIELDS(ClaimRequest, Caller, Request, ContentHash, Holder,
                      IssuedAtMilliseconds)
};

/// How a claimed request ended.
enum class ClaimEnding : std::uint8_t {
  /// It ran, and the answer is recorded.
  Answered,
  /// It may have run; the outcome will never be known.
  Unknown,
  /// It certainly did not run: the claim is released, and the id may be sent
  /// again.
  NotRun,
};

/// \class RecordEnding
/// \ingroup Wire
/// \brief Ends a claim. Accepted from its holder only.
struct RecordEnding {
  CallerName Caller;
  RequestId Request;
  AttemptId Holder;
  ClaimEnding Ending = ClaimEnding::Unknown;
  std::string Answer;
  PIMENTOFRONT_FIELDS(RecordEnding, Caller, Request, Holder, Ending, Answer)
};

/// Puts a routing document in force. A document whose number is not higher than
/// that of the one in force is accepted without effect.
struct PutDocument {
  std::uint64_t Number = 0;
  std::string Packed;
  PIMENTOFRONT_FIELDS(PutDocument, Number, Packed)
};

/// Makes a version of an adapter the only live one, unless a higher one is
/// live. Creates the adapter if it does not exist.
struct ActivateVersion {
  AdapterName Adapter;
  std::string BaseModel;
  VersionNumber Number = 0;
  PIMENTOFRONT_FIELDS(ActivateVersion, Adapter, BaseModel, Number)
};

/// The process of a backend server exited. Any of the requests in progress on
/// it may have caused that.
struct ReportServerExit {
  ServerProcess Server;
  std::vector<InFlightRequest> RequestsInFlight;
  PIMENTOFRONT_FIELDS(ReportServerExit, Server, RequestsInFlight)
};

/// Requests the trial grant for a watched request, or for a prompt part on
/// trial. Granted to one attempt at a time.
struct ClaimTrial {
  ContentHash Content;
  AttemptId Holder;
  /// Maximum duration of the attempt.
  Duration MaxTrialDuration = Duration::zero();
  PIMENTOFRONT_FIELDS(ClaimTrial, Content, Holder, MaxTrialDuration)
};

/// How a trial of a watched request ended when its server did not exit.
enum class TrialEnding : std::uint8_t {
  /// No server began to run it.
  NotRun,
  /// It is unknown whether the request would have crashed its server.
  Unclear,
  /// A server ran it and did not exit.
  Survived,
};

/// Returns the trial grant. `Survived` clears the request, whoever reports it.
struct EndTrial {
  ContentHash Content;
  AttemptId Holder;
  TrialEnding Ending = TrialEnding::Unclear;
  PIMENTOFRONT_FIELDS(EndTrial, Content, Holder, Ending)
};

/// A record that has remained unchanged for its period.
struct DueRecord {
  ContentHash Content;
  std::uint64_t ChangedAt = 0;
  AttemptId Holder;
  PIMENTOFRONT_FIELDS(DueRecord, Content, ChangedAt, Holder)
};

/// From the leader: these trials have exceeded their duration, or these
/// requests have been watched or in quarantine for long enough. A record that
/// has changed meanwhile is skipped.
struct ReviewQuarantine {
  std::vector<DueRecord> Due;
  /// Prompt parts whose score has been high enough for a quarantine for so long
  /// that all entries have reported the exits.
  std::vector<ContentHash> PartCandidates;
  PIMENTOFRONT_FIELDS(ReviewQuarantine, Due, PartCandidates)
};

/// A request that a server began to answer, and survived.
struct SurvivedRequest {
  ServiceName Service;
  /// Hashes of those of its prompt parts that are accused.
  std::vector<ContentHash> Parts;
  PIMENTOFRONT_FIELDS(SurvivedRequest, Service, Parts)
};

/// From an entry: requests that speak for accused parts.
struct ReportSurvivors {
  std::vector<SurvivedRequest> Requests;
  PIMENTOFRONT_FIELDS(ReportSurvivors, Requests)
};

/// An operator clears a request, or a part of prompts, because the fault by
/// which it crashed servers was fixed.
struct ReleaseQuarantine {
  /// Of the request or of the part.
  ContentHash Content;
  PIMENTOFRONT_FIELDS(ReleaseQuarantine, Content)
};

/// From the leader: servers of a service state this software version, or have
/// left so long ago that no caller takes up a stream of it any more.
struct RecordSoftware {
  ServiceName Service;
  std::string Software;
  bool Retired = false;
  PIMENTOFRONT_FIELDS(RecordSoftware, Service, Software, Retired)
};

/// From the leader: a server's process is leaving, or has left. Its
/// `ChangedAt` is ignored.
struct RecordDeparture {
  DepartureRecord Departure;
  PIMENTOFRONT_FIELDS(RecordDeparture, Departure)
};

/// From the leader: these departures happened so long ago that no announcement
/// from before them is under way any more. A record that has changed meanwhile
/// is skipped. Without any, it marks that all replicas decode such commands.
struct ForgetDepartures {
  std::vector<DepartureRecord> Departures;
  PIMENTOFRONT_FIELDS(ForgetDepartures, Departures)
};

/// The position in this list is the number of the command in the log: new ones
/// are appended at the end.
using CommandBody =
    std::variant<CreateAdapter, CreateVersion, DeclareLive, SetKind, SetDrained,
                 ClaimRequest, RecordEnding, PutDocument, ActivateVersion,
                 ReportServerExit, ClaimTrial, EndTrial, ReviewQuarantine,
                 ReleaseQuarantine, EvacuateZone, ReportSurvivors,
                 RecordSoftware, RecordDeparture, ForgetDepartures>;

/// \class Command
/// \ingroup Wire
/// \brief A change of the replicated state.
struct Command {
  /// A command that is sent again with the same id gets its first outcome.
  /// Claims and their endings leave the id empty: the ledger itself recognises
  /// a resend.
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
  /// Another command was accepted first; `Winner` names its operator.
  Conflict,
  /// The command names something that doesn't exist.
  NotFound,
  /// The command can never be accepted.
  Invalid,
  /// The id was used before with other contents.
  IdReused,
  /// Claim: another attempt has claimed the request, which has not ended.
  InProgress,
  /// Claim: the request ended; `Answer` holds the recorded answer.
  AlreadyAnswered,
  /// Claim: the request may have run; its outcome will never be known.
  AlreadyUnknown,
  /// Trial: the request crashes servers, so no server gets it.
  Quarantined,
};

/// \class CommandOutcome
/// \ingroup Wire
/// \brief Result of applying a command to the replicated state.
struct CommandOutcome {
  CommandResult Result = CommandResult::Accepted;
  /// Revision in which the command is in force, or at which it was rejected.
  Revision At = 0;
  /// In a conflict, the operator whose command was accepted first.
  OperatorName Winner;
  std::string Detail;
  /// Recorded answer of a claimed request.
  std::string Answer;
  PIMENTOFRONT_FIELDS(CommandOutcome, Result, At, Winner, Detail, Answer)
};

} // namespace pimentofront

#endif
