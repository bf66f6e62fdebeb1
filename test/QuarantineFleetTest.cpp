// One request ended engine after engine for as long as its caller sent it
// again: two processes for each attempt, 49 and 58 in all on one day, and with
// each process some eight requests beside it broke off. What a request had done
// was known to its attempt alone; the next one, under another id and mostly at
// another entry, began without a past.

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

/// Sends beyond the third end of a server count from here on: the time in which
/// what is decided must be in force everywhere.
constexpr Duration InForceWithin = 3s;

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
