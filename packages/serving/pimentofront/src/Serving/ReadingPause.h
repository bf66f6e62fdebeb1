#ifndef PIMENTOFRONT_SERVING_READING_PAUSE_H
#define PIMENTOFRONT_SERVING_READING_PAUSE_H

#include "AgentBoard.h"

namespace pimentofront {

/// \class ReadingPause
/// \ingroup Serving
/// \brief Decides which prompts an engine may read while its host is slow.
///
/// The load it answers: long prompts beside running streams on a host with
/// other load. While an engine reads a prompt, each stream's next tokens wait
/// for a piece of it. On a host of usual speed these waits stay within the
/// pauses that streams allow; on one that takes several times as long they
/// don't, and the prompt itself is late. Such periods last fractions of a
/// second, so a prompt waits for the end of the period, or goes to another
/// engine.
///
/// A prompt whose reading takes no longer than the shortest pause that a
/// running stream allows is read at any time, and so is any prompt if no stream
/// with an allowed pause runs, or if the engine doesn't state that its host is
/// slow.
class ReadingPause {
public:
  explicit ReadingPause(const AgentBoard &board) : Board(board) {}

  /// \returns whether the engine may begin to read the prompt of \p request.
  bool mayRead(TimePoint now, const ExecuteRequest &request) const;
  /// \returns how long the prompt is expected to wait for that; zero if it may
  /// be read now.
  Duration expectedWait(TimePoint now, const ExecuteRequest &request) const;

private:
  /// \returns the shortest pause that a running stream allows, if any does.
  std::optional<Duration> shortestPause() const;

  const AgentBoard &Board;
};

} // namespace pimentofront

#endif
