#ifndef PIMENTOFRONT_FORWARD_ANSWER_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_ANSWER_CONTROLLER_H

#include "AttemptController.h"

namespace pimentofront {

/// How the answer of a backend server ended.
enum class UpstreamEnding : std::uint8_t {
  Complete,
  /// No connection came about: the server never saw the request.
  NotSent,
  /// The request may have reached the server; the answer isn't whole.
  BrokeOff,
  /// The same, on a new connection that the server ended before it answered
  /// anything: most likely it has as many as it accepts.
  TurnedAway,
};

/// What the shell does with an answer whose head has come.
enum class HeadVerdict : std::uint8_t {
  Take,
  /// Belongs to an earlier request on that connection: read on for ours.
  Skip,
};

/// \class AnswerController
/// \ingroup Forward
/// \brief What becomes of the answers of backend servers: passed on, held
/// until they are whole, or replaced by another server's.
class AnswerController {
public:
  AnswerController(ForwardBoard &board, AttemptController &attempts,
                   QuarantineController &quarantine)
      : Board(board), Attempts(attempts), Quarantine(quarantine) {}

  HeadVerdict onHead(TimePoint now, const AttemptId &attempt,
                     ResponseHead head);
  void onBody(TimePoint now, const AttemptId &attempt, std::string_view bytes);
  void onEnd(TimePoint now, const AttemptId &attempt, UpstreamEnding ending);
  /// The server's host has gone: the connection will never say so.
  void onServerLost(TimePoint now, ForwardRequest &request);

private:
  bool isStream(const ForwardRequest &request) const;
  void onStreamBytes(TimePoint now, ForwardRequest &request,
                     std::string_view bytes);
  void beginAnswer(TimePoint now, ForwardRequest &request);
  void complete(TimePoint now, ForwardRequest &request);
  /// The answer isn't whole, or isn't one. \p serverMayHaveEnded: the
  /// connection ended, with whatever was at its other end.
  void brokeOff(TimePoint now, ForwardRequest &request,
                bool serverMayHaveEnded);

  ForwardBoard &Board;
  AttemptController &Attempts;
  QuarantineController &Quarantine;
};

} // namespace pimentofront

#endif
