#ifndef PIMENTOFRONT_SOAK_OUTAGES_H
#define PIMENTOFRONT_SOAK_OUTAGES_H

#include "Release.h"

namespace pimentofront::soak {

/// \class Outages
/// \brief Kills all entries at the same moment, or all entries and all agents,
/// once or twice a run and beside the other faults. In half of the runs the
/// release completes, and one of the outages comes right after the first
/// version has left altogether.
///
/// An outage may end a calm period. Seeds below `FirstSeed` have none, so that
/// those that are listed play the faults that they showed.
class Outages {
public:
  static constexpr std::uint64_t FirstSeed = 10'000;

  /// \param seed the seed of the run.
  Outages(EventLoop &loop, Deployment &deployment, FaultPlan &faults,
          Release &release, std::uint64_t seed);

  bool completesRelease() const { return CompletesRelease; }
  /// Spreads the outages over the next \p time.
  void begin(Duration time);
  void stop() { Active = false; }

private:
  void schedule(Duration delay);
  void killAll(bool withAgents);
  std::vector<Daemon *> runningEntries();
  std::vector<Daemon *> runningAgents();
  /// \returns true with probability one half.
  bool flipCoin() { return Rng.uniform() < 0.5; }

  EventLoop &Loop;
  Deployment &System;
  FaultPlan &Faults;
  Random Rng;
  bool HasOutages;
  bool CompletesRelease;
  bool Active = false;
  std::vector<std::unique_ptr<Timer>> Scheduled;
};

} // namespace pimentofront::soak

#endif
