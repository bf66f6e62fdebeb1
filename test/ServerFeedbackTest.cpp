#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testing;

TEST_CASE("a numeric header accepts only digits with an optional fraction",
          "[feedback]") {
  struct Case {
    const char *Text;
    std::optional<double> Value;
  };
  const Case cases[] = {
      {"3", 3.0},
      {"0", 0.0},
      {"1.25", 1.25},
      {" 2 ", 2.0},
      {"", std::nullopt},
      {"-1", std::nullopt},
      {"+1", std::nullopt},
      {"nan", std::nullopt},
      {"inf", std::nullopt},
      {"1e99", std::nullopt},
      {"0x10", std::nullopt},
      {"1.", std::nullopt},
      {".5", std::nullopt},
      {"1.2.3", std::nullopt},
      {"1,5", std::nullopt},
      {"3 s", std::nullopt},
      {"Fri, 31 Dec 1999 23:59:59 GMT", std::nullopt},
  };
  for (const Case &it : cases) {
    INFO(it.Text);
    const DecimalHeader header =
        readDecimalHeader({{"Limit", it.Text}}, "limit");
    CHECK(header.Present);
    CHECK(header.Value == it.Value);
  }
  CHECK(!readDecimalHeader({}, "limit").Present);
  // Of two such headers, one may be forged, or they may contradict each other.
  const DecimalHeader twice =
      readDecimalHeader({{"Limit", "1"}, {"limit", "1"}}, "limit");
  CHECK(twice.Present);
  CHECK(!twice.Value);
}

TEST_CASE("a server's rate limit applies as long as its answers name it",
          "[feedback]") {
  constexpr RateLimit Named{.Named = true, .PerThousandSeconds = 1500};
  ServerFeedback it;
  CHECK(!it.apply(Now, {.LimitPerSecond = 1.5}, Now - 1s).empty());
  CHECK(it.limit(Now) == Named);
  CHECK(it.apply(Now + 1s, {.LimitPerSecond = 1.5}, Now).empty());
  // This request was sent before the limit was last named, so its answer
  // doesn't remove the limit.
  CHECK(it.apply(Now + 2s, {}, Now + 900ms).empty());
  CHECK(it.limit(Now + 1s) == Named);
  // A header that can't be parsed neither sets nor removes a limit.
  CHECK(
      !it.apply(Now + 2s, {.MalformedHeader = "limit"}, Now + 1500ms).empty());
  CHECK(it.isLimited());
  // A report of another process that is older is ignored.
  CHECK(it.applyLimit(Now + 2s, {.Named = true, .Age = 1500ms}).empty());
  CHECK(it.limit(Now + 1s) == Named);
  CHECK(!it.apply(Now + 3s, {}, Now + 2s).empty());
  CHECK(!it.isLimited());
}

TEST_CASE("of several backoffs the one that ends last applies", "[feedback]") {
  ServerFeedback it;
  it.apply(Now, {.Backoff = 3s}, Now);
  it.apply(Now + 100ms, {.Backoff = 500ms}, Now);
  CHECK(it.isBackingOff(Now + 2999ms));
  CHECK(!it.isBackingOff(Now + 3s));
  CHECK(ServerFeedback::boundedBackoff(1e30) == ServerFeedback::MaxBackoff);
  CHECK(ServerFeedback::boundedBackoff(0.25) == 250ms);
}

TEST_CASE("feedback belongs to the server process that sent it", "[feedback]") {
  ServerSet set({});
  const auto announce = [&](std::uint64_t startedAt, bool gone = false) {
    MemberRecord record = server("p1", "plain", "1.0.0.1:80");
    record.Incarnation = startedAt;
    record.Gone = gone;
    set.apply(Now, {.Members = {record}});
  };
  const ServerProcess first{HostName("p1"), 7};
  const ServerProcess second{HostName("p1"), 8};
  announce(7);
  set.recordFeedback(Now, first, {.LimitPerSecond = 2, .Leaving = true}, Now);
  // The registration expires and the same process registers again.
  announce(7, /*gone=*/true);
  announce(7);
  CHECK(set.feedbackOf(first).isLeaving());
  announce(8);
  CHECK(set.feedbackOf(second) == ServerFeedback());
  // Late feedback of the former process doesn't apply to the new one.
  set.recordFeedback(Now, first, {.LimitPerSecond = 2}, Now);
  CHECK(set.feedbackOf(second) == ServerFeedback());
}

TEST_CASE("a change in a server's feedback is logged", "[feedback]") {
  ForwardUnderTest it;
  it.request("safe");
  const auto sent = it.only<SendUpstream>();
  it.head(sent, 200, {{"id", "r1"}, {"stamp", "s"}, {"limit", "1.5"}});
  std::vector<ForwardEvent> reported;
  for (const ForwardEvent &event : it.Controller.takeEvents())
    if (std::string_view(event.Name) == "server_feedback")
      reported.push_back(event);
  REQUIRE(reported.size() == 1);
  CHECK(reported[0].Detail.find("limit 1.5") != std::string::npos);
  CHECK(reported[0].Server == sent.Server.Name);
}

TEST_CASE(
    "an entry asks for one permit at a time, and not before the retry-after "
    "delay is over",
    "[feedback]") {
  SendPermits permits;
  const ServerProcess server{HostName("s"), 1};
  const auto query = [&](TimePoint now) {
    permits.requestPermit(now, server,
                          {.Named = true, .PerThousandSeconds = 1000});
    return permits.takeQueries();
  };
  const auto first = query(Now);
  REQUIRE(first.size() == 1);
  CHECK(query(Now).empty());
  permits.onReply(Now, {.Nonce = first[0].Nonce + 1, .Granted = true});
  CHECK_FALSE(permits.has(Now, server));
  permits.onReply(Now, {.Nonce = first[0].Nonce, .RetryAfter = 1s});
  CHECK(permits.earliestSendTime(Now, server) == Now + 1s);
  CHECK(query(Now + 900ms).empty());
  const auto second = query(Now + 1s);
  REQUIRE(second.size() == 1);
  permits.onReply(Now + 1s, {.Nonce = second[0].Nonce,
                             .Granted = true,
                             .Delay = 100ms,
                             .Lifetime = 1s});
  CHECK(permits.earliestSendTime(Now + 1s, server) == Now + 1100ms);
  CHECK_FALSE(permits.has(Now + 1099ms, server));
  CHECK(permits.has(Now + 2099ms, server));
  CHECK(query(Now + 1500ms).empty());
  // A process that was suspended finds its permit expired.
  CHECK_FALSE(permits.has(Now + 2100ms, server));
  const auto third = query(Now + 2100ms);
  REQUIRE(third.size() == 1);
  CHECK(permits.hasOverdueQuery(Now + 3s));
  permits.onLinkLost(Now + 3s);
  CHECK_FALSE(permits.hasOverdueQuery(Now + 4s));
  const auto fourth = query(Now + 4s);
  REQUIRE(fourth.size() == 1);
  permits.onReply(Now + 4s,
                  {.Nonce = fourth[0].Nonce, .Granted = true, .Lifetime = 1s});
  permits.use(server);
  CHECK_FALSE(permits.has(Now + 4s, server));
}

namespace {

/// An entry whose two plain servers have reported rate limits.
struct LimitedPlainServers : ForwardUnderTest {
  LimitedPlainServers() {
    for (int i = 0; i < 2; ++i) {
      request("safe");
      const auto sent = only<SendUpstream>();
      head(sent, 200, {{"id", "r1"}, {"stamp", "s"}, {"limit", "1"}});
      end(sent, Completed);
      take<ReplyComplete>();
    }
    request("safe");
    Queries = Controller.takePermitQueries();
  }
  std::vector<SendPermitQuery> Queries;
};

} // namespace

TEST_CASE("a request for rate-limited servers waits for a permit",
          "[feedback]") {
  LimitedPlainServers it;
  CHECK(it.take<SendUpstream>().empty());
  REQUIRE(it.Queries.size() == 2);
  it.Controller.onSendPermit(
      Now + 2ms,
      {.Nonce = it.Queries[1].Nonce, .Granted = true, .Lifetime = 1s});
  CHECK(it.only<SendUpstream>().Server == it.Queries[1].Server);
  // A permit covers one send.
  it.Controller.onCallerDisconnected(Now + 2ms, 1);
  it.request("safe");
  CHECK(it.take<SendUpstream>().empty());
}

TEST_CASE("a request is refused at once if no permit can come while it may be "
          "deferred",
          "[feedback]") {
  LimitedPlainServers it;
  for (const SendPermitQuery &query : it.Queries)
    it.Controller.onSendPermit(Now + 2ms,
                               {.Nonce = query.Nonce, .RetryAfter = 3s});
  it.Controller.tick(Now + 110ms);
  const auto reply = it.only<ReplyComplete>();
  CHECK(reply.Head.Status == 503);
  CHECK(std::stoll(*findHeader(reply.Head.Headers, "come-back")) >= 2'890'000);
}

TEST_CASE("an entry reports to the agent when its engine's rate limit starts "
          "and ends",
          "[feedback]") {
  ForwardUnderTest it;
  it.request("flow");
  const auto sent = it.permit();
  it.head(sent, 200, {{"id", "r1"}, {"stamp", "s"}, {"limit", "1.5"}});
  const auto reported = it.only<SendToAgent>();
  const auto seen = std::get<RateLimitReport>(reported.Content);
  CHECK(seen.Limit == RateLimit{.Named = true, .PerThousandSeconds = 1500});
  it.end(sent, Completed);
  it.take<SendToAgent>();
  // The next request carries the limit, too, for an agent that has started
  // since then.
  const HostName agent = reported.Host;
  it.Controller.onRequest(
      Now + 1s, 2,
      {"POST", "/flow/q", {{"Host", "h"}, {"id", "r2"}, {"time", "5000"}}}, "",
      NoBody);
  auto asked = it.only<SendToAgent>();
  auto execute = std::get<ExecuteRequest>(asked.Content);
  if (asked.Host != agent) {
    it.Controller.attempts().onRefused(
        Now + 1s, asked.Host,
        {.Attempt = execute.Attempt, .Reason = RefusalReason::Leaving});
    asked = it.only<SendToAgent>();
    execute = std::get<ExecuteRequest>(asked.Content);
  }
  REQUIRE(asked.Host == agent);
  CHECK(execute.Limit ==
        RateLimit{.Named = true, .PerThousandSeconds = 1500, .Age = 1s});
  it.Controller.attempts().onPermit(Now + 1s, agent, {execute.Attempt, {}});
  const auto again = it.only<SendUpstream>();
  it.Controller.answers().onHead(Now + 2s, again.Attempt,
                                 {200, {{"id", "r2"}, {"stamp", "s"}}});
  const auto ended =
      std::get<RateLimitReport>(it.only<SendToAgent>().Content).Limit;
  CHECK(ended == RateLimit{.Age = 1s});
}

TEST_CASE("a permit for an engine that is backing off isn't used",
          "[feedback]") {
  ForwardUnderTest it;
  const auto ask = [&](std::uint64_t key, const std::string &id) {
    it.Controller.onRequest(
        Now, key,
        {"POST", "/flow/q", {{"Host", "h"}, {"id", id}, {"time", "5000"}}}, "",
        NoBody);
    return it.only<SendToAgent>();
  };
  // A backoff at one agent doesn't affect the other one, so both requests have
  // to be at the same agent.
  const auto first = ask(1, "r1");
  auto second = ask(2, "r2");
  if (second.Host != first.Host) {
    const auto execute = std::get<ExecuteRequest>(second.Content);
    it.Controller.attempts().onRefused(
        Now, second.Host,
        {.Attempt = execute.Attempt, .Reason = RefusalReason::QueueFull});
    second = it.only<SendToAgent>();
  }
  REQUIRE(second.Host == first.Host);
  const auto permit = [&](const SendToAgent &asked) {
    const auto execute = std::get<ExecuteRequest>(asked.Content);
    it.Controller.attempts().onPermit(Now, asked.Host, {execute.Attempt, {}});
  };
  permit(first);
  it.head(it.only<SendUpstream>(), 503,
          {{"id", "r1"}, {"not-run", "1"}, {"rest", "3"}});
  it.take<SendToAgent>();
  permit(second);
  CHECK(it.take<SendUpstream>().empty());
  const auto released = it.take<SendToAgent>();
  REQUIRE(!released.empty());
  CHECK(std::get<AttemptReleased>(released[0].Content).Kind ==
        ReleaseKind::NotRun);
}
