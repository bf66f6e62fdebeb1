#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};

RateLimit named(std::uint64_t perThousandSeconds, Duration age = 0s) {
  return {.Named = true, .PerThousandSeconds = perThousandSeconds, .Age = age};
}

} // namespace

TEST_CASE("a pacer starts empty and saves up no more than its burst",
          "[pacer]") {
  RequestPacer pacer;
  CHECK(pacer.take(Now));
  CHECK(pacer.wait(Now, 100) == 0s);
  CHECK(pacer.apply(Now, named(2000)));
  CHECK_FALSE(pacer.take(Now));
  CHECK(pacer.wait(Now, 0) == 500ms + 1us);
  CHECK(pacer.wait(Now, 3) == 2s + 1us);
  CHECK(pacer.take(Now + 500ms));
  CHECK_FALSE(pacer.take(Now + 600ms));
  CHECK(pacer.take(Now + 100s));
  CHECK(pacer.take(Now + 100s));
  CHECK_FALSE(pacer.take(Now + 100s));
}

TEST_CASE("the newest of several reports of a limit is in force", "[pacer]") {
  RequestPacer pacer;
  CHECK(pacer.apply(Now, named(2000)));
  CHECK_FALSE(pacer.apply(Now, named(9000, 1s)));
  CHECK_FALSE(pacer.apply(Now, {.Age = 1ms}));
  CHECK(pacer.isLimited());
  CHECK(pacer.limit(Now + 3s) == named(2000, 3s));
  // A lower limit leaves the requests that were saved up at the former rate, up
  // to the pacer's own burst.
  CHECK(pacer.apply(Now + 1s, named(1000)));
  CHECK(pacer.take(Now + 1s));
  CHECK(pacer.apply(Now + 2s, {}));
  CHECK_FALSE(pacer.isLimited());
  CHECK_FALSE(pacer.apply(Now + 2s, named(1000, 1s)));
  // A negative age counts as zero.
  CHECK(pacer.apply(Now + 3s, named(1000, -5s)));
  CHECK_FALSE(pacer.apply(Now + 3s, {.Age = 1s}));
}

TEST_CASE("requests reserved ahead of time count towards the rate", "[pacer]") {
  RequestPacer pacer;
  pacer.apply(Now, named(2000));
  CHECK_FALSE(pacer.reserve(Now, 400ms));
  CHECK(pacer.reserve(Now, 600ms) == 500ms + 1us);
  CHECK(pacer.wait(Now, 0) == 1s + 1us);
  CHECK_FALSE(pacer.take(Now + 600ms));
  CHECK(pacer.take(Now + 1001ms));
}

TEST_CASE("however low a limit is, requests are sent at a minimum rate",
          "[pacer]") {
  RequestPacer pacer;
  pacer.apply(Now, named(0));
  CHECK(pacer.wait(Now, 0) == 4s + 1us);
  CHECK(pacer.limit(Now).PerThousandSeconds == 0);
  CHECK_FALSE(pacer.take(Now + 3999ms));
  CHECK(pacer.take(Now + 4s));
}

TEST_CASE("the leader grants sends to a limited server at its rate",
          "[pacer]") {
  SendPermitLedger ledger;
  ledger.startLeading(1);
  const ServerProcess server{HostName("s"), 1};
  const auto ask = [&](TimePoint now, std::uint64_t nonce) {
    return ledger.onQuery(now, {nonce, server, named(2000)});
  };
  const SendPermitReply first = ask(Now, 1);
  CHECK_FALSE(first.Granted);
  CHECK(first.Nonce == 1);
  CHECK(first.RetryAfter == 500ms + 1us);
  // The second request has to wait for the first.
  CHECK(ask(Now, 2).RetryAfter == 1s + 1us);
  // Granted shortly before it may be used, so that the entry does not come
  // late.
  CHECK(ask(Now + 400ms, 3).Granted);
  CHECK_FALSE(ask(Now + 501ms, 4).Granted);
  for (std::uint64_t n = 0; n < 100; ++n)
    CHECK(ask(Now + 501ms, 10 + n).RetryAfter <= 3s);
  // Another leader may have granted permits in between.
  CHECK(ask(Now + 10s, 200).Granted);
  ledger.startLeading(3);
  CHECK_FALSE(ask(Now + 10s, 201).Granted);
}
