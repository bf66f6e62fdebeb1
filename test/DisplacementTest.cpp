#include "ForwardUnderTest.h"
#include "WaitingRequests.h"

using namespace pimentofront;
using pimentofront::testing::executeRequest;
using pimentofront::testing::ForwardUnderTest;
using pimentofront::testing::Sample;
using pimentofront::testing::Start;
using namespace std::chrono_literals;

namespace {

constexpr EntryLink Entry = 7;
const Sample Urgent{.Urgency = 0, .Due = 1s, .Remaining = 10s};
const Sample LeastUrgent{.Urgency = 2, .Due = 2s, .Remaining = 10s};

/// An agent whose engine runs one request, so that all others wait.
struct BusyAgent {
  explicit BusyAgent(std::uint32_t queueLimit = 4)
      : Controller({.BaseModel = "base",
                    .Slots = 2,
                    .BatchCapacity = 1,
                    .QueueLimit = queueLimit,
                    .BatchingShare = 0},
                   Eviction, Gate) {
    Controller.onEngineFound(Start - 10s, {}, true);
    Controller.onEngineFound(Start - 5s, {}, true);
    add(0, {.Tokens = 40});
    Controller.onLoadEnded(Start, {AdapterName("a"), 1}, true, 250ms);
    REQUIRE(Controller.board().Running.size() == 1);
  }

  void add(std::uint64_t n, const Sample &sample, EntryLink entry = Entry) {
    Controller.onExecute(Start, entry, executeRequest(n, sample));
  }
  std::vector<AttemptRefused> refusals() {
    std::vector<AttemptRefused> result;
    for (const AgentCommand &it : Controller.takeCommands())
      if (const auto *to = std::get_if<SendToEntry>(&it))
        if (const auto *refused = std::get_if<AttemptRefused>(&to->Content))
          result.push_back(*refused);
    return result;
  }

  LeastPopular Eviction;
  UncoordinatedLoads Gate;
  AgentController Controller;
};

} // namespace

TEST_CASE("an urgent request displaces a less urgent one from a full queue",
          "[displacement]") {
  BusyAgent agent;
  for (std::uint64_t n = 1; n <= 4; ++n)
    agent.add(n, LeastUrgent);
  agent.refusals();
  agent.add(5, Urgent);
  const auto refused = agent.refusals();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Reason == RefusalReason::Displaced);
  CHECK(refused[0].Attempt != AttemptId{1, 0});
  CHECK(refused[0].Attempt != AttemptId{1, 5});
  CHECK(refused[0].RetryAfter > 0s);
  CHECK(agent.Controller.board().WaitingCount == 4);
  const auto events = agent.Controller.takeEvents();
  CHECK(std::ranges::count(events, AgentEvent::Outcome::Displaced,
                           &AgentEvent::Result) == 1);
}

TEST_CASE("no request with a permit is displaced", "[displacement]") {
  BusyAgent agent(1);
  for (std::uint64_t n = 1; n <= 5; ++n)
    agent.add(n, Urgent);
  CHECK(agent.Controller.board().Running.contains({1, 0}));
  for (const AttemptRefused &it : agent.refusals()) {
    CHECK(it.Reason == RefusalReason::QueueFull);
    CHECK(it.Attempt != AttemptId{1, 0});
  }
}

TEST_CASE("a full queue of equally urgent requests without accounts refuses "
          "the newest",
          "[displacement]") {
  BusyAgent agent;
  for (std::uint64_t n = 1; n <= 5; ++n)
    agent.add(n, {.Remaining = 10s});
  const auto refused = agent.refusals();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Attempt == AttemptId{1, 5});
  CHECK(refused[0].Reason == RefusalReason::QueueFull);
}

TEST_CASE("a request that was displaced before keeps its place",
          "[displacement]") {
  BusyAgent agent(1);
  ExecuteRequest again = executeRequest(1, LeastUrgent);
  again.WasDisplaced = true;
  agent.Controller.onExecute(Start, Entry, again);
  agent.add(2, Urgent);
  const auto refused = agent.refusals();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Attempt == AttemptId{1, 2});
  CHECK(refused[0].Reason == RefusalReason::QueueFull);
}

TEST_CASE("an account that fills the queue yields to another one",
          "[displacement]") {
  BusyAgent agent(8);
  for (std::uint64_t n = 1; n <= 8; ++n)
    agent.add(n, {.Account = "over", .Remaining = 20s});
  agent.add(100, {.Account = "other", .Remaining = 20s});
  const auto refused = agent.refusals();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Reason == RefusalReason::Displaced);
  CHECK(refused[0].Attempt != AttemptId{1, 100});
}

TEST_CASE("an account at its fair part of a full queue displaces nobody",
          "[displacement]") {
  BusyAgent agent(8);
  for (std::uint64_t n = 1; n <= 8; ++n)
    agent.add(n, {.Account = n % 2 ? "one" : "other", .Remaining = 20s});
  agent.add(100, {.Account = "other", .Remaining = 20s});
  const auto refused = agent.refusals();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Reason == RefusalReason::QueueFull);
  CHECK(refused[0].Attempt == AttemptId{1, 100});
}

TEST_CASE("the policy lets the account yield that received most",
          "[displacement]") {
  testing::WaitingRequests queue;
  for (std::uint64_t n = 1; n <= 4; ++n)
    queue.add(n, {.Account = n <= 2 ? "over" : "fair"});
  queue.add(9, {.Account = "fair"});
  queue.Accounts.charge(queue.Queue.front().Account.id(), 50'000);
  const WaitingAttempt arrival = std::move(queue.Queue.back());
  queue.Queue.pop_back();
  QueueState state{.Limit = 4, .TokensPerSecond = 40'000};
  for (const WaitingAttempt &it : queue.Queue)
    state.Waiting.push_back(&it);
  const auto decision =
      DisplacementPolicy(queue.Accounts).decide(queue.Now, arrival, state);
  CHECK(decision.Admits);
  REQUIRE(decision.Displaced.size() == 1);
  CHECK(decision.Displaced[0]->Request.Demand.Account == AccountName("over"));
}

TEST_CASE("a queue of more prompts than can be processed in time drops the "
          "least urgent at once",
          "[displacement]") {
  testing::WaitingRequests queue;
  // 0.5 s each at 40,000 tokens a second.
  for (std::uint64_t n = 1; n <= 19; ++n)
    queue.add(n, {.Urgency = 2, .Tokens = 20'000, .Remaining = 10s});
  queue.add(100, {.Tokens = 40'000, .Remaining = 10s});
  const WaitingAttempt arrival = std::move(queue.Queue.back());
  queue.Queue.pop_back();
  QueueState state{.Limit = 256, .TokensPerSecond = 40'000};
  for (const WaitingAttempt &it : queue.Queue)
    state.Waiting.push_back(&it);
  const auto decision =
      DisplacementPolicy(queue.Accounts).decide(queue.Now, arrival, state);
  CHECK(decision.Admits);
  CHECK(decision.Displaced.size() == 1);
  CHECK(decision.Wait == 10s);
}

TEST_CASE("a request that can't be served by its deadline is refused at once",
          "[displacement]") {
  BusyAgent agent(256);
  agent.add(1, {.Urgency = 2, .Tokens = 1000, .Remaining = 10s});
  for (std::uint64_t n = 2; n <= 7; ++n)
    agent.add(n, {.Tokens = 20'000, .Remaining = 10s});
  agent.refusals();
  agent.add(8, {.Urgency = 1, .Tokens = 1000, .Remaining = 3s});
  const auto refused = agent.refusals();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Attempt == AttemptId{1, 8});
  CHECK(refused[0].Reason == RefusalReason::QueueFull);
  CHECK(refused[0].RetryAfter >= 3s);
}

TEST_CASE("a request that is late but within its deadline waits on",
          "[displacement]") {
  BusyAgent agent;
  agent.add(1, {.Urgency = 2, .Due = 100ms, .Remaining = 10s});
  agent.add(2, Urgent);
  agent.Controller.tick(Start + 5s);
  CHECK(agent.refusals().empty());
  CHECK(agent.Controller.board().WaitingCount == 2);
}

TEST_CASE("when an entry disconnects its waiting requests leave no account "
          "active",
          "[displacement]") {
  BusyAgent agent(16);
  for (std::uint64_t n = 1; n <= 6; ++n)
    agent.add(n, {.Account = n % 2 ? "a" : "b"}, Entry + n % 2);
  agent.Controller.onEntryDisconnected(Start, Entry + 1);
  CHECK(agent.Controller.board().WaitingCount == 3);
  agent.Controller.onEntryDisconnected(Start, Entry);
  CHECK(agent.Controller.board().WaitingCount == 0);
}

// The counters die with the process. All accounts start anew at the same
// counter; the waiting requests come back from their entries.
TEST_CASE("an agent that restarts with requests queued serves all accounts",
          "[displacement]") {
  std::optional<BusyAgent> agent(std::in_place, 16);
  for (std::uint64_t n = 1; n <= 8; ++n)
    agent->add(n, {.Account = n <= 7 ? "many" : "few"});
  agent.reset();
  agent.emplace(16);
  for (std::uint64_t n = 1; n <= 8; ++n)
    agent->add(n, {.Account = n <= 7 ? "many" : "few"});
  std::vector<AccountName> started;
  for (int i = 0; i < 4; ++i) {
    const AttemptId running = agent->Controller.board().Running.begin()->first;
    agent->Controller.onReleased(Start, {.Attempt = running});
    for (const AgentEvent &it : agent->Controller.takeEvents())
      if (it.Result == AgentEvent::Outcome::Started)
        started.push_back(it.Account);
  }
  CHECK(std::ranges::count(started, AccountName("few")) == 1);
}

TEST_CASE("requests of entries that state no demand are served by kind",
          "[displacement]") {
  BusyAgent agent;
  for (std::uint64_t n = 1; n <= 5; ++n) {
    ExecuteRequest request = executeRequest(n, {});
    request.Demand = RequestDemand();
    agent.Controller.onExecute(Start, Entry, request);
  }
  const auto refused = agent.refusals();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].Attempt == AttemptId{1, 5});
}

TEST_CASE("a displaced request tries another engine without a retry, then it "
          "is refused at once",
          "[displacement]") {
  ForwardUnderTest entry;
  entry.request("brook");
  entry.refuse(testing::Now, RefusalReason::Displaced);
  const auto asked = entry.only<SendToAgent>();
  const auto execute = std::get<ExecuteRequest>(asked.Content);
  CHECK(execute.WasDisplaced);
  entry.Controller.attempts().onRefused(testing::Now, asked.Host,
                                        {.Attempt = execute.Attempt,
                                         .Reason = RefusalReason::Displaced,
                                         .RetryAfter = 3s});
  const auto reply = entry.only<ReplyComplete>();
  CHECK(reply.Head.Status == 503);
  CHECK(entry.take<SendUpstream>().empty());
}
