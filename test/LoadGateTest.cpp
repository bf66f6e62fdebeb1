#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};

AdapterKey key(const std::string &name) { return {AdapterName(name), 1}; }

std::vector<Demand> demands() {
  return {{key("a"), 1, 1s}, {key("b"), 3, 5s}, {key("c"), 3, 2s}};
}

/// A gate and the board of an agent with demands whose loads could all begin.
template <class Tested> struct GateWithBoard {
  /// \returns how many loads the gate lets begin.
  int begin(TimePoint now = Now) {
    int n = 0;
    while (Gate.next(now, Board, demands()))
      ++n;
    return n;
  }
  LeastPopular Eviction;
  AgentBoard Board{{}, Eviction};
  Tested Gate{{}};
};

struct AdaptiveUnderTest : GateWithBoard<AdaptiveLoads> {
  void end(int n, Duration took) {
    for (int i = 0; i < n; ++i)
      Gate.onLoadEnded(Now, Board, key("a"), took);
  }
};

} // namespace

TEST_CASE("the adapter that most requests wait for is loaded first") {
  AdaptiveUnderTest it;
  CHECK(it.Gate.next(Now, it.Board, demands()) == key("c"));
  CHECK_FALSE(it.Gate.next(Now, it.Board, {}));
}

TEST_CASE(
    "fewer loads begin while the store is congested, and more afterwards") {
  AdaptiveUnderTest it;
  CHECK(it.begin() == 4);
  it.end(4, 250ms);
  CHECK(it.begin() == 4);
  it.end(4, 1s);
  CHECK(it.begin() == 1);
  it.end(1, 260ms);
  it.begin();
  it.end(1, 260ms);
  CHECK(it.begin() == 2);
}

TEST_CASE("a load from the engine's copy does not count as a measurement of "
          "the store") {
  AdaptiveUnderTest it;
  it.begin();
  it.end(4, 250ms);
  it.begin();
  it.end(4, 25ms);
  it.begin();
  // Had the loads from copies counted, these would look slow.
  it.end(4, 250ms);
  CHECK(it.begin() == 4);
}

TEST_CASE("the limit adapts to a store that has become slower for good") {
  AdaptiveUnderTest it;
  it.begin();
  it.end(4, 250ms);
  for (int i = 0; i < 400; ++i) {
    it.Gate.next(Now, it.Board, demands());
    it.end(1, 500ms);
  }
  CHECK(it.Gate.limit() > 1);
}

TEST_CASE("an aborted load no longer counts towards the limit") {
  AdaptiveUnderTest it;
  CHECK(it.begin() == 4);
  it.end(4, 0ms);
  CHECK(it.begin() == 4);
}

namespace {

AdapterKey numbered(int n) { return {AdapterName("x" + std::to_string(n)), 1}; }

} // namespace

// Guards against estimating every load at the weight store's speed: in a
// measurement of 96 loads a second, 19 were of adapters that the engine had
// held before and took 25 ms, the others 260 ms.
TEST_CASE("a load of an adapter that the engine has held is expected to take "
          "less time") {
  LoadTimeModel model({.StoreTime = 250ms});
  CHECK(model.expected(numbered(1)) == 250ms);
  model.onLoaded(numbered(1), 250ms);
  REQUIRE(model.hasCopy(numbered(1)));
  CHECK(model.expected(numbered(1)) < 100ms);
  for (int i = 0; i < 50; ++i)
    model.onLoaded(numbered(1), 25ms);
  CHECK(model.expected(numbered(1)) < 30ms);
  // A load from a copy does not change the estimate for the weight store.
  CHECK(model.expected(numbered(2)) == 250ms);
  model.clear();
  CHECK(model.expected(numbered(1)) == 250ms);
}

TEST_CASE("the number of copies that an engine keeps is learned") {
  LoadTimeModel model({.StoreTime = 250ms});
  for (int i = 0; i < 100; ++i)
    model.onLoaded(numbered(i), 250ms);
  CHECK(model.hasCopy(numbered(50)));
  // As with an engine that keeps forty copies: the fiftieth adapter from the
  // end comes from the store again.
  model.onLoaded(numbered(50), 250ms);
  CHECK(model.hasCopy(numbered(50)));
  CHECK(model.hasCopy(numbered(60)));
  CHECK_FALSE(model.hasCopy(numbered(49)));
}

namespace {

/// An agent whose engine has just started; the test acts as the scheduler.
struct HybridUnderTest : GateWithBoard<HybridLoads> {
  HybridUnderTest() { Gate.onEngineReady(Now); }
  int demandsSent() {
    int n = 0;
    for (const AgentCommand &it : std::exchange(Board.Commands, {})) {
      const auto *message = std::get_if<SendToScheduler>(&it);
      n += message && std::holds_alternative<LoadDemand>(message->Content);
    }
    return n;
  }
};

} // namespace

TEST_CASE("an engine that has just started loads in the scheduler's order") {
  HybridUnderTest it;
  CHECK(it.begin(Now) == 0);
  CHECK(it.demandsSent() == 3);
  it.Gate.onTicket(Now + 5ms, it.Board, {1, key("a")});
  CHECK(it.Gate.next(Now + 5ms, it.Board, demands()) == key("a"));
  CHECK(it.begin(Now + 10ms) == 0);
}

TEST_CASE("while the scheduler is unavailable an agent uses its own limit") {
  HybridUnderTest it;
  CHECK(it.begin(Now) == 0);
  CHECK(it.begin(Now + 149ms) == 0);
  CHECK(it.begin(Now + 150ms) == 4);
}

// Guards against issuing tickets by weight while the store is at its limit all
// day: requests for adapters that few waited for were delayed until their
// callers gave up.
TEST_CASE("no tickets are requested long after the start, not even while the "
          "store is slow") {
  HybridUnderTest it;
  const TimePoint later = Now + 6s;
  CHECK(it.begin(later) == 4);
  CHECK(it.demandsSent() == 0);
  for (const Duration took : {250ms, 250ms, 250ms, 400ms})
    it.Gate.onLoadEnded(later, it.Board, key("a"), took);
  CHECK(it.begin(later) >= 1);
  CHECK(it.demandsSent() == 0);
}

TEST_CASE(
    "loads begin without a ticket after eight seconds of waiting for one") {
  HybridUnderTest it;
  for (Duration at = 0s; at < 8s; at += 100ms) {
    // The scheduler is available, but issues its tickets to other agents.
    it.Gate.onStatus(Now + at, it.Board, {key("a")});
    INFO(at.count());
    CHECK(it.begin(Now + at) == 0);
  }
  CHECK(it.begin(Now + 8s) == 4);
}

TEST_CASE("a copy that the engine has is loaded without a ticket") {
  HybridUnderTest it;
  it.Board.LoadTimes.onHeld(key("b"));
  CHECK(it.Gate.next(Now, it.Board, demands()) == key("b"));
  it.Gate.onLoadEnded(Now + 25ms, it.Board, key("b"), 25ms);
  CHECK(it.begin(Now + 25ms) >= 1);
}
