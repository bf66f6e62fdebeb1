#include "WaitingRequests.h"

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

constexpr std::uint32_t Least = 2;
constexpr std::uint32_t LongPrompt = 9000;
constexpr std::uint32_t ShortPrompt = 800;

std::uint64_t numberOf(const WaitingAttempt &it) {
  return it.Request.Attempt.Sequence;
}

} // namespace

TEST_CASE("requests of one urgency without accounts are served by kind and "
          "deadline, whatever their sizes",
          "[request-order]") {
  LeastPopular eviction;
  UncoordinatedLoads gate;
  AgentController agent(
      {.BaseModel = "base", .Slots = 2, .BatchCapacity = 1, .BatchingShare = 0},
      eviction, gate);
  agent.onEngineFound(Start - 10s, {}, true);
  agent.onEngineFound(Start - 5s, {}, true);
  WaitingRequests same;
  StrideOrder order;
  for (std::uint64_t n = 0; n < 30; ++n) {
    const Sample sample{.Urgency = 1,
                        .Tokens = n % 3 == 0 ? LongPrompt : ShortPrompt,
                        .Due = n % 2 == 0 ? Duration(1s) : NoTarget,
                        .Remaining = 60s + (n * 7 % 30) * 1s};
    ExecuteRequest request = executeRequest(n, sample);
    request.Kind = KindName(n % 4 == 0 ? "rare" : "usual");
    agent.onExecute(Start, 1, request);
    same.add(n, sample);
    same.Queue.back().Request.Kind = request.Kind;
  }
  agent.onLoadEnded(Start, {AdapterName("a"), 1}, true, 250ms);
  for (int i = 0; i < 30; ++i) {
    std::optional<AttemptId> started;
    for (const AgentCommand &it : agent.takeCommands())
      if (const auto *start = std::get_if<StartGeneration>(&it))
        started = start->Request.Attempt;
    REQUIRE(started);
    CHECK(*started == same.startNext(order).Request.Attempt);
    agent.onReleased(Start, {.Attempt = *started});
  }
}

TEST_CASE("a burst of the least urgent kind delays an urgent request by at "
          "most one other",
          "[request-order]") {
  WaitingRequests queue;
  UrgencyOrder order(queue.Accounts);
  for (std::uint64_t n = 0; n < 200; ++n)
    queue.add(n, {.Urgency = Least, .Tokens = LongPrompt, .Due = 30s});
  for (std::uint64_t n = 1000; n < 1100; ++n) {
    queue.add(n, {.Tokens = ShortPrompt, .Due = 5s});
    const bool first = numberOf(queue.startNext(order)) == n;
    CHECK((first || numberOf(queue.startNext(order)) == n));
  }
}

TEST_CASE("an endless load of urgent requests leaves the least urgent kind a "
          "quarter of the work",
          "[request-order]") {
  WaitingRequests queue;
  UrgencyOrder order(queue.Accounts);
  std::uint64_t least = 0;
  std::uint64_t all = 0;
  for (std::uint64_t n = 0; n < 2000; ++n) {
    queue.add(n, {.Tokens = ShortPrompt, .Due = 600s});
    queue.add(10000 + n, {.Urgency = Least, .Tokens = LongPrompt, .Due = 600s});
    const WaitingAttempt it = queue.startNext(order);
    all += it.ReadingTokens;
    if (it.Request.Demand.Urgency == Least)
      least += it.ReadingTokens;
  }
  // Whole requests only: the last one may still be owed.
  CHECK(least + LongPrompt >= all / 4);
}

TEST_CASE("each request starts after a bounded amount of work",
          "[request-order]") {
  WaitingRequests queue;
  UrgencyOrder order(queue.Accounts);
  constexpr std::uint64_t Behind = 10;
  for (std::uint64_t n = 0; n < Behind; ++n)
    queue.add(n, {.Urgency = Least, .Tokens = LongPrompt, .Due = 600s});
  std::uint64_t work = 0;
  std::uint64_t started = 0;
  while (started < Behind) {
    queue.add(1000, {.Tokens = ShortPrompt, .Due = 600s});
    const WaitingAttempt it = queue.startNext(order);
    work += it.ReadingTokens;
    started += it.Request.Demand.Urgency == Least ? 1 : 0;
    // A quarter of the work goes to the requests that don't come first.
    REQUIRE(work <= 4 * Behind * LongPrompt + LongPrompt);
  }
}

TEST_CASE("a request that is already late goes behind one that can be on time, "
          "and still starts before its deadline",
          "[request-order]") {
  WaitingRequests queue;
  UrgencyOrder order(queue.Accounts);
  queue.add(1, {.Tokens = LongPrompt, .Due = 100ms, .Remaining = 8s});
  queue.add(2, {.Tokens = LongPrompt, .Due = 400ms, .Remaining = 60s});
  CHECK(numberOf(queue.startNext(order)) == 2);
  bool served = false;
  for (std::uint64_t n = 10; n < 1000 && !served; ++n) {
    queue.add(n, {.Tokens = LongPrompt, .Due = 10s});
    served = numberOf(queue.startNext(order)) == 1;
  }
  CHECK(served);
  CHECK(queue.Now < Start + 8s);
}

TEST_CASE("the request that is due first goes first, and of two due together "
          "the larger",
          "[request-order]") {
  WaitingRequests queue;
  UrgencyOrder order(queue.Accounts);
  queue.add(1, {.Tokens = ShortPrompt, .Due = 2s});
  queue.add(2, {.Tokens = LongPrompt, .Due = 2s});
  queue.add(3, {.Tokens = ShortPrompt, .Due = 1s});
  CHECK(numberOf(queue.startNext(order)) == 3);
  CHECK(numberOf(queue.startNext(order)) == 2);
  CHECK(numberOf(queue.startNext(order)) == 1);
}

// Large prompts are read for longer, so that an order which prefers what is
// soonest done would leave them until their deadlines.
TEST_CASE("the largest tenth of the requests isn't starved by an overload",
          "[request-order]") {
  WaitingRequests queue;
  UrgencyOrder order(queue.Accounts);
  constexpr std::uint64_t Requests = 1000;
  std::uint64_t largeStarted = 0;
  TimePoint nextArrival = Start;
  for (std::uint64_t n = 0; n < Requests;) {
    for (; n < Requests && nextArrival <= queue.Now; ++n) {
      const bool large = n % 10 == 0;
      // 1,640 tokens on average each 27 ms: half more than is processed.
      queue.add(n, {.Urgency = large ? Least : 0U,
                    .Tokens = large ? LongPrompt : ShortPrompt,
                    .Due = 800ms,
                    .Remaining = 4s});
      nextArrival += 27ms;
    }
    queue.dropExpired();
    if (queue.Queue.empty()) {
      queue.Now = nextArrival;
      continue;
    }
    largeStarted += queue.startNext(order).ReadingTokens == LongPrompt ? 1 : 0;
  }
  CHECK(largeStarted >= Requests / 10 / 4);
}

TEST_CASE("token counters share the work between urgencies by weight",
          "[request-order]") {
  WaitingRequests queue;
  TokenOrder order(queue.Accounts);
  std::map<std::uint32_t, std::uint64_t> work;
  for (std::uint64_t n = 0; n < 3000; ++n) {
    for (std::uint32_t urgency = 0; urgency < 3; ++urgency)
      queue.add(n, {.Urgency = urgency, .Tokens = 1000, .Due = 600s});
    const WaitingAttempt it = queue.startNext(order);
    work[it.Request.Demand.Urgency] += it.ReadingTokens;
    if (queue.Queue.size() > 30)
      queue.Queue.clear();
  }
  CHECK(work[0] == Approx(2.0 * static_cast<double>(work[1])).epsilon(0.05));
  CHECK(work[1] == Approx(2.0 * static_cast<double>(work[2])).epsilon(0.05));
}
