// The first event of a prompt was expected too early at an engine with several
// long prompts to read: an engine was given up to six of them, and entries
// chose engines by waits that left them out.
#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};
constexpr std::uint32_t Urgent = 0;
constexpr std::uint32_t Usual = 2;
/// What callers of long prompts are given: an estimate that is wrong by a
/// quarter of this time sends a prompt to the wrong engine.
constexpr Duration Target = 800ms;

AttemptId attempt(std::uint64_t n) { return {1, n}; }

/// An engine that reads prompts one after another and needs some steps more for
/// the first event.
struct FakeEngine {
  Duration TimePerThousand = 30ms;
  Duration Lag = 100ms;
  TimePoint FreeAt = Now;

  /// \returns when the first event of a prompt comes that is sent now.
  TimePoint send(TimePoint now, std::uint32_t tokens) {
    FreeAt = std::max(FreeAt, now) + TimePerThousand * tokens / 1000;
    return FreeAt + Lag;
  }
};

/// Sends \p prompts prompts of \p tokens in groups of three at once.
TimePoint teach(FirstEventModel &model, FakeEngine &engine, TimePoint now,
                int prompts, std::uint32_t tokens) {
  std::uint64_t n = 1000;
  for (int i = 0; i < prompts; i += 3) {
    std::vector<std::pair<AttemptId, TimePoint>> sent;
    for (int k = 0; k < 3; ++k) {
      sent.emplace_back(attempt(++n), engine.send(now, tokens));
      model.onSent(now, attempt(n), Usual, tokens);
    }
    for (const auto &[id, at] : sent)
      model.onBegan(at, id, at - now);
    now = sent.back().second + 1s;
  }
  return now;
}

bool isNear(Duration a, Duration b) {
  return std::chrono::abs(a - b) <= Target / 4;
}

} // namespace

TEST_CASE("the first event behind several long prompts is expected when it "
          "comes, at engines of two paces",
          "[first-event]") {
  const int slowness = GENERATE(1, 2);
  FakeEngine engine{.TimePerThousand = 30ms * slowness,
                    .Lag = 100ms * slowness};
  FirstEventModel model;
  const TimePoint now = teach(model, engine, Now, 30, 6000);
  for (std::uint64_t n = 1; n <= 4; ++n) {
    const Duration expected = model.expected(now, Usual, 6000);
    CHECK(isNear(expected, engine.send(now, 6000) - now));
    model.onSent(now, attempt(n), Usual, 6000);
  }
}

TEST_CASE(
    "an engine that turns slow is expected to be slow after a few prompts",
    "[first-event]") {
  FakeEngine engine;
  FirstEventModel model;
  TimePoint now = teach(model, engine, Now, 30, 6000);
  engine.TimePerThousand *= 2;
  now = teach(model, engine, now, 30, 6000);
  CHECK(isNear(model.expected(now, Usual, 6000), engine.send(now, 6000) - now));
}

TEST_CASE("a short urgent prompt is expected before long ones that wait",
          "[first-event]") {
  FirstEventModel model;
  for (std::uint64_t n = 1; n <= 5; ++n)
    model.onSent(Now, attempt(n), Usual, 8000);
  CHECK(model.expected(Now, Urgent, 800) == 20ms);
  CHECK(model.expected(Now, Usual, 800) == 1020ms);
  model.onSent(Now, attempt(6), Urgent, 4000);
  CHECK(model.expected(Now, Usual, 800) == 1120ms);
}

TEST_CASE("the first event of a prompt shows that those before it were read",
          "[first-event]") {
  FirstEventModel model;
  for (std::uint64_t n = 1; n <= 3; ++n)
    model.onSent(Now, attempt(n), Usual, 8000);
  CHECK(model.unreadTokens(Now) == 24000);
  model.onBegan(Now + 100ms, attempt(2), Duration::zero());
  CHECK(model.unreadTokens(Now + 100ms) == 8000);
  model.onEnded(Now + 100ms, attempt(3));
  CHECK(model.unreadTokens(Now + 100ms) == 0);
}

TEST_CASE("without any report prompts count as read after their expected time",
          "[first-event]") {
  FirstEventModel model;
  model.onSent(Now, attempt(1), Usual, 8000);
  model.onSent(Now, attempt(2), Usual, 8000);
  CHECK(model.unreadTokens(Now + 300ms) == 4000);
  CHECK(model.unreadTokens(Now + 400ms) == 0);
  model.onSent(Now + 10s, attempt(3), Usual, 8000);
  CHECK(model.unreadTokens(Now + 10s) == 8000);
}

TEST_CASE("an engine that restarts has no prompts to read", "[first-event]") {
  FirstEventModel model;
  model.onSent(Now, attempt(1), Usual, 8000);
  model.clear(Now + 10ms);
  CHECK(model.unreadTokens(Now + 10ms) == 0);
  CHECK(model.unbegun() == 0);
  model.onBegan(Now + 20ms, attempt(1), 20ms);
  CHECK(model.meanError() == 0ms);
}

TEST_CASE("a stalled entry or a caller's wrong token count doesn't move the "
          "estimate by more than a few prompts can mend",
          "[first-event]") {
  FakeEngine engine;
  FirstEventModel model;
  TimePoint now = teach(model, engine, Now, 30, 6000);
  SECTION("an entry slept for a minute before it sent the prompt") {
    model.onSent(now, attempt(1), Usual, 6000);
    model.onBegan(now + 60s, attempt(1), 60s);
    now += 61s;
  }
  SECTION("a caller stated ten million tokens for a short prompt") {
    model.onSent(now, attempt(1), Usual, 10'000'000);
    model.onBegan(now + 50ms, attempt(1), 50ms);
    CHECK(model.unreadTokens(now + 50ms) == 0);
    now += 1s;
  }
  engine.FreeAt = now;
  now = teach(model, engine, now, 30, 6000);
  CHECK(isNear(model.expected(now, Usual, 6000), engine.send(now, 6000) - now));
}
