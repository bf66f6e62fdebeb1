#include "Release.h"

#include <algorithm>
#include <csignal>

namespace pimentofront::soak {
namespace {

/// Time for which a draining server goes on serving. Shorter than the longest
/// streams, so that some of them break off at its end.
constexpr Duration DrainTime = std::chrono::milliseconds(2500);

} // namespace

Release::Release(EventLoop &loop, Deployment &deployment, FaultPlan &faults,
                 Operator &registrations, std::uint64_t seed)
    : Loop(loop), System(deployment), Faults(faults),
      Registrations(registrations), Rng(seed) {}

void Release::schedule(Duration delay, std::function<void()> action) {
  Steps.push_back(Loop.after(delay, std::move(action)));
}

Duration Release::randomDelay(double from, double to) {
  return fromSeconds(toSeconds(RunTime) * (from + (to - from) * Rng.uniform()));
}

void Release::begin(Duration time, bool completes) {
  RunTime = time;
  std::vector<Server *> first;
  for (Server *it : System.writers()) {
    if (it->State == ServerState::Absent)
      schedule(randomDelay(0, 0.15), [this, it] { join(*it); });
    else
      first.push_back(it);
  }
  if (completes)
    scheduleAll(first);
  else
    scheduleQuarters(first);
}

void Release::scheduleQuarters(const std::vector<Server *> &first) {
  const std::size_t quarter = first.size() / 4;
  for (std::size_t i = 0; i < quarter; ++i) {
    schedule(randomDelay(0.3, 0.6),
             [this, it = first[i]] { changeVersion(*it); });
    schedule(randomDelay(0.4, 0.8),
             [this, it = first[quarter + i]] { drain(*it); });
  }
}

void Release::scheduleAll(const std::vector<Server *> &first) {
  for (std::size_t i = 0; i < first.size(); ++i) {
    const Duration delay = randomDelay(0.1, 0.4);
    if (i < first.size() / 2)
      schedule(delay, [this, it = first[i]] { changeVersion(*it); });
    else
      schedule(delay, [this, it = first[i]] { drain(*it); });
  }
}

void Release::join(Server &server) {
  server.State = ServerState::Ready;
  server.Agent->InService = true;
  server.Agent->Process.start();
  server.Fake->restart(server.nextInstance(), SecondVersion);
  Faults.recordEvent(Loop.now(), "joins, " + server.Fake->instance());
}

void Release::changeVersion(Server &server) {
  const std::string before = server.Fake->instance();
  server.Fake->restart(server.nextInstance(), SecondVersion);
  Faults.recordEvent(Loop.now(), "changes its version, " + before + " to " +
                                     server.Fake->instance());
  reportIfFirstVersionLeft();
}

void Release::drain(Server &server) {
  server.State = ServerState::Draining;
  Faults.recordEvent(Loop.now(), "drains, " + server.Fake->instance());
  schedule(DrainTime, [this, &server] { leave(server); });
}

void Release::leave(Server &server) {
  server.State = ServerState::Absent;
  Registrations.deregister(server);
  server.Fake->exit();
  server.Agent->InService = false;
  server.Agent->Process.signal(SIGTERM);
  Faults.recordEvent(Loop.now(), "leaves, " + server.Fake->instance());
  reportIfFirstVersionLeft();
}

void Release::reportIfFirstVersionLeft() {
  const bool isPresent =
      std::ranges::any_of(System.writers(), [](const Server *it) {
        return it->State != ServerState::Absent &&
               it->Fake->softwareVersion() == FirstVersion;
      });
  if (isPresent)
    return;
  Faults.recordEvent(Loop.now(), "the first version has left");
  if (FirstVersionLeft)
    FirstVersionLeft();
}

std::size_t Release::serving(const std::string &version) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(System.writers(), [&](const Server *it) {
        return it->State == ServerState::Ready && it->Fake->isUp() &&
               it->Fake->softwareVersion() == version;
      }));
}

} // namespace pimentofront::soak
