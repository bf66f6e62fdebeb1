#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// How long the ending of a claim is proposed again before the claim is left to
/// expire in the ledger.
constexpr Duration EndingProposalTimeout = std::chrono::minutes(2);

std::uint64_t contentHash(const CallerRequest &request) {
  const std::uint64_t seed = stableHash(request.Service.str());
  return stableHash(request.Payload, stableHash(request.Method, seed));
}

bool isHostFailure(RefusalReason reason) {
  return reason == RefusalReason::BackendDown ||
         reason == RefusalReason::LoadFailed;
}

/// \returns the selected live version, or the highest live one if none was
/// selected.
const VersionRecord *chooseVersion(const AdapterRecord &adapter,
                                   VersionNumber wanted) {
  const VersionRecord *best = nullptr;
  for (const VersionRecord &it : adapter.Versions) {
    const bool matches = wanted == 0 || it.Number == wanted;
    if (it.Live && matches && (!best || it.Number > best->Number))
      best = &it;
  }
  return best;
}

} // namespace

EntryController::EntryController(const EntryOptions &options,
                                 const ConfigurationView &configuration,
                                 RoutingPolicy &routing)
    : Board(options, configuration), Routing(routing) {}

std::vector<EntryCommand> EntryController::takeCommands() {
  return std::exchange(Board.Commands, {});
}

//===----------------------------------------------------------------------===//
// New requests
//===----------------------------------------------------------------------===//

void EntryController::refuseNew(const CallerRequest &request,
                                RefusalReason reason, Duration retryAfter,
                                std::string detail) {
  Board.Commands.push_back(
      DeliverFinal{request.Key, request.Kind,
                   FinalAnswer{.Kind = FinalKind::Refused,
                               .Reason = reason,
                               .RetryAfter = Board.Jitter.jitter(retryAfter),
                               .Payload = std::move(detail)}});
}

RefusalReason EntryController::resolve(EntryRequest &request,
                                       std::string &detail) const {
  const CallerRequest &caller = request.Caller;
  if (!caller.Service.empty())
    return RefusalReason::None;
  const std::optional<AdapterRecord> adapter =
      Board.Configuration.findAdapter(caller.Adapter);
  if (!adapter) {
    detail = "adapter '" + caller.Adapter.str() + "' doesn't exist";
    return RefusalReason::Invalid;
  }
  const VersionRecord *version = chooseVersion(*adapter, caller.Version);
  if (!version) {
    detail = "adapter '" + caller.Adapter.str() + "' has no live version" +
             (caller.Version ? " " + std::to_string(caller.Version) : "");
    return RefusalReason::Invalid;
  }
  request.Key = {adapter->Name, version->Number};
  request.BaseModel = adapter->BaseModel;
  request.Source = version->Source;
  return RefusalReason::None;
}

void EntryController::onRequest(TimePoint now, CallerRequest caller) {
  constexpr Duration ShortRetryAfter = std::chrono::milliseconds(200);
  if (Board.Stopping)
    return refuseNew(caller, RefusalReason::Stopping, Duration::zero(),
                     "this process is stopping");
  if (!Board.Configuration.isConfirmed(now))
    return refuseNew(caller, RefusalReason::Isolated,
                     Board.Options.IsolatedRetryAfter,
                     "the configuration in force isn't known for certain");
  if (Board.Requests.size() >= Board.Options.MaxRequests)
    return refuseNew(caller, RefusalReason::QueueFull, ShortRetryAfter,
                     "too many requests in progress");
  const KindRecord *kind = Board.Configuration.findKind(caller.Kind);
  if (!kind)
    return refuseNew(caller, RefusalReason::Invalid, Duration::zero(),
                     "kind '" + caller.Kind.str() + "' doesn't exist");
  EntryRequest request{
      .Caller = std::move(caller), .Weight = kind->Weight, .ArrivedAt = now};
  std::string detail;
  const RefusalReason unresolved = resolve(request, detail);
  if (unresolved != RefusalReason::None)
    return refuseNew(request.Caller, unresolved, Duration::zero(), detail);
  const RefusalReason limited =
      Board.Limits.enter(*kind, request.Caller.Caller);
  if (limited != RefusalReason::None)
    return refuseNew(request.Caller, limited, ShortRetryAfter, "limit reached");
  const Duration timeout = request.Caller.Timeout;
  request.Deadline =
      now + (timeout > Duration::zero() ? std::min(timeout, kind->Window)
                                        : kind->Window);
  request.Delivered = request.Caller.ResumeText;
  Board.Budget.recordRequest();
  const RequestKey key = request.Caller.Key;
  EntryRequest &placed =
      Board.Requests.emplace(key, std::move(request)).first->second;
  if (placed.Caller.Idempotent)
    return nextAttempt(now, placed);
  claim(now, placed);
}

void EntryController::claim(TimePoint, EntryRequest &request) {
  const AttemptId holder{Board.Options.Incarnation, ++Board.LastSequence};
  request.Claim = holder;
  request.ClaimNonce = holder.Sequence;
  Board.Claims.emplace(request.ClaimNonce, request.Caller.Key);
  Board.Commands.push_back(ProposeCommand{
      .Nonce = request.ClaimNonce,
      .Proposal = Command{.Body =
                              ClaimRequest{
                                  .Caller = request.Caller.Caller,
                                  .Request = request.Caller.Id,
                                  .ContentHash = contentHash(request.Caller),
                                  .Holder = holder,
                                  .IssuedAtMilliseconds =
                                      request.Caller.IssuedAtMilliseconds,
                              }},
      .ProposeUntil = request.Deadline});
}

void EntryController::onDecision(TimePoint now, std::uint64_t nonce,
                                 const std::optional<CommandOutcome> &outcome) {
  const auto it = Board.Claims.find(nonce);
  if (it == Board.Claims.end())
    return;
  EntryRequest &request = Board.Requests.at(it->second);
  Board.Claims.erase(it);
  constexpr Duration LongRetryAfter = std::chrono::seconds(1);
  if (!outcome)
    // No attempt was sent; finish() withdraws the claim in case it was granted.
    return finish(request, {.Kind = FinalKind::Refused,
                            .Reason = RefusalReason::NoClaim,
                            .RetryAfter = Board.Jitter.jitter(LongRetryAfter),
                            .Payload = "the claim couldn't be committed"});
  if (outcome->Result == CommandResult::Accepted) {
    request.ClaimHeld = true;
    // The process may have been suspended: check the deadline before acting.
    if (now >= request.Deadline)
      return expire(now, request);
    return nextAttempt(now, request);
  }
  request.Claim.reset();
  if (outcome->Result == CommandResult::AlreadyAnswered)
    return finish(request,
                  {.Kind = FinalKind::Answered, .Payload = outcome->Answer});
  if (outcome->Result == CommandResult::InProgress)
    return finish(request, {.Kind = FinalKind::Unknown,
                            .RetryAfter = Board.Jitter.jitter(LongRetryAfter),
                            .Payload = "an earlier attempt is in progress"});
  if (outcome->Result == CommandResult::AlreadyUnknown)
    return finish(request, unknown("an earlier attempt may have run"));
  finish(request, {.Kind = FinalKind::Refused,
                   .Reason = RefusalReason::Invalid,
                   .Payload = outcome->Detail});
}

//===----------------------------------------------------------------------===//
// Attempts
//===----------------------------------------------------------------------===//

/// A version may have been superseded while the request waited for its claim or
/// for another host. An answer that has begun goes on with its own version, as
/// does a request that selected one.
void EntryController::useLiveVersion(EntryRequest &request) const {
  if (request.Caller.Version != 0 || !request.Delivered.empty())
    return;
  const std::optional<AdapterRecord> adapter =
      Board.Configuration.findAdapter(request.Key.Adapter);
  // Without a live version it keeps the one with which it was accepted.
  const VersionRecord *live = adapter ? chooseVersion(*adapter, 0) : nullptr;
  if (!live || live->Number == request.Key.Version)
    return;
  request.Key.Version = live->Number;
  request.Source = live->Source;
  // What hosts answered concerns the former version.
  std::erase_if(request.Tried,
                [](const TriedHost &it) { return !isHostFailure(it.Reason); });
}

void EntryController::nextAttempt(TimePoint now, EntryRequest &request) {
  if (now >= request.Deadline)
    return expire(now, request);
  useLiveVersion(request);
  const RouteQuery query{.Key = request.Key,
                         .BaseModel = request.BaseModel,
                         .Service = request.Caller.Service,
                         .Tried = request.Tried};
  RoutingPolicy &routing =
      request.Caller.Service.empty() ? Routing : ServiceRouting;
  const std::optional<Route> route = routing.choose(now, query, Board.Members);
  if (!route)
    return finishUnroutable(request);
  send(now, request, *route);
}

void EntryController::send(TimePoint now, EntryRequest &request,
                           const Route &route) {
  const AttemptId id{Board.Options.Incarnation, ++Board.LastSequence};
  MemberView &member = Board.Members.at(route.Host);
  request.Attempt = CurrentAttempt{.Id = id,
                                   .Host = route.Host,
                                   .SentAt = now,
                                   .OnlyIfResident = route.OnlyIfResident};
  ++request.Attempts;
  Board.Attempts.emplace(id, request.Caller.Key);
  // Count the request as running until the agent reports its load.
  if (!route.OnlyIfResident)
    ++member.Load.Running;
  const CallerRequest &caller = request.Caller;
  const auto generatedTokens =
      static_cast<std::uint32_t>(request.DeliveredTokens);
  Board.Commands.push_back(SendToAgent{
      route.Host, member.Record.Address,
      ExecuteRequest{.Attempt = id,
                     .Request = caller.Id,
                     .Caller = caller.Caller,
                     .Kind = caller.Kind,
                     .Weight = request.Weight,
                     .Remaining = request.Deadline - now,
                     .Key = request.Key,
                     .BaseModel = request.BaseModel,
                     .Source = request.Source,
                     .Prompt = caller.Prompt,
                     .ResumeText = request.Delivered,
                     .MaxTokens = caller.MaxTokens -
                                  std::min(generatedTokens, caller.MaxTokens),
                     .Service = caller.Service,
                     .Method = caller.Method,
                     .Payload = caller.Payload,
                     .OnlyIfResident = route.OnlyIfResident}});
}

void EntryController::finishUnroutable(EntryRequest &request) {
  FinalAnswer answer{.Kind = FinalKind::Refused,
                     .Reason = RefusalReason::NoBackend,
                     .Payload = "no backend server can take it"};
  constexpr Duration LongRetryAfter = std::chrono::seconds(1);
  answer.RetryAfter = Board.Jitter.jitter(LongRetryAfter);
  if (!request.Tried.empty())
    answer.Reason = request.Tried.back().Reason;
  if (request.MayHaveRun)
    answer.Kind = FinalKind::Failed;
  finish(request, std::move(answer));
}

EntryRequest *EntryController::find(const AttemptId &attempt,
                                    const HostName &host) {
  const auto it = Board.Attempts.find(attempt);
  if (it == Board.Attempts.end())
    return nullptr;
  EntryRequest &request = Board.Requests.at(it->second);
  return request.Attempt->Host == host ? &request : nullptr;
}

bool EntryController::takeRetry(EntryRequest &request) {
  return request.Retries++ < Board.Options.MaxRetries && Board.Budget.take();
}

void EntryController::recordLoad(const HostName &host, const AgentLoad &load) {
  const auto it = Board.Members.find(host);
  if (it != Board.Members.end() && load.BatchCapacity > 0)
    it->second.Load = load;
}

void EntryController::dropAttempt(EntryRequest &request) {
  if (!request.Attempt)
    return;
  Board.Attempts.erase(request.Attempt->Id);
  request.Attempt.reset();
}

void EntryController::cancelAttempt(EntryRequest &request) {
  if (!request.Attempt)
    return;
  const auto member = Board.Members.find(request.Attempt->Host);
  if (member != Board.Members.end())
    Board.Commands.push_back(SendToAgent{request.Attempt->Host,
                                         member->second.Record.Address,
                                         CancelAttempt{request.Attempt->Id}});
  dropAttempt(request);
}

void EntryController::onAdmitted(TimePoint, const HostName &host,
                                 const AttemptAdmitted &message) {
  EntryRequest *request = find(message.Attempt, host);
  if (!request)
    return;
  request->Attempt->Admitted = true;
  recordLoad(host, message.Load);
  const auto member = Board.Members.find(host);
  if (member != Board.Members.end())
    member->second.Failures = 0;
  if (request->Caller.Service.empty())
    Routing.learn(request->Key, host, true);
}

void EntryController::onRefused(TimePoint now, const HostName &host,
                                const AttemptRefused &message) {
  EntryRequest *request = find(message.Attempt, host);
  if (!request)
    return;
  const bool probe = request->Attempt->OnlyIfResident;
  dropAttempt(*request);
  recordLoad(host, message.Load);
  if (message.Reason == RefusalReason::NotResident)
    Routing.learn(request->Key, host, false);
  const auto member = Board.Members.find(host);
  if (message.Reason == RefusalReason::Leaving && member != Board.Members.end())
    member->second.Record.Leaving = true;
  if (message.Reason == RefusalReason::BackendDown)
    eject(now, host);
  request->Tried.push_back({host, message.Reason, message.Load, probe});
  // The scheduler orders the loads of all hosts, so another host would give the
  // same answer.
  const bool isFinal = message.Reason == RefusalReason::LoadBacklog;
  const bool mayContinue =
      !isHostFailure(message.Reason) || takeRetry(*request);
  if (mayContinue && !isFinal)
    return nextAttempt(now, *request);
  finish(*request,
         {.Kind = request->MayHaveRun ? FinalKind::Failed : FinalKind::Refused,
          .Reason = message.Reason,
          .RetryAfter = message.RetryAfter,
          .Payload = "refused by the backend server's host"});
}

void EntryController::onChunk(TimePoint now, const HostName &host,
                              const AttemptChunk &message) {
  EntryRequest *request = find(message.Attempt, host);
  if (!request)
    return;
  CurrentAttempt &attempt = *request->Attempt;
  if (message.Position != attempt.Tokens)
    return onAttemptLost(now, *request, "a piece of the answer is missing");
  attempt.Tokens += message.Tokens;
  Board.Commands.push_back(DeliverChunk{
      request->Caller.Key, request->DeliveredTokens, message.Text});
  request->DeliveredTokens += message.Tokens;
  request->Delivered += message.Text;
}

void EntryController::onFinished(TimePoint now, const HostName &host,
                                 const AttemptFinished &message) {
  EntryRequest *request = find(message.Attempt, host);
  if (!request)
    return;
  recordLoad(host, message.Load);
  const bool complete = message.Ending == AttemptEnding::Answered &&
                        message.Tokens == request->Attempt->Tokens;
  if (!complete)
    return onAttemptLost(now, *request,
                         message.Payload.empty() ? "the answer broke off"
                                                 : message.Payload);
  dropAttempt(*request);
  finish(*request, {.Kind = FinalKind::Answered,
                    .Payload = message.Payload,
                    .Key = request->Key,
                    .Host = host,
                    .Tokens = request->DeliveredTokens,
                    .LoadStall = message.LoadStall});
}

void EntryController::onAttemptLost(TimePoint now, EntryRequest &request,
                                    const std::string &why) {
  const HostName host = request.Attempt->Host;
  cancelAttempt(request);
  request.MayHaveRun = true;
  if (!request.Caller.Idempotent)
    return finish(request, unknown(why));
  request.Tried.push_back({host, RefusalReason::BackendDown, {}, false});
  const std::uint32_t generatedTokens =
      static_cast<std::uint32_t>(request.DeliveredTokens);
  if (request.Caller.Service.empty() && generatedTokens > 0 &&
      generatedTokens >= request.Caller.MaxTokens)
    return finish(request, {.Kind = FinalKind::Answered,
                            .Key = request.Key,
                            .Host = host,
                            .Tokens = request.DeliveredTokens});
  if (takeRetry(request))
    return nextAttempt(now, request);
  constexpr Duration LongRetryAfter = std::chrono::seconds(1);
  finish(request, {.Kind = FinalKind::Failed,
                   .Reason = RefusalReason::BackendDown,
                   .RetryAfter = Board.Jitter.jitter(LongRetryAfter),
                   .Payload = why});
}

//===----------------------------------------------------------------------===//
// Hosts
//===----------------------------------------------------------------------===//

void EntryController::eject(TimePoint now, const HostName &host) {
  const auto it = Board.Members.find(host);
  if (it == Board.Members.end())
    return;
  constexpr std::uint32_t MaxDoublings = 4;
  const std::uint32_t doublings = std::min(it->second.Failures, MaxDoublings);
  ++it->second.Failures;
  it->second.EjectedUntil =
      now + Board.Jitter.jitter(Board.Options.EjectionTime * (1 << doublings));
}

void EntryController::onAgentLeaving(const AgentLeaving &message) {
  const auto it = Board.Members.find(message.Host);
  if (it != Board.Members.end() &&
      it->second.Record.Incarnation == message.Incarnation)
    it->second.Record.Leaving = true;
}

void EntryController::onLinkLost(TimePoint now, const HostName &host,
                                 bool wasOpen) {
  eject(now, host);
  onHostFailed(now, host, wasOpen);
}

void EntryController::onHostFailed(TimePoint now, const HostName &host,
                                   bool mayHaveRun) {
  std::vector<RequestKey> keys;
  for (const auto &[key, request] : Board.Requests)
    if (request.Attempt && request.Attempt->Host == host)
      keys.push_back(key);
  std::ranges::sort(keys);
  for (const RequestKey key : keys) {
    EntryRequest &request = Board.Requests.at(key);
    if (mayHaveRun) {
      onAttemptLost(now, request,
                    "the link to the backend server's host ended");
      continue;
    }
    const AttemptRefused notRun{.Attempt = request.Attempt->Id,
                                .Reason = RefusalReason::BackendDown};
    onRefused(now, host, notRun);
  }
}

void EntryController::onMembers(TimePoint now, const MemberUpdate &update) {
  if (update.Full)
    for (auto &[host, member] : Board.Members)
      member.Unconfirmed = true;
  std::vector<HostName> lostHosts;
  for (const MemberRecord &it : update.Members) {
    // A member that registered itself has no agent that accepts these requests.
    if (it.Registered)
      continue;
    MemberView &member = Board.Members[it.Host];
    const bool restarted = member.Record.Incarnation != 0 &&
                           member.Record.Incarnation != it.Incarnation;
    if (restarted || it.Gone)
      lostHosts.push_back(it.Host);
    if (restarted)
      member = MemberView();
    member.Record = it;
    member.Unconfirmed = false;
    member.NameHash = stableHash(it.Host.str());
    member.Drained = isDrainedOrEvacuated(it);
  }
  if (update.Complete)
    for (auto &[host, member] : Board.Members)
      if (member.Unconfirmed)
        lostHosts.push_back(host);
  for (const HostName &it : lostHosts)
    onHostFailed(now, it, true);
  std::erase_if(Board.Members, [&](const auto &it) {
    return it.second.Record.Gone || (update.Complete && it.second.Unconfirmed);
  });
}

bool EntryController::isDrainedOrEvacuated(const MemberRecord &member) const {
  return Board.Configuration.isDrained(member.Host) ||
         Board.Configuration.isEvacuated(member.Zone);
}

void EntryController::onAvailabilityChanged() {
  for (auto &[host, member] : Board.Members)
    member.Drained = isDrainedOrEvacuated(member.Record);
}

//===----------------------------------------------------------------------===//
// Final answers
//===----------------------------------------------------------------------===//

FinalAnswer EntryController::unknown(const std::string &why) const {
  return {.Kind = FinalKind::Unknown, .Payload = why};
}

void EntryController::endClaim(const EntryRequest &request,
                               const FinalAnswer &answer) {
  ClaimEnding ending = ClaimEnding::Unknown;
  if (answer.Kind == FinalKind::Answered)
    ending = ClaimEnding::Answered;
  if (answer.Kind == FinalKind::Refused)
    ending = ClaimEnding::NotRun;
  const bool answered = ending == ClaimEnding::Answered;
  Board.Commands.push_back(ProposeCommand{
      .Nonce = ++Board.LastSequence,
      .Proposal =
          Command{.Body =
                      RecordEnding{
                          .Caller = request.Caller.Caller,
                          .Request = request.Caller.Id,
                          .Holder = *request.Claim,
                          .Ending = ending,
                          .Answer = answered ? answer.Payload : std::string(),
                      }},
      .ProposeUntil = request.Deadline + EndingProposalTimeout});
}

void EntryController::finish(EntryRequest &request, FinalAnswer answer) {
  cancelAttempt(request);
  Board.Claims.erase(request.ClaimNonce);
  if (request.Claim)
    endClaim(request, answer);
  answer.Attempts = request.Attempts;
  Board.Limits.leave(request.Caller.Kind, request.Caller.Caller);
  Board.Commands.push_back(
      DeliverFinal{request.Caller.Key, request.Caller.Kind, std::move(answer)});
  Board.Requests.erase(request.Caller.Key);
}

void EntryController::expire(TimePoint, EntryRequest &request) {
  // An attempt that requires its adapter to be resident may be running by now,
  // too.
  const bool sent = request.Attempt.has_value();
  FinalAnswer answer{.Kind = FinalKind::TimedOut,
                     .Payload = "no answer within the time given"};
  constexpr Duration LongRetryAfter = std::chrono::seconds(1);
  answer.RetryAfter = Board.Jitter.jitter(LongRetryAfter);
  if (!request.Caller.Idempotent && (sent || request.MayHaveRun))
    answer = unknown("no answer within the time given");
  else if (!sent && !request.MayHaveRun)
    answer.Kind = FinalKind::Refused;
  if (answer.Kind == FinalKind::Refused)
    answer.Reason = request.Claim && !request.ClaimHeld
                        ? RefusalReason::NoClaim
                        : RefusalReason::NoBackend;
  finish(request, std::move(answer));
}

void EntryController::onCallerDisconnected(TimePoint, RequestKey key) {
  const auto it = Board.Requests.find(key);
  if (it == Board.Requests.end())
    return;
  EntryRequest &request = it->second;
  if (!request.Caller.Idempotent && request.Attempt)
    return; // Runs to its end: its outcome is recorded for a resend.
  const bool mayHaveRun = request.Attempt || request.MayHaveRun;
  finish(request, {.Kind = mayHaveRun ? FinalKind::Failed : FinalKind::Refused,
                   .Payload = "the caller gave it up"});
}

void EntryController::tick(TimePoint now) {
  std::vector<RequestKey> keys;
  for (const auto &[key, request] : Board.Requests) {
    const bool notAdmitted =
        request.Attempt && !request.Attempt->Admitted &&
        now - request.Attempt->SentAt > Board.Options.AdmitTimeout;
    if (now >= request.Deadline || (notAdmitted && request.Caller.Idempotent))
      keys.push_back(key);
  }
  std::ranges::sort(keys);
  for (const RequestKey key : keys) {
    EntryRequest &request = Board.Requests.at(key);
    if (now >= request.Deadline) {
      expire(now, request);
      continue;
    }
    eject(now, request.Attempt->Host);
    onAttemptLost(now, request, "the backend server's host didn't answer");
  }
}

} // namespace pimentofront
