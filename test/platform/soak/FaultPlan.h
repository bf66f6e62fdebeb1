#ifndef PIMENTOFRONT_SOAK_FAULT_PLAN_H
#define PIMENTOFRONT_SOAK_FAULT_PLAN_H

#include "Deployment.h"
#include "Report.h"

namespace pimentofront::soak {

/// \class FaultPlan
/// \brief Draws faults from a seed and injects them from outside: signals to
/// processes, disturbances of the ways between them, lost disks. They come in
/// series and overlap, with calm spans between.
///
/// Kept to: at most one replica has lost its disk until it has had time to
/// catch up, as the deployment is set up to bear.
class FaultPlan {
public:
  FaultPlan(EventLoop &loop, Deployment &deployment, std::uint64_t seed,
            Report &report);

  /// From now on faults come.
  void begin(TimePoint now);
  /// Ends all that is under way, and starts what doesn't run.
  void heal();
  /// \returns since when nothing has been disturbed; not set while something
  /// is.
  std::optional<TimePoint> calmSince() const;

private:
  struct Pending {
    TimePoint At;
    std::function<void()> Action;
  };
  void tick();
  void reap();
  void inject(TimePoint now);
  void disturbProxy(TimePoint now);
  void signalProcess(TimePoint now);
  void loseDisk(TimePoint now);
  void later(TimePoint at, std::function<void()> action);
  void note(TimePoint now, const std::string &what);
  Duration between(Duration least, Duration most);
  std::size_t draw(std::size_t n);

  EventLoop &Loop;
  Deployment &World;
  Random Numbers;
  Report &Seen;
  TimePoint BegunAt;
  bool Active = false;
  TimePoint NextAt;
  TimePoint LastAt;
  TimePoint DiskSafeAt;
  std::vector<Pending> Ends;
  std::unique_ptr<Timer> Ticker;
};

} // namespace pimentofront::soak

#endif
