#include "FaultPlan.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <sys/wait.h>

namespace pimentofront::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration TickPeriod = milliseconds(20);
/// Maximum pause between the faults of a series, and pause between series. The
/// latter is long enough for the checks of calm periods to apply.
constexpr Duration SeriesPause = milliseconds(500);
constexpr Duration CalmPause = seconds(7);
/// On average one in this many faults is followed by a calm period.
constexpr std::size_t CalmEvery = 8;
/// Time for which a replica with an empty disk counts as lost.
constexpr Duration CatchUp = seconds(5);

} // namespace

FaultPlan::FaultPlan(EventLoop &loop, Deployment &deployment,
                     std::uint64_t seed, Report &report)
    : Loop(loop), World(deployment), Numbers(seed), Seen(report),
      Ticker(loop.every(TickPeriod, [this] { tick(); })) {}

void FaultPlan::begin(TimePoint now) {
  Active = true;
  BegunAt = now;
  NextAt = now;
}

std::size_t FaultPlan::draw(std::size_t n) {
  return static_cast<std::size_t>(Numbers.uniform() * static_cast<double>(n));
}

Duration FaultPlan::between(Duration least, Duration most) {
  return least + fromSeconds(toSeconds(most - least) * Numbers.uniform());
}

void FaultPlan::later(TimePoint at, std::function<void()> action) {
  Ends.push_back({at, std::move(action)});
}

void FaultPlan::note(TimePoint now, const std::string &what) {
  LastAt = now;
  ++Seen.Counts["fault: " + what.substr(0, what.find(','))];
  std::printf("%8lld ms  %s\n",
              static_cast<long long>((now - BegunAt).count() / 1000),
              what.c_str());
}

std::optional<TimePoint> FaultPlan::calmSince() const {
  return Ends.empty() ? std::optional(LastAt) : std::nullopt;
}

void FaultPlan::tick() {
  reap();
  const TimePoint now = Loop.now();
  for (std::size_t i = 0; i < Ends.size();) {
    if (Ends[i].At > now) {
      ++i;
      continue;
    }
    const auto action = std::move(Ends[i].Action);
    Ends.erase(Ends.begin() + static_cast<std::ptrdiff_t>(i));
    action();
    LastAt = now;
  }
  if (Active && now >= NextAt)
    inject(now);
}

/// Restarts processes that have ended, and reports those that ended without a
/// signal from this test and not with exit code 0.
void FaultPlan::reap() {
  for (Daemon &it : World.daemons()) {
    const auto status = it.Process.reap();
    if (!status)
      continue;
    const bool killed = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
    const bool good = WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
    const bool early = it.Process.stoppedEarly() && WIFSIGNALED(*status) &&
                       WTERMSIG(*status) == SIGTERM;
    if (!killed && !good && !early)
      Seen.broke(BegunAt, Loop.now(),
                 it.Name + " exited unexpectedly, status " +
                     std::to_string(*status));
    // As on the platform, a process that ends is restarted after a short delay.
    const TimePoint now = Loop.now();
    later(now + between(milliseconds(100), seconds(1)),
          [&it] { it.Process.start(); });
  }
}

void FaultPlan::inject(TimePoint now) {
  constexpr std::size_t Proxies = 5;
  constexpr std::size_t Processes = 4;
  const std::size_t kind = draw(Proxies + Processes + 1);
  if (kind < Proxies)
    disturbProxy(now);
  else if (kind < Proxies + Processes)
    signalProcess(now);
  else
    loseDisk(now);
  const bool calm = draw(CalmEvery) == 0;
  NextAt = now + (calm ? CalmPause : between(Duration::zero(), SeriesPause));
}

void FaultPlan::disturbProxy(TimePoint now) {
  const auto proxies = World.proxies();
  TcpProxy *proxy = proxies[draw(proxies.size())];
  constexpr Disturbance Kinds[] = {Disturbance::Delay, Disturbance::Cut,
                                   Disturbance::CutOneWay, Disturbance::Silence,
                                   Disturbance::Reset};
  const Disturbance kind = Kinds[draw(std::size(Kinds))];
  const Duration time = between(milliseconds(100), seconds(3));
  proxy->disturb(kind, between(milliseconds(20), milliseconds(300)));
  later(now + time, [proxy] { proxy->heal(); });
  note(now, std::string(disturbanceName(kind)) + ", " +
                std::to_string(time.count() / 1000) + " ms");
}

void FaultPlan::signalProcess(TimePoint now) {
  auto &daemons = World.daemons();
  Daemon &it = daemons[draw(daemons.size())];
  constexpr int Kinds[] = {SIGKILL, SIGTERM, SIGSTOP};
  const int kind = Kinds[draw(std::size(Kinds))];
  if (!it.Process.runs())
    return;
  it.Process.signal(kind);
  if (kind != SIGSTOP) {
    // Counts as a fault until the process has ended; its restart counts from
    // then on.
    later(now + milliseconds(100), [] {});
    return note(now, std::string(kind == SIGKILL ? "kill" : "terminate") +
                         ", " + it.Name);
  }
  const Duration time = between(milliseconds(200), seconds(3));
  later(now + time, [&it] { it.Process.signal(SIGCONT); });
  note(now, "freeze, " + it.Name);
}

void FaultPlan::loseDisk(TimePoint now) {
  auto &daemons = World.daemons();
  const auto isUp = [](const Daemon &it) {
    return !it.IsReplica || it.Process.runs();
  };
  if (now < DiskSafeAt || !std::ranges::all_of(daemons, isUp))
    return;
  std::vector<Daemon *> replicas;
  for (Daemon &it : daemons)
    if (it.IsReplica)
      replicas.push_back(&it);
  Daemon *lost = replicas[draw(replicas.size())];
  DiskSafeAt = now + CatchUp + SeriesPause;
  lost->Process.signal(SIGKILL);
  // DiskSafeAt prevents another disk loss until this replica has caught up;
  // other faults continue.
  later(now + milliseconds(50), [this, lost] { World.wipe(*lost); });
  note(now, "disk lost, " + lost->Name);
}

void FaultPlan::heal() {
  Active = false;
  for (Pending &it : std::exchange(Ends, {}))
    it.Action();
  for (TcpProxy *it : World.proxies())
    it->heal();
  LastAt = Loop.now();
}

} // namespace pimentofront::soak
