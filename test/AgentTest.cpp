#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};
constexpr EntryLink Entry = 7;

ExecuteRequest request(std::uint64_t n, const char *adapter,
                       Duration remaining = 30s, const char *kind = "usual",
                       std::uint32_t weight = 1) {
  return {.Attempt = {1, n},
          .Request = RequestId(std::to_string(n)),
          .Kind = KindName(kind),
          .Weight = weight,
          .Remaining = remaining,
          .Key = {AdapterName(adapter), 1},
          .BaseModel = "base",
          .MaxTokens = 5};
}

/// An agent with two slots whose load gate permits every load.
struct Agent {
  explicit Agent(AgentOptions options = {.Host = HostName("w"),
                                         .Incarnation = 1,
                                         .BaseModel = "base",
                                         .Slots = 2,
                                         .BatchCapacity = 2,
                                         .BatchingShare = 0})
      : Controller(options, Eviction, Gate) {
    Controller.onEngineFound(Now - 10s, {}, true);
    Controller.onEngineFound(Now - 5s, {}, true);
  }

  template <class T> std::vector<T> take() {
    std::vector<T> result;
    for (const AgentCommand &it : Controller.takeCommands()) {
      if (const auto *command = std::get_if<T>(&it))
        result.push_back(*command);
      if (const auto *to = std::get_if<SendToEntry>(&it))
        ToEntry.push_back(to->Content);
    }
    return result;
  }

  /// \returns the last refusal that was sent.
  std::optional<AttemptRefused> refusal() {
    take<CancelWork>();
    for (auto it = ToEntry.rbegin(); it != ToEntry.rend(); ++it)
      if (const auto *refused = std::get_if<AttemptRefused>(&*it))
        return *refused;
    return std::nullopt;
  }

  void load(TimePoint now, const char *adapter, bool good = true) {
    Controller.onLoadEnded(now, {AdapterName(adapter), 1}, good, 250ms);
  }

  LeastPopular Eviction;
  UncoordinatedLoads Gate;
  AgentController Controller;
  std::vector<Message> ToEntry;
};

} // namespace

TEST_CASE("one load serves all requests that wait for the adapter") {
  Agent agent;
  agent.Controller.onExecute(Now, Entry, request(1, "a"));
  agent.Controller.onExecute(Now, Entry, request(2, "a"));
  CHECK(agent.take<StartLoad>().size() == 1);
  agent.load(Now + 1s, "a");
  CHECK(agent.take<StartGeneration>().size() == 2);
}

TEST_CASE("an adapter in use is never evicted") {
  Agent agent;
  for (const char *it : {"a", "b"}) {
    agent.Controller.onExecute(Now, Entry, request(it[0], it));
    agent.load(Now, it);
  }
  REQUIRE(agent.take<StartGeneration>().size() == 2);
  agent.Controller.onExecute(Now, Entry, request(3, "c"));
  CHECK(agent.take<StartLoad>().empty());
  agent.Controller.onWorkEnded(Now + 1s, {1, 'b'}, AttemptEnding::Answered, "");
  const auto loads = agent.take<StartLoad>();
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].Victim->Adapter == AdapterName("b"));
}

TEST_CASE(
    "a cancelled request pins its adapter until the engine has stopped it") {
  Agent agent;
  agent.Controller.onExecute(Now, Entry, request(1, "a"));
  agent.load(Now, "a");
  agent.take<StartGeneration>();
  agent.Controller.onCancel(Now, {1, 1});
  CHECK(agent.take<CancelWork>().size() == 1);
  CHECK(agent.Controller.board().Slots.all()[0].Pins == 1);
  agent.Controller.onWorkEnded(Now, {1, 1}, AttemptEnding::Cancelled, "");
  CHECK(agent.Controller.board().Slots.all()[0].Pins == 0);
}

TEST_CASE("an agent that starts beside a running engine waits until the engine "
          "has settled") {
  LeastPopular eviction;
  UncoordinatedLoads gate;
  AgentController agent({.BaseModel = "base", .Slots = 2}, eviction, gate);
  const std::vector<AdapterKey> held = {{AdapterName("a"), 1}};
  agent.onEngineFound(Now, held, /*idle=*/false);
  agent.onEngineFound(Now + 1s, held, true);
  agent.onEngineFound(Now + 2s, held, true);
  agent.onExecute(Now + 2s, Entry, request(1, "a"));
  CHECK_FALSE(agent.board().EngineReady);
  CHECK(agent.board().WaitingCount == 0); // Refused, so it has not run.
  agent.onEngineFound(Now + 3100ms, held, true);
  CHECK(agent.board().EngineReady);
  CHECK(agent.board().Slots.isReady(held[0]));
}

TEST_CASE(
    "a restarted engine is used after the old load orders have ended, and "
    "their failure causes no backoff") {
  Agent agent;
  agent.Controller.onExecute(Now, Entry, request(1, "a"));
  REQUIRE(agent.take<StartLoad>().size() == 1);
  agent.Controller.onEngineLost(Now);
  CHECK(agent.refusal()->Reason == RefusalReason::BackendDown);
  // The load order to the previous engine process is still in flight.
  agent.Controller.onEngineFound(Now + 1s, {}, true);
  agent.Controller.onEngineFound(Now + 2s, {}, true);
  CHECK_FALSE(agent.Controller.board().EngineReady);
  agent.load(Now + 3s, "a", false);
  agent.Controller.onEngineFound(Now + 4s, {}, true);
  agent.Controller.onEngineFound(Now + 5s, {}, true);
  CHECK(agent.Controller.board().EngineReady);
  CHECK(agent.Controller.board().LoadBackoffs.empty());
}

TEST_CASE("each failed load of an adapter lengthens its backoff") {
  Agent agent;
  Duration before = 0s;
  TimePoint now = Now;
  for (int i = 0; i < 4; ++i) {
    agent.Controller.onExecute(now, Entry, request(10 + i, "bad"));
    agent.load(now, "bad", false);
    const auto refused = agent.refusal();
    REQUIRE(refused);
    CHECK(refused->Reason == RefusalReason::LoadFailed);
    const Duration pause =
        agent.Controller.board().LoadBackoffs.begin()->second.Until - now;
    CHECK(pause > before);
    before = pause / 2;
    agent.Controller.onExecute(now + 1ms, Entry, request(20 + i, "bad"));
    CHECK(agent.refusal()->Attempt == AttemptId{1, 20ULL + i});
    now += 5min;
  }
  agent.Controller.onExecute(now, Entry, request(1, "good"));
  CHECK(agent.take<StartLoad>().size() == 1);
}

TEST_CASE("an agent that shuts down refuses waiting and new requests") {
  Agent agent;
  agent.Controller.onExecute(Now, Entry, request(1, "a"));
  agent.Controller.leave(Now);
  CHECK(agent.refusal()->Reason == RefusalReason::Leaving);
  agent.Controller.onExecute(Now, Entry, request(2, "a"));
  CHECK(agent.refusal()->Attempt == AttemptId{1, 2});
  CHECK(agent.Controller.idle());
}

TEST_CASE("kinds share the engine by weight and the one of low weight is not "
          "starved") {
  Agent agent({.BaseModel = "base",
               .Slots = 2,
               .BatchCapacity = 1,
               .BatchingShare = 0});
  for (std::uint64_t i = 0; i < 40; ++i) {
    agent.Controller.onExecute(Now, Entry, request(i, "a", 900s, "heavy", 3));
    agent.Controller.onExecute(Now, Entry,
                               request(100 + i, "a", 900s, "light"));
  }
  agent.load(Now, "a");
  int heavy = 0;
  for (int i = 0; i < 20; ++i) {
    const auto started = agent.take<StartGeneration>();
    REQUIRE(started.size() == 1);
    heavy += started[0].Request.Kind == KindName("heavy");
    agent.Controller.onWorkEnded(Now, started[0].Request.Attempt,
                                 AttemptEnding::Answered, "");
  }
  CHECK(heavy == 15);
}

TEST_CASE(
    "an idle engine waits for requests to batch but not beyond the limits") {
  Agent agent({.BaseModel = "base",
               .Slots = 2,
               .BatchCapacity = 8,
               .BatchingShare = 0.1});
  agent.Controller.onExecute(Now, Entry, request(1, "a", 1s));
  agent.load(Now, "a");
  CHECK(agent.take<StartGeneration>().empty());
  agent.Controller.tick(Now + 90ms);
  CHECK(agent.take<StartGeneration>().empty());
  agent.Controller.tick(Now + 100ms);
  CHECK(agent.take<StartGeneration>().size() == 1);
  agent.Controller.onExecute(Now + 1s, Entry, request(2, "a", 10s));
  CHECK(agent.take<StartGeneration>().size() == 1); // The engine is in use.
  for (std::uint64_t n : {1, 2})
    agent.Controller.onWorkEnded(Now + 1s, {1, n}, AttemptEnding::Answered, "");
  // BatchingWait bounds the wait, although the request's share is six seconds.
  agent.Controller.onExecute(Now + 2s, Entry, request(3, "a", 60s));
  agent.Controller.tick(Now + 2390ms);
  CHECK(agent.take<StartGeneration>().empty());
  agent.Controller.tick(Now + 2400ms);
  CHECK(agent.take<StartGeneration>().size() == 1);
}

TEST_CASE("a request is refused when its load would take too large a share of "
          "its time") {
  LeastPopular eviction;
  ScheduledLoads gate(4, 1);
  AgentController agent({.BaseModel = "base", .Slots = 2, .StallShare = 0.4},
                        eviction, gate);
  agent.onEngineFound(Now - 10s, {}, true);
  agent.onEngineFound(Now - 5s, {}, true);
  agent.onExecute(Now, Entry, request(1, "a", 10s));
  agent.onExecute(Now, Entry, request(2, "b", 10s));
  agent.onLoadQueueStatus(Now, {{AdapterName("a"), 1}, 3s});
  agent.onLoadQueueStatus(Now, {{AdapterName("b"), 1}, 4s});
  CHECK(agent.board().Waiting.contains({AdapterName("a"), 1}));
  CHECK_FALSE(agent.board().Waiting.contains({AdapterName("b"), 1}));
}

// The entry of a delegated request sends it to the engine itself and has
// checked its time. If the agent checked it as well, with its estimate of two
// seconds for an answer, a request with two seconds left would be refused each
// time.
TEST_CASE("a queue status of the scheduler refuses no delegated request") {
  LeastPopular eviction;
  HybridLoads gate({});
  AgentController agent({.BaseModel = "base", .Slots = 2}, eviction, gate);
  agent.onEngineFound(Now - 10s, {}, true);
  agent.onEngineFound(Now, {}, true);
  ExecuteRequest delegated = request(1, "a", 1500ms);
  delegated.Delegated = true;
  agent.onExecute(Now, Entry, delegated);
  agent.onLoadQueueStatus(Now, {{AdapterName("a"), 1}, 0s});
  CHECK(agent.board().Waiting.contains({AdapterName("a"), 1}));
}

TEST_CASE("without messages of the scheduler the agent uses its static share") {
  LeastPopular eviction;
  ScheduledLoads gate(4, 8, 2s);
  AgentController agent({.BaseModel = "base", .Slots = 2}, eviction, gate);
  agent.onEngineFound(Now - 10s, {}, true);
  agent.onEngineFound(Now - 5s, {}, true);
  agent.onExecute(Now, Entry, request(1, "a", 60s));
  agent.tick(Now + 1900ms);
  CHECK(agent.board().LoadsInFlight == 0);
  agent.tick(Now + 2100ms);
  CHECK(agent.board().LoadsInFlight == 1);
  agent.onLoadEnded(Now + 2200ms, {AdapterName("a"), 1}, true, 100ms);
  agent.onExecute(Now + 2200ms, Entry, request(2, "b", 60s));
  // Eight agents share four loads per second: one each in 2 s.
  agent.tick(Now + 4s);
  CHECK(agent.board().LoadsInFlight == 0);
  agent.tick(Now + 4300ms);
  CHECK(agent.board().LoadsInFlight == 1);
}

TEST_CASE("when an entry is gone its generations are cancelled and its service "
          "calls continue") {
  Agent agent({.BaseModel = "base",
               .Services = {ServiceName("stock")},
               .Slots = 2,
               .BatchingShare = 0});
  agent.Controller.onExecute(Now, Entry, request(1, "a"));
  agent.load(Now, "a");
  agent.Controller.onExecute(
      Now, Entry,
      {.Attempt = {1, 2}, .Remaining = 5s, .Service = ServiceName("stock")});
  agent.Controller.onExecute(Now, Entry + 1, request(3, "a"));
  agent.take<StartGeneration>();
  agent.Controller.onEntryDisconnected(Now, Entry);
  const auto cancelled = agent.take<CancelWork>();
  REQUIRE(cancelled.size() == 1);
  CHECK(cancelled[0].Attempt == AttemptId{1, 1});
}

TEST_CASE("the estimate of the first event includes the prefill of the prompt "
          "itself") {
  Agent agent;
  ExecuteRequest next = request(1, "a");
  // 8,000 tokens at 40,000 per second, after a load of 250 ms.
  next.Parts = {{.Id = 1, .Tokens = 6000}, {.Id = 2, .Tokens = 2000}};
  next.FirstEventWithin = 440ms;
  agent.Controller.onExecute(Now, Entry, next);
  REQUIRE(agent.refusal());
  CHECK(agent.refusal()->RetryAfter == 450ms);
  next.FirstEventWithin = 450ms;
  next.Attempt = {1, 2};
  agent.Controller.onExecute(Now, Entry, next);
  CHECK(agent.take<StartLoad>().size() == 1);
}

TEST_CASE("the estimate of the first event includes the wait for a slot") {
  Agent agent;
  for (const char *adapter : {"a", "b"}) {
    agent.Controller.onExecute(Now, Entry, request(adapter[0], adapter));
    agent.load(Now, adapter);
  }
  ExecuteRequest next = request(3, "c");
  // Both slots serve a request, which takes two seconds according to the
  // options: a load could begin after about one second, when the first slot is
  // free.
  next.FirstEventWithin = 800ms;
  agent.Controller.onExecute(Now, Entry, next);
  const auto refused = agent.refusal();
  REQUIRE(refused);
  CHECK(refused->Reason == RefusalReason::Busy);
  CHECK(refused->RetryAfter == 1250ms);
  next.Attempt = {1, 4};
  next.FirstEventWithin = 1500ms;
  agent.Controller.onExecute(Now, Entry, next);
  // The next request waits for the second slot.
  next = request(5, "d");
  next.FirstEventWithin = 1500ms;
  agent.Controller.onExecute(Now, Entry, next);
  REQUIRE(agent.refusal());
  CHECK(agent.refusal()->Attempt == AttemptId{1, 5});
  CHECK(agent.refusal()->RetryAfter == 2250ms);
}

// A popular adapter fills the batches of the engines that hold it while other
// engines are idle. With 64 requests in each batch, further requests waited two
// seconds there although the estimate was a quarter of a second.
TEST_CASE("the estimate of the first event includes the wait for a place in "
          "the batch") {
  Agent agent;
  agent.Controller.onExecute(Now, Entry, request(1, "a"));
  agent.load(Now, "a");
  agent.Controller.onExecute(Now, Entry, request(2, "a"));
  REQUIRE(agent.take<StartGeneration>().size() == 2);
  ExecuteRequest next = request(3, "a");
  // Two requests of two seconds each: one of them ends after about one second.
  next.FirstEventWithin = 800ms;
  agent.Controller.onExecute(Now, Entry, next);
  REQUIRE(agent.refusal());
  CHECK(agent.refusal()->Reason == RefusalReason::Busy);
  CHECK(agent.refusal()->RetryAfter == 1s);
}

TEST_CASE(
    "a load that lets an answer be on time precedes loads for late answers") {
  Agent agent({.Host = HostName("w"),
               .Incarnation = 1,
               .BaseModel = "base",
               .Slots = 1,
               .BatchCapacity = 2,
               .BatchingShare = 0});
  agent.Controller.onExecute(Now, Entry, request(1, "held"));
  agent.load(Now, "held");
  // Both wait for the only slot. The first one is late in any case, and its
  // deadline comes first.
  ExecuteRequest late = request(2, "late", 4s);
  late.FirstEventDue = 200ms;
  agent.Controller.onExecute(Now, Entry, late);
  ExecuteRequest onTime = request(3, "soon", 10s);
  onTime.FirstEventDue = 900ms;
  agent.Controller.onExecute(Now, Entry, onTime);
  agent.take<StartLoad>();
  const auto chosen = [&](Duration later) {
    agent.Controller.onReleased(
        Now + later, {.Attempt = {1, 1}, .Kind = ReleaseKind::Answered});
    return agent.take<StartLoad>().at(0).Key.Adapter;
  };
  SECTION("while the answer can be on time") {
    CHECK(chosen(100ms) == AdapterName("soon"));
  }
  SECTION("afterwards the request with the earlier deadline comes first") {
    CHECK(chosen(800ms) == AdapterName("late"));
  }
}

TEST_CASE(
    "a slot is released although the end of its request was never reported") {
  Agent agent;
  for (const char *adapter : {"a", "b"}) {
    ExecuteRequest delegated = request(adapter[0], adapter, 2s);
    delegated.Delegated = true;
    agent.Controller.onExecute(Now, Entry, delegated);
    agent.load(Now, adapter);
  }
  agent.Controller.onExecute(Now, Entry, request(3, "c"));
  agent.take<StartLoad>();
  agent.Controller.tick(Now + 2900ms);
  CHECK(agent.take<StartLoad>().empty());
  agent.Controller.tick(Now + 3s);
  CHECK(agent.take<StartLoad>().size() == 1);
}

// An engine had been slow for 2.5 s when it was given another request. It began
// the request five seconds later, after the caller's deadline and on a version
// that had been superseded for longer than the bound; the entry was stalled and
// could not cancel it. The agent learned the engine's delay only from finished
// answers, and slow answers finish late. Ordering the engine to unload the
// adapter does not help: a prompt in prefill counts as running.
TEST_CASE(
    "no request is admitted to an engine that is overdue with an earlier one") {
  Agent agent;
  const auto sendRequest = [&](TimePoint now, std::uint64_t n) {
    ExecuteRequest it = request(n, "a", 4s);
    it.Delegated = true;
    it.FirstEventWithin = 700ms;
    agent.Controller.onReceived(now, Entry);
    agent.Controller.onExecute(now, Entry, it);
  };
  sendRequest(Now, 1);
  agent.load(Now, "a");
  REQUIRE(agent.take<StartGeneration>().size() == 1);
  SECTION("refused if the entry of the earlier request reported no beginning") {
    sendRequest(Now + 1s, 2);
    REQUIRE(agent.refusal());
    CHECK(agent.refusal()->Reason == RefusalReason::Busy);
    CHECK(agent.refusal()->RetryAfter >= 1s);
  }
  SECTION("admitted if the earlier request has begun") {
    agent.Controller.onBegan(Now + 300ms, {.Attempt = {1, 1}});
    sendRequest(Now + 1s, 2);
    CHECK(agent.take<StartGeneration>().size() == 1);
  }
  SECTION("admitted if the entry of the earlier request is stalled") {
    constexpr EntryLink Other = 8;
    ExecuteRequest it = request(2, "a", 4s);
    it.Delegated = true;
    it.FirstEventWithin = 700ms;
    agent.Controller.onReceived(Now + 1s, Other);
    agent.Controller.onExecute(Now + 1s, Other, it);
    CHECK(agent.take<StartGeneration>().size() == 1);
  }
}

namespace {

/// Starts one request and reports a rate limit of the agent's engine for it.
void limitEngine(Agent &agent, TimePoint now, RateLimit limit) {
  ExecuteRequest first = request(1000, "a");
  first.Delegated = true;
  agent.Controller.onExecute(now, Entry, first);
  agent.load(now, "a");
  agent.take<StartGeneration>();
  agent.Controller.onRateLimitReport(now, {first.Attempt, limit});
}

/// An agent whose engine has a larger batch than these tests fill.
Agent largeBatchAgent() {
  return Agent({.Host = HostName("w"),
                .Incarnation = 1,
                .BaseModel = "base",
                .Slots = 2,
                .BatchCapacity = 64,
                .BatchingShare = 0});
}

constexpr RateLimit OnePerSecond{.Named = true, .PerThousandSeconds = 1000};

} // namespace

TEST_CASE("the rate limit of an engine paces the permits of all entries") {
  Agent agent = largeBatchAgent();
  limitEngine(agent, Now, OnePerSecond);
  for (std::uint64_t n = 1; n <= 3; ++n)
    agent.Controller.onExecute(Now, Entry + n, request(n, "a"));
  CHECK(agent.take<StartGeneration>().empty());
  agent.Controller.tick(Now + 1s);
  CHECK(agent.take<StartGeneration>().size() == 1);
  agent.Controller.tick(Now + 1900ms);
  CHECK(agent.take<StartGeneration>().empty());
  agent.Controller.tick(Now + 3s);
  CHECK(agent.take<StartGeneration>().size() == 2);
}

TEST_CASE("a request that would wait too long for the rate limit is refused at "
          "once") {
  Agent agent = largeBatchAgent();
  limitEngine(agent, Now, OnePerSecond);
  ExecuteRequest bounded = request(1, "a");
  bounded.FirstEventWithin = 500ms;
  agent.Controller.onExecute(Now, Entry, bounded);
  REQUIRE(agent.refusal());
  CHECK(agent.refusal()->Reason == RefusalReason::Busy);
  CHECK(agent.refusal()->RetryAfter >= 1s);
  agent.Controller.onExecute(Now, Entry, request(2, "a", 2s));
  CHECK(agent.refusal()->Reason == RefusalReason::RateLimited);
  CHECK(agent.refusal()->RetryAfter >= 900ms);
}

TEST_CASE("a lower rate limit refuses the waiting requests that can no longer "
          "be in time") {
  Agent agent = largeBatchAgent();
  limitEngine(agent, Now, {.Named = true, .PerThousandSeconds = 10000});
  for (std::uint64_t n = 1; n <= 5; ++n)
    agent.Controller.onExecute(Now, Entry, request(n, "a", 5100ms));
  CHECK(agent.Controller.board().WaitingCount == 5);
  agent.Controller.onRateLimitReport(Now, {{1, 1000}, OnePerSecond});
  CHECK(agent.Controller.board().WaitingCount == 2);
  REQUIRE(agent.refusal());
  CHECK(agent.refusal()->Reason == RefusalReason::RateLimited);
}

TEST_CASE("an agent that started after the limit was named learns it from the "
          "entries") {
  Agent agent = largeBatchAgent();
  ExecuteRequest withLimit = request(1, "a");
  withLimit.Limit = {.Named = true, .PerThousandSeconds = 1000, .Age = 7s};
  agent.Controller.onExecute(Now, Entry, withLimit);
  agent.load(Now, "a");
  CHECK(agent.take<StartGeneration>().empty());
  CHECK(agent.Controller.rateLimit(Now).Named);
  // A new process of the engine replaces the one that named the limit.
  agent.Controller.onEngineLost(Now + 1s);
  CHECK_FALSE(agent.Controller.rateLimit(Now + 1s).Named);
}

TEST_CASE("a rate limit reported for an unknown request is ignored, since an "
          "earlier process may have named it") {
  Agent agent = largeBatchAgent();
  agent.Controller.onRateLimitReport(Now, {{1, 999}, OnePerSecond});
  CHECK_FALSE(agent.Controller.rateLimit(Now).Named);
}
