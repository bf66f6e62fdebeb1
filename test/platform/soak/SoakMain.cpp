// Randomized soak test of the real programs: separate processes on loopback,
// faults injected from outside, and guarantees checked by what callers, the
// operator and the backend servers observe. The seed determines the schedule.
// Prints the injected faults, the counts of events and the violations; the exit
// code is 1 if there was a violation.

#include "Callers.h"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <getopt.h>

using namespace pimentofront;
using namespace pimentofront::soak;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the last fault within which all requests must be served again:
/// the time for a replica with a lost disk to catch up, for a process to stop
/// and start, and for a lease to expire.
constexpr Duration RecoveryBound = seconds(25);
constexpr Duration StartBound = seconds(30);
/// Time after the last request by which all requests in flight must have ended.
constexpr Duration DrainTime = seconds(4);
constexpr Duration LookPeriod = milliseconds(100);

struct Arguments {
  DeploymentOptions Deployment;
  std::uint64_t Seed = 1;
  Duration Time = seconds(30);
};

/// One run, from the start of the processes to the report.
class Run {
public:
  Run(EventLoop &loop, const Arguments &arguments)
      : Loop(loop), Options(arguments), World(loop, arguments.Deployment),
        Faults(loop, World, arguments.Seed, Seen),
        Changes(loop, World, arguments.Seed + 1, Seen),
        Requests(loop, World, Faults, Changes, arguments.Seed + 2, Seen),
        BegunAt(loop.now()),
        Looker(loop.every(LookPeriod, [this] { look(); })) {}

  int play() {
    Loop.run();
    Requests.checkRuns();
    for (const auto &[what, n] : Seen.Counts)
      std::printf("%8llu  %s\n", static_cast<unsigned long long>(n),
                  what.c_str());
    for (const std::string &it : Seen.Broken)
      std::printf("BROKEN %s\n", it.c_str());
    std::printf("seed %llu: %zu violations\n",
                static_cast<unsigned long long>(Options.Seed),
                Seen.Broken.size());
    return Seen.Broken.empty() ? 0 : 1;
  }

private:
  enum class Phase { Starting, Disturbed, Recovering, Draining };

  void look() {
    const TimePoint now = Loop.now();
    const Duration since = now - BegunAt;
    switch (Present) {
    case Phase::Starting:
      if (Requests.served())
        return disturb(now);
      return giveUpAfter(StartBound, since, "does not begin to serve");
    case Phase::Disturbed:
      if (since >= Options.Time)
        heal(now);
      return;
    case Phase::Recovering:
      if (Requests.served() && since > seconds(1) && !Changes.changeUnderWay())
        return drain(now);
      return giveUpAfter(RecoveryBound, since, "does not recover");
    case Phase::Draining:
      if (since >= DrainTime)
        Loop.stop();
    }
  }

  void enter(Phase phase, TimePoint now) {
    Present = phase;
    BegunAt = now;
  }
  void disturb(TimePoint now) {
    World.endBootstrap();
    Faults.begin(now);
    Changes.begin();
    enter(Phase::Disturbed, now);
  }
  void heal(TimePoint now) {
    Faults.heal();
    Changes.end();
    enter(Phase::Recovering, now);
  }
  void drain(TimePoint now) {
    std::printf("served again after %lld ms\n",
                static_cast<long long>((now - BegunAt).count() / 1000));
    Requests.end();
    enter(Phase::Draining, now);
  }
  void giveUpAfter(Duration bound, Duration since, const char *what) {
    if (since < bound)
      return;
    Seen.Broken.push_back(
        std::string(what) + "; " + Requests.state() +
        (Changes.changeUnderWay() ? ", a change is in flight" : ""));
    Loop.stop();
  }

  EventLoop &Loop;
  Arguments Options;
  Report Seen;
  Deployment World;
  FaultPlan Faults;
  Operator Changes;
  Callers Requests;
  Phase Present = Phase::Starting;
  TimePoint BegunAt;
  std::unique_ptr<Timer> Looker;
};

bool parse(int argc, char **argv, Arguments &arguments) {
  const option options[] = {{"daemon", required_argument, nullptr, 'd'},
                            {"folder", required_argument, nullptr, 'f'},
                            {"port", required_argument, nullptr, 'p'},
                            {"seed", required_argument, nullptr, 's'},
                            {"seconds", required_argument, nullptr, 't'},
                            {"entries", required_argument, nullptr, 'e'},
                            {"engines", required_argument, nullptr, 'g'},
                            {nullptr, 0, nullptr, 0}};
  int c = 0;
  while ((c = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    switch (c) {
    case 'd':
      arguments.Deployment.Daemon = optarg;
      break;
    case 'f':
      arguments.Deployment.Folder = optarg;
      break;
    case 'p':
      arguments.Deployment.FirstPort =
          static_cast<std::uint16_t>(std::stoi(optarg));
      break;
    case 's':
      arguments.Seed = std::stoull(optarg);
      break;
    case 't':
      arguments.Time = seconds(std::stoi(optarg));
      break;
    case 'e':
      arguments.Deployment.Entries = std::stoi(optarg);
      break;
    case 'g':
      arguments.Deployment.Engines = std::stoi(optarg);
      break;
    default:
      return false;
    }
  }
  return !arguments.Deployment.Daemon.empty() &&
         !arguments.Deployment.Folder.empty() &&
         arguments.Deployment.FirstPort != 0;
}

} // namespace

int main(int argc, char **argv) {
  Arguments arguments;
  if (!parse(argc, argv, arguments)) {
    std::fputs("usage: pimentofront-soak --daemon FILE --folder DIR --port N "
               "[--seed N] [--seconds N] [--entries N] [--engines N]\n",
               stderr);
    return 2;
  }
  // Writing to a closed connection must fail with an error, not end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::filesystem::create_directories(arguments.Deployment.Folder);
  EventLoop loop;
  return Run(loop, arguments).play();
}
