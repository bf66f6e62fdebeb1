// Guards against an entry that serves a smaller share of the requests that it
// reads while most callers of a zone open their connections to it, and more
// often than usual.

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

/// Share of the usual share of requests that must be served in a rush.
constexpr double MinShare = 0.75;

/// Sends requests to entry 0 every \p interval for \p duration.
/// \returns the share that a server answered.
double servedShare(ForwardFleet &fleet, Duration interval, Duration duration) {
  int sent = 0;
  int served = 0;
  static int contents = 0;
  for (const TimePoint end = fleet.now() + duration; fleet.now() < end;) {
    ++sent;
    fleet.call(fleet.entry(0), "rush-" + std::to_string(++contents),
               [&](const CallerAnswer &it) {
                 served += it.IsComplete && it.Stamped ? 1 : 0;
               });
    fleet.runFor(interval);
  }
  fleet.runFor(6s);
  return static_cast<double>(served) / sent;
}

} // namespace

TEST_CASE("an entry that gets most connections serves what it reads") {
  for (const bool engines : {false, true})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      ForwardFleet fleet({.Simulation = {.Seed = seed},
                          .Entries = 8,
                          .Servers = 24,
                          .Engines = engines});
      fleet.runFor(5s);
      INFO("seed " << seed << (engines ? ", engines" : ", plain servers"));
      const double usual = servedShare(fleet, 40ms, 3s);
      const double rush = servedShare(fleet, 1500us, 5s);
      CHECK(usual > 0.9);
      CHECK(rush >= MinShare * usual);
    }
}
