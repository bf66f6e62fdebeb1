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

bool QuarantineController::mayNotKnow(TimePoint now) const {
  return AskFirstSince && now < *AskFirstSince + Board.Options.AskFirstTime;
}

void QuarantineController::onKnown(TimePoint at) {
  if (AskFirstSince && at >= *AskFirstSince)
    AskFirstSince.reset();
}

SendLeave QuarantineController::askLeave(TimePoint now,
                                         ForwardRequest &request) {
  if (request.Trial == TrialState::Granted)
    return SendLeave::Granted;
  if (request.Trial != TrialState::None)
    return SendLeave::Asked;
  switch (Board.Quarantine.stateOf(request.Content)) {
  case QuarantineState::Quarantined:
    return SendLeave::Quarantined;
  case QuarantineState::Clear:
    return mayNotKnow(now) ? SendLeave::NotKnown : SendLeave::Granted;
  case QuarantineState::Watched:
    break;
  }
  request.Trial = TrialState::Asked;
  const std::uint64_t nonce = ask(ClaimTrial{.Content = request.Content,
                                             .Holder = holderOf(Board, request),
                                             .HeldFor = request.Deadline - now},
                                  Board.Options.LeaveTimeout);
  Claims[nonce] = request.Key;
  return SendLeave::Asked;
}

std::optional<LeaveDecision>
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
  request.Trial = TrialState::None;
  if (!outcome)
    return LeaveDecision{request.Key, SendLeave::NotKnown};
  switch (outcome->Result) {
  case CommandResult::Accepted:
    request.Trial = TrialState::Granted;
    return LeaveDecision{request.Key, SendLeave::Granted};
  case CommandResult::NotFound:
    Board.Quarantine.put(request.Content, QuarantineState::Clear);
    return LeaveDecision{request.Key, SendLeave::Granted};
  case CommandResult::InProgress:
    return LeaveDecision{request.Key, SendLeave::OnTrial};
  default:
    Board.Quarantine.put(request.Content, QuarantineState::Quarantined);
    return LeaveDecision{request.Key, SendLeave::Quarantined};
  }
}

std::uint64_t QuarantineController::ask(CommandBody body,
                                        Duration giveUpAfter) {
  Board.Commands.push_back(
      AskReplicas{++LastNonce, std::move(body), giveUpAfter});
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
  request.Trial = TrialState::None;
  Board.Quarantine.put(request.Content, QuarantineState::Clear);
  endTrial(request.Content, holderOf(Board, request), TrialEnding::Survived);
}

void QuarantineController::onFinished(const ForwardRequest &request) {
  if (request.Trial != TrialState::Asked &&
      request.Trial != TrialState::Granted)
    return;
  endTrial(request.Content, holderOf(Board, request),
           request.SentOnTrial ? TrialEnding::Unclear : TrialEnding::NotRun);
}

//===----------------------------------------------------------------------===//
// Server exits
//===----------------------------------------------------------------------===//

bool QuarantineController::checkServer(ForwardRequest &request) {
  const ServerProcess process = request.Attempt->Server;
  const ServerView *server = Board.Servers.find(process);
  // A server that announced that it is leaving has exited as planned.
  if (!server || server->Record.Leaving)
    return false;
  const auto [it, isNew] = Checks.try_emplace(process);
  if (isNew)
    Board.Commands.push_back(CheckServer{process, server->Record.Address});
  const bool held = request.Trial == TrialState::Granted;
  it->second.AtWork.push_back(
      {.Content = request.Content,
       .Answering = request.Attempt->FirstEventAt.has_value(),
       .Holder = held ? holderOf(Board, request) : AttemptId()});
  // The report releases the trial grant, too.
  if (held)
    request.Trial = TrialState::None;
  request.Checks = process;
  it->second.Waiting.push_back(request.Key);
  return true;
}

std::vector<std::uint64_t> QuarantineController::onServerChecked(
    TimePoint now, const ServerProcess &server, ServerLife life) {
  const auto check = Checks.extract(server);
  if (!check)
    return {};
  const std::vector<RequestAtWork> &atWork = check.mapped().AtWork;
  if (life == ServerLife::Ended) {
    settleSecondEnds(now, server, check.mapped());
    reportEnd(now, server, atWork);
  } else
    endTrials(atWork, life);
  std::vector<std::uint64_t> waiting;
  for (const std::uint64_t key : check.mapped().Waiting) {
    const auto it = Board.Requests.find(key);
    if (it == Board.Requests.end() || it->second.Checks != server)
      continue;
    it->second.Checks.reset();
    waiting.push_back(key);
  }
  return waiting;
}

void QuarantineController::settleSecondEnds(TimePoint now,
                                            const ServerProcess &server,
                                            const Check &check) {
  for (const std::uint64_t key : check.Waiting) {
    const auto it = Board.Requests.find(key);
    if (it == Board.Requests.end() || it->second.Checks != server ||
        Board.Quarantine.stateOf(it->second.Content) == QuarantineState::Clear)
      continue;
    it->second.Trial = TrialState::Settling;
    it->second.SettledAt = now + Board.Options.SettleTime;
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

void QuarantineController::endTrials(const std::vector<RequestAtWork> &atWork,
                                     ServerLife life) {
  const bool survived = life == ServerLife::Lives;
  for (const RequestAtWork &it : atWork) {
    if (it.Holder == AttemptId())
      continue;
    if (survived)
      Board.Quarantine.put(it.Content, QuarantineState::Clear);
    endTrial(it.Content, it.Holder,
             survived ? TrialEnding::Survived : TrialEnding::Unclear);
  }
}

void QuarantineController::reportEnd(TimePoint now, const ServerProcess &server,
                                     const std::vector<RequestAtWork> &atWork) {
  std::vector<ContentHash> contents;
  for (const RequestAtWork &it : atWork) {
    contents.push_back(it.Content);
    Board.Quarantine.watch(it.Content);
  }
  Board.Servers.noteProcessEnded(now, server);
  Board.Events.push_back({.Name = "server_ended",
                          .Server = server.Name,
                          .Detail = "new connections are refused; requests of "
                                    "this entry in flight there: " +
                                    std::to_string(atWork.size())});
  const std::uint64_t nonce =
      ask(ReportServerEnd{server, atWork}, Board.Options.ReportTimeout);
  Reports[nonce] = std::move(contents);
}

} // namespace pimentofront
