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

/// Routes one request, host after host, as an entry does.
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
  void isBusy(const Route &route, Duration wait) {
    Tried.push_back({route.Host, RefusalReason::Busy, {}, false, wait});
  }
};

} // namespace

TEST_CASE("when all that were asked are busy, the one with the shortest wait "
          "takes the request") {
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

TEST_CASE("limits are parts of the time until the first event has to come") {
  Asking asking;
  const Route usual = *asking.next();
  CHECK(usual.FirstEventWithin == 700ms);
  asking.Target = 500ms;
  CHECK(asking.next()->FirstEventWithin == 350ms);
  asking.isBusy(usual, 1s);
  CHECK(asking.next()->FirstEventWithin == 450ms);
}

TEST_CASE("a host that is out for another reason isn't asked again") {
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
