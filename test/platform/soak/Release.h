#ifndef PIMENTOFRONT_SOAK_RELEASE_H
#define PIMENTOFRONT_SOAK_RELEASE_H

#include "FaultPlan.h"
#include "Operator.h"

namespace pimentofront::soak {

/// \class Release
/// \brief Brings the second software version to the servers of long streams
/// during a run: new servers join, some of the others restart under their
/// address with it, and some drain and leave.
///
/// Half of the servers of the first version stay, so that both versions serve
/// side by side until the end, or all leave early.
class Release {
public:
  Release(EventLoop &loop, Deployment &deployment, FaultPlan &faults,
          Operator &registrations, std::uint64_t seed);

  /// Spreads the steps over the next \p time.
  /// \param completes no server of the first version stays.
  void begin(Duration time, bool completes);
  /// \p action is called once no server of the first version is left.
  void onFirstVersionLeft(std::function<void()> action) {
    FirstVersionLeft = std::move(action);
  }
  /// \returns the number of running servers of \p version that aren't draining.
  std::size_t serving(const std::string &version) const;

private:
  void schedule(Duration delay, std::function<void()> action);
  /// \returns a duration from \p from to \p to, in shares of the run.
  Duration randomDelay(double from, double to);
  void scheduleQuarters(const std::vector<Server *> &first);
  void scheduleAll(const std::vector<Server *> &first);
  void join(Server &server);
  void changeVersion(Server &server);
  void drain(Server &server);
  void leave(Server &server);
  void reportIfFirstVersionLeft();

  EventLoop &Loop;
  Deployment &System;
  FaultPlan &Faults;
  Operator &Registrations;
  Random Rng;
  Duration RunTime = Duration::zero();
  std::vector<std::unique_ptr<Timer>> Steps;
  std::function<void()> FirstVersionLeft;
};

} // namespace pimentofront::soak

#endif
