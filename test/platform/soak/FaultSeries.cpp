#include "FaultSeries.h"

#include <csignal>

namespace pimentofront::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration TickPeriod = milliseconds(20);
/// Actions of a series begin within this time. It is longer than the shortest
/// pause between the beginnings of two series, so that they overlap.
constexpr Duration SeriesTime = milliseconds(1500);
constexpr Duration MinPause = milliseconds(800);
constexpr Duration MaxPause = milliseconds(3000);
constexpr std::size_t MaxActions = 4;

} // namespace

FaultSeries::FaultSeries(EventLoop &loop, Deployment &deployment,
                         FaultPlan &faults, Operator &changes,
                         std::uint64_t seed)
    : Loop(loop), System(deployment), Faults(faults), DocumentOperator(changes),
      Rng(seed), Ticker(loop.every(TickPeriod, [this] { tick(); })) {}

std::size_t FaultSeries::randomIndex(std::size_t n) {
  return static_cast<std::size_t>(Rng.uniform() * static_cast<double>(n));
}

Duration FaultSeries::randomDuration(Duration min, Duration max) {
  return min + fromSeconds(toSeconds(max - min) * Rng.uniform());
}

void FaultSeries::tick() {
  const TimePoint now = Loop.now();
  // Actions that are due in a calm period are dropped.
  std::erase_if(Scheduled, [&](const ScheduledAction &it) {
    if (it.At > now)
      return false;
    if (Faults.isActive(now))
      it.Action(now);
    return true;
  });
  if (!Faults.isActive(now) || now < NextSeriesAt)
    return;
  NextSeriesAt = now + randomDuration(MinPause, MaxPause);
  startSeries(now);
}

void FaultSeries::startSeries(TimePoint now) {
  using Action = void (FaultSeries::*)(TimePoint);
  constexpr Action Kinds[] = {
      &FaultSeries::stopEntry,     &FaultSeries::stopEntry,
      &FaultSeries::stopEntry,     &FaultSeries::stopAgent,
      &FaultSeries::restartServer, &FaultSeries::disturbServer,
      &FaultSeries::changeDocument};
  const std::size_t n = 2 + randomIndex(MaxActions - 1);
  for (std::size_t i = 0; i < n; ++i) {
    const Action action = Kinds[randomIndex(std::size(Kinds))];
    Scheduled.push_back(
        {now + randomDuration(Duration::zero(), SeriesTime),
         [this, action](TimePoint at) { (this->*action)(at); }});
  }
}

void FaultSeries::stopOneOf(TimePoint now,
                            const std::vector<Daemon *> &daemons) {
  if (daemons.empty())
    return;
  Daemon &it = *daemons[randomIndex(daemons.size())];
  Faults.stopProcess(now, it, randomIndex(2) == 0 ? SIGTERM : SIGKILL);
}

void FaultSeries::stopEntry(TimePoint now) {
  std::vector<Daemon *> running;
  for (const auto &[address, daemon] : System.entryListeners())
    if (daemon->Process.runs())
      running.push_back(daemon);
  stopOneOf(now, running);
}

void FaultSeries::stopAgent(TimePoint now) {
  std::vector<Daemon *> running;
  for (const Server *it : System.writers())
    if (it->Agent->InService && it->Agent->Process.runs())
      running.push_back(it->Agent);
  stopOneOf(now, running);
}

std::vector<Server *> FaultSeries::readyServers() {
  std::vector<Server *> result;
  for (Server *it : System.writers())
    if (it->State == ServerState::Ready && it->Fake->isUp())
      result.push_back(it);
  return result;
}

void FaultSeries::restartServer(TimePoint now) {
  const auto ready = readyServers();
  if (ready.empty())
    return;
  Server &it = *ready[randomIndex(ready.size())];
  Faults.recordFault(now, "server restarted, " + it.Fake->instance());
  it.Fake->restart(it.nextInstance(), it.Fake->softwareVersion());
}

void FaultSeries::disturbServer(TimePoint now) {
  const auto ready = readyServers();
  if (ready.empty())
    return;
  Server &it = *ready[randomIndex(ready.size())];
  constexpr Disturbance Kinds[] = {Disturbance::Cut, Disturbance::Silence,
                                   Disturbance::Reset};
  const Disturbance kind = Kinds[randomIndex(std::size(Kinds))];
  const Duration time = randomDuration(milliseconds(100), milliseconds(1500));
  Faults.disturb(now, *it.RequestProxy, kind, time, Duration::zero());
}

void FaultSeries::changeDocument(TimePoint now) {
  Faults.recordEvent(now, "document changed within a series");
  DocumentOperator.change();
}

} // namespace pimentofront::soak
