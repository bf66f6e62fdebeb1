// Servers of several software versions serve side by side, and what two of them
// write doesn't fit together: a stream may go on only at the version that began
// it, within one answer and when its caller resumes it at another entry.
// Streams that no server may continue are refused, but a stream whose version
// still serves goes on: its caller would lose what it has.

#include "StreamFleet.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t FirstServers = 9;
/// Servers of the second version that join, at two times.
constexpr std::uint32_t LaterServers = 3;
constexpr std::uint32_t Entries = 4;
constexpr std::uint32_t Events = 32;
/// Streams that may hold events of two software versions.
constexpr int MaxMixed = 2;

ForwardFleetOptions fleetOptions(std::uint64_t seed) {
  return streamFleetOptions(
      seed, {.Entries = Entries, .Servers = FirstServers, .Events = Events});
}

/// A fleet in the middle of an upgrade.
class UpgradedFleet : public StreamFleet {
public:
  explicit UpgradedFleet(const ForwardFleetOptions &options,
                         Duration comeBackAfter = 100ms)
      : StreamFleet(options, {.ComeBackAfter = comeBackAfter}) {
    Fleet.runFor(5s);
    addServers(LaterServers, "v2");
    Fleet.runFor(5s);
  }

  /// Calls \p fault each \p interval under load; the second half of the new
  /// servers joins halfway. Then waits until all streams have ended.
  void play(Duration interval, const std::function<void(int)> &fault) {
    constexpr int Faults = 24;
    for (int i = 0; i < Faults; ++i) {
      if (i == Faults / 2)
        addServers(LaterServers, "v2");
      runFor(interval);
      fault(i);
    }
    Fleet.runFor(DrainTime);
  }
  void check(std::uint64_t seed) const { StreamFleet::check(seed, MaxMixed); }
};

} // namespace

// Guards against an entry that resumes a stream, within one answer, at an
// engine of another software version after the first engine crashed.
TEST_CASE("an entry resumes a stream at the software version that began it",
          "[stream-software]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    UpgradedFleet it(fleetOptions(seed));
    it.play(1s, [&](int) {
      it.Fleet.crashServer(it.any(FirstServers + LaterServers));
    });
    it.check(seed);
  }
}

// Guards against an entry that doesn't know at which software version a stream
// began, because another entry began it and is dead.
TEST_CASE("a caller whose entry died resumes at the software version that "
          "began the stream",
          "[stream-software]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    UpgradedFleet it(fleetOptions(seed));
    it.play(2s, [&](int) { it.Fleet.killEntry(it.any(Entries), 1s); });
    it.check(seed);
  }
}

// Guards against streams that nobody knows, because all entries, all agents and
// all replicas but one are lost at once.
TEST_CASE("a stream resumes at the software version that began it although one "
          "replica is all that was left",
          "[stream-software]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const ForwardFleetOptions options = fleetOptions(seed);
    // Callers come back when the processes have started again.
    UpgradedFleet it(options, /*comeBackAfter=*/2s);
    it.play(2s, [&](int n) {
      if (n % 4 != 3)
        return;
      for (std::uint32_t i = 0; i < Entries; ++i)
        it.Fleet.killEntry(i, 1s);
      for (std::uint32_t i = 0; i < FirstServers + LaterServers; ++i)
        it.Fleet.simulation().killFor(it.Fleet.agent(i), 1s);
      const std::uint32_t kept = it.any(options.Replicas);
      for (std::uint32_t i = 0; i < options.Replicas; ++i)
        if (i != kept)
          it.Fleet.simulation().killFor(it.Fleet.replica(i), 1s);
    });
    it.check(seed);
  }
}

// Guards against an entry that doesn't know at which software version a stream
// began, because its caller has come from another entry that is alive.
TEST_CASE("a caller whose connection was reset resumes at the software version "
          "that began the stream",
          "[stream-software]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    UpgradedFleet it(fleetOptions(seed));
    it.play(1s, [&](int) { it.reset(10); });
    it.check(seed);
  }
}

// Guards against an entry that resumes a stream at an engine by the software of
// its former process, which it still believes to be there.
TEST_CASE("a stream isn't resumed at a server that has restarted with other "
          "software",
          "[stream-software]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ForwardFleetOptions options = fleetOptions(seed);
    options.RestartDelay = 200ms;
    UpgradedFleet it(options);
    it.play(2s, [&](int n) {
      it.Fleet.replaceServer(it.any(FirstServers), n % 3 == 0 ? "v1" : "v2",
                             /*keepsName=*/n % 2 == 0);
      it.reset(4);
    });
    it.check(seed);
  }
}

// Guards against a stream that goes on at another software version because its
// own has no server left, and against one that is held for nothing.
TEST_CASE("a stream whose software version has no server left is refused at "
          "once",
          "[stream-software]") {
  // The route's target for the first event: an answer in time takes no longer.
  constexpr Duration AtOnce = 1s;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ForwardFleetOptions options = fleetOptions(seed);
    options.RestartDelay = 1h;
    // The leases of the servers have ended when the callers come back.
    UpgradedFleet it(options, /*comeBackAfter=*/10s);
    it.runFor(5s);
    for (std::uint32_t i = 0; i < LaterServers; ++i)
      it.Fleet.crashServer(FirstServers + i);
    it.Fleet.runFor(15s + MaxAttempts * DrainTime);
    it.check(seed);
    int stopped = 0;
    int refusedAtOnce = 0;
    for (const auto &stream : it.Streams)
      if (!stream->Software.empty() && stream->Software.size() < Events) {
        ++stopped;
        refusedAtOnce += stream->Status == 503 && stream->Took <= AtOnce;
      }
    INFO("seed " << seed << ": " << stopped << " streams stopped, "
                 << refusedAtOnce << " were refused at once");
    CHECK(stopped > 0);
    CHECK(refusedAtOnce == stopped);
    // New streams are served.
    CallerStream &fresh = it.begin();
    it.Fleet.runFor(DrainTime);
    CHECK(fresh.Software == std::vector<std::string>(Events, "v1"));
  }
}
