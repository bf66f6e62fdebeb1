#include "pimentofront/State.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};

using Parts = std::vector<std::uint64_t>;

ContentHash idOf(std::uint64_t part) { return {part, part}; }
AttemptId attempt(std::uint64_t n) { return {7, n}; }
ServerProcess server(int i) { return {HostName("s" + std::to_string(i)), 1}; }

/// A ledger, and the commands that its entries send.
struct PartLedgerUnderTest {
  static InFlightRequest request(const Parts &parts, std::uint64_t known,
                                 const char *service) {
    InFlightRequest result;
    result.Shared = {.Service = ServiceName(service), .KnownVersion = known};
    for (const std::uint64_t it : parts)
      result.Shared.Parts.push_back({.Id = idOf(it), .Part = it});
    return result;
  }
  /// Reports that server \p i exited while requests with these parts waited
  /// there for their first event. They were sent with all that was known then.
  void exit(int i, const std::vector<Parts> &waiting,
            const char *service = "engines") {
    exitKnowing(Ledger.version(), i, waiting, service);
  }
  void exitKnowing(std::uint64_t known, int i,
                   const std::vector<Parts> &waiting,
                   const char *service = "engines") {
    ReportServerExit report{.Server = server(i)};
    for (const Parts &it : waiting) {
      report.RequestsInFlight.push_back(request(it, known, service));
      report.RequestsInFlight.back().Content = {++LastContent, 0};
    }
    Ledger.report(report);
  }
  void survive(const Parts &parts, const char *service = "engines") {
    SurvivedRequest request{.Service = ServiceName(service)};
    for (const std::uint64_t it : parts)
      request.Parts.push_back(idOf(it));
    Ledger.recordSurvivors({{request}});
  }
  /// Has the ledger decide on all parts, as often as it decides.
  void decide() {
    for (std::uint64_t known = 0; known != Ledger.version();) {
      known = Ledger.version();
      ReviewQuarantine review;
      for (const auto &[id, it] : Ledger.parts().records())
        review.PartCandidates.push_back(id);
      Ledger.review(review);
    }
  }
  std::optional<PartState> stateOf(std::uint64_t part) const {
    const PartRecord *it = Ledger.parts().find(idOf(part));
    return it ? std::optional(it->State) : std::nullopt;
  }
  bool isQuarantined(std::uint64_t part) const {
    return stateOf(part) == PartState::Quarantined;
  }
  /// Puts part 9 in quarantine.
  void quarantineNine() {
    for (int i = 0; i < 4; ++i)
      exit(i, {{1 + std::uint64_t(i), 9}});
    decide();
    REQUIRE(isQuarantined(9));
  }

  QuarantineLedger Ledger;
  std::uint64_t LastContent = 0;
};

} // namespace

TEST_CASE("a part that explains four exits is put in quarantine, not the parts "
          "that came with it") {
  PartLedgerUnderTest it;
  for (int i = 0; i < 3; ++i)
    it.exit(i, {{1, 9}, {1, 2}, {1, 3}});
  it.decide();
  CHECK_FALSE(it.isQuarantined(9));
  it.exit(3, {{1, 9}, {1, 4}, {1, 5}});
  it.decide();
  CHECK(it.isQuarantined(9));
  // Part 1 was in each of these requests and in others.
  CHECK_FALSE(it.isQuarantined(1));
  CHECK_FALSE(it.isQuarantined(2));
}

// Guards against a sound part that was put in quarantine in place of the one
// that crashed the servers, since its hash was smaller.
TEST_CASE("of two parts of different requests that explain the same exits none "
          "is put in quarantine until one explains more") {
  PartLedgerUnderTest it;
  for (int i = 0; i < 4; ++i)
    it.exit(i, {{1, 9}, {1, 2}});
  it.decide();
  CHECK_FALSE(it.isQuarantined(9));
  CHECK_FALSE(it.isQuarantined(2));
  SECTION("by a further exit") {
    it.exit(4, {{1, 9}});
    it.decide();
    CHECK(it.isQuarantined(9));
    CHECK_FALSE(it.isQuarantined(2));
  }
  SECTION("or a survivor clears the other one") {
    it.survive({1, 2});
    it.decide();
    CHECK(it.isQuarantined(9));
  }
}

TEST_CASE("a survivor clears a part") {
  PartLedgerUnderTest it;
  for (int i = 0; i < 3; ++i)
    it.exit(i, {{1, 9}});
  it.survive({1});
  CHECK_FALSE(it.stateOf(1));
  SECTION("of the same service") {
    it.survive({9});
    CHECK_FALSE(it.stateOf(9));
  }
  SECTION("but not one of another service, whose servers may be different") {
    it.survive({9}, "others");
    CHECK(it.stateOf(9) == PartState::Accused);
  }
  SECTION("and an exit of a server of another service counts, too") {
    it.exit(3, {{9}}, "others");
    it.decide();
    CHECK(it.isQuarantined(9));
  }
}

TEST_CASE("a request whose answer had begun accuses none of its parts") {
  PartLedgerUnderTest it;
  for (int i = 0; i < 6; ++i) {
    InFlightRequest request =
        PartLedgerUnderTest::request({9}, it.Ledger.version(), "engines");
    request.Answering = true;
    it.Ledger.report({server(i), {request}});
  }
  CHECK_FALSE(it.stateOf(9));
}

TEST_CASE("servers that exit at the same moment put no part in quarantine") {
  PartLedgerUnderTest it;
  for (int i = 0; i < 9; ++i)
    it.exitKnowing(0, i, {{1, 9}});
  it.decide();
  CHECK(it.stateOf(9) == PartState::Accused);
  CHECK(it.Ledger.parts().find(idOf(9))->Score == 1);
}

TEST_CASE("the exit of a process counts once for a part, whoever reports it") {
  PartLedgerUnderTest it;
  for (int i = 0; i < 6; ++i)
    it.exitKnowing(0, 1, {{9}});
  CHECK(it.Ledger.parts().find(idOf(9))->Exits.size() == 1);
  // A request that was sent when that exit was known ran on a later process of
  // the same name.
  it.exit(1, {{9}});
  CHECK(it.Ledger.parts().find(idOf(9))->Exits.size() == 2);
}

// Guards against a sound part that was put in quarantine since each request
// that waited at a later process of a known name counted as an exit of its own.
TEST_CASE("the exit of a later process of a name counts once for a part") {
  PartLedgerUnderTest it;
  it.exit(1, {{1, 9}});
  it.exit(2, {{1, 9}});
  it.exit(1, {{1, 2}, {1, 3}, {1, 9}});
  CHECK(it.Ledger.parts().find(idOf(1))->Exits.size() == 3);
  it.decide();
  CHECK_FALSE(it.isQuarantined(1));
}

TEST_CASE("two parts that crash servers are put in quarantine one after the "
          "other") {
  PartLedgerUnderTest it;
  for (int i = 0; i < 4; ++i)
    it.exit(i, {{1, 8}, {1, 9}});
  it.exit(4, {{1, 8}});
  it.decide();
  CHECK(it.isQuarantined(8));
  // The part in quarantine explains all exits of the other one.
  CHECK_FALSE(it.isQuarantined(9));
  it.exit(5, {{1, 9}});
  it.exit(6, {{1, 9}});
  it.decide();
  CHECK(it.isQuarantined(9));
  CHECK_FALSE(it.isQuarantined(1));
}

TEST_CASE("parts that can't be told apart are in quarantine together only") {
  PartLedgerUnderTest it;
  for (int i = 0; i < 4; ++i)
    it.exit(i, {{1, 9}});
  it.decide();
  const std::uint64_t known = it.Ledger.version();
  const auto notices = [&] { return it.Ledger.updateSince(0)->Parts; };
  const auto quarantine = [&] {
    const auto all = notices();
    return *std::ranges::find(all, PartState::Quarantined, &PartNotice::State);
  };
  CHECK(quarantine().With.size() == 1);
  SECTION("until a request with one of them survives") {
    it.survive({1});
    CHECK(quarantine().Part.Part == 9);
    CHECK(quarantine().With.empty());
    CHECK(it.Ledger.updateSince(known));
  }
  SECTION("whichever of them was put in quarantine") {
    it.survive({9});
    CHECK(quarantine().Part.Part == 1);
    CHECK(quarantine().With.empty());
  }
  SECTION("or a request with one of them crashes a server") {
    it.exit(4, {{2, quarantine().Part.Part}});
    CHECK(quarantine().With.empty());
  }
}

TEST_CASE("a part in quarantine gets one trial after its time") {
  PartLedgerUnderTest it;
  QuarantineReview review({.QuarantineDuration = 10min});
  it.quarantineNine();
  const auto reviewAt = [&](TimePoint at) {
    it.Ledger.review(review.take(at, it.Ledger));
  };
  const auto claim = [&](std::uint64_t by) {
    return it.Ledger.claim({idOf(9), attempt(by), 5s}).Result;
  };
  reviewAt(Now);
  reviewAt(Now + 9min);
  CHECK(claim(1) == CommandResult::Quarantined);
  reviewAt(Now + 10min);
  CHECK(it.stateOf(9) == PartState::OnTrial);
  CHECK(claim(1) == CommandResult::Accepted);
  CHECK(claim(2) == CommandResult::InProgress);
  SECTION("the server survives it") {
    it.Ledger.end({idOf(9), attempt(1), TrialEnding::Survived});
    CHECK_FALSE(it.stateOf(9));
  }
  SECTION("the server crashes") {
    it.exit(7, {{1, 9}});
    CHECK(it.isQuarantined(9));
    CHECK(it.Ledger.parts().find(idOf(9))->Quarantines == 2);
  }
  SECTION("its outcome is unknown") {
    it.Ledger.end({idOf(9), attempt(1), TrialEnding::Unclear});
    CHECK(it.isQuarantined(9));
  }
  SECTION("it reached no server") {
    it.Ledger.end({idOf(9), attempt(1), TrialEnding::NotRun});
    CHECK(claim(2) == CommandResult::Accepted);
  }
  SECTION("the entry that holds the grant has gone") {
    reviewAt(Now + 10min + 1s);
    reviewAt(Now + 10min + 8s);
    CHECK(it.isQuarantined(9));
  }
}

TEST_CASE("an accused part without further exits is forgotten") {
  PartLedgerUnderTest it;
  QuarantineReview review({.AccusationRetention = 10min});
  it.exit(1, {{9}});
  it.Ledger.review(review.take(Now, it.Ledger));
  it.Ledger.review(review.take(Now + 9min, it.Ledger));
  CHECK(it.stateOf(9));
  it.Ledger.review(review.take(Now + 10min, it.Ledger));
  CHECK_FALSE(it.stateOf(9));
}

// Guards against a part that goes on crashing servers since its exits are
// forgotten a minute after the first one.
TEST_CASE("exits that are minutes apart add up") {
  PartLedgerUnderTest it;
  QuarantineReview review({.AccusationRetention = 10min});
  for (int i = 0; i < 4; ++i) {
    it.exit(i, {{1, 9}});
    const TimePoint at = Now + i * 9min;
    it.Ledger.review(review.take(at, it.Ledger));
    it.Ledger.review(review.take(at + 1s, it.Ledger));
  }
  it.decide();
  CHECK((it.isQuarantined(9) || it.isQuarantined(1)));
}

TEST_CASE("an operator's release clears a prompt part") {
  PartLedgerUnderTest it;
  it.quarantineNine();
  const std::uint64_t known = it.Ledger.version();
  CHECK(it.Ledger.release({idOf(9)}).Result == CommandResult::Accepted);
  CHECK_FALSE(it.stateOf(9));
  const auto update = it.Ledger.updateSince(known);
  REQUIRE(update);
  CHECK(update->Notices ==
        std::vector<QuarantineNotice>{{idOf(9), QuarantineState::Clear}});
}

TEST_CASE("at capacity the part ledger evicts the part with the least score") {
  PartLedger ledger({.Capacity = 3});
  const auto exit = [&](std::uint64_t version, const Parts &parts) {
    ledger.report(version,
                  {server(static_cast<int>(version)),
                   {PartLedgerUnderTest::request(parts, version, "engines")}});
  };
  exit(1, {9});
  exit(2, {9});
  for (std::uint64_t part = 1; part <= 8; ++part)
    exit(2 + part, {part});
  CHECK(ledger.records().size() == 3);
  CHECK(ledger.find(idOf(9)));
  CHECK(ledger.find(idOf(8)));
}

TEST_CASE("a decision on a part waits until all entries have reported") {
  PartLedgerUnderTest it;
  QuarantineReview review({.DecisionDelay = 100ms});
  for (int i = 0; i < 4; ++i)
    it.exit(i, {{1, 9}, {1, 2}, {1, 3}});
  const auto candidates = [&](TimePoint at) {
    return review.take(at, it.Ledger).PartCandidates;
  };
  CHECK(candidates(Now).empty());
  CHECK(candidates(Now + 99ms).empty());
  const std::vector<ContentHash> due = candidates(Now + 100ms);
  CHECK(std::ranges::find(due, idOf(9)) != due.end());
}

TEST_CASE("the quarantine of parts survives a restart of the replicas") {
  PartLedgerUnderTest it;
  StateMachine state;
  for (int i = 0; i < 4; ++i) {
    ReportServerExit report{.Server = server(i)};
    report.RequestsInFlight.push_back(PartLedgerUnderTest::request(
        {9}, state.quarantine().version(), "engines"));
    state.apply(0, {.Body = report});
  }
  state.apply(0, {.Body = ReviewQuarantine{.PartCandidates = {idOf(9)}}});
  StateMachine copy;
  REQUIRE(copy.decode(state.encode()));
  const PartRecord *record = copy.quarantine().parts().find(idOf(9));
  REQUIRE(record);
  CHECK(record->State == PartState::Quarantined);
  CHECK(*record == *state.quarantine().parts().find(idOf(9)));
}
