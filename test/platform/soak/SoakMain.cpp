// Randomized soak test of the real programs: separate processes on loopback,
// faults injected from outside, and guarantees checked by what callers, the
// operator and the backend servers observe. The seed determines the schedule.
// Prints the injected faults, the counts of events and the violations; the exit
// code is 1 if there was a violation.

#include "Callers.h"
#include "FaultSeries.h"
#include "Outages.h"
#include "StreamCallers.h"

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
/// The same for long streams, whose callers have more time.
constexpr Duration StreamDrainTime = seconds(12);
constexpr Duration CheckPeriod = milliseconds(100);
constexpr Duration LagPeriod = milliseconds(10);

struct Arguments {
  DeploymentOptions Deployment;
  std::uint64_t Seed = 1;
  Duration RunTime = seconds(30);
};

/// One run, from the start of the processes to the report.
class Run {
public:
  Run(EventLoop &loop, const Arguments &arguments)
      : Loop(loop), Options(arguments), System(loop, arguments.Deployment),
        Faults(loop, System, arguments.Seed, Results),
        DocumentOperator(loop, System, arguments.Seed + 1, Results),
        Requests(loop, System, Faults, DocumentOperator, arguments.Seed + 2,
                 Results),
        Versions(loop, System, Faults, DocumentOperator, arguments.Seed + 3),
        Series(loop, System, Faults, DocumentOperator, arguments.Seed + 4),
        Losses(loop, System, Faults, Versions, arguments.Seed),
        Streams(loop, System, Versions, Faults, arguments.Seed + 5, Results),
        PhaseStart(loop.now()),
        CheckTimer(loop.every(CheckPeriod, [this] { checkPhase(); })),
        LagTimer(loop.every(LagPeriod, [this] { recordLag(); })) {}

  int execute() {
    Loop.run();
    Requests.checkRuns();
    Requests.checkCrashes();
    Streams.check(Options.Seed);
    for (const auto &[what, n] : Results.Counts)
      std::printf("%8llu  %s\n", static_cast<unsigned long long>(n),
                  what.c_str());
    for (const std::string &it : Results.Violations)
      std::printf("BROKEN %s\n", it.c_str());
    std::printf("seed %llu: %zu violations\n",
                static_cast<unsigned long long>(Options.Seed),
                Results.Violations.size());
    return Results.Violations.empty() ? 0 : 1;
  }

private:
  enum class Phase { Starting, Disturbed, Recovering, Draining };

  void checkPhase() {
    const TimePoint now = Loop.now();
    const Duration since = now - PhaseStart;
    switch (CurrentPhase) {
    case Phase::Starting:
      if (Requests.isServing())
        return disturb(now);
      return failAfter(StartBound, since, "does not begin to serve");
    case Phase::Disturbed:
      if (since >= Options.RunTime)
        heal(now);
      return;
    case Phase::Recovering:
      if (Requests.isServing() && since > seconds(1) &&
          !DocumentOperator.hasPendingChange())
        return drain(now);
      return failAfter(RecoveryBound, since, "does not recover");
    case Phase::Draining:
      if (since >= DrainTime && Streams.isIdle())
        return Loop.stop();
      return failAfter(StreamDrainTime, since, "doesn't end all streams");
    }
  }

  void enterPhase(Phase phase, TimePoint now) {
    CurrentPhase = phase;
    PhaseStart = now;
  }
  void disturb(TimePoint now) {
    System.endBootstrap();
    Faults.begin(now);
    DocumentOperator.begin();
    Versions.begin(Options.RunTime, Losses.completesRelease());
    Losses.begin(Options.RunTime);
    Streams.begin();
    Requests.startCrashing();
    enterPhase(Phase::Disturbed, now);
  }
  void heal(TimePoint now) {
    Losses.stop();
    Faults.heal();
    DocumentOperator.stopChanging();
    enterPhase(Phase::Recovering, now);
  }
  void drain(TimePoint now) {
    std::printf("served again after %lld ms\n",
                static_cast<long long>((now - PhaseStart).count() / 1000));
    Requests.stopSending();
    Streams.stopSending();
    enterPhase(Phase::Draining, now);
  }
  /// All proxies and fake servers run on this one thread: what it is late by,
  /// the processes see as a delay of their connections.
  void recordLag() {
    const TimePoint now = Loop.now();
    const Duration late = now - LastLagCheckAt - LagPeriod;
    LastLagCheckAt = now;
    std::uint64_t &most = Results.Counts["ms that the soak itself was late"];
    most = std::max(most, static_cast<std::uint64_t>(std::max<std::int64_t>(
                              late / milliseconds(1), 0)));
  }
  void failAfter(Duration bound, Duration since, const char *what) {
    if (since < bound)
      return;
    Results.Violations.push_back(
        std::string(what) + "; " + Requests.state() +
        (DocumentOperator.hasPendingChange() ? ", a change is in flight" : ""));
    Loop.stop();
  }

  EventLoop &Loop;
  Arguments Options;
  Report Results;
  Deployment System;
  FaultPlan Faults;
  Operator DocumentOperator;
  Callers Requests;
  Release Versions;
  FaultSeries Series;
  Outages Losses;
  StreamCallers Streams;
  Phase CurrentPhase = Phase::Starting;
  TimePoint PhaseStart;
  std::unique_ptr<Timer> CheckTimer;
  TimePoint LastLagCheckAt = Loop.now();
  std::unique_ptr<Timer> LagTimer;
};

bool parse(int argc, char **argv, Arguments &arguments) {
  const option options[] = {{"daemon", required_argument, nullptr, 'd'},
                            {"folder", required_argument, nullptr, 'f'},
                            {"port", required_argument, nullptr, 'p'},
                            {"seed", required_argument, nullptr, 's'},
                            {"seconds", required_argument, nullptr, 't'},
                            {"entries", required_argument, nullptr, 'e'},
                            {"engines", required_argument, nullptr, 'g'},
                            {"writers", required_argument, nullptr, 'w'},
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
      arguments.RunTime = seconds(std::stoi(optarg));
      break;
    case 'e':
      arguments.Deployment.Entries = std::stoi(optarg);
      break;
    case 'g':
      arguments.Deployment.Engines = std::stoi(optarg);
      break;
    case 'w':
      arguments.Deployment.Writers = std::stoi(optarg);
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
               "[--seed N] [--seconds N] [--entries N] [--engines N] "
               "[--writers N]\n",
               stderr);
    return 2;
  }
  // Writing to a closed connection must return an error, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::filesystem::create_directories(arguments.Deployment.Folder);
  EventLoop loop;
  return Run(loop, arguments).execute();
}
