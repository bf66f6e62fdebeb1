#ifndef PIMENTOFRONT_SERVING_DISPATCH_CONTROLLER_H
#define PIMENTOFRONT_SERVING_DISPATCH_CONTROLLER_H

#include "AgentBoard.h"

namespace pimentofront {

/// \class DispatchController
/// \ingroup Serving
/// \brief Gives the engine the next requests while it has room: kinds share by
/// weight (stride scheduling, Waldspurger and Weihl, 1995), within a kind the
/// earliest deadline goes first. No kind starves, since each start moves its
/// kind back in the order.
class DispatchController {
public:
  explicit DispatchController(AgentBoard &board) : Board(board) {}

  void run(TimePoint now);

private:
  struct Candidate {
    AdapterKey Key;
    std::size_t Position = 0;
    const WaitingAttempt *Attempt = nullptr;
    double Pass = 0;
  };
  std::optional<Candidate> choose() const;
  /// \returns whether an idle engine should wait for more to share its steps.
  bool waitsForCompany(TimePoint now) const;
  bool goesBefore(const Candidate &a, const Candidate &b) const;
  void start(TimePoint now, const Candidate &candidate);

  AgentBoard &Board;
  /// Service that each kind has had, divided by its weight.
  std::map<KindName, double> Passes;
  /// Pass of the kind that was served last: where a kind that was away begins.
  double CurrentPass = 0;
};

} // namespace pimentofront

#endif
