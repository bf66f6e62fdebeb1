#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

MemberViews engines(int n) {
  MemberViews members;
  for (int i = 0; i < n; ++i) {
    const HostName host("w" + std::to_string(i));
    members[host] = {.Record = {.Host = host, .BaseModel = "base", .Slots = 6},
                     .NameHash = stableHash(host.str())};
  }
  return members;
}

/// An entry with two routes: long prompts with short answers, and short prompts
/// with long answers.
struct UnlikeShapes {
  PrefixRouting Routing{PrefixRoutingOptions{.Shapes = {.Enabled = true}}};
  MemberViews Members = engines(48);
  std::vector<TriedHost> Tried;
  TimePoint Now = Start;
  bool Disturbed = true;
  RequestDemand Long{.PromptTokens = 9000, .OutputTokens = 60};
  RequestDemand Short{.PromptTokens = 800, .OutputTokens = 300};

  std::optional<Route> choose(const std::string &kind, int adapter) {
    const bool isLong = kind == "long";
    return Routing.choose(
        Now,
        {.Key = {AdapterName("a" + std::to_string(adapter)), 1},
         .BaseModel = "base",
         .Tried = Tried,
         .Prefix = 1,
         .Kind = kind,
         .Demand = isLong ? Long : Short,
         .StreamTime = isLong ? Duration(500ms) : Duration(1100ms),
         .Disturbed = Disturbed},
        Members);
  }
  /// Sends \p longs and \p shorts requests in turn within ten seconds.
  void demand(int longs, int shorts) {
    const int n = longs + shorts;
    for (int i = 0; i < n; ++i) {
      choose(i * longs % n < longs ? "long" : "short", i % 40);
      Now += Duration(10s) / n;
    }
  }
  std::uint32_t enginesOf(const std::string &kind) {
    return choose(kind, 0)->ShapeEngines;
  }
  /// \returns the engines that get the requests for 200 adapters. Further tries
  /// are no further demand.
  std::set<HostName> hostsOf(const std::string &kind) {
    std::set<HostName> hosts;
    Tried.push_back({HostName("gone"), RefusalReason::BackendDown});
    for (int adapter = 0; adapter < 200; ++adapter)
      hosts.insert(choose(kind, adapter)->Host);
    Tried.pop_back();
    return hosts;
  }
};

std::size_t common(const std::set<HostName> &a, const std::set<HostName> &b) {
  std::vector<HostName> both;
  std::ranges::set_intersection(a, b, std::back_inserter(both));
  return both.size();
}

} // namespace

TEST_CASE("long prompts beside long answers get engines of their own",
          "[shape-placement]") {
  UnlikeShapes load;
  load.demand(90, 110);
  CHECK(common(load.hostsOf("long"), load.hostsOf("short")) == 0);
  CHECK(load.enginesOf("long") + load.enginesOf("short") == 48);
}

TEST_CASE("a deployment whose streams keep their pauses is served as before",
          "[shape-placement]") {
  UnlikeShapes load;
  load.Disturbed = false;
  load.demand(90, 110);
  for (int adapter = 100; adapter < 200; ++adapter) {
    const auto route = load.choose("long", adapter);
    CHECK(route->ShapeEngines == 0);
    CHECK(route->Host == load.choose("short", adapter)->Host);
  }
}

TEST_CASE("without the setting requests of all shapes share all engines",
          "[shape-placement]") {
  UnlikeShapes load;
  load.Routing = PrefixRouting(PrefixRoutingOptions{});
  load.demand(90, 110);
  CHECK(load.enginesOf("long") == 0);
  CHECK(load.enginesOf("short") == 0);
}

TEST_CASE("routes that are alike share all engines", "[shape-placement]") {
  UnlikeShapes load;
  load.Long = {.PromptTokens = 1600, .OutputTokens = 200};
  load.demand(90, 110);
  CHECK(load.enginesOf("long") == 0);
}

TEST_CASE("demand that swings moves engines to the shape that grows",
          "[shape-placement]") {
  UnlikeShapes load;
  load.demand(100, 100);
  const std::uint32_t before = load.enginesOf("long");
  for (int i = 0; i < 18; ++i)
    load.demand(50, 150);
  const std::uint32_t after = load.enginesOf("long");
  CHECK(after < before);
  CHECK(after > 0);
  for (int i = 0; i < 36; ++i)
    load.demand(100, 100);
  CHECK(load.enginesOf("long") == before);
}

TEST_CASE("entries that see different parts of the demand agree about most "
          "engines",
          "[shape-placement]") {
  UnlikeShapes one;
  UnlikeShapes other;
  one.demand(30, 40);
  other.demand(40, 35);
  const auto mixed = common(one.hostsOf("long"), other.hostsOf("short"));
  CHECK(mixed <= 48 / 5);
}

TEST_CASE("an entry that restarts places by shape after a few requests",
          "[shape-placement]") {
  UnlikeShapes load;
  CHECK(load.enginesOf("short") == 0);
  load.demand(10, 10);
  CHECK(load.enginesOf("short") > 0);
}

TEST_CASE("a full part of the engines spills into the other one",
          "[shape-placement]") {
  UnlikeShapes load;
  load.demand(90, 110);
  const std::set<HostName> preferred = load.hostsOf("short");
  std::optional<Route> route;
  for (int i = 0; i < 20; ++i) {
    route = load.choose("short", 300);
    REQUIRE(route);
    if (route->Reason == RouteReason::OtherShape)
      break;
    load.Tried.push_back(
        {route->Host, RefusalReason::Busy, {}, route->OnlyIfResident, 5s});
  }
  CHECK(route->Reason == RouteReason::OtherShape);
  CHECK_FALSE(preferred.contains(route->Host));
}

TEST_CASE("both shapes keep engines when half of the engines are gone and "
          "others are replaced",
          "[shape-placement]") {
  UnlikeShapes load;
  load.demand(90, 110);
  const double share = load.enginesOf("long") / 48.0;
  MemberViews left;
  for (auto it = load.Members.begin(); left.size() < 24; ++it)
    left.insert(*it);
  load.Members = left;
  CHECK(load.enginesOf("long") / 24.0 == Approx(share).margin(0.03));
  CHECK(common(load.hostsOf("long"), load.hostsOf("short")) == 0);
  load.Members = engines(1);
  CHECK(load.choose("long", 1)->ShapeEngines == 0);
}

// Each engine of the part for long prompts has refused for good: the request
// must not be lost while other engines have room.
TEST_CASE("long prompts go to the other part when their own has failed",
          "[shape-placement]") {
  UnlikeShapes load;
  load.demand(90, 110);
  for (int i = 0; i < 48; ++i) {
    const auto route = load.choose("long", 300);
    REQUIRE(route);
    load.Tried.push_back({route->Host, RefusalReason::BackendDown});
  }
  CHECK_FALSE(load.choose("long", 300));
}

TEST_CASE("requests that state no sizes are placed as before",
          "[shape-placement]") {
  UnlikeShapes load;
  load.Long = {};
  load.demand(90, 110);
  CHECK(load.enginesOf("long") == 0);
  CHECK(load.enginesOf("short") == 0);
}
