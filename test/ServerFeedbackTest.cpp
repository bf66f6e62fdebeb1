#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testing;

TEST_CASE("a header that holds a number is read by digits alone",
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
  // Two of them contradict each other, or one of them was forged.
  const DecimalHeader twice =
      readDecimalHeader({{"Limit", "1"}, {"limit", "1"}}, "limit");
  CHECK(twice.Present);
  CHECK(!twice.Value);
}

TEST_CASE("a server's limit holds as long as its answers name it",
          "[feedback]") {
  constexpr RateLimit Named{.Named = true, .PerThousandSeconds = 1500};
  ServerFeedback it;
  CHECK(!it.apply(Now, {.RateLimit = 1.5}, Now - 1s).empty());
  CHECK(it.limit(Now) == Named);
  CHECK(it.apply(Now + 1s, {.RateLimit = 1.5}, Now).empty());
  // Sent before the limit was named last: no word on what holds now.
  CHECK(it.apply(Now + 2s, {}, Now + 900ms).empty());
  CHECK(it.limit(Now + 1s) == Named);
  // A word that can't be read neither sets nor ends a limit.
  CHECK(!it.apply(Now + 2s, {.Unreadable = "limit"}, Now + 1500ms).empty());
  CHECK(it.isLimited());
  // Others may have an older word.
  CHECK(it.learnLimit(Now + 2s, {.Named = true, .Age = 1500ms}).empty());
  CHECK(it.limit(Now + 1s) == Named);
  CHECK(!it.apply(Now + 3s, {}, Now + 2s).empty());
  CHECK(!it.isLimited());
}

TEST_CASE("of several rests the latest end counts", "[feedback]") {
  ServerFeedback it;
  it.apply(Now, {.Rest = 3s}, Now);
  it.apply(Now + 100ms, {.Rest = 500ms}, Now);
  CHECK(it.isResting(Now + 2999ms));
  CHECK(!it.isResting(Now + 3s));
  CHECK(ServerFeedback::boundedRest(1e30) == ServerFeedback::MaxRest);
  CHECK(ServerFeedback::boundedRest(0.25) == 250ms);
}

TEST_CASE("what a server asks for is kept with its process", "[feedback]") {
  ServerSet set({});
  const auto announce = [&](std::uint64_t startedAt, bool gone = false) {
    MemberRecord record = server("p1", "plain", "1.0.0.1:80");
    record.Incarnation = startedAt;
    record.Gone = gone;
    set.apply({.Members = {record}});
  };
  const ServerProcess first{HostName("p1"), 7};
  const ServerProcess second{HostName("p1"), 8};
  announce(7);
  set.noteFeedback(Now, first, {.RateLimit = 2, .Leaving = true}, Now);
  // A registration that lapses and comes back is of the same process.
  announce(7, /*gone=*/true);
  announce(7);
  CHECK(set.feedbackOf(first).isLeaving());
  announce(8);
  CHECK(set.feedbackOf(second) == ServerFeedback());
  // The last words of the former process say nothing of this one.
  set.noteFeedback(Now, first, {.RateLimit = 2}, Now);
  CHECK(set.feedbackOf(second) == ServerFeedback());
}

TEST_CASE("the log tells what a server begins and ceases to ask for",
          "[feedback]") {
  ForwardUnderTest it;
  it.request("safe");
  const auto sent = it.only<SendUpstream>();
  it.head(sent, 200, {{"id", "r1"}, {"stamp", "s"}, {"limit", "1.5"}});
  std::vector<ForwardEvent> told;
  for (const ForwardEvent &event : it.Controller.takeEvents())
    if (std::string_view(event.Name) == "server_feedback")
      told.push_back(event);
  REQUIRE(told.size() == 1);
  CHECK(told[0].Detail.find("limit 1.5") != std::string::npos);
  CHECK(told[0].Server == sent.Server.Name);
}
