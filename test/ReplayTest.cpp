#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

ReplayResult run(const Deployment &deployment, const char *policy, double load,
                 ReplayFault fault) {
  const Trace trace = generateTrace(
      deployment, {.RequestsPerSecond = load * capacityOf(deployment),
                   .Length = 90s,
                   .Seed = 3});
  return replay(deployment, *findPolicy(policy), trace, fault, 3);
}

} // namespace

TEST_CASE(
    "no policy violates an invariant in a replay, with or without faults") {
  for (const Deployment &deployment : {coralCoast(), ammann()})
    for (const PolicySpec &policy : allPolicies())
      for (const ReplayFault fault :
           {ReplayFault::None, ReplayFault::ColdThird, ReplayFault::LeaderLost,
            ReplayFault::BadAdapters}) {
        INFO(deployment.Name << " " << policy.Name << " " << nameOf(fault));
        const auto result = run(deployment, policy.Name.c_str(), 0.9, fault);
        for (const std::string &it : result.Violations)
          FAIL_CHECK("invariant violated: " << it);
      }
}

TEST_CASE(
    "the newest policy's stalls are at most half of the best baseline's") {
  for (const Deployment &deployment : {coralCoast(), ammann()}) {
    const auto newest = allPolicies().back().Name;
    const double ours =
        run(deployment, newest.c_str(), 0.8, ReplayFault::None).StallTotal;
    const double best = std::min(
        run(deployment, "hash", 0.8, ReplayFault::None).StallTotal,
        run(deployment, "least-loaded", 0.8, ReplayFault::None).StallTotal);
    CHECK(ours <= best / 2);
  }
}

TEST_CASE("overload reduces the answers within their window by at most 5%") {
  const Deployment deployment = ammann();
  const auto newest = allPolicies().back().Name;
  const auto full = run(deployment, newest.c_str(), 1.0, ReplayFault::None);
  const auto over = run(deployment, newest.c_str(), 1.2, ReplayFault::None);
  CHECK(static_cast<double>(over.InWindow) >=
        0.95 * static_cast<double>(full.InWindow));
}

TEST_CASE("a replay is deterministic") {
  const Deployment deployment = coralCoast();
  const auto a = run(deployment, "v4", 0.5, ReplayFault::ColdThird);
  const auto b = run(deployment, "v4", 0.5, ReplayFault::ColdThird);
  CHECK(a.StallTotal == b.StallTotal);
  CHECK(a.Loads == b.Loads);
}

TEST_CASE("a trace written as JSON lines is read back unchanged") {
  Trace trace = generateTrace(ammann(), {.Length = 10s});
  trace.Expected = {0.9, 2};
  Findings findings;
  const Trace again = Trace::fromLines(trace.toLines(), findings);
  CHECK(findings.empty());
  CHECK(again.Requests == trace.Requests);
  Trace::fromLines("{}\nnoise\n", findings);
  CHECK(findings.items().size() == 2);
}

TEST_CASE("minLoads() is the number of loads of the optimal offline schedule") {
  Trace trace;
  for (const char *it : {"a", "b", "c", "a", "b", "c"})
    trace.Requests.push_back({.Adapter = AdapterName(it)});
  CHECK(minLoads(trace, 3) == 3);
  CHECK(minLoads(trace, 2) == 4);
  CHECK(minLoads(trace, 1) == 6);
}
