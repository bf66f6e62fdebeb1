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

struct GateUnderTest {
  int begin() {
    int n = 0;
    while (Gate.next(Now, Board, demands()))
      ++n;
    return n;
  }
  void end(int n, Duration took) {
    for (int i = 0; i < n; ++i)
      Gate.onLoadEnded(Now, Board, key("a"), took);
  }
  LeastPopular Eviction;
  AgentBoard Board{{}, Eviction};
  AdaptiveLoads Gate{AdaptiveLoadsOptions{}};
};

} // namespace

TEST_CASE("what most wait for is loaded first") {
  GateUnderTest it;
  CHECK(it.Gate.next(Now, it.Board, demands()) == key("c"));
  CHECK_FALSE(it.Gate.next(Now, it.Board, {}));
}

TEST_CASE("fewer loads are begun while the store is crowded, then more") {
  GateUnderTest it;
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

TEST_CASE("a copy that the engine had says nothing of the store") {
  GateUnderTest it;
  it.begin();
  it.end(4, 250ms);
  it.begin();
  it.end(4, 25ms);
  it.begin();
  // Had the copies counted, these would look slow.
  it.end(4, 250ms);
  CHECK(it.begin() == 4);
}

TEST_CASE("a store that has become slower for good is believed") {
  GateUnderTest it;
  it.begin();
  it.end(4, 250ms);
  for (int i = 0; i < 400; ++i) {
    it.Gate.next(Now, it.Board, demands());
    it.end(1, 500ms);
  }
  CHECK(it.Gate.limit() > 1);
}

TEST_CASE("a load that was broken off gives its place back") {
  GateUnderTest it;
  CHECK(it.begin() == 4);
  it.end(4, 0ms);
  CHECK(it.begin() == 4);
}
