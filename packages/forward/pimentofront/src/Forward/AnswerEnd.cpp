#include "pimentofront/Forward.h"

namespace pimentofront {
namespace {

/// \returns whether a stream stopped inside an event. A new answer with a
/// length or a last chunk that has no event at all isn't a stream, whatever its
/// route, and is passed on as it is.
bool isTorn(const EndedAttempt &attempt) {
  if (!attempt.IsStream || !attempt.InsideEvent)
    return false;
  return attempt.Began || attempt.Resumed ||
         attempt.Ending == UpstreamEnding::Closed;
}

/// \returns the verdict on an answer that only its connection ended.
std::optional<AnswerEnd> judgeClosed(const EndedAttempt &attempt) {
  if (attempt.IsStream && !attempt.Began && !attempt.Resumed)
    return AnswerEnd{EndVerdict::BrokenOff, EndEvidence::NoEvent};
  if (!attempt.Check)
    return std::nullopt;
  switch (*attempt.Check) {
  case ServerCheckResult::StillRunning:
    return AnswerEnd{EndVerdict::Whole, EndEvidence::ServerRunning};
  case ServerCheckResult::Exited:
    return AnswerEnd{EndVerdict::BrokenOff, EndEvidence::ServerExited};
  case ServerCheckResult::Replaced:
    return AnswerEnd{EndVerdict::BrokenOff, EndEvidence::ServerReplaced};
  case ServerCheckResult::Unidentified:
    return AnswerEnd{EndVerdict::BrokenOff, EndEvidence::ServerUnidentified};
  case ServerCheckResult::Unknown:
    break;
  }
  return AnswerEnd{EndVerdict::BrokenOff, EndEvidence::ServerUnreachable};
}

} // namespace

const char *upstreamEndingName(UpstreamEnding ending) {
  constexpr const char *Names[] = {"complete", "not_sent", "broke_off",
                                   "rejected", "closed",   "excessive"};
  return Names[static_cast<std::size_t>(ending)];
}

const char *serverCheckResultName(ServerCheckResult result) {
  constexpr const char *Names[] = {"still_running", "exited", "unknown",
                                   "replaced", "unidentified"};
  return Names[static_cast<std::size_t>(result)];
}

const char *endVerdictName(EndVerdict verdict) {
  constexpr const char *Names[] = {"whole", "broken_off", "not_run"};
  return Names[static_cast<std::size_t>(verdict)];
}

const char *endEvidenceName(EndEvidence evidence) {
  constexpr const char *Names[] = {"framing",
                                   "connection",
                                   "server_running",
                                   "server_exited",
                                   "server_replaced",
                                   "server_unreachable",
                                   "server_unidentified",
                                   "inside_event",
                                   "no_event",
                                   "failure_in_stream",
                                   "no_answer",
                                   "server_silent",
                                   "excess"};
  return Names[static_cast<std::size_t>(evidence)];
}

std::optional<AnswerEnd> judgeEnd(const EndedAttempt &attempt) {
  if (attempt.Ending == UpstreamEnding::NotSent)
    return AnswerEnd{EndVerdict::NotRun, EndEvidence::Connection};
  if (attempt.Ending == UpstreamEnding::Excessive)
    return AnswerEnd{EndVerdict::BrokenOff, EndEvidence::Excess};
  const bool ended = attempt.Ending == UpstreamEnding::Complete ||
                     attempt.Ending == UpstreamEnding::Closed;
  if (!ended || !attempt.HasHead)
    return AnswerEnd{EndVerdict::BrokenOff, EndEvidence::Connection};
  if (attempt.FailureInStream)
    return AnswerEnd{EndVerdict::BrokenOff, EndEvidence::FailureInStream};
  if (isTorn(attempt))
    return AnswerEnd{EndVerdict::BrokenOff, EndEvidence::InsideEvent};
  if (attempt.Ending == UpstreamEnding::Complete)
    return AnswerEnd{EndVerdict::Whole, EndEvidence::Framing};
  return judgeClosed(attempt);
}

} // namespace pimentofront
