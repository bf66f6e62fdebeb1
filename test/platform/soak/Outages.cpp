#include "Outages.h"

#include <csignal>

namespace pimentofront::soak {
namespace {

/// When outages begin, as shares of the run.
constexpr double FirstShare = 0.2;
constexpr double LastShare = 0.9;
/// Longest time from when the first version has left until the outage. Streams
/// that broke off then are still taken up after it.
constexpr Duration MaxDelay = std::chrono::milliseconds(1500);
/// Offset from the seed of a run; the other plans have smaller ones.
constexpr std::uint64_t SeedOffset = 6;

} // namespace

Outages::Outages(EventLoop &loop, Deployment &deployment, FaultPlan &faults,
                 Release &release, std::uint64_t seed)
    : Loop(loop), System(deployment), Faults(faults), Rng(seed + SeedOffset),
      HasOutages(seed >= FirstSeed),
      CompletesRelease(HasOutages && flipCoin()) {
  if (CompletesRelease)
    release.onFirstVersionLeft(
        [this] { schedule(fromSeconds(toSeconds(MaxDelay) * Rng.uniform())); });
}

void Outages::begin(Duration time) {
  if (!HasOutages)
    return;
  Active = true;
  const int most = CompletesRelease ? 1 : 2;
  const int least = CompletesRelease ? 0 : 1;
  const int n = flipCoin() ? most : least;
  for (int i = 0; i < n; ++i) {
    const double share = FirstShare + (LastShare - FirstShare) * Rng.uniform();
    schedule(fromSeconds(toSeconds(time) * share));
  }
}

void Outages::schedule(Duration delay) {
  Scheduled.push_back(Loop.after(
      delay, [this, withAgents = flipCoin()] { killAll(withAgents); }));
}

void Outages::killAll(bool withAgents) {
  if (!Active)
    return;
  const TimePoint now = Loop.now();
  Faults.recordEvent(now, withAgents ? "outage of all entries and all agents"
                                     : "outage of all entries");
  for (Daemon *it : runningEntries())
    Faults.stopProcess(now, *it, SIGKILL);
  if (!withAgents)
    return;
  for (Daemon *it : runningAgents())
    Faults.stopProcess(now, *it, SIGKILL);
}

std::vector<Daemon *> Outages::runningEntries() {
  std::vector<Daemon *> result;
  for (const auto &[address, daemon] : System.entryListeners())
    if (daemon->Process.runs())
      result.push_back(daemon);
  return result;
}

std::vector<Daemon *> Outages::runningAgents() {
  std::vector<Daemon *> result;
  for (Daemon &it : System.daemons())
    if (it.IsAgent && it.Process.runs())
      result.push_back(&it);
  return result;
}

} // namespace pimentofront::soak
