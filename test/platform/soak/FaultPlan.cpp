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
/// A calm period ends no sooner than this long after the last consequence of a
/// fault, such as the end of a process that stops gracefully.
constexpr Duration MinCalmTime = milliseconds(6500);
/// On average one in this many faults is followed by a calm period.
constexpr std::size_t FaultsPerCalmPeriod = 8;
/// Time for which a replica with an empty disk counts as lost.
constexpr Duration CatchUpTime = seconds(5);

} // namespace

FaultPlan::FaultPlan(EventLoop &loop, Deployment &deployment,
                     std::uint64_t seed, Report &report)
    : Loop(loop), System(deployment), Rng(seed), Results(report),
      Ticker(loop.every(TickPeriod, [this] { tick(); })) {}

void FaultPlan::begin(TimePoint now) {
  Active = true;
  StartedAt = now;
  NextFaultAt = now;
}

std::size_t FaultPlan::randomIndex(std::size_t n) {
  return static_cast<std::size_t>(Rng.uniform() * static_cast<double>(n));
}

Duration FaultPlan::randomDuration(Duration min, Duration max) {
  return min + fromSeconds(toSeconds(max - min) * Rng.uniform());
}

void FaultPlan::schedule(TimePoint at, std::function<void()> action) {
  ScheduledActions.push_back({at, std::move(action)});
}

void FaultPlan::recordFault(TimePoint now, const std::string &what) {
  LastFaultAt = now;
  recordEvent(now, "fault: " + what);
}

void FaultPlan::recordEvent(TimePoint now, const std::string &what) {
  ++Results.Counts[what.substr(0, what.find(','))];
  std::printf("%8lld ms  %s\n",
              static_cast<long long>((now - StartedAt).count() / 1000),
              what.c_str());
}

std::optional<TimePoint> FaultPlan::calmSince() const {
  return ScheduledActions.empty() ? std::optional(LastFaultAt) : std::nullopt;
}

bool FaultPlan::isActive(TimePoint now) const {
  return Active && !InCalmPeriod && NextFaultAt <= now + SeriesPause;
}

bool FaultPlan::isCalmPeriodOver(TimePoint now) const {
  const auto since = calmSince();
  return since && now >= *since + MinCalmTime;
}

void FaultPlan::tick() {
  reap();
  const TimePoint now = Loop.now();
  for (std::size_t i = 0; i < ScheduledActions.size();) {
    if (ScheduledActions[i].At > now) {
      ++i;
      continue;
    }
    const auto action = std::move(ScheduledActions[i].Action);
    ScheduledActions.erase(ScheduledActions.begin() +
                           static_cast<std::ptrdiff_t>(i));
    action();
    LastFaultAt = now;
  }
  if (!Active || now < NextFaultAt)
    return;
  if (InCalmPeriod && !isCalmPeriodOver(now))
    return;
  inject(now);
}

/// Restarts processes that have ended. Reports a violation unless the process
/// was killed, exited with code 0, or got SIGTERM before it could handle
/// signals.
void FaultPlan::reap() {
  for (Daemon &it : System.daemons()) {
    const auto status = it.Process.reap();
    if (!status)
      continue;
    const bool killed = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
    const bool good = WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
    const bool early = it.Process.stoppedEarly() && WIFSIGNALED(*status) &&
                       WTERMSIG(*status) == SIGTERM;
    if (!killed && !good && !early)
      Results.addViolation(StartedAt, Loop.now(),
                           it.Name + " exited unexpectedly, status " +
                               std::to_string(*status));
    if (!it.InService)
      continue;
    // As on the platform, a process that ends is restarted after a short delay.
    const TimePoint now = Loop.now();
    schedule(now + randomDuration(milliseconds(100), seconds(1)), [this, &it] {
      if (it.InService)
        it.Process.start();
      Disturbances.end(Loop.now(), it.Name, HostDisturbance::Stopped);
    });
  }
}

void FaultPlan::inject(TimePoint now) {
  constexpr std::size_t ProxyWeight = 5;
  constexpr std::size_t ProcessWeight = 4;
  const std::size_t kind = randomIndex(ProxyWeight + ProcessWeight + 1);
  if (kind < ProxyWeight)
    disturbProxy(now);
  else if (kind < ProxyWeight + ProcessWeight)
    signalProcess(now);
  else
    loseDisk(now);
  InCalmPeriod = randomIndex(FaultsPerCalmPeriod) == 0;
  NextFaultAt =
      now + (InCalmPeriod ? CalmPause
                          : randomDuration(Duration::zero(), SeriesPause));
}

void FaultPlan::disturbProxy(TimePoint now) {
  const auto proxies = System.commonProxies();
  TcpProxy *proxy = proxies[randomIndex(proxies.size())];
  constexpr Disturbance Kinds[] = {Disturbance::Delay, Disturbance::Cut,
                                   Disturbance::CutOneWay, Disturbance::Silence,
                                   Disturbance::Reset};
  const Disturbance kind = Kinds[randomIndex(std::size(Kinds))];
  const Duration time = randomDuration(milliseconds(100), seconds(3));
  disturb(now, *proxy, kind, time,
          randomDuration(milliseconds(20), milliseconds(300)));
}

void FaultPlan::disturb(TimePoint now, TcpProxy &proxy, Disturbance kind,
                        Duration time, Duration delay) {
  proxy.disturb(kind, delay);
  const std::string host = hostBehind(proxy);
  Disturbances.begin(now, host, HostDisturbance::Link);
  schedule(now + time, [this, &proxy, host] {
    proxy.heal();
    Disturbances.end(Loop.now(), host, HostDisturbance::Link);
  });
  recordFault(now, std::string(disturbanceName(kind)) + ", " +
                       std::to_string(time.count() / 1000) + " ms");
}

std::string FaultPlan::hostBehind(const TcpProxy &proxy) {
  const auto &daemons = System.daemons();
  const auto found = std::ranges::find_if(
      daemons, [&](const Daemon &it) { return it.PeerProxy.get() == &proxy; });
  return found == daemons.end() ? std::string() : found->Name;
}

void FaultPlan::signalProcess(TimePoint now) {
  const auto daemons = System.commonDaemons();
  Daemon &it = daemons[randomIndex(daemons.size())];
  constexpr int Kinds[] = {SIGKILL, SIGTERM, SIGSTOP};
  const int kind = Kinds[randomIndex(std::size(Kinds))];
  if (!it.Process.runs())
    return;
  if (kind != SIGSTOP)
    return stopProcess(now, it, kind);
  it.Process.signal(kind);
  const Duration time = randomDuration(milliseconds(200), seconds(3));
  Disturbances.begin(now, it.Name, HostDisturbance::Frozen);
  schedule(now + time, [this, &it] {
    it.Process.signal(SIGCONT);
    Disturbances.end(Loop.now(), it.Name, HostDisturbance::Frozen);
  });
  recordFault(now, "freeze, " + it.Name);
}

void FaultPlan::stopProcess(TimePoint now, Daemon &daemon, int signal) {
  daemon.Process.signal(signal);
  Disturbances.begin(now, daemon.Name, HostDisturbance::Stopped);
  // Counts as a fault until the process has ended; its restart counts from
  // then on.
  schedule(now + milliseconds(100), [] {});
  recordFault(now, std::string(signal == SIGKILL ? "kill" : "terminate") +
                       ", " + daemon.Name);
}

void FaultPlan::loseDisk(TimePoint now) {
  auto &daemons = System.daemons();
  const auto isUp = [](const Daemon &it) {
    return !it.IsReplica || it.Process.runs();
  };
  if (now < NextDiskLossAt || !std::ranges::all_of(daemons, isUp))
    return;
  std::vector<Daemon *> replicas;
  for (Daemon &it : daemons)
    if (it.IsReplica)
      replicas.push_back(&it);
  Daemon *lost = replicas[randomIndex(replicas.size())];
  NextDiskLossAt = now + CatchUpTime + SeriesPause;
  lost->Process.signal(SIGKILL);
  Disturbances.begin(now, lost->Name, HostDisturbance::Stopped);
  // NextDiskLossAt prevents another disk loss until this replica has caught up;
  // other faults continue.
  schedule(now + milliseconds(50), [this, lost] { System.deleteData(*lost); });
  recordFault(now, "disk lost, " + lost->Name);
}

void FaultPlan::heal() {
  Active = false;
  for (ScheduledAction &it : std::exchange(ScheduledActions, {}))
    it.Action();
  for (TcpProxy *it : System.proxies())
    it->heal();
  LastFaultAt = Loop.now();
}

} // namespace pimentofront::soak
