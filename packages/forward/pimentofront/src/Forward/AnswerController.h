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
  /// The server's host has gone, so the connection will never report its end.
  void onServerLost(TimePoint now, ForwardRequest &request);

private:
  bool isStream(const ForwardRequest &request) const;
  void onStreamBytes(TimePoint now, ForwardRequest &request,
                     std::string_view bytes);
  void beginAnswer(TimePoint now, ForwardRequest &request);
  /// Records the pauses of a stream that has ended.
  void recordStream(TimePoint now, const ForwardRequest &request);
  /// \returns whether a stream is whole as far as can be told. One that ends
  /// inside an event isn't, nor is a new one that its connection ended before
  /// the first event. A body with a length that has no event at all is passed
  /// on as it is.
  static bool isWhole(const ForwardRequest &request, UpstreamEnding ending);
  void complete(TimePoint now, ForwardRequest &request, UpstreamEnding ending);
  /// The answer is incomplete or invalid. \p serverMayHaveExited: the
  /// connection ended, so the server's process may have exited.
  void brokeOff(TimePoint now, ForwardRequest &request,
                bool serverMayHaveExited);

  ForwardBoard &Board;
  AttemptController &Attempts;
  QuarantineController &Quarantine;
};

} // namespace pimentofront

#endif
