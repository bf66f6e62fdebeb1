#include "WaitingRequests.h"

#include <numeric>

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

constexpr std::size_t AccountCount = 16;

std::string accountName(std::size_t i) { return "account" + std::to_string(i); }

} // namespace

// The room is what the accounts usually need; what the one account sends beyond
// its usual can be served only as far as the others leave room.
TEST_CASE("an account at eight times its usual takes nothing from the others",
          "[account-shares]") {
  WaitingRequests queue;
  UrgencyOrder order(queue.Accounts);
  std::vector<double> asked(AccountCount);
  std::vector<double> served(AccountCount);
  std::uint64_t n = 0;
  constexpr std::uint32_t Tokens = 1000;
  for (int round = 0; round < 200; ++round) {
    for (std::size_t i = 0; i < AccountCount; ++i)
      for (int k = 0; k < (i == 0 ? 8 : 1); ++k) {
        queue.add(++n, {.Account = accountName(i).c_str(),
                        .Tokens = Tokens,
                        .Due = 800ms,
                        .Remaining = 4s});
        asked[i] += Tokens;
      }
    // Room for the usual load of all.
    for (std::size_t k = 0; k < AccountCount; ++k) {
      const WaitingAttempt it = queue.startNext(order);
      for (std::size_t i = 0; i < AccountCount; ++i)
        if (it.Request.Demand.Account == AccountName(accountName(i)))
          served[i] += it.ReadingTokens;
    }
    queue.dropExpired();
  }
  std::vector<double> shares;
  // Each is owed its usual load; beyond that nothing is promised.
  for (std::size_t i = 0; i < AccountCount; ++i)
    shares.push_back(served[i] / (i == 0 ? asked[i] / 8 : asked[i]));
  const double mean =
      std::accumulate(shares.begin(), shares.end(), 0.0) / AccountCount;
  std::ranges::sort(shares);
  const double worstTenth = (shares[0] + shares[1]) / 2;
  CHECK(worstTenth >= mean - 0.05);
}

TEST_CASE("an account alone gets all the room", "[account-shares]") {
  WaitingRequests queue;
  UrgencyOrder order(queue.Accounts);
  for (std::uint64_t n = 0; n < 50; ++n)
    queue.add(n, {.Account = "busy"});
  for (int i = 0; i < 40; ++i)
    queue.startNext(order);
  queue.add(100, {.Account = "other"});
  // It begins at the counter of the busy one, and may be behind by the work of
  // one request.
  bool started = false;
  for (int i = 0; i < 3; ++i)
    started |= queue.startNext(order).Request.Attempt.Sequence == 100;
  CHECK(started);
  for (int i = 0; i < 8; ++i)
    queue.startNext(order);
  CHECK(queue.Queue.empty());
}

TEST_CASE("an account that was idle gets no credit for it",
          "[account-shares]") {
  AccountShares shares;
  const auto busy = shares.enter(AccountName("busy"), 1);
  { const auto idle = shares.enter(AccountName("idle"), 1); }
  shares.charge(busy.id(), 100'000);
  const auto back = shares.enter(AccountName("idle"), 1);
  CHECK(shares.served(back.id()) == shares.served(busy.id()));
}

TEST_CASE("accounts share by allotment, and a changed allotment applies from "
          "then on",
          "[account-shares]") {
  AccountShares shares;
  const auto small = shares.enter(AccountName("small"), 100);
  const auto large = shares.enter(AccountName("large"), 400);
  shares.charge(small.id(), 1000);
  shares.charge(large.id(), 4000);
  CHECK(shares.served(small.id()) == shares.served(large.id()));
  const auto changed = shares.enter(AccountName("large"), 100);
  CHECK(changed.id() == large.id());
  CHECK(shares.served(large.id()) == 10);
  shares.charge(large.id(), 1000);
  CHECK(shares.served(large.id()) == 20);
}

TEST_CASE("the number of counted accounts is bounded", "[account-shares]") {
  AccountShares shares(8);
  for (std::size_t i = 0; i < 1000; ++i)
    shares.enter(AccountName(accountName(i)), 1);
  CHECK(shares.size() == 8);
  std::vector<AccountShares::Activity> active;
  for (std::size_t i = 0; i < 20; ++i)
    active.push_back(shares.enter(AccountName(accountName(i)), 1));
  CHECK(shares.size() == 8);
  CHECK(active[18].id() == active[19].id());
  CHECK(active[0].id() != active[19].id());
}
