#ifndef PIMENTOFRONT_FORWARD_HOLD_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_HOLD_CONTROLLER_H

#include "ForwardBoard.h"

namespace pimentofront {

/// \class HoldController
/// \ingroup Forward
/// \brief Keeps requests that nothing can take just now, for as long as that
/// may well pass, and says when each is to be tried again.
///
/// After a loss of power the routing document comes a second after the first
/// caller, and the engines' base model half a second later. A caller who is
/// refused meanwhile and may come back only once or twice is lost to it. Held
/// is only what has been sent nowhere, so its refusal, if it comes to that,
/// truly says that it has not run. Not for overload: who finds all servers full
/// is refused at once.
class HoldController {
public:
  explicit HoldController(ForwardBoard &board) : Board(board) {}

  /// Keeps the request unless it has been sent, has waited long enough, or too
  /// many wait already.
  /// \returns whether it is kept.
  bool hold(TimePoint now, ForwardRequest &request);
  /// Has a held request tried at \p at, if that is sooner.
  void wakeAt(std::uint64_t key, TimePoint at);
  /// \returns the requests that are to be tried again now, which aren't held
  /// any more.
  std::vector<std::uint64_t> takeDue(TimePoint now);
  /// \returns until when the request may wait.
  TimePoint limitOf(const ForwardRequest &request) const;

private:
  ForwardBoard &Board;
};

} // namespace pimentofront

#endif
