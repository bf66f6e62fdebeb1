// Long prompts that were handed to an engine faster than it reads them waited
// inside it, where they can't be ordered, displaced or refused as not run.
#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};
constexpr EntryLink Entry = 7;
constexpr std::uint32_t Long = 8000; // 200 ms at the initial speed.

ExecuteRequest prompt(std::uint64_t n, std::uint32_t tokens,
                      std::uint32_t urgency, Duration remaining = 4s) {
  ExecuteRequest it{.Attempt = {1, n},
                    .Request = RequestId(std::to_string(n)),
                    .Kind = KindName("kind"),
                    .Remaining = remaining,
                    .Key = {AdapterName("a"), 1},
                    .BaseModel = "base",
                    .MaxTokens = 5,
                    .Delegated = true,
                    .Parts = {{.Id = n, .Tokens = tokens}}};
  it.Demand.Urgency = urgency;
  return it;
}

/// An agent whose engine holds one adapter.
struct Agent {
  Agent() {
    Controller.onEngineFound(Now - 10s, {}, true);
    Controller.onEngineFound(Now - 5s, {{AdapterName("a"), 1}}, true);
    Controller.onEngineFound(Now - 1s, {{AdapterName("a"), 1}}, true);
  }
  std::size_t started() {
    std::size_t n = 0;
    for (const AgentCommand &it : Controller.takeCommands())
      n += std::holds_alternative<StartGeneration>(it) ? 1 : 0;
    return n;
  }
  LeastPopular Eviction;
  UncoordinatedLoads Gate;
  AgentController Controller{{.Host = HostName("w"),
                              .Incarnation = 1,
                              .BaseModel = "base",
                              .Slots = 2,
                              .BatchCapacity = 64,
                              .BatchingShare = 0},
                             Eviction,
                             Gate};
};

} // namespace

TEST_CASE("of many long prompts at once an engine is given what keeps it busy",
          "[reading-gate]") {
  Agent agent;
  for (std::uint64_t n = 1; n <= 6; ++n)
    agent.Controller.onExecute(Now, Entry, prompt(n, Long, 2));
  CHECK(agent.started() == 1);
  SECTION("the next before it has read the first") {
    agent.Controller.tick(Now + 200ms - ReadingGate::LowMark);
    CHECK(agent.started() == 1);
  }
  SECTION("the next at once when the first event comes earlier") {
    agent.Controller.onBegan(Now + 50ms,
                             {.Attempt = {1, 1}, .FirstEvent = 50ms});
    CHECK(agent.started() == 1);
  }
  SECTION("what waits can be taken back and has not run") {
    agent.Controller.onCancel(Now, {1, 5});
    CHECK(agent.Controller.board().WaitingCount == 4);
  }
}

TEST_CASE("a short urgent prompt isn't held behind long ones",
          "[reading-gate]") {
  Agent agent;
  for (std::uint64_t n = 1; n <= 3; ++n)
    agent.Controller.onExecute(Now, Entry, prompt(n, Long, 2));
  REQUIRE(agent.started() == 1);
  agent.Controller.onExecute(Now, Entry, prompt(9, 800, 0));
  CHECK(agent.started() == 1);
}

TEST_CASE("an engine without a queue of prompts is given each at once",
          "[reading-gate]") {
  Agent agent;
  for (std::uint64_t n = 1; n <= 40; ++n) {
    const TimePoint now = Now + 250ms * n;
    agent.Controller.onExecute(now, Entry, prompt(n, Long, 2, 60s));
    CHECK(agent.started() == 1);
  }
}

TEST_CASE("lost reports and a frozen entry don't close the gate for ever",
          "[reading-gate]") {
  Agent agent;
  for (std::uint64_t n = 1; n <= 4; ++n)
    agent.Controller.onExecute(Now, Entry, prompt(n, Long, 2));
  std::size_t started = agent.started();
  for (Duration t = 0ms; t <= 800ms; t += 20ms) {
    agent.Controller.tick(Now + t);
    started += agent.started();
  }
  CHECK(started == 4);
}

TEST_CASE("an engine that restarts with prompts unread is given others at once",
          "[reading-gate]") {
  Agent agent;
  agent.Controller.onExecute(Now, Entry, prompt(1, 1'000'000, 2));
  REQUIRE(agent.started() == 1);
  agent.Controller.onEngineLost(Now + 10ms);
  agent.Controller.onEngineFound(Now + 20ms, {{AdapterName("a"), 1}}, true);
  agent.Controller.onEngineFound(Now + 30ms, {{AdapterName("a"), 1}}, true);
  agent.Controller.onExecute(Now + 40ms, Entry, prompt(2, Long, 2));
  CHECK(agent.started() == 1);
}

TEST_CASE("a shared part is read and counted once", "[reading-gate]") {
  Agent agent;
  for (std::uint64_t n = 1; n <= 4; ++n) {
    ExecuteRequest it = prompt(n, 100, 2);
    it.Parts = {{.Id = 77, .Tokens = 2000}, {.Id = n, .Tokens = 100}};
    agent.Controller.onExecute(Now, Entry, it);
  }
  CHECK(agent.started() == 4);
}
