#ifndef PIMENTOFRONT_FORWARD_ANSWER_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_ANSWER_CONTROLLER_H

#include "AttemptController.h"

namespace pimentofront {

/// How to continue after the head of an answer.
enum class HeadDecision : std::uint8_t {
  Take,
  /// The answer belongs to an earlier request on that connection: skip it and
  /// read the next one.
  Skip,
};

/// \class AnswerController
/// \ingroup Forward
/// \brief Decides what happens to the answers of backend servers: they are
/// passed on as they arrive, buffered until complete, or replaced by another
/// server's.
class AnswerController {
public:
  AnswerController(ForwardBoard &board, AttemptController &attempts,
                   QuarantineController &quarantine)
      : Board(board), Attempts(attempts), Quarantine(quarantine) {}

  HeadDecision onHead(TimePoint now, const AttemptId &attempt,
                      ResponseHead head);
  void onBody(TimePoint now, const AttemptId &attempt, std::string_view bytes);
  void onEnd(TimePoint now, const AttemptId &attempt, UpstreamEnding ending);
  /// The server of an answer that only its connection ended has been checked.
  /// \pre the current attempt awaits this check.
  void onServerChecked(TimePoint now, ForwardRequest &request,
                       ServerCheckResult checkResult);
  /// The server's host has gone, so the connection will never report its end.
  void onServerLost(TimePoint now, ForwardRequest &request);

private:
  bool isStream(const ForwardRequest &request) const;
  void onStreamBytes(TimePoint now, ForwardRequest &request,
                     std::string_view bytes);
  /// Passes complete events on to the caller.
  void passOn(TimePoint now, ForwardRequest &request, std::string events);
  void beginAnswer(TimePoint now, ForwardRequest &request);
  /// Records the pauses of a stream that has ended.
  void recordStream(TimePoint now, const ForwardRequest &request);
  /// \returns what is known of the end of the current attempt.
  EndedAttempt describeEnd(const ForwardRequest &request, UpstreamEnding ending,
                           std::optional<ServerCheckResult> check) const;
  /// Has the server checked, since only the connection ended the answer.
  void awaitCheck(TimePoint now, ForwardRequest &request);
  void complete(TimePoint now, ForwardRequest &request, AnswerEnd end);
  /// The answer is incomplete or invalid.
  void brokeOff(TimePoint now, ForwardRequest &request, AnswerEnd end);
  /// Records in the last event how the attempt ended.
  void recordEnd(TimePoint now, const ForwardRequest &request, AnswerEnd end);

  ForwardBoard &Board;
  AttemptController &Attempts;
  QuarantineController &Quarantine;
};

} // namespace pimentofront

#endif
