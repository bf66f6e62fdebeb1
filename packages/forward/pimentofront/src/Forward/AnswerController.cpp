#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

constexpr int StatusSuccess = 200;
constexpr int StatusRedirection = 300;
constexpr int StatusMisdirected = 421;
constexpr int StatusServerError = 500;

/// \returns how the time until the first event was spent and what the server
/// runs, for the log.
std::string describeStart(const ForwardRequest &request) {
  const auto milliseconds = [&](TimePoint at) {
    return std::to_string((at - request.ArrivedAt).count() / 1000);
  };
  const ForwardAttempt &attempt = *request.Attempt;
  return "asked " + milliseconds(attempt.StartedAt) + ", sent " +
         milliseconds(attempt.SentAt) + " ms after arrival, agents asked " +
         std::to_string(request.Tried.size() + 1) + ", server software " +
         softwareName(attempt.Software);
}

/// \returns whether the server of an attempt that broke off may have exited
/// and hasn't been checked yet.
bool mayShowExit(EndEvidence evidence) {
  return evidence == EndEvidence::Connection ||
         evidence == EndEvidence::InsideEvent ||
         evidence == EndEvidence::NoEvent;
}

bool isSuccess(int status) {
  return status >= StatusSuccess && status < StatusRedirection;
}

} // namespace

bool AnswerController::isStream(const ForwardRequest &request) const {
  return request.Route->Kind == Repeatability::Stream &&
         isSuccess(request.Attempt->Head->Status);
}

HeadDecision AnswerController::onHead(TimePoint now, const AttemptId &attempt,
                                      ResponseHead head) {
  ForwardRequest *request = Board.find(attempt);
  if (!request)
    return HeadDecision::Take;
  const AnswerTraits traits = Board.Codec.decodeAnswer(head);
  const bool declined = traits.NotRun || head.Status == StatusMisdirected;
  if (!traits.Id.empty() && traits.Id != request->Traits.Id)
    return HeadDecision::Skip;
  if (traits.Load) {
    Board.Servers.recordLoad(now, request->Attempt->Server, *traits.Load);
    request->Attempt->Slowness = traits.Load->Slowness;
  }
  if (!traits.Id.empty())
    Attempts.recordFeedback(now, *request, traits.Feedback);
  if (declined) {
    Board.Servers.recordDecline(now, request->Attempt->Server);
    Board.Commands.push_back(IgnoreUpstream{attempt});
    const bool misdirected = head.Status == StatusMisdirected;
    Attempts.onNotRun(now, *request, ServerOutcome::Declined,
                      misdirected ? ReleaseKind::NotResident
                                  : ReleaseKind::NotRun);
    return HeadDecision::Take;
  }
  if (traits.Id.empty() || (isSuccess(head.Status) && !traits.Stamped)) {
    // The answer lacks the id or the stamp that this server sends, so its bytes
    // belong to no request.
    Board.Commands.push_back(CancelUpstream{attempt});
    brokeOff(now, *request, {EndVerdict::BrokenOff, EndEvidence::NoAnswer});
    return HeadDecision::Take;
  }
  if (!request->ToEngine)
    Board.Servers.recordAnswerTime(now, request->Attempt->Server,
                                   now - request->Attempt->SentAt);
  request->Attempt->Head = std::move(head);
  request->Attempt->Gaps.recordArrival(now);
  Attempts.recordMayHaveRun(*request);
  if (request->Attempt->Head->Status < StatusServerError)
    return HeadDecision::Take;
  // The server ran the request and failed; another one may succeed.
  Quarantine.onSurvived(*request);
  if (!Attempts.mayRepeat(now, *request) ||
      !Board.Budgets.canRetry(request->Service))
    return HeadDecision::Take;
  Board.Commands.push_back(IgnoreUpstream{attempt});
  Attempts.endFailedAttempt(now, *request);
  Attempts.retryOrGiveUp(now, *request);
  return HeadDecision::Take;
}

void AnswerController::beginAnswer(TimePoint now, ForwardRequest &request) {
  if (request.Answering)
    return;
  request.Answering = true;
  ResponseHead head = *request.Attempt->Head;
  removeConnectionHeaders(head.Headers);
  Attempts.recordEvent(now, "answer_began", request, describeStart(request),
                       head.Status);
  if (request.ToEngine) {
    Board.Events.back().Choice = request.Attempt->Choice;
    Board.Events.back().ShapeEngines = request.Attempt->ShapeEngines;
  }
  Board.Commands.push_back(ReplyHead{request.Key, std::move(head)});
}

void AnswerController::onStreamBytes(TimePoint now, ForwardRequest &request,
                                     std::string_view bytes) {
  std::string events = request.Events.feed(bytes);
  if (!events.empty())
    passOn(now, request, std::move(events));
  const std::size_t incomplete = request.Events.partial().size();
  if (incomplete <= Board.Options.MaxEventBytes)
    return;
  Attempts.recordEvent(now, "event_too_long", request,
                       std::to_string(incomplete) + " bytes without an end");
  Board.Commands.push_back(CancelUpstream{request.Attempt->Id});
  brokeOff(now, request, {EndVerdict::BrokenOff, EndEvidence::Excess});
}

void AnswerController::passOn(TimePoint now, ForwardRequest &request,
                              std::string events) {
  if (!request.Attempt->FirstEventAt) {
    request.Attempt->FirstEventAt = now;
    Attempts.notifyBegan(request);
    Attempts.recordFirstEvent(now, request);
    Quarantine.onBegan(request);
  } else {
    request.Attempt->LongestPause = std::max(
        request.Attempt->LongestPause, now - request.Attempt->LastEventAt);
  }
  request.Attempt->LastEventAt = now;
  beginAnswer(now, request);
  Board.Commands.push_back(ReplyPiece{request.Key, std::move(events)});
}

void AnswerController::onBody(TimePoint now, const AttemptId &attempt,
                              std::string_view bytes) {
  ForwardRequest *request = Board.find(attempt);
  if (!request || !request->Attempt->Head)
    return;
  request->Attempt->LastReceivedAt = now;
  request->Attempt->Gaps.recordArrival(now);
  if (isStream(*request))
    return onStreamBytes(now, *request, bytes);
  if (request->Answering && request->Route->Kind == Repeatability::Stream)
    return; // A failure where the stream should have resumed.
  if (request->Answering) {
    Board.Commands.push_back(ReplyPiece{request->Key, std::string(bytes)});
    return;
  }
  std::string &buffered = request->Attempt->BufferedBody;
  buffered += bytes;
  if (buffered.size() <= Board.Options.AnswerBufferLimit)
    return;
  beginAnswer(now, *request);
  Board.Commands.push_back(
      ReplyPiece{request->Key, std::exchange(buffered, std::string())});
}

void AnswerController::recordStream(TimePoint now,
                                    const ForwardRequest &request) {
  const ForwardAttempt &attempt = *request.Attempt;
  const EndedStream stream{
      .Service = request.Service,
      .Route = request.Route->Name,
      .Took = now - attempt.SentAt,
      .LongestPause = attempt.LongestPause,
      .PauseTarget = request.Route->PauseTarget.value_or(Duration::zero())};
  Board.Pauses.recordStream(now, stream);
  Board.Events.back().OverPause = stream.isOverPause();
  Board.Events.back().LongestPause = stream.LongestPause;
}

EndedAttempt
AnswerController::describeEnd(const ForwardRequest &request,
                              UpstreamEnding ending,
                              std::optional<ServerCheckResult> check) const {
  const ForwardAttempt &attempt = *request.Attempt;
  const bool stream = attempt.Head && isStream(request);
  return {.Ending = ending,
          .HasHead = attempt.Head.has_value(),
          .IsStream = stream,
          .Resumed = request.resumesStream(),
          .Began = attempt.FirstEventAt.has_value(),
          .InsideEvent = !request.Events.partial().empty(),
          .FailureInStream = request.Answering && !stream &&
                             request.Route->Kind == Repeatability::Stream,
          .Check = check};
}

void AnswerController::recordEnd(TimePoint now, const ForwardRequest &request,
                                 AnswerEnd end) {
  ForwardEvent &event = Board.Events.back();
  event.End = end;
  if (request.Attempt->ClosedAt)
    event.EndWait = now - *request.Attempt->ClosedAt;
}

void AnswerController::awaitCheck(TimePoint now, ForwardRequest &request) {
  request.Attempt->ClosedAt = now;
  Quarantine.checkClosed(now, request);
}

void AnswerController::onServerChecked(TimePoint now, ForwardRequest &request,
                                       ServerCheckResult checkResult) {
  const std::optional<AnswerEnd> end =
      judgeEnd(describeEnd(request, UpstreamEnding::Closed, checkResult));
  if (end->Verdict == EndVerdict::Whole)
    complete(now, request, *end);
  else
    brokeOff(now, request, *end);
}

void AnswerController::complete(TimePoint now, ForwardRequest &request,
                                AnswerEnd end) {
  const int status = request.Attempt->Head->Status;
  const bool stream = isStream(request);
  Attempts.recordEvent(now, "request_answered", request, {}, status);
  recordEnd(now, request, end);
  const bool failed = status >= StatusServerError;
  Board.Events.back().Outcome =
      failed ? RequestOutcome::Failed : RequestOutcome::Answered;
  Quarantine.onSurvived(request);
  if (!request.Attempt->FirstEventAt)
    Quarantine.onBegan(request);
  if (stream)
    recordStream(now, request);
  if (stream)
    request.Attempt->BufferedBody = request.Events.partial();
  if (request.Answering) {
    if (stream && !request.Attempt->BufferedBody.empty())
      Board.Commands.push_back(
          ReplyPiece{request.Key, request.Attempt->BufferedBody});
    Board.Commands.push_back(ReplyEnd{request.Key});
  } else {
    ResponseHead head = *request.Attempt->Head;
    removeConnectionHeaders(head.Headers);
    Board.Commands.push_back(
        ReplyComplete{request.Key, std::move(head),
                      std::move(request.Attempt->BufferedBody)});
  }
  Attempts.endAttempt(now, request,
                      failed ? ServerOutcome::Failed : ServerOutcome::Answered,
                      failed ? ReleaseKind::BrokeOff : ReleaseKind::Answered);
  const bool plain = !request.ToEngine;
  Attempts.finish(now, request);
  if (plain)
    Attempts.serveWaiting(now);
}

void AnswerController::brokeOff(TimePoint now, ForwardRequest &request,
                                AnswerEnd end) {
  const bool began = request.Attempt->FirstEventAt.has_value();
  Attempts.recordEvent(now, "attempt_broke_off", request,
                       began ? "after its first event"
                             : "before its first event");
  Board.Events.back().Parts = describeParts(sharedParts(request.Traits.Parts));
  recordEnd(now, request, end);
  const bool checked =
      mayShowExit(end.Evidence) && Quarantine.checkServer(now, request);
  Attempts.endFailedAttempt(now, request);
  // A request that can't be sent again gets its final answer without waiting
  // for the check.
  if (!checked || !Attempts.mayRepeat(now, request))
    Attempts.retryOrGiveUp(now, request);
}

void AnswerController::onServerLost(TimePoint now, ForwardRequest &request) {
  Board.Commands.push_back(CancelUpstream{request.Attempt->Id});
  brokeOff(now, request, {EndVerdict::BrokenOff, EndEvidence::ServerSilent});
}

void AnswerController::onEnd(TimePoint now, const AttemptId &attempt,
                             UpstreamEnding ending) {
  ForwardRequest *request = Board.find(attempt);
  if (!request)
    return;
  request->Attempt->Ending = ending;
  const std::optional<AnswerEnd> end =
      judgeEnd(describeEnd(*request, ending, /*check=*/std::nullopt));
  if (!end)
    return awaitCheck(now, *request);
  if (ending == UpstreamEnding::Rejected)
    Board.Servers.recordRejection(now, request->Attempt->Server);
  switch (end->Verdict) {
  case EndVerdict::Whole:
    return complete(now, *request, *end);
  case EndVerdict::BrokenOff:
    return brokeOff(now, *request, *end);
  case EndVerdict::NotRun:
    return Attempts.onNotRun(now, *request, ServerOutcome::Unreachable,
                             ReleaseKind::NotRun);
  }
}

} // namespace pimentofront
