#include "ForwardUnderTest.h"
#include "pimentofront/Http.h"

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

constexpr std::size_t Mebibyte = std::size_t(1) << 20;
/// Without an amount for answers, so that sums are easy to read.
ByteBudget budgetOf(std::size_t limit) {
  return ByteBudget({.Limit = limit, .AnswerReserve = 0});
}

/// Sends requests with bodies of a given size to an entry with a bound.
struct BoundedEntry : ForwardUnderTest {
  explicit BoundedEntry(ForwardOptions options)
      : ForwardUnderTest(true, std::move(options)) {}
  void send(std::uint64_t key, const char *route, std::size_t bytes) {
    Controller.onRequest(Now, key,
                         {"POST",
                          std::string("/") + route + "/q",
                          {{"Host", "h"},
                           {"id", "r" + std::to_string(key)},
                           {"time", "5000"},
                           {"adapter", "x"}}},
                         std::string(bytes, 'p'), NoBody);
  }
};

} // namespace

TEST_CASE("slow readers with large prompts: an entry never holds more than its "
          "bound",
          "[held-bytes]") {
  constexpr std::size_t Limit = 16 * Mebibyte;
  ByteBudget budget({.Limit = Limit});
  Random random(7);
  std::set<ByteBudget::Key> held;
  TimePoint now{100s};
  std::size_t refused = 0;
  for (ByteBudget::Key key = 1; key <= 5000; ++key) {
    now += 5ms;
    // Callers read nothing of up to 4 MB in the middle of the time.
    budget.recordConnections(key / 1000 % 2 == 1 ? 4 * Mebibyte : 0);
    const auto urgency = static_cast<std::uint32_t>(random.next() % 3);
    const auto admission =
        budget.admit(now, key, urgency, random.next() % Mebibyte);
    for (const auto it : admission.Displaced)
      held.erase(it);
    if (admission.Admitted)
      held.insert(key);
    else
      ++refused;
    if (random.next() % 2 == 0)
      budget.recordSent(key);
    REQUIRE(budget.requestBytes() <= Limit);
    while (held.size() > 24) {
      budget.release(now, *held.begin());
      held.erase(held.begin());
    }
  }
  CHECK(refused > 0);
  for (const auto it : held)
    budget.release(now, it);
  CHECK(budget.requestBytes() == 0);
}

TEST_CASE(
    "an urgent request takes the place of the least urgent ones that were "
    "not sent, the newest first",
    "[held-bytes]") {
  ByteBudget budget = budgetOf(100);
  budget.admit(Now, 1, 2, 20);
  budget.admit(Now, 2, 2, 20);
  budget.admit(Now, 3, 1, 20);
  budget.admit(Now, 4, 2, 20);
  budget.admit(Now, 5, 2, 20);
  budget.recordSent(5);
  using Keys = std::vector<ByteBudget::Key>;
  CHECK(budget.admit(Now, 6, 1, 30).Displaced == Keys{4, 2});
  CHECK(budget.held() == 90);
  // Only 1, which is less urgent and wasn't sent, could make room: not enough.
  const auto tooLarge = budget.admit(Now, 7, 1, 31);
  CHECK_FALSE(tooLarge.Admitted);
  CHECK(tooLarge.Displaced.empty());
  CHECK_FALSE(budget.admit(Now, 8, 2, 20).Admitted);
  CHECK(budget.admit(Now, 9, 0, 50).Displaced == Keys{1, 6});
}

TEST_CASE("a refused caller comes back when the pace of answers has made room",
          "[held-bytes]") {
  ByteBudget budget = budgetOf(1000);
  TimePoint now{100s};
  for (ByteBudget::Key key = 1; key <= 10; ++key)
    budget.admit(now, key, 0, 100);
  CHECK(budget.timeUntilRoom(now, 100) == ByteBudget::MaxWait);
  // 200 bytes end each second.
  for (ByteBudget::Key key = 11; key <= 20; ++key) {
    budget.release(now += 500ms, key - 10);
    budget.admit(now, key, 0, 100);
  }
  const Duration wait = budget.timeUntilRoom(now, 100);
  CHECK(wait > 300ms);
  CHECK(wait < 800ms);
  budget.release(now, 20);
  CHECK(budget.timeUntilRoom(now, 100) == Duration::zero());
}

TEST_CASE("what entries have under way to one server stays below its bound",
          "[held-bytes]") {
  ServerBytes bytes(1000);
  const ServerProcess server{HostName("s"), 1};
  CHECK(bytes.hasRoom(server, 5000, 4)); // Nothing is under way yet.
  bytes.recordSent(server, 200);
  CHECK(bytes.hasRoom(server, 50, 4));
  CHECK_FALSE(bytes.hasRoom(server, 51, 4));
  CHECK(bytes.hasRoom({HostName("s"), 2}, 51, 4)); // Another process.
  bytes.recordSent(server, 0);
  bytes.recordEnded(server, 0);
  bytes.recordEnded(server, 200);
  CHECK(bytes.hasRoom(server, 5000, 4));
  CHECK(bytes.total() == 0);
}

TEST_CASE("of many large prompts that arrive at once the oldest is always read",
          "[held-bytes]") {
  ReceiveGate gate({.Limit = 100, .ReadBytes = 5});
  CHECK(gate.record(Now, 1, 90));
  CHECK_FALSE(gate.record(Now, 2, 20));
  CHECK(gate.record(Now, 1, 95)); // The older one goes on.
  CHECK_FALSE(gate.record(Now, 3, 10));
  CHECK(gate.record(Now, 1,
                    150)); // Even above the limit, or none would complete.
  CHECK(gate.takeResumed(Now).empty());
  gate.remove(1);
  CHECK(gate.takeResumed(Now) == std::vector<ReceiveGate::Id>{2, 3});
  CHECK(gate.total() == 30);
  CHECK(gate.stopped() == 0);
}

TEST_CASE("an entry without a bound serves as before", "[held-bytes]") {
  BoundedEntry entry({});
  entry.send(1, "safe", 64 * Mebibyte);
  entry.send(2, "safe", 64 * Mebibyte);
  CHECK(entry.take<SendUpstream>().size() == 2);
  CHECK_FALSE(entry.Controller.onUnsent(Now, 1, 64 * Mebibyte));
}

TEST_CASE("an entry that is full refuses at once what wasn't sent, with a time "
          "to come back",
          "[held-bytes]") {
  BoundedEntry entry({.Bytes = {.Limit = Mebibyte}});
  entry.send(1, "safe", Mebibyte / 2);
  CHECK(entry.take<SendUpstream>().size() == 1);
  entry.send(2, "safe", Mebibyte / 2);
  CHECK(entry.take<SendUpstream>().empty());
  const auto refusal = entry.only<ReplyComplete>();
  CHECK(refusal.Key == 2);
  CHECK(refusal.Head.Status == 503);
  CHECK(refusal.Body == "no_room\n");
  // The first one's end makes room.
  entry.Controller.onCallerDisconnected(Now, 1);
  entry.send(3, "safe", Mebibyte / 2);
  CHECK(entry.take<SendUpstream>().size() == 1);
}

// A burst of large prompts of little urgency while agents are asked for places.
TEST_CASE(
    "a waiting request yields to a more urgent one, and a sent one doesn't",
    "[held-bytes]") {
  BoundedEntry entry({.Bytes = {.Limit = Mebibyte}});
  entry.setTable({{"flow", 2}});
  entry.send(1, "flow", Mebibyte / 4); // Waits for an agent's permit.
  entry.send(2, "safe", Mebibyte / 4);
  CHECK(entry.take<SendUpstream>().size() == 1);
  entry.send(3, "safe", 5 * Mebibyte / 8);
  CHECK(entry.take<SendUpstream>().size() == 1);
  const auto refusal = entry.only<ReplyComplete>();
  CHECK(refusal.Key == 1);
  CHECK(refusal.Head.Status == 503);
  // Its agent is told that the place isn't needed.
  bool cancelled = false;
  for (const SendToAgent &it : entry.take<SendToAgent>())
    cancelled = cancelled || std::holds_alternative<CancelAttempt>(it.Content);
  CHECK(cancelled);
}

TEST_CASE("a caller that doesn't read stops the reading of its server, which "
          "isn't taken for lost",
          "[held-bytes]") {
  BoundedEntry entry({.Bytes = {.Limit = Mebibyte}});
  entry.send(1, "flow", 100);
  const SendUpstream sent = entry.permit();
  CHECK_FALSE(entry.Controller.onUnsent(Now, 1, 64 << 10));
  CHECK(entry.Controller.onUnsent(Now, 1, (64 << 10) + 1));
  CHECK(entry.only<PauseUpstream>().Paused);
  CHECK(entry.Controller.board().pausedStreams() == 1);
  entry.Controller.attempts().onAgentLost(Now + 10ms, HostName("a1"));
  entry.Controller.attempts().onAgentLost(Now + 10ms, HostName("a2"));
  entry.Controller.tick(Now + 2s);
  CHECK(entry.take<CancelUpstream>().empty());
  CHECK_FALSE(entry.Controller.onUnsent(Now + 2s, 1, 17 << 10));
  CHECK(entry.Controller.onUnsent(Now + 2s, 1, 16 << 10));
  CHECK_FALSE(entry.only<PauseUpstream>().Paused);
}

TEST_CASE("servers that hold what this entry may send them get no more",
          "[held-bytes]") {
  // Ten entries are presumed: each may send 100 bytes to a server.
  BoundedEntry entry({.Bytes = {.Limit = 16 * Mebibyte}, .ServerBytes = 1000});
  entry.send(1, "safe", 80);
  entry.send(2, "safe", 80);
  const auto sent = entry.take<SendUpstream>();
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].Server != sent[1].Server);
  entry.send(3, "safe", 80);
  CHECK(entry.take<SendUpstream>().empty());
  CHECK(entry.only<ReplyComplete>().Body == "no_room\n");
  entry.send(4, "safe", 20);
  CHECK(entry.take<SendUpstream>().size() == 1);
  // The servers read nothing: the requests' deadlines free their bytes.
  CHECK(entry.Controller.board().BytesAtServers.total() == 180);
  entry.Controller.tick(Now + 6s);
  CHECK(entry.take<CancelUpstream>().size() == 3);
  CHECK(entry.Controller.board().BytesAtServers.total() == 0);
  CHECK(entry.Controller.board().Bytes.requestBytes() == 0);
}
