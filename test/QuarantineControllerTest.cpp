#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testing;
using namespace std::chrono_literals;

namespace {

constexpr ServerCheckResult Exited = ServerCheckResult::Exited;

/// An entry, and the questions that it asks the replicas.
struct QuarantineEntry : ForwardUnderTest {
  /// \returns the last proposal of type T that the entry has made since, if
  /// any.
  template <class T> std::optional<T> proposal() {
    std::optional<T> found;
    for (const ProposeToReplicas &it : take<ProposeToReplicas>())
      if (const auto *body = std::get_if<T>(&it.Proposal)) {
        found = *body;
        Nonce = it.Nonce;
      }
    return found;
  }
  void decide(CommandResult result, TimePoint at = Now) {
    Controller.onDecision(at, Nonce, CommandOutcome{.Result = result});
  }
  ContentHash contentOfRequest() const {
    return Controller.board().Requests.at(1).Content;
  }
  void updateState(QuarantineState state) {
    Controller.quarantine().onUpdate(
        {.To = 9, .Notices = {{contentOfRequest(), state}}});
  }
  /// Starts a request only to get its content hash, puts the content into
  /// \p state, and cancels the request.
  void setContentState(QuarantineState state) {
    request("safe");
    updateState(state);
    Controller.onCallerDisconnected(Now, 1);
    Controller.takeCommands();
  }

  std::uint64_t Nonce = 0;
};

} // namespace

TEST_CASE("the exit of a server is reported with the requests that were in "
          "flight there") {
  QuarantineEntry it;
  it.request("safe");
  const auto sent = it.only<SendUpstream>();
  it.Controller.answers().onEnd(Now, sent.Attempt, BrokenOff);
  const auto check = it.only<CheckServer>();
  CHECK(check.Server == sent.Server);
  CHECK(check.Address == sent.Address);
  CHECK(it.take<SendUpstream>().empty());
  const ContentHash content = it.contentOfRequest();
  it.Controller.onServerChecked(Now, check.Server, Exited);
  const auto asked = it.take<ProposeToReplicas>();
  REQUIRE(asked.size() == 2);
  const auto report = std::get<ReportServerExit>(asked[0].Proposal);
  CHECK(report.Server == sent.Server);
  CHECK(report.RequestsInFlight ==
        std::vector<InFlightRequest>{{content, /*Answering=*/false, {}}});
  // The request isn't sent again before the replicas have granted a trial.
  CHECK(std::get<ClaimTrial>(asked[1].Proposal).Content == content);
  CHECK(it.take<SendUpstream>().empty());
  it.Controller.onDecision(Now, asked[1].Nonce, CommandOutcome{});
  CHECK(it.only<SendUpstream>().Server != sent.Server);
}

TEST_CASE(
    "an answer that breaks off without a crash of the server isn't reported") {
  QuarantineEntry it;
  it.request("safe");
  const auto sent = it.only<SendUpstream>();
  SECTION("the process runs, its connection was reset") {
    it.end(sent, BrokenOff, ServerCheckResult::StillRunning);
  }
  SECTION("no reply: a network partition, or a host without power") {
    it.end(sent, BrokenOff, ServerCheckResult::Unknown);
  }
  SECTION("the server had announced that it is leaving") {
    MemberRecord leaving =
        server(sent.Server.Name.str().c_str(), "plain", sent.Address.c_str());
    leaving.Leaving = true;
    it.Controller.onMembers(Now, {.Members = {leaving}});
    it.Controller.answers().onEnd(Now, sent.Attempt, BrokenOff);
    CHECK(it.take<CheckServer>().empty());
  }
  SECTION("the answer was invalid") {
    it.head(sent, 200, {{"id", "r1"}});
    CHECK(it.take<CheckServer>().empty());
  }
  CHECK(it.take<ProposeToReplicas>().empty());
  it.only<SendUpstream>();
}

TEST_CASE("a server that rejected a connection is checked, too") {
  QuarantineEntry it;
  it.request("safe");
  it.end(it.only<SendUpstream>(), UpstreamEnding::Rejected, Exited);
  CHECK(it.proposal<ReportServerExit>());
}

TEST_CASE("a request that may not be repeated is answered before the server is "
          "checked") {
  QuarantineEntry it;
  it.request("once");
  const auto sent = it.only<SendUpstream>();
  const ContentHash content = it.contentOfRequest();
  it.Controller.answers().onEnd(Now, sent.Attempt, BrokenOff);
  CHECK(it.only<ReplyComplete>().Head.Status == 502);
  it.Controller.onServerChecked(Now, it.only<CheckServer>().Server, Exited);
  const auto report = it.proposal<ReportServerExit>();
  REQUIRE(report);
  CHECK(report->RequestsInFlight.front().Content == content);
}

TEST_CASE("a request in quarantine gets its final answer at once") {
  QuarantineEntry it;
  it.setContentState(QuarantineState::Quarantined);
  it.request("safe");
  const auto reply = it.only<ReplyComplete>();
  // It has run, under other ids: neither "not run" nor a retry-after.
  CHECK(reply.Head.Status == 502);
  CHECK_FALSE(findHeader(reply.Head.Headers, "come-back"));
  CHECK(reply.Body == "quarantined\n");
  CHECK(it.take<SendUpstream>().empty());
  CHECK(it.take<ProposeToReplicas>().empty());
  CHECK(it.Controller.idle());
}

TEST_CASE(
    "a watched request is tried with a grant, and its outcome is reported") {
  QuarantineEntry it;
  it.setContentState(QuarantineState::Watched);
  it.request("safe");
  REQUIRE(it.proposal<ClaimTrial>());
  CHECK(it.take<SendUpstream>().empty());
  SECTION("the server survives it") {
    it.decide(CommandResult::Accepted);
    const auto sent = it.only<SendUpstream>();
    it.head(sent, 200);
    it.end(sent, Completed);
    CHECK(it.proposal<EndTrial>()->Ending == TrialEnding::Survived);
    it.request("safe");
    it.only<SendUpstream>();
  }
  SECTION("the server answers with a failure, and its process still runs") {
    it.decide(CommandResult::Accepted);
    it.head(it.only<SendUpstream>(), 500);
    CHECK(it.proposal<EndTrial>()->Ending == TrialEnding::Survived);
  }
  SECTION("the server exits: the report releases the grant") {
    it.decide(CommandResult::Accepted);
    it.end(it.only<SendUpstream>(), BrokenOff, Exited);
    CHECK(it.proposal<ReportServerExit>()->RequestsInFlight.front().Holder ==
          AttemptId{5, 1});
  }
  SECTION("its caller leaves during the trial") {
    it.decide(CommandResult::Accepted);
    it.only<SendUpstream>();
    it.Controller.onCallerDisconnected(Now, 1);
    CHECK(it.proposal<EndTrial>()->Ending == TrialEnding::Unclear);
  }
  SECTION("its caller leaves before the grant arrives") {
    it.Controller.onCallerDisconnected(Now, 1);
    CHECK(it.proposal<EndTrial>()->Ending == TrialEnding::NotRun);
    it.decide(CommandResult::Accepted);
    CHECK(it.take<SendUpstream>().empty());
  }
  SECTION("it was cleared in the meantime") {
    it.decide(CommandResult::NotFound);
    it.only<SendUpstream>();
  }
  SECTION("it was put in quarantine in the meantime") {
    it.decide(CommandResult::Quarantined);
    CHECK(it.only<ReplyComplete>().Head.Status == 502);
  }
  SECTION("another attempt is in progress for longer than the request may be "
          "deferred") {
    it.decide(CommandResult::InProgress);
    CHECK(it.take<ReplyComplete>().empty());
    it.Controller.tick(Now + 200ms);
    REQUIRE(it.proposal<ClaimTrial>());
    it.decide(CommandResult::InProgress, Now + 3s);
    // This attempt has certainly not run.
    const auto reply = it.only<ReplyComplete>();
    CHECK(reply.Head.Status == 503);
    CHECK(findHeader(reply.Head.Headers, "come-back"));
  }
  SECTION("the replicas don't decide in time") {
    it.Controller.onDecision(Now + 3s, it.Nonce, std::nullopt);
    CHECK(it.only<ReplyComplete>().Head.Status == 503);
    CHECK(it.take<SendUpstream>().empty());
  }
}

// Guards against a trial grant that nobody ends: the replicas have no leader
// when it is asked for, the request is given up, and a later leader grants it
// all the same. Until its time is over, further attempts at the request are
// held for a trial that doesn't take place.
TEST_CASE("a request that ends without a decision on its trial gives the grant "
          "back") {
  QuarantineEntry it;
  it.setContentState(QuarantineState::Watched);
  it.request("safe");
  const auto claim = it.proposal<ClaimTrial>();
  REQUIRE(claim);
  SECTION("it is given up") {
    it.Controller.onDecision(Now + 3s, it.Nonce, std::nullopt);
    REQUIRE(it.only<ReplyComplete>().Head.Status == 503);
    const auto ended = it.proposal<EndTrial>();
    REQUIRE(ended);
    CHECK(ended->Content == claim->Content);
    CHECK(ended->Holder == claim->Holder);
    CHECK(ended->Ending == TrialEnding::NotRun);
  }
  SECTION("its caller leaves before it asks again") {
    it.Controller.onDecision(Now, it.Nonce, std::nullopt);
    // While the request may still be sent, it keeps what it was granted.
    CHECK_FALSE(it.proposal<EndTrial>());
    it.Controller.onCallerDisconnected(Now, 1);
    const auto ended = it.proposal<EndTrial>();
    REQUIRE(ended);
    CHECK(ended->Holder == claim->Holder);
    CHECK(ended->Ending == TrialEnding::NotRun);
  }
  SECTION("it is cleared, sent without a grant, and its caller leaves") {
    it.Controller.onDecision(Now, it.Nonce, std::nullopt);
    it.updateState(QuarantineState::Clear);
    it.Controller.tick(Now + 200ms);
    it.only<SendUpstream>();
    it.Controller.onCallerDisconnected(Now + 300ms, 1);
    const auto ended = it.proposal<EndTrial>();
    REQUIRE(ended);
    CHECK(ended->Holder == claim->Holder);
    CHECK(ended->Ending == TrialEnding::Unclear);
  }
}

TEST_CASE("a request that learns the decision when it asks again has no other "
          "grant to give back") {
  QuarantineEntry it;
  it.setContentState(QuarantineState::Watched);
  it.request("safe");
  const auto claim = it.proposal<ClaimTrial>();
  REQUIRE(claim);
  it.Controller.onDecision(Now, it.Nonce, std::nullopt);
  it.Controller.tick(Now + 200ms);
  const auto again = it.proposal<ClaimTrial>();
  REQUIRE(again);
  CHECK(again->Holder == claim->Holder);
  SECTION("another attempt is in progress") {
    it.decide(CommandResult::InProgress, Now + 3s);
    CHECK(it.only<ReplyComplete>().Head.Status == 503);
    CHECK_FALSE(it.proposal<EndTrial>());
  }
  SECTION("it is granted, and the server exits: the report releases it") {
    it.decide(CommandResult::Accepted, Now + 200ms);
    const auto sent = it.only<SendUpstream>();
    it.Controller.answers().onEnd(Now + 300ms, sent.Attempt, BrokenOff);
    it.Controller.onServerChecked(Now + 300ms, it.only<CheckServer>().Server,
                                  Exited);
    it.Controller.onCallerDisconnected(Now + 300ms, 1);
    CHECK_FALSE(it.proposal<EndTrial>());
  }
}

TEST_CASE("after a second server exit the entry waits for the other entries' "
          "reports") {
  QuarantineEntry it;
  it.setContentState(QuarantineState::Watched);
  it.request("safe");
  REQUIRE(it.proposal<ClaimTrial>());
  it.decide(CommandResult::Accepted);
  it.end(it.only<SendUpstream>(), BrokenOff, Exited);
  CHECK_FALSE(it.proposal<ClaimTrial>());
  it.Controller.tick(Now + 50ms);
  CHECK_FALSE(it.proposal<ClaimTrial>());
  it.Controller.tick(Now + 60ms);
  CHECK(it.proposal<ClaimTrial>());
}

TEST_CASE("requests that differ in one byte have different contents") {
  QuarantineEntry it;
  it.setContentState(QuarantineState::Quarantined);
  const RequestHead head{
      "POST", "/safe/q", {{"Host", "h"}, {"id", "r2"}, {"time", "5000"}}};
  const auto hash = [](const char *text) {
    return ContentHasher().add(text).finish();
  };
  it.Controller.onRequest(Now, 2, head, "body", hash("body"));
  CHECK(it.only<ReplyComplete>().Body == "quarantined\n");
  CHECK(it.take<SendUpstream>().empty());
  it.Controller.onRequest(Now, 3, head, "bodz", hash("bodz"));
  CHECK(*it.only<SendUpstream>().Body == "bodz");
  CHECK(it.take<ReplyComplete>().empty());
}

TEST_CASE(
    "an entry that was suspended updates its quarantine before it sends") {
  QuarantineEntry it;
  const TimePoint resumedAt = Now + 3s;
  it.Controller.quarantine().onResume(Now);
  it.request("safe");
  CHECK(it.take<SendUpstream>().empty());
  SECTION("until it knows what was decided in the meantime") {
    it.Controller.quarantine().onCaughtUp(Now - 1ms);
    it.Controller.tick(Now + 100ms);
    CHECK(it.take<SendUpstream>().empty());
    it.Controller.quarantine().onCaughtUp(Now);
    it.Controller.tick(Now + 200ms);
    it.only<SendUpstream>();
  }
  SECTION(
      "but not for longer than the limit if the replicas can't be reached") {
    it.Controller.tick(Now + 400ms);
    CHECK(it.take<SendUpstream>().empty());
    it.Controller.tick(Now + 600ms);
    it.only<SendUpstream>();
  }
  SECTION("and a permit from before the suspension is void past the deadline") {
    it.Controller.onCallerDisconnected(Now, 1);
    it.Controller.quarantine().onCaughtUp(Now);
    it.request("flow", 1000);
    const auto asked = it.only<SendToAgent>();
    const auto execute = std::get<ExecuteRequest>(asked.Content);
    it.Controller.attempts().onPermit(resumedAt, asked.Host,
                                      {execute.Attempt, {}});
    CHECK(it.take<SendUpstream>().empty());
    CHECK(it.only<ReplyComplete>().Head.Status == 503);
  }
}

TEST_CASE(
    "a failed attempt is logged with the prompt parts that other requests "
    "may have") {
  QuarantineEntry it;
  it.Controller.onRequest(
      Now, 1,
      {"POST",
       "/safe/q",
       {{"Host", "h"}, {"id", "r1"}, {"time", "5000"}, {"parts", "10,171,3"}}},
      "", NoBody);
  it.Controller.answers().onEnd(Now, it.only<SendUpstream>().Attempt,
                                BrokenOff);
  const auto events = it.Controller.takeEvents();
  const auto failed = std::ranges::find(
      events, std::string("attempt_broke_off"), &ForwardEvent::Name);
  REQUIRE(failed != events.end());
  CHECK(failed->Parts == "a,ab");
  CHECK(failed->Detail == "before its first event");
}
