// Guards against short answers that reach callers as complete, in a fleet whose
// servers send answers without a length or chunks and crash while they answer.

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>
#include <set>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Events = 16;

/// The answers that callers got.
struct AnswerCounts {
  std::size_t Whole = 0;
  /// Framed as complete, but without the last event.
  std::size_t ShortAsComplete = 0;
  /// With the last event, but shown as broken off.
  std::size_t WholeAsBroken = 0;
  std::size_t BrokenOff = 0;
  std::size_t Refused = 0;
  /// Attempts whose connection ended before the last event.
  std::size_t Cuts = 0;
  /// Requests of which an attempt broke off, and those of them that ended
  /// whole.
  std::size_t Interrupted = 0;
  std::size_t Recovered = 0;
  /// How long ends of answers waited for the check of a server.
  std::vector<Duration> Waits;
};

std::uint32_t countEvents(const std::string &body) {
  std::uint32_t n = 0;
  for (auto at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2))
    ++n;
  return n;
}

void count(AnswerCounts &counts, const CallerAnswer &answer) {
  const std::uint32_t events = countEvents(answer.Body);
  if (!answer.Stamped)
    ++counts.Refused;
  else if (answer.IsComplete && events == Events)
    ++counts.Whole;
  else if (answer.IsComplete)
    ++counts.ShortAsComplete;
  else if (events == Events)
    ++counts.WholeAsBroken;
  else
    ++counts.BrokenOff;
}

struct CrashOptions {
  bool Resumable = true;
  Duration RestartDelay = 4s;
  Duration CrashInterval = 250ms;
  Duration CloseDelay = Duration::zero();
};

/// Forty requests a second for 20 s; one server crashes in each interval.
AnswerCounts play(std::uint64_t seed, const CrashOptions &options) {
  constexpr int Requests = 800;
  ForwardFleet fleet({.Simulation = {.Seed = seed},
                      .Events = Events,
                      .RestartDelay = options.RestartDelay,
                      .Unframed = true,
                      .CloseDelay = options.CloseDelay,
                      .Resumable = options.Resumable});
  Random &random = fleet.simulation().Rng;
  AnswerCounts counts;
  std::set<std::string> whole;
  fleet.runFor(3s);
  TimePoint nextCrash = fleet.now();
  for (int i = 0; i < Requests; ++i) {
    fleet.call(fleet.entry(static_cast<std::uint32_t>(random.next() % 4)),
               "content-" + std::to_string(i), [&](const CallerAnswer &it) {
                 count(counts, it);
                 if (it.IsComplete && it.Stamped)
                   whole.insert(it.Id);
               });
    fleet.runFor(25ms);
    if (fleet.now() < nextCrash)
      continue;
    nextCrash += options.CrashInterval;
    fleet.crashServer(static_cast<std::uint32_t>(random.next() % 12));
  }
  fleet.runFor(10s);
  std::set<std::string> interrupted;
  for (const ForwardEvent &it : fleet.events()) {
    if (it.EndWait > Duration::zero())
      counts.Waits.push_back(it.EndWait);
    if (std::string_view(it.Name) == "attempt_broke_off")
      interrupted.insert(it.Request);
  }
  counts.Interrupted = interrupted.size();
  counts.Recovered = static_cast<std::size_t>(std::ranges::count_if(
      interrupted, [&](const auto &it) { return whole.contains(it); }));
  for (const ServerCrash &it : fleet.crashes())
    counts.Cuts += it.RequestsInFlight.size();
  return counts;
}

} // namespace

TEST_CASE("no short answer reaches its caller as complete while servers crash",
          "[stream-closed-between-events]") {
  const auto seed = GENERATE(range(1, 6));
  const bool resumable = GENERATE(true, false);
  const AnswerCounts counts =
      play(static_cast<std::uint64_t>(seed), {.Resumable = resumable});
  INFO("seed " << seed << ", resumable " << resumable << ", cuts "
               << counts.Cuts);
  CHECK(counts.ShortAsComplete == 0);
  CHECK(counts.Cuts > 100);
  CHECK(counts.Whole > 400);
}

// Guards against the same where a cut link holds back the close until the
// server's next process accepts connections. That one registers with its next
// heartbeat, later than the entries check the server.
TEST_CASE("no short answer reaches its caller as complete if its close comes "
          "later than its server's next process",
          "[late-close]") {
  const auto seed = GENERATE(range(1, 6));
  const bool resumable = GENERATE(true, false);
  const AnswerCounts counts = play(
      static_cast<std::uint64_t>(seed),
      {.Resumable = resumable, .RestartDelay = 300ms, .CloseDelay = 400ms});
  INFO("seed " << seed << ", resumable " << resumable << ", cuts "
               << counts.Cuts << ", whole as broken " << counts.WholeAsBroken);
  CHECK(counts.ShortAsComplete == 0);
  CHECK(counts.WholeAsBroken <= counts.Whole / 100);
  CHECK(counts.Cuts > 100);
  CHECK(counts.Whole > 400);
}

// Figures for the design note: ./pimentofront-test "[answer-end-figures]"
TEST_CASE("ends of answers without a length, sixty seeds",
          "[.][answer-end-figures]") {
  const Duration restartDelay =
      GENERATE(Duration(4s), Duration(100ms), Duration(5ms), Duration(1ms));
  const bool resumable = GENERATE(true, false);
  AnswerCounts all;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const AnswerCounts it =
        play(seed, {.Resumable = resumable, .RestartDelay = restartDelay});
    all.Whole += it.Whole;
    all.ShortAsComplete += it.ShortAsComplete;
    all.WholeAsBroken += it.WholeAsBroken;
    all.BrokenOff += it.BrokenOff;
    all.Refused += it.Refused;
    all.Cuts += it.Cuts;
    all.Interrupted += it.Interrupted;
    all.Recovered += it.Recovered;
    all.Waits.insert(all.Waits.end(), it.Waits.begin(), it.Waits.end());
  }
  std::ranges::sort(all.Waits);
  const auto percentile = [&](double p) {
    return all.Waits.empty()
               ? 0.0
               : toSeconds(all.Waits[static_cast<std::size_t>(
                     p * static_cast<double>(all.Waits.size() - 1))]) *
                     1000;
  };
  WARN("restart after " << toSeconds(restartDelay) << " s, resumable "
                        << resumable << ": cuts " << all.Cuts << ", whole "
                        << all.Whole << ", short as complete "
                        << all.ShortAsComplete << ", whole as broken "
                        << all.WholeAsBroken << ", broken off " << all.BrokenOff
                        << ", without an answer " << all.Refused
                        << ", interrupted " << all.Interrupted
                        << ", of these whole " << all.Recovered
                        << ", waits p50 " << percentile(0.5) << " p99 "
                        << percentile(0.99) << " ms, max " << percentile(1)
                        << " of " << all.Waits.size());
}
