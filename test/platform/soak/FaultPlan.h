#ifndef PIMENTOFRONT_SOAK_FAULT_PLAN_H
#define PIMENTOFRONT_SOAK_FAULT_PLAN_H

#include "Deployment.h"
#include "DisturbanceRecord.h"
#include "Report.h"

namespace pimentofront::soak {

/// \class FaultPlan
/// \brief Draws faults from a seed and injects them from outside: signals to
/// processes, disturbances of the connections between them, lost disks. Faults
/// come in series and overlap, with calm periods between the series.
///
/// Invariant: at most one replica at a time has lost its disk and not yet had
/// time to catch up, since the deployment is configured to tolerate one loss.
class FaultPlan {
public:
  FaultPlan(EventLoop &loop, Deployment &deployment, std::uint64_t seed,
            Report &report);

  /// Starts injecting faults.
  void begin(TimePoint now);
  /// Stops injecting faults, ends all current ones, and starts the processes
  /// that wait for a restart.
  void heal();
  /// \returns the time since which there has been no fault; not set during one.
  std::optional<TimePoint> calmSince() const;
  /// \returns whether other plans may inject faults: not before begin(), after
  /// heal() and in calm periods.
  bool isActive(TimePoint now) const;
  /// Sends SIGTERM or SIGKILL to a process, which is restarted after its end.
  void stopProcess(TimePoint now, Daemon &daemon, int signal);
  void disturb(TimePoint now, TcpProxy &proxy, Disturbance kind, Duration time,
               Duration delay);
  void recordFault(TimePoint now, const std::string &what);
  /// Counts and prints something that is planned and thus no fault.
  void recordEvent(TimePoint now, const std::string &what);
  /// \returns what was done to each daemon's host, and when.
  const DisturbanceRecord &disturbances() const { return Disturbances; }
  /// \returns when begin() was called, from which the report counts.
  TimePoint startedAt() const { return StartedAt; }

private:
  struct ScheduledAction {
    TimePoint At;
    std::function<void()> Action;
  };
  bool isCalmPeriodOver(TimePoint now) const;
  void tick();
  void reap();
  void inject(TimePoint now);
  void disturbProxy(TimePoint now);
  void signalProcess(TimePoint now);
  void loseDisk(TimePoint now);
  void schedule(TimePoint at, std::function<void()> action);
  /// \returns the name of the host behind \p proxy, or an empty name if that
  /// is a backend server.
  std::string hostBehind(const TcpProxy &proxy);
  Duration randomDuration(Duration min, Duration max);
  std::size_t randomIndex(std::size_t n);

  EventLoop &Loop;
  Deployment &System;
  Random Rng;
  Report &Results;
  DisturbanceRecord Disturbances;
  TimePoint StartedAt;
  bool Active = false;
  TimePoint NextFaultAt;
  bool InCalmPeriod = false;
  TimePoint LastFaultAt;
  TimePoint NextDiskLossAt;
  std::vector<ScheduledAction> ScheduledActions;
  std::unique_ptr<Timer> Ticker;
};

} // namespace pimentofront::soak

#endif
