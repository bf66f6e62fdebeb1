#include "TimeLine.h"
#include "pimentofront/Net.h"

#include <catch2/catch.hpp>

using namespace pimentofront;

TEST_CASE("events of all processes are merged into one order") {
  TimeLine timeLine;
  Findings findings;
  timeLine.addLog("a",
                  R"({"hlc":3,"ms":1,"host":"a","event":"second","x":1})"
                  "\nnoise\n",
                  findings);
  timeLine.addLog("b",
                  R"({"hlc":2,"ms":1,"host":"b","event":"first",)"
                  R"("request":"<r>"})",
                  findings);
  timeLine.sort();
  REQUIRE(timeLine.events().size() == 2);
  CHECK(timeLine.events()[0].Event == "first");
  CHECK(timeLine.events()[1].Details == "x=1");
  CHECK(findings.toText() ==
        "a:2: expected a JSON object with the field \"hlc\"\n");
  CHECK(timeLine.toHtml().find("&lt;r>") != std::string::npos);
  timeLine.removeOtherRequests("other");
  CHECK(timeLine.events().size() == 1);
}

TEST_CASE(
    "a hybrid clock follows observed times but not ones far in the future") {
  HybridClock clock;
  const HybridTime first = clock.tick(1000);
  CHECK(clock.tick(1000) > first);
  clock.observe(clock.tick(1000) + (5ULL << 16), 1000);
  CHECK(clock.tick(1000) > first + (5ULL << 16));
  clock.observe(~0ULL, 1000);
  CHECK(clock.tick(1000) < first + (6ULL << 16));
}

TEST_CASE("a request's id leads to the cause of its failure") {
  TimeLine timeLine;
  Findings findings;
  timeLine.addLog("collected",
                  "  12.5 host-1 {\"hlc\":2,\"host\":\"e\",\"event\":"
                  "\"request_lost\",\"request\":\"r1\","
                  "\"why\":\"declined, busy; servers sent to 0\"}\n"
                  "  12.4 host-1 {\"hlc\":1,\"host\":\"e\",\"event\":"
                  "\"agent_silent\",\"request\":\"r1\"}\n"
                  "cut off {\"hlc\":3,\n",
                  findings);
  timeLine.sort();
  const std::string text = timeLine.explain("r1");
  CHECK(text.find("agent_silent") < text.find("request_lost"));
  CHECK(text.find("=> refused: each server or agent") != std::string::npos);
  CHECK(timeLine.explain("r2").empty());
  timeLine.addLog(
      "more",
      R"({"hlc":5,"host":"e","event":"request_lost","request":"r3",)"
      R"("why":"timed_out; agents that declined 0"})",
      findings);
  CHECK(timeLine.explain("r3").find("=> its time ran out") !=
        std::string::npos);
  timeLine.addLog(
      "displaced",
      R"({"hlc":6,"host":"e","event":"request_lost","request":"r4",)"
      R"("why":"declined, displaced; servers sent to 0"})",
      findings);
  CHECK(timeLine.explain("r4").find("took its place at an engine") !=
        std::string::npos);
  CHECK(findings.items().size() == 1);
}
