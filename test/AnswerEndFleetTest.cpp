// Guards against short answers that reach callers as complete, in a fleet whose
// servers send answers without a length or chunks and crash while they answer.

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

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
};

/// Forty requests a second for 20 s; one server crashes in each interval.
AnswerCounts play(std::uint64_t seed, const CrashOptions &options) {
  constexpr int Requests = 800;
  ForwardFleet fleet({.Simulation = {.Seed = seed},
                      .Events = Events,
                      .RestartDelay = options.RestartDelay,
                      .Unframed = true,
                      .Resumable = options.Resumable});
  Random &random = fleet.simulation().Rng;
  AnswerCounts counts;
  fleet.runFor(3s);
  TimePoint nextCrash = fleet.now();
  for (int i = 0; i < Requests; ++i) {
    fleet.call(fleet.entry(static_cast<std::uint32_t>(random.next() % 4)),
               "content-" + std::to_string(i),
               [&](const CallerAnswer &it) { count(counts, it); });
    fleet.runFor(25ms);
    if (fleet.now() < nextCrash)
      continue;
    nextCrash += options.CrashInterval;
    fleet.crashServer(static_cast<std::uint32_t>(random.next() % 12));
  }
  fleet.runFor(10s);
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
