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
struct RoutedRequest {
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
  void refuseBusy(const Route &route, Duration wait, bool holds = false) {
    Tried.push_back({route.Host,
                     RefusalReason::Busy,
                     {},
                     route.OnlyIfResident,
                     wait,
                     holds});
  }
  /// The host refuses because it would have to load the adapter.
  void refuseNotResident(const Route &route, Duration wait) {
    Tried.push_back(
        {route.Host, RefusalReason::NotResident, {}, true, wait, false});
  }
};

} // namespace

TEST_CASE("when all asked engines are busy the one with the shortest wait gets "
          "the request") {
  RoutedRequest routed;
  std::vector<HostName> asked;
  const Duration waits[] = {1500ms, 1200ms, 900ms, 1100ms};
  for (const Duration wait : waits) {
    const auto route = routed.next();
    REQUIRE(route);
    CHECK(route->FirstEventWithin > Duration::zero());
    asked.push_back(route->Host);
    routed.refuseBusy(*route, wait);
  }
  const auto last = routed.next();
  REQUIRE(last);
  CHECK(last->Host == asked[2]);
  CHECK(last->FirstEventWithin == Duration::zero());
}

TEST_CASE(
    "the wait limits are shares of the time until the first event is due") {
  RoutedRequest routed;
  const Route usual = *routed.next();
  CHECK(usual.FirstEventWithin == 700ms);
  routed.Target = 500ms;
  CHECK(routed.next()->FirstEventWithin == 350ms);
  routed.refuseBusy(usual, 1s);
  CHECK(routed.next()->FirstEventWithin == 450ms);
}

TEST_CASE("a host that refused for another reason is not asked again") {
  RoutedRequest routed;
  for (int i = 0; i < 10; ++i) {
    const auto route = routed.next();
    REQUIRE(route);
    routed.Tried.push_back({route->Host, RefusalReason::BackendDown});
  }
  CHECK(!routed.next());
}

TEST_CASE("the same adapter and prefix are sent to the same engine") {
  RoutedRequest one;
  RoutedRequest other;
  for (std::uint64_t prefix = 1; prefix < 20; ++prefix)
    CHECK(one.next(prefix)->Host == other.next(prefix)->Host);
}

// The weight store is congested, and a load takes 400 ms of the 500 ms until
// the first event is due. Engines without the adapter cannot be faster, and
// each further load lengthens the queue of the store: 298 of 716 loads in one
// run were further copies.
TEST_CASE(
    "an adapter that no engine has is loaded on the adapter's own engine") {
  RoutedRequest routed;
  routed.Target = 500ms;
  const Route own = *routed.next();
  CHECK_FALSE(own.OnlyIfResident);
  SECTION("its own engine would be on time") {
    routed.refuseBusy(own, 400ms);
    for (int i = 0; i < 3; ++i) {
      const Route route = *routed.next();
      CHECK(route.OnlyIfResident);
      routed.refuseNotResident(route, 400ms);
    }
  }
  SECTION("its own engine would be late and the others little faster") {
    routed.refuseBusy(own, 900ms);
    for (int i = 0; i < 3; ++i)
      routed.refuseNotResident(*routed.next(), 700ms);
  }
  const Route last = *routed.next();
  CHECK(last.Host == own.Host);
  CHECK_FALSE(last.OnlyIfResident);
}

TEST_CASE("an idle engine loads an adapter when its own engine is too busy") {
  RoutedRequest routed;
  routed.Target = 500ms;
  routed.refuseBusy(*routed.next(), 2s, /*holds=*/true);
  const Route first = *routed.next();
  routed.refuseNotResident(first, 280ms);
  routed.refuseNotResident(*routed.next(), 280ms);
  routed.refuseNotResident(*routed.next(), 280ms);
  CHECK(routed.next()->Host == first.Host);
}

TEST_CASE("when all engines would be late one that has the adapter is "
          "preferred to a further copy") {
  RoutedRequest routed;
  routed.Target = 500ms;
  routed.refuseBusy(*routed.next(), 2s);
  routed.refuseNotResident(*routed.next(), 1000ms);
  const Route holder = *routed.next();
  routed.refuseBusy(holder, 1100ms, /*holds=*/true);
  routed.refuseNotResident(*routed.next(), 1000ms);
  CHECK(routed.next()->Host == holder.Host);
}
