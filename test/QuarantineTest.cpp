#include "pimentofront/State.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};

ContentHash content(std::uint64_t n) { return {n, n}; }
AttemptId attempt(std::uint64_t n) { return {7, n}; }
ServerProcess server(const char *name, std::uint64_t startedAt = 1) {
  return {HostName(name), startedAt};
}

/// A ledger and the commands that its entries send.
struct LedgerUnderTest {
  /// Reports that \p process crashed while it ran \p inFlight, all of them
  /// waiting for their first event unless \p answering.
  void reportCrash(const ServerProcess &process,
                   std::vector<std::uint64_t> inFlight,
                   bool answering = false) {
    ReportServerExit report{process, {}};
    for (const std::uint64_t it : inFlight)
      report.RequestsInFlight.push_back({content(it), answering, {}});
    Ledger.report(report);
  }
  CommandResult claim(std::uint64_t n, std::uint64_t by = 1) {
    return Ledger.claim({content(n), attempt(by), 5s}).Result;
  }
  void endTrial(std::uint64_t n, TrialEnding ending, std::uint64_t by = 1) {
    Ledger.end({content(n), attempt(by), ending});
  }
  /// A trial of \p n that crashes \p process.
  void crashingTrial(std::uint64_t n, const ServerProcess &process) {
    REQUIRE(claim(n) == CommandResult::Accepted);
    Ledger.report({process, {{content(n), false, attempt(1)}}});
  }

  QuarantineLedger Ledger;
};

constexpr auto Granted = CommandResult::Accepted;
constexpr auto Quarantined = CommandResult::Quarantined;

} // namespace

TEST_CASE("a request that crashed no server needs no trial grant") {
  LedgerUnderTest it;
  CHECK(it.claim(1) == CommandResult::NotFound);
}

TEST_CASE("a watched request is tried by one attempt at a time") {
  LedgerUnderTest it;
  it.reportCrash(server("s1"), {1});
  CHECK(it.claim(1, 1) == Granted);
  CHECK(it.claim(1, 1) == Granted); // Resent: the reply was lost.
  CHECK(it.claim(1, 2) == CommandResult::InProgress);
  it.endTrial(1, TrialEnding::NotRun, 2); // Not the holder.
  CHECK(it.claim(1, 2) == CommandResult::InProgress);
  it.endTrial(1, TrialEnding::NotRun, 1);
  CHECK(it.claim(1, 2) == Granted);
}

TEST_CASE(
    "three crashes, in one of them the only suspect, lead to quarantine") {
  LedgerUnderTest it;
  it.reportCrash(server("s1"), {1, 2, 3});
  it.crashingTrial(1, server("s2"));
  it.crashingTrial(1, server("s3"));
  CHECK(it.claim(1) == Quarantined);
  CHECK(it.Ledger.find(content(1))->Quarantined);
  CHECK(it.claim(2) == Granted);
}

TEST_CASE("the crash of a process counts once, whoever reports it") {
  LedgerUnderTest it;
  for (int i = 0; i < 4; ++i)
    it.reportCrash(server("s1"), {1});
  CHECK(it.Ledger.find(content(1))->Exits.size() == 1);
  SECTION("the next process under its name counts separately") {
    it.reportCrash(server("s1", 2), {1});
    it.reportCrash(server("s1", 3), {1});
    CHECK(it.claim(1) == Quarantined);
  }
}

TEST_CASE(
    "a trial that crashes a process known to have crashed ran on a later one") {
  LedgerUnderTest it;
  const ServerProcess known = server("s1");
  it.reportCrash(known, {1});
  it.crashingTrial(1, known);
  it.crashingTrial(1, known);
  CHECK(it.Ledger.find(content(1))->Exits.size() == 3);
  CHECK(it.claim(1) == Quarantined);
}

TEST_CASE(
    "the crash of a process counts once for a trial and another attempt") {
  LedgerUnderTest it;
  it.reportCrash(server("s1"), {1});
  REQUIRE(it.claim(1) == Granted);
  it.reportCrash(server("s2"), {1});
  it.Ledger.report({server("s2"), {{content(1), false, attempt(1)}}});
  CHECK(it.Ledger.find(content(1))->Exits.size() == 2);
}

TEST_CASE(
    "requests that share all their crashes stay watched up to four crashes") {
  LedgerUnderTest it;
  for (const char *name : {"s1", "s2", "s3", "s4"}) {
    it.reportCrash(server(name), {1, 2});
    CHECK(it.claim(1) == Granted);
    it.endTrial(1, TrialEnding::NotRun);
  }
  SECTION("when one is cleared the other one is quarantined") {
    it.endTrial(2, TrialEnding::Survived);
    CHECK(it.Ledger.find(content(2)) == nullptr);
    CHECK(it.claim(1) == Quarantined);
  }
  SECTION("after the fifth crash it is quarantined in any case") {
    it.reportCrash(server("s5"), {1, 2});
    CHECK(it.claim(1) == Quarantined);
  }
}

TEST_CASE(
    "a request that was being answered takes five crashes to quarantine") {
  LedgerUnderTest it;
  for (const char *name : {"s1", "s2", "s3", "s4"})
    it.reportCrash(server(name), {1}, /*answering=*/true);
  CHECK(it.claim(1) == Granted);
  it.endTrial(1, TrialEnding::NotRun);
  it.reportCrash(server("s5"), {1}, /*answering=*/true);
  CHECK(it.claim(1) == Quarantined);
}

TEST_CASE("trials with an unclear outcome after the third crash are limited") {
  LedgerUnderTest it;
  for (const char *name : {"s1", "s2", "s3"})
    it.reportCrash(server(name), {1, 2});
  for (int i = 0; i < 2; ++i) {
    CHECK(it.claim(1) == Granted);
    it.endTrial(1, TrialEnding::Unclear);
  }
  CHECK(it.claim(1) == Quarantined);
  // A trial that reached no server doesn't count.
  for (int i = 0; i < 9; ++i) {
    CHECK(it.claim(2) == Granted);
    it.endTrial(2, TrialEnding::NotRun);
  }
}

TEST_CASE("a quarantine ends with one trial, since servers may be repaired") {
  LedgerUnderTest it;
  QuarantineReview review(
      {.WatchRetention = 1min, .QuarantineDuration = 10min});
  for (const char *name : {"s1", "s2", "s3"})
    it.reportCrash(server(name), {1});
  REQUIRE(it.claim(1) == Quarantined);
  const auto reviewAt = [&](TimePoint at) {
    it.Ledger.review(review.take(at, it.Ledger));
  };
  reviewAt(Now);
  reviewAt(Now + 9min);
  CHECK(it.claim(1) == Quarantined);
  reviewAt(Now + 10min);
  SECTION("the server survives it") {
    CHECK(it.claim(1) == Granted);
    it.endTrial(1, TrialEnding::Survived);
    CHECK(it.claim(1) == CommandResult::NotFound);
  }
  SECTION("the server crashes, and the time doubles") {
    it.crashingTrial(1, server("s4"));
    CHECK(it.claim(1) == Quarantined);
    reviewAt(Now + 11min);
    reviewAt(Now + 22min);
    CHECK(it.claim(1) == Quarantined);
    reviewAt(Now + 32min);
    CHECK(it.claim(1) == Granted);
  }
  SECTION("a crash reported outside a trial quarantines it again") {
    it.reportCrash(server("s9"), {1});
    reviewAt(Now + 11min);
    reviewAt(Now + 22min);
    CHECK(it.Ledger.find(content(1))->Quarantines == 2);
  }
}

TEST_CASE(
    "a watched request without retries is removed also after a lost trial") {
  LedgerUnderTest it;
  QuarantineReview review({.WatchRetention = 1min});
  it.reportCrash(server("s1"), {1, 2});
  REQUIRE(it.claim(1) == Granted);
  const auto reviewAt = [&](TimePoint at) {
    it.Ledger.review(review.take(at, it.Ledger));
  };
  reviewAt(Now);
  // Its entry has crashed: the grant lasts for the maximum time of the attempt.
  reviewAt(Now + 5s);
  CHECK(it.claim(1, 2) == CommandResult::InProgress);
  reviewAt(Now + 6s);
  CHECK(it.claim(1, 2) == Granted);
  reviewAt(Now + 1min);
  CHECK_FALSE(it.Ledger.find(content(2)));
}

TEST_CASE("time in which the host is suspended counts for a review") {
  LedgerUnderTest it;
  QuarantineReview review({.WatchRetention = 1min});
  it.reportCrash(server("s1"), {1});
  review.take(Now, it.Ledger);
  // Only the boot clock counts the hour of suspension.
  CHECK(review.take(Now + 1h, it.Ledger).Due.size() == 1);
}

TEST_CASE("an operator's release clears a request") {
  LedgerUnderTest it;
  for (const char *name : {"s1", "s2", "s3"})
    it.reportCrash(server(name), {1});
  REQUIRE(it.claim(1) == Quarantined);
  CHECK(it.Ledger.release({content(1)}).Result == Granted);
  CHECK(it.Ledger.release({content(1)}).Result == CommandResult::NotFound);
  CHECK(it.claim(1) == CommandResult::NotFound);
}

TEST_CASE(
    "entries receive changes, or the whole ledger if they missed removals") {
  QuarantineLedger ledger({.MaxRemovals = 2});
  const auto report = [&](std::uint64_t n) {
    ledger.report({server("s1"), {{content(n), false, {}}}});
  };
  for (std::uint64_t i = 1; i <= 5; ++i)
    report(i);
  const auto first = ledger.updateSince(0);
  REQUIRE(first);
  CHECK(first->Notices.size() == 5);
  CHECK_FALSE(ledger.updateSince(first->To));
  ledger.release({content(1)});
  const auto second = ledger.updateSince(first->To);
  REQUIRE(second);
  CHECK_FALSE(second->Full);
  CHECK(second->Notices ==
        std::vector<QuarantineNotice>{{content(1), QuarantineState::Clear}});
  for (std::uint64_t i = 2; i <= 4; ++i)
    ledger.release({content(i)});
  const auto third = ledger.updateSince(first->To);
  REQUIRE(third);
  CHECK(third->Full);
  CHECK(third->Notices.size() == 1);
}

TEST_CASE(
    "at capacity the ledger evicts the watched request unchanged for longest") {
  QuarantineLedger ledger({.Capacity = 3});
  for (const char *name : {"s1", "s2", "s3"})
    ledger.report({server(name), {{content(1), false, {}}}});
  ledger.claim({content(1), attempt(1), 1s});
  for (std::uint64_t i = 2; i <= 9; ++i)
    ledger.report({server("s4"), {{content(i), false, {}}}});
  CHECK(ledger.records().size() == 3);
  CHECK(ledger.find(content(1))->Quarantined);
  CHECK(ledger.find(content(9)));
}

TEST_CASE("the quarantine survives a restart of the replicas") {
  StateMachine state;
  for (const char *name : {"s1", "s2", "s3"})
    state.apply(
        0, {.Body = ReportServerExit{server(name), {{content(1), false, {}}}}});
  const Command claim{.Body = ClaimTrial{content(1), attempt(1), 1s}};
  REQUIRE(state.apply(0, claim).Result == Quarantined);
  StateMachine copy;
  REQUIRE(copy.decode(state.encode()));
  CHECK(copy.apply(0, claim).Result == Quarantined);
  CHECK(copy.quarantine().version() == state.quarantine().version());
  // Removals aren't in the snapshot, so a receiver gets the whole ledger.
  CHECK(copy.quarantine().updateSince(0)->Full);
}
