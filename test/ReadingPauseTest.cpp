#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};
constexpr EntryLink Entry = 7;
constexpr std::uint32_t Usual = 100;
constexpr std::uint32_t Slow = 250;
const AdapterKey Adapter{AdapterName("a"), 1};

/// An agent whose engine runs one stream.
struct BusyEngine {
  explicit BusyEngine(Duration pause = 400ms) {
    Controller.onEngineFound(Now - 10s, {}, true);
    Controller.onEngineFound(Now - 5s, {}, true);
    execute(Now - 1s, 1, /*tokens=*/800, pause);
    Controller.onLoadEnded(Now - 1s, Adapter, true, 250ms);
    Controller.onBegan(Now - 500ms, {.Attempt = {1, 1}, .FirstEvent = 30ms});
    started();
  }

  /// Asks for a request, which may wait for 700 ms until its first event.
  void execute(TimePoint now, std::uint64_t n, std::uint32_t tokens,
               Duration pause = 400ms, Duration within = 700ms) {
    Controller.onReceived(now, Entry);
    Controller.onExecute(now, Entry,
                         {.Attempt = {1, n},
                          .Request = RequestId(std::to_string(n)),
                          .Kind = KindName("k"),
                          .Remaining = 10s,
                          .Key = Adapter,
                          .BaseModel = "base",
                          .Delegated = true,
                          .Parts = {{n, tokens}},
                          .FirstEventWithin = within,
                          .Demand = {.PauseTarget = pause}});
  }
  /// \returns the requests that were handed to the engine since the last call.
  std::vector<std::uint64_t> started() {
    std::vector<std::uint64_t> result;
    for (const AgentCommand &it : Controller.takeCommands()) {
      if (const auto *start = std::get_if<StartGeneration>(&it))
        result.push_back(start->Request.Attempt.Sequence);
      const auto *to = std::get_if<SendToEntry>(&it);
      const auto *refused =
          to ? std::get_if<AttemptRefused>(&to->Content) : nullptr;
      if (refused)
        Refusals.push_back(refused->Reason);
    }
    return result;
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
  std::vector<RefusalReason> Refusals;
};

using Attempts = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("an engine that states no slowness counts as usual",
          "[reading-pause]") {
  EngineSlowness it;
  it.record(Now, 0);
  CHECK_FALSE(it.isStated());
  CHECK(it.factor(Now) == 1);
  CHECK(it.expectedRest(Now) == Duration::zero());
}

TEST_CASE("a statement on slowness expires", "[reading-pause]") {
  EngineSlowness it;
  it.record(Now, Slow);
  CHECK(it.isSlow(Now + 399ms));
  CHECK(it.factor(Now + 399ms) == 2.5);
  CHECK_FALSE(it.isSlow(Now + 400ms));
  CHECK(it.isStated());
}

TEST_CASE("the rest of a slow period is expected by those before",
          "[reading-pause]") {
  EngineSlowness it({.InitialLength = 400ms});
  it.record(Now, Slow);
  CHECK(it.expectedRest(Now + 100ms) == 300ms);
  it.record(Now + 300ms, Slow);
  CHECK(it.expectedRest(Now + 300ms) == 200ms);
  it.record(Now + 600ms, Slow);
  it.record(Now + 800ms, Usual);
  CHECK(it.expectedRest(Now + 800ms) == Duration::zero());
  it.record(Now + 2s, Slow);
  CHECK(it.expectedRest(Now + 2s) == 500ms);
}

TEST_CASE("a long prompt beside a stream isn't read in a slow period",
          "[reading-pause]") {
  BusyEngine engine;
  engine.Controller.onSlowness(Now, Slow);
  engine.execute(Now, 2, 9000, 400ms, Duration::zero());
  CHECK(engine.started().empty());
  engine.Controller.onSlowness(Now + 300ms, Slow);
  CHECK(engine.started().empty());
  engine.Controller.onSlowness(Now + 500ms, Usual);
  CHECK(engine.started() == Attempts{2});
}

TEST_CASE("a prompt that the slow period makes late goes to another engine",
          "[reading-pause]") {
  BusyEngine engine;
  engine.Controller.onSlowness(Now, Slow);
  engine.execute(Now, 2, 9000);
  CHECK(engine.started().empty());
  CHECK(engine.Refusals == std::vector{RefusalReason::Busy});
  CHECK(engine.Controller.currentLoad(Now).PrefillWait >= 250ms);
}

TEST_CASE("a short prompt passes in a slow period", "[reading-pause]") {
  BusyEngine engine;
  engine.Controller.onSlowness(Now, Slow);
  engine.execute(Now, 2, 9000, 400ms, Duration::zero());
  engine.execute(Now, 3, 800, 400ms, Duration::zero());
  CHECK(engine.started() == Attempts{3});
}

TEST_CASE("a slow period delays no prompt if no stream allows a pause",
          "[reading-pause]") {
  BusyEngine engine(Duration::zero());
  engine.Controller.onSlowness(Now, Slow);
  engine.execute(Now, 2, 9000, Duration::zero(), Duration::zero());
  CHECK(engine.started() == Attempts{2});
}

TEST_CASE("an engine of usual speed reads long prompts beside streams",
          "[reading-pause]") {
  BusyEngine engine;
  engine.Controller.onSlowness(Now, Usual);
  engine.execute(Now, 2, 9000);
  CHECK(engine.started() == Attempts{2});
}

TEST_CASE("lost statements don't hold prompts back for longer than they last",
          "[reading-pause]") {
  BusyEngine engine;
  engine.Controller.onSlowness(Now, Slow);
  engine.execute(Now, 2, 9000, 400ms, Duration::zero());
  CHECK(engine.started().empty());
  engine.Controller.tick(Now + 400ms);
  CHECK(engine.started() == Attempts{2});
}

TEST_CASE("a restarted engine isn't slow because its former process was",
          "[reading-pause]") {
  BusyEngine engine;
  engine.Controller.onSlowness(Now, Slow);
  engine.Controller.onEngineLost(Now);
  CHECK_FALSE(engine.Controller.board().Slowness.isStated());
}

TEST_CASE("an entry's report of a first event tells the engine's slowness",
          "[reading-pause]") {
  BusyEngine engine;
  engine.execute(Now, 2, 800);
  engine.Controller.onBegan(
      Now + 100ms, {.Attempt = {1, 2}, .FirstEvent = 90ms, .Slowness = Slow});
  CHECK(engine.Controller.board().Slowness.isSlow(Now + 100ms));
}
