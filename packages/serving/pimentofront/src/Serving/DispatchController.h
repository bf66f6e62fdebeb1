#ifndef PIMENTOFRONT_SERVING_DISPATCH_CONTROLLER_H
#define PIMENTOFRONT_SERVING_DISPATCH_CONTROLLER_H

#include "AgentBoard.h"

namespace pimentofront {

/// \class DispatchController
/// \ingroup Serving
/// \brief Starts waiting requests while the engine has capacity. Kinds share it
/// by weight (stride scheduling, Waldspurger and Weihl, 1995); within a kind
/// the earliest deadline goes first. No kind starves, since each start advances
/// the pass of its kind.
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
  /// \returns whether an idle engine should wait for more requests to batch.
  bool waitsForBatch(TimePoint now) const;
  bool precedes(const Candidate &a, const Candidate &b) const;
  void start(TimePoint now, const Candidate &candidate);

  AgentBoard &Board;
  /// Virtual time (pass) of each kind: its starts divided by its weight.
  std::map<KindName, double> Passes;
  /// Pass of the kind that was served last, at which a kind without waiting
  /// requests resumes.
  double CurrentPass = 0;
};

} // namespace pimentofront

#endif
