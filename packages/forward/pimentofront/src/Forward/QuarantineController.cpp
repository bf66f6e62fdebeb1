#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

AttemptId holderOf(const ForwardBoard &board, const ForwardRequest &request) {
  return {board.Options.Incarnation, request.Key};
}

} // namespace

//===----------------------------------------------------------------------===//
// Trial grants
//===----------------------------------------------------------------------===//

bool QuarantineController::mayBeOutdated(TimePoint now) const {
  return OutdatedSince &&
         now < *OutdatedSince + Board.Options.QuarantineUpdateTimeout;
}

void QuarantineController::onCaughtUp(TimePoint at) {
  if (OutdatedSince && at >= *OutdatedSince)
    OutdatedSince.reset();
}

SendDecision QuarantineController::decideSend(TimePoint now,
                                              ForwardRequest &request) {
  if (Board.Parts.refusalOf(request.Parts))
    return SendDecision::PartQuarantined;
  if (request.Trial == TrialState::Granted)
    return SendDecision::Granted;
  if (request.Trial != TrialState::None)
    return SendDecision::Asked;
  if (const PartNotice *it = Board.Parts.trialOf(request.Parts))
    return claim(now, request, it->Part.Id);
  switch (Board.Quarantine.stateOf(request.Content)) {
  case QuarantineState::Quarantined:
    return SendDecision::Quarantined;
  case QuarantineState::Clear:
    return mayBeOutdated(now) ? SendDecision::Undecided : SendDecision::Granted;
  case QuarantineState::Watched:
    break;
  }
  return claim(now, request, request.Content);
}

SendDecision QuarantineController::claim(TimePoint now, ForwardRequest &request,
                                         const ContentHash &suspect) {
  request.Trial = TrialState::Asked;
  request.TrialOf = suspect;
  const std::uint64_t nonce =
      ask(ClaimTrial{.Content = suspect,
                     .Holder = holderOf(Board, request),
                     .MaxTrialDuration = request.Deadline - now},
          Board.Options.TrialDecisionTimeout);
  Claims[nonce] = request.Key;
  return SendDecision::Asked;
}

std::optional<TrialDecision>
QuarantineController::onDecision(std::uint64_t nonce,
                                 const std::optional<CommandOutcome> &outcome) {
  if (const auto report = Reports.extract(nonce)) {
    for (const ContentHash &it : report.mapped())
      if (outcome)
        Board.Quarantine.onReported(it, outcome->At);
    return std::nullopt;
  }
  const auto claim = Claims.extract(nonce);
  if (!claim)
    return std::nullopt;
  const auto it = Board.Requests.find(claim.mapped());
  if (it == Board.Requests.end() || it->second.Trial != TrialState::Asked)
    return std::nullopt;
  ForwardRequest &request = it->second;
  const bool ofPart = request.TrialOf != request.Content;
  request.Trial = TrialState::None;
  if (!outcome) {
    request.UndecidedTrials.insert(request.TrialOf);
    return TrialDecision{request.Key, SendDecision::Undecided};
  }
  request.UndecidedTrials.erase(request.TrialOf);
  switch (outcome->Result) {
  case CommandResult::Accepted:
    request.Trial = TrialState::Granted;
    return TrialDecision{request.Key, SendDecision::Granted};
  case CommandResult::NotFound:
    if (!ofPart)
      Board.Quarantine.put(request.Content, QuarantineState::Clear);
    return TrialDecision{request.Key, SendDecision::Granted};
  case CommandResult::InProgress:
    return TrialDecision{request.Key, SendDecision::TrialInProgress};
  default:
    if (ofPart)
      return TrialDecision{request.Key, SendDecision::PartQuarantined};
    Board.Quarantine.put(request.Content, QuarantineState::Quarantined);
    return TrialDecision{request.Key, SendDecision::Quarantined};
  }
}

std::uint64_t QuarantineController::ask(CommandBody body,
                                        Duration giveUpAfter) {
  Board.Commands.push_back(
      ProposeToReplicas{++LastNonce, std::move(body), giveUpAfter});
  return LastNonce;
}

void QuarantineController::endTrial(const ContentHash &content,
                                    const AttemptId &holder,
                                    TrialEnding ending) {
  ask(EndTrial{content, holder, ending}, Board.Options.ReportTimeout);
}

void QuarantineController::onSurvived(ForwardRequest &request) {
  const bool watched =
      Board.Quarantine.stateOf(request.Content) != QuarantineState::Clear;
  if (!watched && request.Trial == TrialState::None)
    return;
  const bool ofPart =
      request.Trial != TrialState::None && request.TrialOf != request.Content;
  request.Trial = TrialState::None;
  if (ofPart)
    endTrial(request.TrialOf, holderOf(Board, request), TrialEnding::Survived);
  if (ofPart && !watched)
    return;
  Board.Quarantine.put(request.Content, QuarantineState::Clear);
  Board.Events.push_back(
      {.Name = "suspicion_cleared",
       .Request = request.Traits.Id,
       .Route = request.Route->Name,
       .Service = request.Service,
       .Server = request.Attempt->Server.Name,
       .Content = request.Content,
       .Detail = "the server ran the request and still runs"});
  endTrial(request.Content, holderOf(Board, request), TrialEnding::Survived);
}

void QuarantineController::onFinished(const ForwardRequest &request) {
  // The replicas can grant a trial after the entry has given up waiting for
  // their decision. If nobody ended it, no other attempt could run until the
  // time of this one is over.
  std::set<ContentHash> trials = request.UndecidedTrials;
  if (request.Trial == TrialState::Asked ||
      request.Trial == TrialState::Granted)
    trials.insert(request.TrialOf);
  for (const ContentHash &it : trials)
    endTrial(it, holderOf(Board, request),
             request.SentOnTrial ? TrialEnding::Unclear : TrialEnding::NotRun);
}

//===----------------------------------------------------------------------===//
// Parts of prompts
//===----------------------------------------------------------------------===//

void QuarantineController::onUpdate(const QuarantineUpdate &update) {
  Board.Quarantine.apply(update);
  Board.Parts.apply(update);
  for (const PartNotice &it : update.Parts) {
    if (it.State == PartState::Accused)
      continue;
    const bool onTrial = it.State == PartState::OnTrial;
    Board.Events.push_back(
        {.Name = onTrial ? "part_on_trial" : "part_quarantined",
         .Content = it.Part.Id,
         .Detail = describePart(it)});
  }
}

std::vector<std::uint64_t> QuarantineController::refusedForPart() const {
  std::vector<std::uint64_t> keys;
  if (Board.Parts.count(PartState::Quarantined) == 0)
    return keys;
  for (const auto &[key, it] : Board.Requests)
    if (!it.Answering && Board.Parts.refusalOf(it.Parts))
      keys.push_back(key);
  return keys;
}

InFlightParts
QuarantineController::inFlightParts(const ForwardRequest &request) const {
  if (request.Parts.empty())
    return {};
  return {.Parts = request.Parts,
          .Account = request.Account ? request.Account->Name : AccountName(),
          .Service = request.Service,
          .KnownVersion = request.Attempt->KnownQuarantine};
}

void QuarantineController::onBegan(const ForwardRequest &request) {
  std::vector<ContentHash> parts = Board.Parts.suspectsAmong(request.Parts);
  if (!parts.empty())
    Survivors.push_back({request.Service, std::move(parts)});
}

void QuarantineController::reportSurvivors(TimePoint now) {
  if (Survivors.empty() || now < NextSurvivorReport)
    return;
  NextSurvivorReport = now + Board.Options.SurvivorReportInterval;
  ask(ReportSurvivors{std::exchange(Survivors, {})},
      Board.Options.ReportTimeout);
}

//===----------------------------------------------------------------------===//
// Server exits
//===----------------------------------------------------------------------===//

void QuarantineController::Check::append(const Check &other) {
  RequestsInFlight.insert(RequestsInFlight.end(),
                          other.RequestsInFlight.begin(),
                          other.RequestsInFlight.end());
  Trials.insert(Trials.end(), other.Trials.begin(), other.Trials.end());
  Waiting.insert(Waiting.end(), other.Waiting.begin(), other.Waiting.end());
}

bool QuarantineController::checkServer(TimePoint now, ForwardRequest &request) {
  const ServerView *server = Board.Servers.find(request.Attempt->Server);
  // A server that announced that it is leaving has exited as planned.
  if (!server || server->Record.Leaving)
    return false;
  joinCheck(now, request, /*mayAccuse=*/true, /*endsAnswer=*/false);
  return true;
}

void QuarantineController::checkClosed(TimePoint now, ForwardRequest &request) {
  const ServerView *server = Board.Servers.find(request.Attempt->Server);
  joinCheck(now, request, /*mayAccuse=*/server && !server->Record.Leaving,
            /*endsAnswer=*/true);
}

void QuarantineController::joinCheck(TimePoint now, ForwardRequest &request,
                                     bool mayAccuse, bool endsAnswer) {
  const ForwardAttempt &attempt = *request.Attempt;
  const ServerProcess process = attempt.Server;
  const auto [it, isNew] = ServerChecks.try_emplace(process);
  Check &check = isNew ? it->second.Current : it->second.Next;
  if (check.empty())
    check.EndedAt = now;
  check.Address = attempt.Address;
  // What arrived while this process was suspended may all be as old as that.
  check.Delay = std::max(
      {check.Delay, attempt.Gaps.delayBound(now), attempt.LongestStall});
  // A plain server that is asked after each long wait may have no slot to say
  // that it is the same, and its sound answer would be lost.
  if (request.ToEngine)
    check.FirstWait = std::max(check.FirstWait, now - attempt.SentAt);
  if (const ServiceSpec *service = request.Table->findService(request.Service))
    check.Query = Board.Codec.identityQuery(process, *service);
  if (isNew)
    Board.Commands.push_back(
        CheckServer{.Server = process, .Address = check.Address});
  const bool hasGrant = request.Trial == TrialState::Granted;
  check.Decides |= endsAnswer || (mayAccuse && hasGrant);
  if (mayAccuse)
    check.RequestsInFlight.push_back(
        {.Content = request.Content,
         .Answering = request.Attempt->FirstEventAt.has_value(),
         .Holder = hasGrant ? holderOf(Board, request) : AttemptId(),
         .Shared = inFlightParts(request)});
  // The report releases the trial grant, too.
  if (mayAccuse && hasGrant) {
    check.Trials.push_back({request.TrialOf, holderOf(Board, request)});
    request.Trial = TrialState::None;
  }
  request.CheckedServer = process;
  check.Waiting.push_back(request.Key);
}

bool QuarantineController::mayBeSuccessor(TimePoint now,
                                          const Check &check) const {
  if (!check.Decides)
    return false;
  const Duration sinceEnd = now - check.EndedAt;
  const Duration restart = Board.Options.MinServerRestart;
  if (check.Delay + sinceEnd >= restart)
    return true;
  // Engines work in silence before the first byte, so that this wait alone
  // seldom means a delay.
  return check.FirstWait + sinceEnd >= restart &&
         !Board.confirmedWithin(now, Board.Options.RecentListAge);
}

bool QuarantineController::askIdentity(const ServerProcess &server,
                                       Check &check) {
  if (!check.Query)
    return false;
  check.Asked = true;
  Board.Commands.push_back(CheckServer{
      .Server = server, .Address = check.Address, .Query = check.Query});
  return true;
}

void QuarantineController::recordIdentity(const ServerProcess &server,
                                          ServerCheckResult checkResult) {
  Board.Events.push_back({.Name = "server_identity",
                          .Server = server.Name,
                          .Detail = serverCheckResultName(checkResult)});
}

CheckedRequests QuarantineController::onServerChecked(
    TimePoint now, const ServerProcess &server, ServerCheckResult checkResult) {
  const auto found = ServerChecks.find(server);
  if (found == ServerChecks.end())
    return {};
  if (checkResult == ServerCheckResult::StillRunning &&
      Board.Servers.isReplaced(server, found->second.Current.Address))
    checkResult = ServerCheckResult::Replaced;
  if (found->second.Current.Asked)
    recordIdentity(server, checkResult);
  else if (checkResult == ServerCheckResult::StillRunning &&
           mayBeSuccessor(now, found->second.Current)) {
    if (askIdentity(server, found->second.Current))
      return {};
    checkResult = ServerCheckResult::Unidentified;
  }
  Check check = std::move(found->second.Current);
  Check next = std::move(found->second.Next);
  ServerChecks.erase(found);
  const bool isGone = checkResult == ServerCheckResult::Exited ||
                      checkResult == ServerCheckResult::Replaced;
  if (isGone)
    check.append(next);
  else if (!next.empty()) {
    Board.Commands.push_back(
        CheckServer{.Server = server, .Address = next.Address});
    ServerChecks[server].Current = std::move(next);
  }
  if (checkResult == ServerCheckResult::Exited) {
    startSettling(now, server, check);
    reportServerExit(now, server, check.RequestsInFlight);
  } else
    endTrials(check.Trials, checkResult);
  CheckedRequests checked{.Result = checkResult};
  for (const std::uint64_t key : check.Waiting) {
    const auto it = Board.Requests.find(key);
    if (it == Board.Requests.end() || it->second.CheckedServer != server)
      continue;
    it->second.CheckedServer.reset();
    checked.Keys.push_back(key);
  }
  return checked;
}

void QuarantineController::startSettling(TimePoint now,
                                         const ServerProcess &server,
                                         const Check &check) {
  for (const std::uint64_t key : check.Waiting) {
    const auto it = Board.Requests.find(key);
    if (it == Board.Requests.end() || it->second.CheckedServer != server ||
        Board.Quarantine.stateOf(it->second.Content) == QuarantineState::Clear)
      continue;
    it->second.Trial = TrialState::Settling;
    it->second.SettledAt = now + Board.Options.SettleDelay;
  }
}

std::vector<std::uint64_t> QuarantineController::takeSettled(TimePoint now) {
  std::vector<std::uint64_t> settled;
  for (auto &[key, it] : Board.Requests) {
    if (it.Trial != TrialState::Settling || now < it.SettledAt)
      continue;
    it.Trial = TrialState::None;
    settled.push_back(key);
  }
  return settled;
}

void QuarantineController::endTrials(const std::vector<HeldTrial> &trials,
                                     ServerCheckResult checkResult) {
  const bool survived = checkResult == ServerCheckResult::StillRunning;
  for (const HeldTrial &it : trials) {
    if (survived)
      Board.Quarantine.put(it.Of, QuarantineState::Clear);
    endTrial(it.Of, it.Holder,
             survived ? TrialEnding::Survived : TrialEnding::Unclear);
  }
}

void QuarantineController::reportServerExit(
    TimePoint now, const ServerProcess &server,
    const std::vector<InFlightRequest> &inFlight) {
  // The server was leaving, so that its exit tells nothing about its requests.
  if (inFlight.empty())
    return;
  std::vector<ContentHash> contents;
  for (const InFlightRequest &it : inFlight) {
    contents.push_back(it.Content);
    Board.Quarantine.watch(it.Content);
  }
  Board.Servers.recordProcessExit(now, server);
  Board.Events.push_back({.Name = "server_ended",
                          .Server = server.Name,
                          .Detail = "new connections are refused; requests of "
                                    "this entry in flight there: " +
                                    std::to_string(inFlight.size())});
  const std::uint64_t nonce =
      ask(ReportServerExit{server, inFlight}, Board.Options.ReportTimeout);
  Reports[nonce] = std::move(contents);
}

} // namespace pimentofront
