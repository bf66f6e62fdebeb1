#ifndef PIMENTOFRONT_SERVING_LOAD_CONTROLLER_H
#define PIMENTOFRONT_SERVING_LOAD_CONTROLLER_H

#include "AdmissionController.h"
#include "LoadGate.h"

namespace pimentofront {

/// \class LoadController
/// \ingroup Serving
/// \brief Loads the adapters that requests wait for, into an empty slot or in
/// place of the adapter with the lowest utility. One load serves all requests
/// that wait for its adapter.
class LoadController {
public:
  LoadController(AgentBoard &board, LoadGate &gate,
                 AdmissionController &admission)
      : Board(board), Gate(gate), Admission(admission) {}

  void run(TimePoint now);
  void onLoadEnded(TimePoint now, const AdapterKey &key, bool succeeded,
                   Duration took);

private:
  struct SlotChoice {
    bool Found = false;
    std::optional<AdapterKey> Victim;
  };
  std::vector<Demand> demands(TimePoint now) const;
  /// Adds a waiting attempt to the demand for its adapter.
  void addToDemand(TimePoint now, const WaitingAttempt &attempt,
                   Demand &demand) const;
  SlotChoice findSlot(TimePoint now) const;
  void startLoad(const AdapterKey &key, std::optional<AdapterKey> victim);
  void onLoadFailed(TimePoint now, const AdapterKey &key);
  void recordLoadStalls(TimePoint now, const AdapterKey &key);

  AgentBoard &Board;
  LoadGate &Gate;
  AdmissionController &Admission;
};

} // namespace pimentofront

#endif
