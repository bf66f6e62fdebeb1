#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};

MemberViews engines(int n) {
  MemberViews members;
  for (int i = 0; i < n; ++i) {
    const HostName host("w" + std::to_string(i));
    members[host] = {.Record = {.Host = host, .BaseModel = "base", .Slots = 8},
                     .NameHash = stableHash(host.str())};
  }
  return members;
}

/// Routes one request from host to host, as an entry does.
struct Asking {
  PrefixRouting Routing{PrefixRoutingOptions{}};
  MemberViews Members = engines(10);
  std::vector<TriedHost> Tried;
  Duration Target = NoTarget;

  std::optional<Route> next(std::uint64_t prefix = 1) {
    return Routing.choose(Now,
                          {.Key = {AdapterName("a"), 1},
                           .BaseModel = "base",
                           .Tried = Tried,
                           .Prefix = prefix,
                           .Target = Target},
                          Members);
  }
  void isBusy(const Route &route, Duration wait, bool holds = false) {
    Tried.push_back({route.Host,
                     RefusalReason::Busy,
                     {},
                     route.OnlyIfResident,
                     wait,
                     holds});
  }
  /// The host refuses because it would have to load the adapter.
  void lacks(const Route &route, Duration wait) {
    Tried.push_back(
        {route.Host, RefusalReason::NotResident, {}, true, wait, false});
  }
};

} // namespace

TEST_CASE("when all asked engines are busy the one with the shortest wait gets "
          "the request") {
  Asking asking;
  std::vector<HostName> asked;
  const Duration waits[] = {1500ms, 1200ms, 900ms, 1100ms};
  for (const Duration wait : waits) {
    const auto route = asking.next();
    REQUIRE(route);
    CHECK(route->FirstEventWithin > Duration::zero());
    asked.push_back(route->Host);
    asking.isBusy(*route, wait);
  }
  const auto last = asking.next();
  REQUIRE(last);
  CHECK(last->Host == asked[2]);
  CHECK(last->FirstEventWithin == Duration::zero());
}

TEST_CASE(
    "the wait limits are shares of the time until the first event is due") {
  Asking asking;
  const Route usual = *asking.next();
  CHECK(usual.FirstEventWithin == 700ms);
  asking.Target = 500ms;
  CHECK(asking.next()->FirstEventWithin == 350ms);
  asking.isBusy(usual, 1s);
  CHECK(asking.next()->FirstEventWithin == 450ms);
}

TEST_CASE("a host that refused for another reason is not asked again") {
  Asking asking;
  for (int i = 0; i < 10; ++i) {
    const auto route = asking.next();
    REQUIRE(route);
    asking.Tried.push_back({route->Host, RefusalReason::BackendDown});
  }
  CHECK(!asking.next());
}

TEST_CASE("the same adapter and prefix are sent to the same engine") {
  Asking one;
  Asking other;
  for (std::uint64_t prefix = 1; prefix < 20; ++prefix)
    CHECK(one.next(prefix)->Host == other.next(prefix)->Host);
}

// The weight store is congested, and a load takes 400 ms of the 500 ms until
// the first event is due. Engines without the adapter cannot be faster, and
// each further load lengthens the queue of the store: 298 of 716 loads in one
// run were further copies.
TEST_CASE(
    "an adapter that no engine has is loaded on the adapter's own engine") {
  Asking asking;
  asking.Target = 500ms;
  const Route own = *asking.next();
  CHECK_FALSE(own.OnlyIfResident);
  SECTION("its own engine would be on time") {
    asking.isBusy(own, 400ms);
    for (int i = 0; i < 3; ++i) {
      const Route route = *asking.next();
      CHECK(route.OnlyIfResident);
      asking.lacks(route, 400ms);
    }
  }
  SECTION("its own engine would be late and the others little faster") {
    asking.isBusy(own, 900ms);
    for (int i = 0; i < 3; ++i)
      asking.lacks(*asking.next(), 700ms);
  }
  const Route last = *asking.next();
  CHECK(last.Host == own.Host);
  CHECK_FALSE(last.OnlyIfResident);
}

TEST_CASE("an idle engine loads an adapter when its own engine is too busy") {
  Asking asking;
  asking.Target = 500ms;
  asking.isBusy(*asking.next(), 2s, /*holds=*/true);
  const Route first = *asking.next();
  asking.lacks(first, 280ms);
  asking.lacks(*asking.next(), 280ms);
  asking.lacks(*asking.next(), 280ms);
  CHECK(asking.next()->Host == first.Host);
}

TEST_CASE("when all engines would be late one that has the adapter is "
          "preferred to a further copy") {
  Asking asking;
  asking.Target = 500ms;
  asking.isBusy(*asking.next(), 2s);
  asking.lacks(*asking.next(), 1000ms);
  const Route holder = *asking.next();
  asking.isBusy(holder, 1100ms, /*holds=*/true);
  asking.lacks(*asking.next(), 1000ms);
  CHECK(asking.next()->Host == holder.Host);
}
