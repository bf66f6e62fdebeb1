// A server may decline every request although it reports free slots: it is
// broken, or another limit than its slots is reached. Guards against entries
// that keep choosing it because nothing is in flight there: requests that may
// be sent to one server only are then refused while other servers have room,
// and the others use up the retries.

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Entries = 4;
constexpr std::uint32_t Servers = 3;
constexpr double PerSecond = 60;
/// Adapters with low numbers are the most popular.
constexpr int Adapters = 40;
/// In this time all requests in progress end.
constexpr Duration DrainTime = 2s;

ForwardFleetOptions fleetOptions(std::uint64_t seed, std::uint32_t maxServers) {
  return {.Simulation = {.Seed = seed, .Store = {.LoadsPerSecond = 40}},
          .Entries = Entries,
          .Servers = Servers,
          .Events = 2,
          .MaxServers = maxServers,
          .LoadReports = true};
}

/// A service under a load that it can take without one of its servers.
struct LoadedService {
  explicit LoadedService(const ForwardFleetOptions &options)
      : Fleet(options), Rng(options.Simulation.Seed + 1) {
    Fleet.runFor(5s);
  }

  /// Callers don't retry.
  void runFor(Duration time) {
    const TimePoint end = Fleet.now() + time;
    while (Fleet.now() < end) {
      const auto entry = static_cast<std::uint32_t>(Rng.uniform() * Entries);
      const double x = Rng.uniform();
      Fleet.call(
          Fleet.entry(entry), "request-" + std::to_string(++Sent),
          [this](const CallerAnswer &it) {
            Answered += it.IsComplete && it.Stamped ? 1 : 0;
          },
          "a" + std::to_string(static_cast<int>(x * x * Adapters)));
      Fleet.runFor(Rng.jitter(fromSeconds(1 / PerSecond)));
    }
  }
  /// \returns the share of the requests of the next \p time that are answered.
  double answeredShare(Duration time) {
    Fleet.runFor(DrainTime);
    const int sentBefore = Sent;
    const int answeredBefore = Answered;
    runFor(time);
    const int sent = Sent - sentBefore;
    Fleet.runFor(DrainTime);
    return static_cast<double>(Answered - answeredBefore) / sent;
  }
  /// \returns the share of the arrivals since \p since at \p server.
  double arrivalShare(std::uint32_t server, TimePoint since) const {
    double all = 0;
    double there = 0;
    for (const ServerArrival &it : Fleet.arrivals()) {
      all += it.At >= since ? 1 : 0;
      there += it.At >= since && it.Server == Fleet.serverName(server) ? 1 : 0;
    }
    return there / all;
  }

  ForwardFleet Fleet;
  Random Rng;
  int Sent = 0;
  int Answered = 0;
};

} // namespace

TEST_CASE("a server that declines everything gets less than the others, and "
          "callers are served by these",
          "[declining-server]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (const std::uint32_t maxServers : {1U, 2U}) {
      LoadedService it(fleetOptions(seed, maxServers));
      it.runFor(5s);
      it.Fleet.setFeedback(0, {.Declining = true});
      const TimePoint since = it.Fleet.now();
      const double answered = it.answeredShare(20s);
      const double arrivals = it.arrivalShare(0, since);
      INFO("seed " << seed << ", servers for a request " << maxServers
                   << ", answered " << answered << ", arrivals there "
                   << arrivals);
      // Two servers have room for all: only the requests by which the entries
      // learn of the decline, again and again, may be refused.
      CHECK(answered >= 0.95);
      CHECK(arrivals <= 0.1);
    }
}

TEST_CASE("a server that stops declining is used again", "[declining-server]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (const std::uint32_t maxServers : {1U, 2U}) {
      LoadedService it(fleetOptions(seed, maxServers));
      it.Fleet.setFeedback(0, {.Declining = true});
      it.runFor(20s);
      it.Fleet.setFeedback(0, {});
      it.runFor(10s);
      const TimePoint since = it.Fleet.now();
      const double answered = it.answeredShare(10s);
      const double arrivals = it.arrivalShare(0, since);
      INFO("seed " << seed << ", servers for a request " << maxServers
                   << ", answered " << answered << ", arrivals there "
                   << arrivals);
      CHECK(answered >= 0.99);
      CHECK(arrivals >= 0.25);
    }
}

TEST_CASE("if all servers decline, requests are refused at once",
          "[declining-server]") {
  LoadedService it(fleetOptions(1, 2));
  for (std::uint32_t i = 0; i < Servers; ++i)
    it.Fleet.setFeedback(i, {.Declining = true});
  CHECK(it.answeredShare(5s) == 0);
  Duration longest = Duration::zero();
  for (const ForwardEvent &event : it.Fleet.events())
    if (event.Lost)
      longest = std::max(longest, event.Took);
  CHECK(longest < 100ms);
}

// An engine's agent sees an idle engine and keeps offering it. Guards against
// entries that go on sending to it.
TEST_CASE("an engine that declines everything gets less than the others",
          "[declining-engine]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (const std::uint32_t maxServers : {1U, 2U}) {
      constexpr std::uint32_t Engines = 8;
      ForwardFleetOptions options = fleetOptions(seed, maxServers);
      options.Servers = Engines;
      options.Engines = true;
      LoadedService it(options);
      it.runFor(5s);
      const TimePoint begin = it.Fleet.now();
      it.runFor(10s);
      const double before = it.arrivalShare(0, begin);
      it.Fleet.setFeedback(0, {.Declining = true});
      const TimePoint since = it.Fleet.now();
      const double answered = it.answeredShare(20s);
      const double arrivals = it.arrivalShare(0, since);
      INFO("seed " << seed << ", engines for a request " << maxServers
                   << ", answered " << answered << ", arrivals there "
                   << arrivals);
      CHECK(answered >= 0.95);
      CHECK(arrivals <= before / 2);

      it.Fleet.setFeedback(0, {});
      it.runFor(10s);
      const TimePoint recovered = it.Fleet.now();
      it.runFor(10s);
      CHECK(it.arrivalShare(0, recovered) >= before / 2);
    }
}
