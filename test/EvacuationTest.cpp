#include "ManifestReader.h"
#include "Registration.h"
#include "RequestHeaders.h"
#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};
constexpr Duration ResendWindow = 6s;
const ZoneName Zone("z1");

Configuration withZone(bool evacuated) {
  Configuration current;
  current.put(ZoneRecord{.Zone = Zone, .Evacuated = evacuated, .ChangedAt = 1});
  return current;
}

CommandOutcome apply(StateMachine &state, const EvacuateZone &order,
                     Revision buildsOn = 0) {
  return state.apply(0, {.BuildsOn = buildsOn, .Body = order});
}

} // namespace

TEST_CASE("an order is new, in force, or possibly a late resend",
          "[evacuation-order]") {
  EvacuationOrders orders(ResendWindow);
  orders.startLeading(Now, 1);
  const Configuration noZones;
  CHECK(orders.evaluate(Now, noZones, Zone, true) == EvacuationDecision::New);
  CHECK(orders.evaluate(Now, noZones, Zone, false) ==
        EvacuationDecision::InForce);
  orders.recordProposed(Zone);
  CHECK(orders.evaluate(Now, noZones, Zone, true) ==
        EvacuationDecision::Undecided);
  CHECK(orders.evaluate(Now, noZones, Zone, false) ==
        EvacuationDecision::Undecided);
  // If this isn't recorded, the zone takes no further orders.
  orders.recordProposalFailed(Zone);
  CHECK(orders.evaluate(Now, noZones, Zone, true) == EvacuationDecision::New);
  orders.recordProposed(Zone);
  orders.recordAcknowledged(Now, Zone, true);
  const Configuration withEvacuation = withZone(true);
  CHECK(orders.evaluate(Now, withEvacuation, Zone, true) ==
        EvacuationDecision::InForce);
  // A former leader may have acknowledged an opposite order that changed
  // nothing.
  CHECK(orders.evaluate(Now, withEvacuation, Zone, false) ==
        EvacuationDecision::Undecided);
  CHECK(orders.evaluate(Now + ResendWindow, withEvacuation, Zone, false) ==
        EvacuationDecision::New);
}

TEST_CASE("the resend time counts from the last acknowledgement",
          "[evacuation-order]") {
  EvacuationOrders orders(ResendWindow);
  orders.startLeading(Now, 1);
  orders.recordAcknowledged(Now + 10s, Zone, true);
  const Configuration withRestoration = withZone(false);
  CHECK(orders.evaluate(Now + 15s, withRestoration, Zone, true) ==
        EvacuationDecision::Undecided);
  CHECK(orders.evaluate(Now + 16s, withRestoration, Zone, true) ==
        EvacuationDecision::New);
  // A new leader knows only that earlier orders were acknowledged before its
  // term.
  orders.startLeading(Now + 20s, 2);
  CHECK(orders.evaluate(Now + 25s, withRestoration, Zone, true) ==
        EvacuationDecision::Undecided);
  CHECK(orders.evaluate(Now + 26s, withRestoration, Zone, true) ==
        EvacuationDecision::New);
}

TEST_CASE("evacuations are part of the state and of its snapshot",
          "[evacuation-order]") {
  StateMachine state;
  CHECK(apply(state, {Zone, false}).At == 0);
  CHECK(apply(state, {Zone, true}).At == 1);
  CHECK(apply(state, {Zone, true}).At == 1);
  CHECK(apply(state, {Zone, false}, 7).Result == CommandResult::Conflict);
  CHECK(apply(state, {ZoneName(), true}).Result == CommandResult::Invalid);
  CHECK(apply(state, {ZoneName(std::string(10000, 'a')), true}).Result ==
        CommandResult::Invalid);
  CHECK(apply(state, {ZoneName("\xff\xfe"), true}).Result ==
        CommandResult::Invalid);
  StateMachine copy;
  REQUIRE(copy.decode(state.encode()));
  REQUIRE(copy.configuration().findZone(Zone));
  CHECK(copy.configuration().findZone(Zone)->Evacuated);
  CHECK(apply(copy, {Zone, false}, 1).At == 2);
  std::vector<ConfigurationRecord> changed;
  copy.configuration().forEachChanged(
      1, [&](const ConfigurationRecord &it) { changed.push_back(it); });
  CHECK(changed.size() == 1);
}

TEST_CASE("a host is out of use when its zone is evacuated",
          "[evacuation-order]") {
  ConfigurationCopy copy;
  CHECK_FALSE(copy.isEvacuated(Zone));
  CHECK(copy.apply({.UpTo = 1,
                    .Records = {ZoneRecord{
                        .Zone = Zone, .Evacuated = true, .ChangedAt = 1}}}));
  CHECK(copy.isEvacuated(Zone));
}

TEST_CASE("a zone must be allowed by the regions of both route and account",
          "[regions]") {
  const ZoneRegions regions = {{ZoneName("a"), RegionName("north")},
                               {ZoneName("b"), RegionName("north")},
                               {ZoneName("c"), RegionName("south")}};
  const std::vector<RegionName> north = {RegionName("north")};
  const std::vector<RegionName> both = {RegionName("north"),
                                        RegionName("south")};
  const std::vector<RegionName> other = {RegionName("east")};
  const auto contains = [&](const AllowedZones &zones) {
    std::string names;
    for (const char *it : {"a", "b", "c", "unknown"})
      names += zones.contains(ZoneName(it)) ? it : "";
    return names;
  };
  CHECK(contains({}) == "abcunknown");
  CHECK(contains({regions, {}, {}}) == "abcunknown");
  CHECK(contains({regions, north, {}}) == "ab");
  CHECK(contains({regions, {}, north}) == "ab");
  CHECK(contains({regions, both, north}) == "ab");
  CHECK(contains({regions, north, other}).empty());
  // No zone is allowed while the regions are unknown.
  CHECK(contains({{}, north, {}}).empty());
}

TEST_CASE("hosts outside the allowed zones are not chosen", "[regions]") {
  MemberViews members;
  for (const char *it : {"a", "b"}) {
    MemberView &view = members[HostName(it)];
    view.Record = {.Host = HostName(it),
                   .Zone = ZoneName(it),
                   .BaseModel = "m",
                   .Slots = 1};
    view.NameHash = stableHash(it);
  }
  const ZoneRegions regions = {{ZoneName("a"), RegionName("north")},
                               {ZoneName("b"), RegionName("south")}};
  const std::vector<TriedHost> tried;
  PrefixRouting routing({});
  for (int i = 0; i < 20; ++i) {
    const RouteQuery query{.Key = {AdapterName("m/" + std::to_string(i)), 1},
                           .BaseModel = "m",
                           .Tried = tried,
                           .Zones = {regions, {RegionName("south")}, {}}};
    const auto route = routing.choose(Now, query, members);
    REQUIRE(route);
    CHECK(route->Host == HostName("b"));
  }
}

TEST_CASE("requests to a cold server are rate limited until it is warm",
          "[pacer]") {
  RequestPacer pacer;
  CHECK_FALSE(pacer.applyCold(Now, {}));
  CHECK_FALSE(pacer.isPacing(Now));
  CHECK(pacer.applyCold(Now, {.PerThousandSeconds = 2000, .Remaining = 3s}));
  CHECK_FALSE(pacer.take(Now));
  CHECK(pacer.interval(Now) == 500ms);
  CHECK(pacer.wait(Now, 0) == 500ms + 1us);
  CHECK(pacer.wait(Now, 100) == 3s);
  CHECK(pacer.take(Now + 500ms));
  // A report with an earlier end doesn't shorten the cold time.
  CHECK_FALSE(
      pacer.applyCold(Now + 1s, {.PerThousandSeconds = 2000, .Remaining = 1s}));
  CHECK(pacer.take(Now + 1s));
  CHECK_FALSE(pacer.take(Now + 1s));
  CHECK(pacer.wait(Now + 3s, 100) == 0s);
  CHECK(pacer.interval(Now + 3s) == 0s);
  // After a reset for a new process its limit is unknown, but it may be cold.
  pacer.apply(Now, {.Named = true, .PerThousandSeconds = 500});
  pacer.reset();
  CHECK_FALSE(pacer.isLimited());
  CHECK(pacer.isPacing(Now + 2s));
  CHECK_FALSE(pacer.isPacing(Now + 3s));
}

TEST_CASE("the lower one of a rate limit and a cold server's rate applies",
          "[pacer]") {
  RequestPacer pacer;
  pacer.apply(Now, {.Named = true, .PerThousandSeconds = 1000});
  pacer.applyCold(Now, {.PerThousandSeconds = 5000, .Remaining = 2s});
  CHECK(pacer.interval(Now) == 1s);
  RequestPacer other;
  other.apply(Now, {.Named = true, .PerThousandSeconds = 5000});
  other.applyCold(Now, {.PerThousandSeconds = 1000, .Remaining = 2s});
  CHECK(other.interval(Now) == 1s);
  CHECK(other.interval(Now + 2s) == 200ms);
  // Two requests while the server is cold, and one at the limit.
  CHECK(other.wait(Now, 2) == 2s + 200ms + 1us);
}

TEST_CASE("the times of cold servers and the allowed regions are decoded",
          "[evacuation-order]") {
  Findings findings;
  const auto registration = [&](const std::string &cold) {
    findings = Findings();
    return platform::readRegistration(
        "i-1",
        R"({"backend":"s","address":"1.0.0.1:80","zone":"z","slots":4,)"
        R"("state":"ready","seq":1)" +
            cold + "}",
        findings);
  };
  CHECK(registration(R"(,"coldLeftMs":2500)").Member.ColdFor == 2500ms);
  CHECK(findings.empty());
  CHECK(registration("").Member.ColdFor == 0s);
  CHECK(findings.empty());
  for (const char *it : {"-1", "1e300", "\"soon\""}) {
    registration(std::string(",\"coldLeftMs\":") + it);
    CHECK_FALSE(findings.empty());
  }
  const platform::RequestHeaders headers;
  const auto answer = [&](HttpHeaders lines) {
    return headers.decodeAnswer({200, std::move(lines)}).Feedback;
  };
  const std::string cold = "Pimentofront-Cold-Ms";
  CHECK(answer({{cold, "1500"}}).ColdFor == 1500ms);
  for (const char *it : {"-1", "nan", "1e9", ""}) {
    CHECK_FALSE(answer({{cold, it}}).ColdFor);
    CHECK(answer({{cold, it}}).MalformedHeader == cold);
  }
  CHECK_FALSE(answer({{cold, "1"}, {cold, "1"}}).ColdFor);
  const RoutingDocument document = platform::ManifestReader().decode(
      R"({"version":1,"routes":[{"name":"r","hostname":"h","pathPrefix":"/",
          "routeType":"idempotent","timeoutMs":1,"targetLatencyMs":1,
          "priority":0,"backend":"s","attempts":1,
          "allowedRegions":["north"]}],
          "services":[{"name":"s","healthPath":"/","maxConns":1,
          "coldS":3.0,"coldPerS":7.1}],
          "tenants":[{"name":"t","apiKeys":[],"allowedRegions":["south"]}]})",
      findings);
  INFO(findings.toText());
  CHECK(document.Routes.at(0).Regions ==
        std::vector<RegionName>{RegionName("north")});
  CHECK(document.Accounts.at(0).Regions ==
        std::vector<RegionName>{RegionName("south")});
  CHECK(document.Services.at(0).ColdTime == 3s);
  CHECK(document.Services.at(0).coldStartFor(2s) == ColdStart{7100, 2s});
  CHECK_FALSE(ServiceSpec{}.coldStartFor(2s).isCold());
}
