#ifndef PIMENTOFRONT_SERVING_ENTRY_BOARD_H
#define PIMENTOFRONT_SERVING_ENTRY_BOARD_H

#include "InFlightLimits.h"
#include "RetryBudget.h"
#include "RoutingPolicy.h"

namespace pimentofront {

/// Identifies a caller's request within one entry process.
using RequestKey = std::uint64_t;

/// \class CallerRequest
/// \ingroup Serving
/// \brief A request as received from a caller.
struct CallerRequest {
  RequestKey Key = 0;
  RequestId Id;
  CallerName Caller;
  KindName Kind;
  AdapterName Adapter;
  /// 0 selects the highest live version.
  VersionNumber Version = 0;
  std::string Prompt;
  std::uint32_t MaxTokens = 0;
  /// Set for a call of a plain service, which uses no adapter.
  ServiceName Service;
  std::string Method;
  std::string Payload;
  bool Idempotent = true;
  /// When the caller first sent the request, in milliseconds since 1970; only
  /// for non-idempotent requests.
  std::uint64_t IssuedAtMilliseconds = 0;
  /// Time limit that the caller sets; 0 selects the window of the kind.
  Duration Timeout = Duration::zero();
  /// Text of an earlier answer that the new answer continues.
  std::string ResumeText;
};

/// Outcome of a caller's request.
enum class FinalKind : std::uint8_t {
  Answered,
  /// The request has certainly not run.
  Refused,
  /// A non-idempotent request may have run.
  Unknown,
  /// No answer in time; the request may be repeated.
  TimedOut,
  /// The answer broke off and couldn't be retried; the request may be repeated.
  Failed,
};

/// \class FinalAnswer
/// \ingroup Serving
/// \brief The single final answer to a request.
struct FinalAnswer {
  FinalKind Kind = FinalKind::Failed;
  RefusalReason Reason = RefusalReason::None;
  /// Retry-after, for all outcomes but `Answered`.
  Duration RetryAfter = Duration::zero();
  /// Answer of a plain service, or the error text.
  std::string Payload;
  AdapterKey Key;
  HostName Host;
  std::uint64_t Tokens = 0;
  Duration LoadStall = Duration::zero();
  std::uint32_t Attempts = 0;
};

/// Sends a message to an agent.
struct SendToAgent {
  HostName Host;
  std::string Address;
  Message Content;
};
/// Delivers a part of the answer to the caller.
struct DeliverChunk {
  RequestKey Key = 0;
  std::uint64_t Position = 0;
  std::string Text;
};
/// Delivers the final answer to the caller and ends the request.
struct DeliverFinal {
  RequestKey Key = 0;
  KindName Kind;
  FinalAnswer Answer;
};
/// Proposes a command to the replicated state. The node sends it again until it
/// is decided or until `ProposeUntil`.
struct ProposeCommand {
  std::uint64_t Nonce = 0;
  Command Proposal;
  TimePoint ProposeUntil;
};
using EntryCommand =
    std::variant<SendToAgent, DeliverChunk, DeliverFinal, ProposeCommand>;

/// \class ConfigurationView
/// \ingroup Serving
/// \brief The part of the configuration in force that routing needs.
class ConfigurationView {
public:
  virtual ~ConfigurationView() = default;
  virtual std::optional<AdapterRecord>
  findAdapter(const AdapterName &name) const = 0;
  /// \returns the revision of this copy, which changes with every record.
  virtual Revision revision() const = 0;
  virtual const KindRecord *findKind(const KindName &name) const = 0;
  virtual bool isDrained(const HostName &host) const = 0;
  /// \returns whether an operator has evacuated the zone.
  virtual bool isEvacuated(const ZoneName &zone) const = 0;
  /// \returns the software versions whose streams callers may still take up
  /// again; null if the replicas have recorded none.
  virtual const SoftwareRecord *
  findSoftware(const ServiceName &service) const = 0;
  /// \returns whether no newer configuration can have been in force for longer
  /// than the confirmation lease.
  virtual bool isConfirmed(TimePoint now) const = 0;
  /// \returns the time since the query was sent whose answer last confirmed
  /// this configuration as the newest; empty if none was ever answered.
  virtual std::optional<Duration> confirmationAge(TimePoint now) const = 0;
};

/// \class EntryOptions
/// \ingroup Serving
/// \brief Options of an entry; docs/OPERATORS.md describes each of them.
struct EntryOptions {
  /// Random number drawn at the start of the process.
  std::uint64_t Incarnation = 0;
  /// Time within which an agent has to admit or refuse an attempt. After it an
  /// idempotent request is retried on another host, and the silent one is
  /// ejected (see EjectionTime). A non-idempotent request waits until its
  /// deadline.
  Duration AdmitTimeout = std::chrono::seconds(1);
  /// Maximum number of retries after host failures, for each request.
  std::uint32_t MaxRetries = 3;
  /// Time for which a host is avoided after its first failure; it doubles with
  /// each further one, up to 16 times this value.
  Duration EjectionTime = std::chrono::milliseconds(500);
  /// Maximum number of requests in progress in this process.
  std::size_t MaxRequests = 20000;
  /// Retry-after of the refusals by a process that can't confirm its
  /// configuration.
  Duration IsolatedRetryAfter = std::chrono::seconds(1);
};

/// \class CurrentAttempt
/// \ingroup Serving
struct CurrentAttempt {
  AttemptId Id;
  HostName Host;
  TimePoint SentAt;
  bool Admitted = false;
  bool OnlyIfResident = false;
  std::uint64_t Tokens = 0;
};

/// \class EntryRequest
/// \ingroup Serving
/// \brief A request in progress.
struct EntryRequest {
  CallerRequest Caller;
  AdapterKey Key;
  std::string BaseModel;
  std::string Source;
  std::uint32_t Weight = 1;
  TimePoint ArrivedAt;
  TimePoint Deadline;
  std::vector<TriedHost> Tried;
  std::optional<CurrentAttempt> Attempt;
  /// An attempt may have had effects.
  bool MayHaveRun = false;
  /// Holder of the claim, whether the claim was granted, and the nonce of its
  /// proposal; only for non-idempotent requests.
  std::optional<AttemptId> Claim;
  bool ClaimHeld = false;
  std::uint64_t ClaimNonce = 0;
  /// Text delivered to the caller so far, from which the next attempt
  /// continues.
  std::string Delivered;
  std::uint64_t DeliveredTokens = 0;
  std::uint32_t Retries = 0;
  std::uint32_t Attempts = 0;
};

/// \class EntryBoard
/// \ingroup Serving
/// \brief The state that the controllers of an entry share.
struct EntryBoard {
  EntryBoard(const EntryOptions &options,
             const ConfigurationView &configuration)
      : Options(options), Configuration(configuration),
        Jitter(options.Incarnation) {}

  const EntryOptions Options;
  const ConfigurationView &Configuration;
  Random Jitter;
  MemberViews Members;
  std::unordered_map<RequestKey, EntryRequest> Requests;
  std::unordered_map<AttemptId, RequestKey> Attempts;
  std::unordered_map<std::uint64_t, RequestKey> Claims;
  InFlightLimits Limits;
  RetryBudget Budget;
  bool Stopping = false;
  std::uint64_t LastSequence = 0;
  std::vector<EntryCommand> Commands;
};

} // namespace pimentofront

#endif
