#ifndef PIMENTOFRONT_SOAK_FAULT_SERIES_H
#define PIMENTOFRONT_SOAK_FAULT_SERIES_H

#include "FaultPlan.h"
#include "Operator.h"

namespace pimentofront::soak {

/// \class FaultSeries
/// \brief Stops several entries, several servers of long streams or their
/// agents one shortly after the other, with changes of the routing document in
/// between. A series may begin before the one before has ended.
///
/// Runs beside FaultPlan and keeps its calm periods.
class FaultSeries {
public:
  FaultSeries(EventLoop &loop, Deployment &deployment, FaultPlan &faults,
              Operator &changes, std::uint64_t seed);

private:
  struct ScheduledAction {
    TimePoint At;
    std::function<void(TimePoint)> Action;
  };
  void tick();
  void startSeries(TimePoint now);
  void stopEntry(TimePoint now);
  void stopAgent(TimePoint now);
  void restartServer(TimePoint now);
  void disturbServer(TimePoint now);
  void changeDocument(TimePoint now);
  std::vector<Server *> readyServers();
  /// Stops one of the processes that run, if any.
  void stopOneOf(TimePoint now, const std::vector<Daemon *> &daemons);
  Duration randomDuration(Duration min, Duration max);
  std::size_t randomIndex(std::size_t n);

  EventLoop &Loop;
  Deployment &System;
  FaultPlan &Faults;
  Operator &DocumentOperator;
  Random Rng;
  TimePoint NextSeriesAt;
  std::vector<ScheduledAction> Scheduled;
  std::unique_ptr<Timer> Ticker;
};

} // namespace pimentofront::soak

#endif
