#ifndef PIMENTOFRONT_TEST_WAITING_REQUESTS_H
#define PIMENTOFRONT_TEST_WAITING_REQUESTS_H

#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

namespace pimentofront::testing {

using namespace std::chrono_literals;

constexpr TimePoint Start{100s};

/// What a test says of a request; the rest is the same for all.
struct Sample {
  std::uint32_t Urgency = 0;
  const char *Account = "";
  std::uint32_t Tokens = 1000;
  Duration Due = NoTarget;
  Duration Remaining = 60s;
  std::uint32_t Share = 1;
};

inline ExecuteRequest executeRequest(std::uint64_t n, const Sample &sample) {
  return {.Attempt = {1, n},
          .Request = RequestId(std::to_string(n)),
          .Kind = KindName("u" + std::to_string(sample.Urgency)),
          .Remaining = sample.Remaining,
          .Key = {AdapterName("a"), 1},
          .BaseModel = "base",
          .Delegated = true,
          .FirstEventDue = sample.Due,
          .Demand = {.Urgency = sample.Urgency,
                     .Account = AccountName(sample.Account),
                     .AccountShare = sample.Share,
                     .PromptTokens = sample.Tokens}};
}

/// The requests that wait for an engine which processes TokensPerMilli.
class WaitingRequests {
public:
  static constexpr std::uint32_t TokensPerMilli = 40;

  void add(std::uint64_t n, const Sample &sample) {
    const ExecuteRequest request = executeRequest(n, sample);
    WaitingAttempt it{.Request = request,
                      .ArrivedAt = Now,
                      .Deadline = Now + request.Remaining,
                      .ReadingTokens = sample.Tokens,
                      .Account = Accounts.enter(request.Demand.Account,
                                                request.Demand.AccountShare)};
    if (sample.Due != NoTarget)
      it.OnTimeUntil = Now + sample.Due;
    Queue.push_back(std::move(it));
  }

  std::vector<OrderCandidate> candidates() const {
    std::vector<OrderCandidate> result;
    for (const WaitingAttempt &it : Queue)
      result.push_back({&it, Now + readingTime(it)});
    return result;
  }

  static Duration readingTime(const WaitingAttempt &it) {
    return std::chrono::microseconds(it.ReadingTokens * 1000 / TokensPerMilli);
  }

  /// Starts the next request and lets its reading time pass.
  /// \pre a request waits.
  WaitingAttempt startNext(RequestOrder &order) {
    const auto all = candidates();
    const RequestOrder::Choice choice = order.choose(all);
    order.onStarted(all[choice.Position], choice.Reason);
    const auto at =
        Queue.begin() + static_cast<std::ptrdiff_t>(choice.Position);
    WaitingAttempt it = std::move(*at);
    Queue.erase(at);
    Accounts.charge(it.Account.id(), workOf(it));
    Now += readingTime(it);
    return it;
  }

  void dropExpired() {
    std::erase_if(Queue, [&](const WaitingAttempt &it) {
      return Now + readingTime(it) > it.Deadline;
    });
  }

  AccountShares Accounts;
  std::deque<WaitingAttempt> Queue;
  TimePoint Now = Start;
};

} // namespace pimentofront::testing

#endif
