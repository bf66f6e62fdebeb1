#ifndef PIMENTOFRONT_SERVING_ENTRY_BOARD_H
#define PIMENTOFRONT_SERVING_ENTRY_BOARD_H

#include "InFlightLimits.h"
#include "RetryBudget.h"
#include "RoutingPolicy.h"

namespace pimentofront {

/// Names a caller's request inside one entry process.
using RequestKey = std::uint64_t;

/// \class CallerRequest
/// \ingroup Serving
/// \brief A request as a caller made it.
struct CallerRequest {
  RequestKey Key = 0;
  RequestId Id;
  CallerName Caller;
  KindName Kind;
  AdapterName Adapter;
  /// 0 asks for the highest live version.
  VersionNumber Version = 0;
  std::string Prompt;
  std::uint32_t MaxTokens = 0;
  /// Set for a plain service; then there is no adapter.
  ServiceName Service;
  std::string Method;
  std::string Payload;
  bool Idempotent = true;
  /// When the caller first sent it, milliseconds since 1970; only for requests
  /// that may not be repeated.
  std::uint64_t IssuedAtMilliseconds = 0;
  /// Time the caller gives; 0 takes the window of the kind.
  Duration Timeout = Duration::zero();
  /// Text of an earlier answer from which to go on.
  std::string Resumed;
};

/// How a caller's request ended.
enum class FinalKind : std::uint8_t {
  Answered,
  /// Certainly did not run.
  Refused,
  /// May have run; for requests that may not be repeated.
  Unknown,
  /// No answer in time; the request may be repeated.
  TimedOut,
  /// Broke off and couldn't be retried; the request may be repeated.
  Failed,
};

/// \class FinalAnswer
/// \ingroup Serving
/// \brief The one final answer of a request.
struct FinalAnswer {
  FinalKind Kind = FinalKind::Failed;
  RefusalReason Reason = RefusalReason::None;
  /// For all but `Answered`: when it is worth while to come back.
  Duration ComeBack = Duration::zero();
  /// Answer of a plain service, or what went wrong.
  std::string Payload;
  AdapterKey Key;
  HostName Host;
  std::uint64_t Tokens = 0;
  Duration LoadStall = Duration::zero();
  std::uint32_t Attempts = 0;
};

/// Sends an agent something.
struct SendToAgent {
  HostName Host;
  std::string Address;
  Message Content;
};
/// Hands the caller a piece of the answer.
struct DeliverChunk {
  RequestKey Key = 0;
  std::uint64_t Position = 0;
  std::string Text;
};
/// Hands the caller the end; the request is forgotten.
struct DeliverFinal {
  RequestKey Key = 0;
  KindName Kind;
  FinalAnswer Answer;
};
/// Has the replicated state decide on a command; the shell sends it again
/// until it is decided or `GiveUpAt` has come.
struct ProposeCommand {
  std::uint64_t Nonce = 0;
  Command Proposal;
  TimePoint GiveUpAt;
};
using EntryCommand =
    std::variant<SendToAgent, DeliverChunk, DeliverFinal, ProposeCommand>;

/// \class ConfigurationView
/// \ingroup Serving
/// \brief The configuration in force, as far as routing needs it.
class ConfigurationView {
public:
  virtual ~ConfigurationView() = default;
  virtual std::optional<AdapterRecord>
  findAdapter(const AdapterName &name) const = 0;
  virtual const KindRecord *findKind(const KindName &name) const = 0;
  virtual bool isDrained(const HostName &host) const = 0;
  /// \returns whether an operator has had the zone evacuated.
  virtual bool isEvacuated(const ZoneName &zone) const = 0;
  /// \returns whether it is certain that nothing newer has been in force for
  /// longer than the confirmation lease.
  virtual bool isConfirmed(TimePoint now) const = 0;
  /// \returns how long ago the question was sent by whose answer this was the
  /// newest configuration; nothing if it was never answered.
  virtual std::optional<Duration> confirmedAge(TimePoint now) const = 0;
};

/// \class EntryOptions
/// \ingroup Serving
/// \brief The knobs of an entry. docs/OPERATORS.md says what each does.
struct EntryOptions {
  /// Random number drawn when the process started.
  std::uint64_t Incarnation = 0;
  /// An agent that doesn't say at least "admitted" in this time is passed by.
  Duration AdmitTimeout = std::chrono::seconds(1);
  /// Attempts at hosts that failed, for each request.
  std::uint32_t MaxRetries = 3;
  /// First pause of a host that failed; it doubles up to sixteenfold.
  Duration SuspendTime = std::chrono::milliseconds(500);
  /// Requests in progress in this process.
  std::size_t MaxRequests = 20000;
  /// When to come back to a process that isn't certain of its configuration.
  Duration IsolatedComeBack = std::chrono::seconds(1);
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
  /// Some attempt may have had effects.
  bool MayHaveRun = false;
  /// Holder and proposal of the claim, for requests that may not be repeated.
  std::optional<AttemptId> Claim;
  bool ClaimHeld = false;
  std::uint64_t ClaimNonce = 0;
  /// Text that the caller has, for attempts that go on where one broke off.
  std::string Delivered;
  std::uint64_t DeliveredTokens = 0;
  std::uint32_t Retries = 0;
  std::uint32_t Attempts = 0;
};

/// \class EntryBoard
/// \ingroup Serving
/// \brief What the controllers of an entry know in common.
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
