//===- DecisionsMain.cpp - Cost and outcome of an agent's order --*- C++
//-*-===//
///
/// Measures the processor time of the decisions about the requests that wait
/// for an engine, with 64 running and 1,000 waiting ones, the memory of a
/// waiting request, and what each order makes of the same overload.
///
//===----------------------------------------------------------------------===//

#include "pimentofront/Serving.h"

#include <algorithm>
#include <cstdio>
#include <malloc.h>
#include <time.h>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};
constexpr std::size_t WaitingCount = 1000;
constexpr std::uint32_t RunningCount = 64;

double processorMicros() {
  timespec ts{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) * 1e6 +
         static_cast<double>(ts.tv_nsec) / 1e3;
}

ExecuteRequest request(std::uint64_t n, std::size_t accounts) {
  return {.Attempt = {1, n},
          .Request = RequestId(std::to_string(n)),
          .Kind = KindName("kind" + std::to_string(n % 3)),
          .Remaining = 60s,
          .Key = {AdapterName("a"), 1},
          .BaseModel = "base",
          .Delegated = true,
          .Parts = {{1, 6300}, {n + 10, 2890}},
          .FirstEventDue = std::chrono::milliseconds(n * 7 % 60000),
          .Demand = {.Urgency = static_cast<std::uint32_t>(n % 3),
                     .Account =
                         AccountName("account" + std::to_string(n % accounts)),
                     .AccountShare = 100,
                     .PromptTokens = 9190,
                     .OutputTokens = 56}};
}

/// An agent with RunningCount requests running and WaitingCount waiting.
struct Agent {
  explicit Agent(std::size_t accounts)
      : Controller({.BaseModel = "base",
                    .Slots = 6,
                    .BatchCapacity = RunningCount,
                    .QueueLimit = WaitingCount + 100,
                    .BatchingShare = 0},
                   Eviction, Gate) {
    Controller.onEngineFound(Start - 10s, {}, true);
    Controller.onEngineFound(Start - 5s, {{AdapterName("a"), 1}}, true);
    const double heapBefore = static_cast<double>(mallinfo2().uordblks);
    for (std::size_t i = 0; i < RunningCount + WaitingCount; ++i)
      add(accounts);
    clear();
    BytesEach =
        (static_cast<double>(mallinfo2().uordblks) - heapBefore) / WaitingCount;
  }

  void add(std::size_t accounts) {
    Controller.onExecute(Start, 1, request(++Last, accounts));
  }
  void clear() {
    Controller.takeCommands();
    Controller.takeEvents();
  }

  LeastPopular Eviction;
  UncoordinatedLoads Gate;
  AgentController Controller;
  std::uint64_t Last = 0;
  double BytesEach = 0;
};

void measureCost(std::size_t accounts) {
  constexpr int Rounds = 500;
  Agent agent(accounts);
  double starts = 0;
  double arrivals = 0;
  for (int i = 0; i < Rounds; ++i) {
    const AttemptId ended = agent.Controller.board().Running.begin()->first;
    const double before = processorMicros();
    agent.Controller.onReleased(Start, {.Attempt = ended});
    const double between = processorMicros();
    agent.add(accounts);
    arrivals += processorMicros() - between;
    starts += between - before;
    agent.clear();
  }
  std::printf("%4zu accounts: start after an end %.1f us, arrival %.1f us, "
              "%.0f bytes for each waiting request\n",
              accounts, starts / Rounds, arrivals / Rounds, agent.BytesEach);
}

/// Serves one overload, with a burst of the least urgent kind from second 2 to
/// 6, by \p order: prompts are read one after another.
void measureOutcome(const char *name, RequestOrder &order,
                    AccountShares &accounts) {
  constexpr double TokensPerSecond = 40'000;
  constexpr Duration End = 12s;
  std::deque<WaitingAttempt> queue;
  std::map<std::uint32_t, std::array<int, 3>> counts;
  const auto add = [&](TimePoint now, std::uint32_t urgency,
                       std::uint32_t tokens, Duration due) {
    WaitingAttempt it{.Request = {.Kind = KindName(std::to_string(urgency)),
                                  .Demand = {.Urgency = urgency}},
                      .ArrivedAt = now,
                      .Deadline = now + 4s,
                      .OnTimeUntil = now + due,
                      .ReadingTokens = tokens,
                      .Account = accounts.enter(AccountName(), 1)};
    queue.push_back(std::move(it));
    ++counts[urgency][0];
  };
  TimePoint now = Start;
  TimePoint urgentAt = Start;
  TimePoint leastAt = Start;
  while (now < Start + End) {
    for (; urgentAt <= now; urgentAt += 60ms)
      add(urgentAt, 0, 826, 600ms);
    for (; leastAt <= now;
         leastAt +=
         leastAt > Start + 2s && leastAt < Start + 6s ? 150ms : 450ms)
      add(leastAt, 2, 9190, 800ms);
    std::erase_if(queue, [&](const auto &it) { return now > it.Deadline; });
    if (queue.empty()) {
      now = std::min(urgentAt, leastAt);
      continue;
    }
    std::vector<OrderCandidate> candidates;
    candidates.reserve(queue.size());
    for (const WaitingAttempt &it : queue)
      candidates.push_back(
          {&it, now + fromSeconds(it.ReadingTokens / TokensPerSecond)});
    const auto choice = order.choose(candidates);
    const OrderCandidate &next = candidates[choice.Position];
    order.onStarted(next, choice.Reason);
    now = next.FirstEventAt;
    auto &count = counts[next.Attempt->Request.Demand.Urgency];
    ++count[next.isLate() ? 2 : 1];
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(choice.Position));
  }
  std::printf("%-10s", name);
  for (const auto &[urgency, count] : counts)
    std::printf(" urgency %u: %d asked, %d on time, %d late;", urgency,
                count[0], count[1], count[2]);
  std::printf("\n");
}

} // namespace

int main() {
  for (const std::size_t it : {16, 1000})
    measureCost(it);
  AccountShares accounts;
  StrideOrder stride;
  UrgencyOrder urgency(accounts);
  TokenOrder tokens(accounts);
  measureOutcome("stride", stride, accounts);
  measureOutcome("urgency", urgency, accounts);
  measureOutcome("tokens", tokens, accounts);
}
