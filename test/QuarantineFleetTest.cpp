// One request ended engine after engine for as long as its caller sent it
// again: two processes for each attempt, 49 and 58 in all on one day, and with
// each process some eight requests beside it broke off. What a request had done
// was known to its attempt alone; the next one, under another id and mostly at
// another entry, began without a past.

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

/// Sends beyond the third end of a server count from here on: the time in which
/// what is decided must be in force everywhere.
constexpr Duration InForceWithin = 3s;

std::vector<std::string> deadlyRequests(std::size_t n) {
  std::vector<std::string> result;
  result.reserve(n);
  for (std::size_t i = 0; i < n; ++i)
    result.push_back("deadly-" + std::to_string(i));
  return result;
}

/// A fleet under some load, and what became of its callers.
struct LoadedFleet {
  explicit LoadedFleet(const ForwardFleetOptions &options)
      : Fleet(options), Chance(options.World.Seed + 1) {
    Fleet.runFor(5s);
  }

  WorldProcess &anyEntry() {
    const auto n = static_cast<double>(Entries);
    return Fleet.entry(static_cast<std::uint32_t>(Chance.uniform() * n));
  }

  /// Some 40 requests a second, each of its own content; their callers try a
  /// second time when they get no answer.
  void send() {
    const std::string content = "ordinary-" + std::to_string(++Ordinary);
    Fleet.call(anyEntry(), content, [this, content](const CallerAnswer &it) {
      if (it.Whole && it.Stamped)
        return void(++Answered);
      note(it);
      Fleet.call(anyEntry(), content, [this](const CallerAnswer &again) {
        if (again.Whole && again.Stamped)
          return void(++Answered);
        note(again);
        ++Lost;
      });
    });
  }
  void note(const CallerAnswer &answer) {
    if (answer.Body == "quarantined\n")
      ++Innocents;
  }

  /// Runs \p load, in which each of \p deadly is sent again and again.
  void run(Duration load, const std::vector<std::string> &deadly) {
    for (const std::string &it : deadly)
      Fleet.addDeadly(it);
    const TimePoint end = Fleet.now() + load;
    TimePoint nextDeadly = Fleet.now() + 1s;
    while (Fleet.now() < end) {
      send();
      if (!deadly.empty() && Fleet.now() >= nextDeadly) {
        nextDeadly = Fleet.now() + 300ms;
        for (const std::string &it : deadly)
          Fleet.call(anyEntry(), it);
      }
      Fleet.runFor(Chance.jitter(17ms));
    }
    Fleet.runFor(8s);
  }

  std::vector<TimePoint> endsBy(const std::string &content) const {
    std::vector<TimePoint> ends;
    for (const ServerCrash &it : Fleet.crashes())
      if (it.Content == content)
        ends.push_back(it.At);
    return ends;
  }
  /// \returns how often the request reached a server once it should have been
  /// known everywhere that three had ended under it.
  int sendsTooLate(const std::string &content) const {
    const std::vector<TimePoint> ends = endsBy(content);
    if (ends.size() < 3)
      return 0;
    const TimePoint known = ends[2] + InForceWithin;
    return static_cast<int>(
        std::ranges::count_if(Fleet.arrivals(), [&](const ServerArrival &it) {
          return it.Content == content && it.At > known;
        }));
  }

  ForwardFleet Fleet;
  Random Chance;
  std::uint32_t Entries = 4;
  int Ordinary = 0;
  int Answered = 0;
  int Lost = 0;
  int Innocents = 0;
};

} // namespace

TEST_CASE("a request under which three servers ended reaches few more",
          "[quarantine]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    LoadedFleet it({.World = {.Seed = seed}});
    it.run(20s, {"deadly"});
    INFO("seed " << seed << ", " << it.endsBy("deadly").size() << " ended");
    CHECK(it.sendsTooLate("deadly") <= 3);
    CHECK(it.endsBy("deadly").size() <= 8);
    CHECK(it.Innocents == 0);
  }
}

TEST_CASE("ten such requests at one time cost nobody else the service",
          "[quarantine]") {
  const std::vector<std::string> deadly = deadlyRequests(10);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    LoadedFleet it({.World = {.Seed = seed}});
    it.run(20s, deadly);
    INFO("seed " << seed << ", lost " << it.Lost << " of " << it.Ordinary);
    CHECK(it.Innocents == 0);
    for (const std::string &content : deadly) {
      CHECK(it.sendsTooLate(content) <= 3);
      CHECK(it.endsBy(content).size() <= 8);
    }
  }
}

TEST_CASE("servers that end by themselves put nobody in quarantine",
          "[quarantine]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    LoadedFleet it({.World = {.Seed = seed}});
    for (int i = 0; i < 60; ++i)
      it.Fleet.world().after(i * 300ms, [&it, i] {
        const auto server = static_cast<std::uint32_t>(i * 5 % 12);
        if (i % 4 == 0)
          it.Fleet.darkenServer(server);
        else
          it.Fleet.crashServer(server);
      });
    it.run(20s, {});
    INFO("seed " << seed);
    CHECK(it.Innocents == 0);
    CHECK(it.Answered > it.Ordinary / 2);
  }
}

TEST_CASE("the quarantine holds while replicas and entries come and go",
          "[quarantine]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    LoadedFleet it({.World = {.Seed = seed}});
    World &world = it.Fleet.world();
    const auto during = [&](Duration at, std::function<void()> action) {
      world.after(at, std::move(action));
    };
    // The leader goes just as the first ends are reported; an entry starts
    // anew; one sleeps for three seconds; then all replicas start anew.
    during(1500ms, [&] {
      if (WorldProcess *leader = world.leader()) {
        world.kill(*leader);
        world.after(2s, [&world, leader] { world.start(*leader); });
      }
    });
    during(5s, [&] { world.kill(it.Fleet.entry(1)); });
    during(6s, [&] { world.start(it.Fleet.entry(1)); });
    during(7s, [&] { world.freeze(it.Fleet.entry(2)); });
    during(10s, [&] { world.wake(it.Fleet.entry(2)); });
    during(12s, [&] {
      for (std::uint32_t i = 0; i < 3; ++i) {
        world.kill(it.Fleet.replica(i));
        world.after(500ms, [&, i] { world.start(it.Fleet.replica(i)); });
      }
    });
    it.run(20s, {"deadly"});
    INFO("seed " << seed << ", " << it.endsBy("deadly").size() << " ended");
    CHECK(it.sendsTooLate("deadly") <= 3);
    CHECK(it.endsBy("deadly").size() <= 10);
    CHECK(it.Innocents == 0);
  }
}

TEST_CASE("figures of the quarantine", "[.figures]") {
  for (const std::size_t n : {0U, 1U, 3U, 10U})
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      const std::vector<std::string> deadly = deadlyRequests(n);
      LoadedFleet it({.World = {.Seed = seed}});
      it.run(20s, deadly);
      std::string ends;
      int late = 0;
      for (const std::string &content : deadly) {
        ends += " " + std::to_string(it.endsBy(content).size());
        late += it.sendsTooLate(content);
      }
      std::printf("deadly %zu seed %d: ends%s, late sends %d, innocents %d, "
                  "ordinary %d answered %d lost %d\n",
                  n, static_cast<int>(seed), ends.c_str(), late, it.Innocents,
                  it.Ordinary, it.Answered, it.Lost);
    }
}
