#ifndef PIMENTOFRONT_FORWARD_DEFER_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_DEFER_CONTROLLER_H

#include "ForwardBoard.h"

namespace pimentofront {

/// \class DeferController
/// \ingroup Forward
/// \brief Defers requests that nothing can take now, for as long as the cause
/// is likely to pass, and schedules their next tries.
///
/// After a power loss the routing document arrives a second after the first
/// caller's request, and the engines have their base model half a second later.
/// A caller that is refused in between and retries only once or twice gets no
/// answer at all. Only requests that have been sent to no server are deferred,
/// so a later refusal still guarantees that the request has not run. Not for
/// overload: a request that finds all servers full is refused at once.
class DeferController {
public:
  explicit DeferController(ForwardBoard &board) : Board(board) {}

  /// Defers the request, unless it has been sent, has waited long enough, or
  /// too many are deferred already.
  /// \returns whether it is deferred.
  bool defer(TimePoint now, ForwardRequest &request);
  /// Moves the next try of a deferred request forward to \p at, if that is
  /// sooner.
  void retryAt(std::uint64_t key, TimePoint at);
  /// \returns the requests that are to be tried again now; they are no longer
  /// deferred.
  std::vector<std::uint64_t> takeDue(TimePoint now);
  /// \returns until when the request may be deferred.
  TimePoint deferLimit(const ForwardRequest &request) const;

private:
  ForwardBoard &Board;
};

} // namespace pimentofront

#endif
