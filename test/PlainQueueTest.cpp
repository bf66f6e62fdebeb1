// A plain service whose callers ask for more than its servers can do. Guards
// against queues that make every answer late, against declines that cost a
// request its only send, against urgent requests behind less urgent ones, and
// against one account taking the room of the others.

#include "ForwardUnderTest.h"

#include <deque>

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

constexpr Duration Target = 200ms;

PlainDemand demand(std::uint64_t key, std::uint32_t urgency = 0,
                   const char *account = "") {
  return {.Key = key,
          .Content = ContentHash{key, 1},
          .Urgency = urgency,
          .Account = AccountName(account),
          .ArrivedAt = Now,
          .Target = Target,
          .Deadline = Now + 3s};
}

/// A service of 20 slots and 20 ms whose answers come after \p answersIn.
PlainRoom fullRoom(Duration answersIn) {
  return {.Full = true,
          .StartsIn = answersIn - 20ms,
          .Pace = 20ms,
          .CompletionsPerSecond = 1000,
          .Slots = 20,
          .Entries = 4};
}
PlainRoom freeRoom(std::uint32_t slots) {
  PlainRoom room = fullRoom(20ms);
  room.Full = false;
  room.FreeSlots = slots;
  return room;
}

PlainVerdict verdict(PlainQueue &queue, const PlainDemand &it,
                     const PlainRoom &room, TimePoint now = Now) {
  return queue.offer(now, it, room).Verdict;
}

constexpr auto Send = PlainVerdict::Send;
constexpr auto Wait = PlainVerdict::Wait;
constexpr auto Refuse = PlainVerdict::Refuse;

} // namespace

TEST_CASE("with free slots, or without reports, every request is sent",
          "[plain-queue]") {
  PlainQueue queue;
  for (std::uint64_t key = 1; key <= 100; ++key) {
    const auto urgency = static_cast<std::uint32_t>(key % 3);
    CHECK(verdict(queue, demand(key, urgency, "a"), freeRoom(1)) == Send);
    CHECK(verdict(queue, demand(key, urgency, "a"), {}) == Send);
    queue.recordSent(Now, demand(key, urgency, "a"));
  }
  CHECK(queue.empty());
}

TEST_CASE("what can't be answered in time is refused at once, and the return "
          "is later the longer the overload lasts",
          "[plain-queue]") {
  PlainQueue queue;
  CHECK(verdict(queue, demand(1), fullRoom(150ms)) == Send);
  const PlainOutcome soon = queue.offer(Now, demand(2), fullRoom(250ms));
  CHECK(soon.Verdict == Refuse);
  CHECK(soon.RetryAfter >= 50ms);
  CHECK(soon.RetryAfter <= Target);
  queue.recordRefusal(Now, demand(2));
  for (int i = 1; i <= 15; ++i)
    queue.recordRefusal(Now + i * 100ms, demand(10));
  PlainDemand late = demand(3);
  late.ArrivedAt = Now + 1500ms;
  late.Deadline = Now + 6s;
  const PlainOutcome later = queue.offer(Now + 1500ms, late, fullRoom(250ms));
  CHECK(later.Verdict == Refuse);
  CHECK(later.RetryAfter > soon.RetryAfter);
  // A caller doesn't wait for more than a third of its time.
  CHECK(later.RetryAfter * 2 <= (late.Deadline - Now - 1500ms) / 3);
}

TEST_CASE("less urgent requests leave room for urgent ones, and wait",
          "[plain-queue]") {
  PlainQueue queue;
  // A single urgent request announces no others.
  CHECK(verdict(queue, demand(1, 0), fullRoom(120ms)) == Send);
  CHECK(verdict(queue, demand(7, 2), fullRoom(120ms)) == Send);
  CHECK(verdict(queue, demand(1, 0), fullRoom(120ms)) == Send);
  CHECK(verdict(queue, demand(2, 2), fullRoom(120ms)) == Wait);
  CHECK(verdict(queue, demand(3, 1), fullRoom(120ms)) == Wait);
  CHECK(verdict(queue, demand(4, 0), fullRoom(120ms)) == Send);
  CHECK(queue.takeReady(Now + 5ms, fullRoom(120ms)).empty());
  // The entry's share of the free slots: one of four.
  CHECK(queue.takeReady(Now + 10ms, freeRoom(4)) ==
        std::vector<std::uint64_t>{3});
  CHECK(queue.takeReady(Now + 10ms, freeRoom(4)) ==
        std::vector<std::uint64_t>{2});
  // One that has waited as long as it may yields no longer.
  CHECK(verdict(queue, demand(6, 2), fullRoom(80ms), Now + 50ms) == Send);
  CHECK(verdict(queue, demand(6, 2), fullRoom(130ms), Now + 50ms) == Refuse);
  // Without urgent requests all room is theirs.
  PlainDemand later = demand(5, 2);
  later.ArrivedAt = Now + 5s;
  later.Deadline = Now + 8s;
  CHECK(verdict(queue, later, fullRoom(120ms), Now + 5s) == Send);
}

TEST_CASE("a less urgent request with a long target isn't sent where an urgent "
          "one with a short target is refused",
          "[plain-queue]") {
  PlainQueue queue;
  PlainDemand patient = demand(2, 1);
  patient.Target = 2s;
  for (Duration answersIn = 40ms; answersIn < 2s; answersIn += 40ms) {
    const bool urgentSent =
        verdict(queue, demand(1, 0), fullRoom(answersIn)) == Send;
    const bool patientSent =
        verdict(queue, patient, fullRoom(answersIn)) == Send;
    INFO("answer expected in " << answersIn.count() / 1000 << " ms");
    CHECK((urgentSent || !patientSent));
  }
}

TEST_CASE("an account at eight times its usual waits before the others do, and "
          "uses what they leave",
          "[plain-queue]") {
  PlainQueue queue;
  for (int i = 0; i < 10; ++i) {
    for (const char *it : {"a", "b", "c"})
      queue.recordSent(Now, demand(1, 0, it));
    for (int n = 0; n < 8; ++n)
      queue.recordSent(Now, demand(1, 0, "hot"));
  }
  CHECK(verdict(queue, demand(2, 0, "a"), fullRoom(120ms)) == Send);
  CHECK(verdict(queue, demand(3, 0, "hot"), fullRoom(120ms)) == Wait);
  CHECK(verdict(queue, demand(4, 0, "hot"), freeRoom(4)) == Send);
  // The others have stopped.
  queue.remove(3);
  for (int n = 0; n < 400; ++n)
    queue.recordSent(Now + 20s, demand(1, 0, "hot"));
  PlainDemand alone = demand(5, 0, "hot");
  alone.ArrivedAt = Now + 20s;
  alone.Deadline = Now + 23s;
  CHECK(verdict(queue, alone, fullRoom(120ms), Now + 20s) == Send);
}

TEST_CASE("an account with a larger allotment gets more", "[plain-queue]") {
  PlainQueue queue;
  PlainDemand large = demand(1, 0, "large");
  large.AccountShare = 8;
  for (int i = 0; i < 10; ++i) {
    for (const char *it : {"a", "b", "c"})
      queue.recordSent(Now, demand(1, 0, it));
    for (int n = 0; n < 8; ++n)
      queue.recordSent(Now, large);
  }
  CHECK(verdict(queue, large, fullRoom(120ms)) == Send);
}

TEST_CASE("a request isn't sent to servers that would decline it, and is "
          "refused early enough to come back",
          "[plain-queue]") {
  PlainQueue queue;
  PlainRoom room = fullRoom(100ms);
  room.WouldDecline = true;
  CHECK(verdict(queue, demand(1), room) == Wait);
  CHECK(queue.takeReady(Now + 20ms, room).empty());
  CHECK(queue.takeExpired(Now + 40ms).empty());
  CHECK(queue.takeExpired(Now + Target / 4) == std::vector<std::uint64_t>{1});
  CHECK(queue.empty());
  // One that was declined already doesn't wait.
  PlainDemand declined = demand(2);
  declined.MayWait = false;
  CHECK(verdict(queue, declined, room) == Refuse);
}

TEST_CASE("a service that recovers gets its queue back at its own pace",
          "[plain-queue]") {
  PlainQueue queue;
  PlainRoom room = fullRoom(100ms);
  room.WouldDecline = true;
  for (std::uint64_t key = 1; key <= 30; ++key)
    CHECK(verdict(queue, demand(key), room) == Wait);
  room.WouldDecline = false;
  // Completions a second divided by the entries: one in 4 ms.
  std::size_t sent = 0;
  for (int ms = 1; ms <= 40; ++ms)
    sent += queue.takeReady(Now + ms * 1ms, room).size();
  CHECK(sent >= 8);
  CHECK(sent <= 11);
}

TEST_CASE("a request that comes back after a refusal goes before new ones",
          "[plain-queue]") {
  PlainQueue queue;
  queue.recordRefusal(Now, demand(9));
  PlainRoom room = fullRoom(100ms);
  room.WouldDecline = true;
  CHECK(verdict(queue, demand(1), room) == Wait);
  CHECK(verdict(queue, demand(9), room) == Wait);
  CHECK(verdict(queue, demand(2, 1), room) == Wait);
  CHECK(queue.takeReady(Now + 1ms, freeRoom(20)) ==
        std::vector<std::uint64_t>{9, 1, 2});
}

TEST_CASE("the queue is bounded, and the least preferred request yields",
          "[plain-queue]") {
  PlainQueue queue({.MaxWaiting = 2});
  PlainRoom room = fullRoom(100ms);
  room.WouldDecline = true;
  CHECK(verdict(queue, demand(1, 2), room) == Wait);
  CHECK(verdict(queue, demand(2, 1), room) == Wait);
  CHECK(verdict(queue, demand(3, 2), room) == Refuse);
  CHECK(verdict(queue, demand(4, 0), room) == Wait);
  CHECK(queue.takeExpired(Now) == std::vector<std::uint64_t>{1});
  CHECK(queue.size() == 2);
}

TEST_CASE("an entry that was frozen with requests in its queue refuses them",
          "[plain-queue]") {
  PlainQueue queue;
  PlainRoom room = fullRoom(100ms);
  room.WouldDecline = true;
  CHECK(verdict(queue, demand(1), room) == Wait);
  CHECK(queue.takeExpired(Now + 10s) == std::vector<std::uint64_t>{1});
  CHECK(queue.takeReady(Now + 10s, freeRoom(20)).empty());
}

namespace {

/// What one entry believes of its servers, which have 4 slots each.
struct RoomUnderTest {
  explicit RoomUnderTest(std::uint32_t waiting) {
    MemberRecord p1 = server("p1", "plain", "1.0.0.1:80");
    MemberRecord p2 = server("p2", "plain", "1.0.0.2:80");
    p1.Incarnation = p2.Incarnation = 1;
    Entry.apply(Now, {.Full = true, .Complete = true, .Members = {p1, p2}});
    for (const char *name : {"p1", "p2"})
      report(Now, name, 4, waiting);
  }
  void report(TimePoint now, const char *name, std::uint32_t running,
              std::uint32_t waiting) {
    const ServerProcess it = Entry.find(HostName(name))->Record.process();
    Entry.recordLoad(now, it, {.Running = running, .Waiting = waiting});
    Entry.recordAnswerTime(now, it, fromSeconds(0.02 * (4.0 + waiting) / 4));
  }
  PlainRoom room(TimePoint now) {
    return Entry.plainRoom(now, ServiceName("plain"), {});
  }
  ServerSet Entry{{.Zone = ZoneName("z")}};
};

} // namespace

TEST_CASE("a service counts as full only by fresh reports of all its servers",
          "[plain-queue]") {
  RoomUnderTest it(8);
  CHECK(it.room(Now).Full);
  CHECK(it.room(Now).answersIn() >= 60ms);
  // Reports are lost, or old.
  CHECK_FALSE(it.room(Now + 1s).Full);
  // One server has room.
  it.report(Now + 1s, "p1", 4, 8);
  it.report(Now + 1s, "p2", 2, 0);
  CHECK_FALSE(it.room(Now + 1s).Full);
  CHECK(it.room(Now + 1s).FreeSlots == 2);
  // What this entry has sent since the report counts.
  const ServerProcess p2 = it.Entry.find(HostName("p2"))->Record.process();
  it.Entry.recordSent(p2);
  it.Entry.recordSent(p2);
  CHECK(it.room(Now + 1s).Full);
  // A server that has restarted is tried.
  MemberRecord restarted = server("p2", "plain", "1.0.0.2:80");
  restarted.Incarnation = 7;
  it.Entry.apply(Now + 1s, {.Members = {restarted}});
  CHECK_FALSE(it.room(Now + 1s).Full);
}

TEST_CASE("a server that says free and declines doesn't make its service full",
          "[plain-queue]") {
  RoomUnderTest it(0);
  it.report(Now, "p1", 0, 0);
  it.report(Now, "p2", 0, 0);
  for (const char *name : {"p1", "p2"})
    it.Entry.recordDecline(Now,
                           it.Entry.find(HostName(name))->Record.process());
  CHECK_FALSE(it.room(Now).Full);
  CHECK_FALSE(it.room(Now).WouldDecline);
}

TEST_CASE("the number of entries that a new leader counts doesn't change "
          "whether a service is full",
          "[plain-queue]") {
  RoomUnderTest it(8);
  const PlainRoom before = it.room(Now);
  it.Entry.onEntryCount(Now, 1);
  PlainRoom after = it.room(Now);
  after.Entries = before.Entries;
  CHECK(after == before);
}

namespace {

/// Servers with 4 slots and a queue of 16 each that take 20 ms, and the entries
/// before them. The link takes no time.
struct SmallService {
  static constexpr std::size_t Slots = 4;
  static constexpr std::size_t QueueLength = 16;
  static constexpr Duration Work = 20ms;
  struct Job {
    std::size_t Entry;
    TimePoint Start;
    std::uint32_t Urgency;
    TimePoint SentAt;
    std::optional<TimePoint> EndsAt = {};
  };
  struct Entry {
    ServerSet Servers{{.Zone = ZoneName("z")}};
    PlainQueue Queue;
  };

  SmallService() {
    for (Entry &it : Entries) {
      it.Servers.apply(Now, {.Full = true,
                             .Complete = true,
                             .Members = {server("p1", "plain", "1.0.0.1:80"),
                                         server("p2", "plain", "1.0.0.2:80")}});
      it.Servers.onEntryCount(Now, 4);
    }
  }
  static std::size_t indexOf(const ServerView &it) {
    return it.Record.Host == HostName("p1") ? 0 : 1;
  }
  ServerLoad loadOf(std::size_t server) const {
    const auto n = static_cast<std::uint32_t>(Jobs[server].size());
    const auto running = std::min<std::uint32_t>(n, Slots);
    return {.Running = running, .Waiting = n - running};
  }
  void call(TimePoint now, std::size_t entry, std::uint32_t urgency) {
    Entry &it = Entries[entry];
    ++Asked[urgency];
    PlainDemand asked = demand(++LastKey, urgency);
    asked.Content = ContentHash{LastKey, 2};
    asked.ArrivedAt = now;
    asked.Deadline = now + 3s;
    const PlainRoom room = it.Servers.plainRoom(now, ServiceName("plain"), {});
    const PlainOutcome outcome = it.Queue.offer(now, asked, room);
    if (outcome.Verdict != PlainVerdict::Send) {
      it.Queue.remove(LastKey);
      return;
    }
    ServerView *to = room.ReportedFull
                         ? it.Servers.find(room.Best)
                         : it.Servers.choose(now, ServiceName("plain"), {}, {});
    const std::size_t server = indexOf(*to);
    if (Jobs[server].size() >= Slots + QueueLength) {
      ++Declined;
      it.Servers.recordLoad(now, to->Record.process(), loadOf(server));
      it.Servers.recordDecline(now, to->Record.process());
      return;
    }
    it.Servers.recordSent(to->Record.process());
    Jobs[server].push_back({entry, now, urgency, now});
  }
  void step(TimePoint now) {
    for (std::size_t i = 0; i < Jobs.size(); ++i) {
      for (std::size_t n = 0; n < std::min(Jobs[i].size(), Slots); ++n)
        if (!Jobs[i][n].EndsAt)
          Jobs[i][n].EndsAt = now + Work;
      while (!Jobs[i].empty() && Jobs[i].front().EndsAt <= now) {
        const Job job = Jobs[i].front();
        Jobs[i].pop_front();
        ServerSet &servers = Entries[job.Entry].Servers;
        const ServerProcess process =
            servers.find(HostName(i == 0 ? "p1" : "p2"))->Record.process();
        servers.recordLoad(now, process, loadOf(i));
        servers.recordAnswerTime(now, process, now - job.SentAt);
        servers.recordOutcome(now, process, ServerOutcome::Answered);
        (now - job.Start <= Target ? InTime : Late)[job.Urgency] += 1;
      }
    }
  }
  void run(double perSecond, Duration time) {
    Random rng(7);
    for (TimePoint now = Now; now < Now + time; now += 1ms) {
      step(now);
      for (double n = perSecond / 1000; n > 0; --n)
        if (rng.uniform() < n)
          call(now, static_cast<std::size_t>(rng.uniform() * 4),
               rng.uniform() < 0.5 ? 0 : 1);
    }
  }

  std::array<Entry, 4> Entries;
  std::array<std::deque<Job>, 2> Jobs;
  std::array<int, 2> Asked{}, InTime{}, Late{};
  int Declined = 0;
  std::uint64_t LastKey = 0;
};

} // namespace

TEST_CASE("a small service at twice its room answers in time what it can, and "
          "the urgent half first",
          "[plain-queue]") {
  SmallService it;
  constexpr double Room = 400; // requests a second
  it.run(2 * Room, 10s);
  const int inTime = it.InTime[0] + it.InTime[1];
  INFO("in time " << it.InTime[0] << " and " << it.InTime[1] << ", late "
                  << it.Late[0] << " and " << it.Late[1] << ", asked "
                  << it.Asked[0] << " and " << it.Asked[1] << ", declined "
                  << it.Declined);
  // Nothing idles, and what is sent is in time.
  CHECK(inTime >= 0.9 * Room * 10);
  CHECK(it.Late[0] + it.Late[1] <= 0.05 * inTime);
  CHECK(it.Declined <= 0.01 * (it.Asked[0] + it.Asked[1]));
  CHECK(it.InTime[0] > it.InTime[1]);
}

TEST_CASE("a small service below its room refuses nobody", "[plain-queue]") {
  SmallService it;
  it.run(280, 10s);
  const int answered = it.InTime[0] + it.InTime[1] + it.Late[0] + it.Late[1];
  CHECK(answered >= it.Asked[0] + it.Asked[1] - 20);
}

TEST_CASE("an entry refuses at once what full servers can't answer in time, "
          "truly and with a time to come back",
          "[plain-queue]") {
  ForwardUnderTest it(/*withTable=*/true, {.QueuesPlain = true});
  const TimePoint later = Now + 2s;
  const auto request = [&](TimePoint now, std::uint64_t key) {
    it.Controller.onRequest(
        now, key,
        {"POST", "/once/q", {{"Host", "h"}, {"id", "r1"}, {"time", "5000"}}},
        "body", NoBody);
  };
  request(Now, 1);
  request(Now, 2);
  // Both answers take two seconds, and long queues are reported.
  for (const SendUpstream &sent : it.take<SendUpstream>()) {
    it.Controller.answers().onHead(
        later, sent.Attempt,
        {200, {{"id", "r1"}, {"stamp", "s"}, {"load", "4,40"}}});
    it.Controller.answers().onEnd(later, sent.Attempt, Completed);
  }
  CHECK(it.take<ReplyComplete>().size() == 2);
  request(later, 3);
  CHECK(it.take<SendUpstream>().empty());
  const auto refused = it.only<ReplyComplete>();
  CHECK(refused.Head.Status == 503);
  CHECK(findHeader(refused.Head.Headers, "come-back"));
  // Once the reports are old, requests are sent as ever.
  request(later + 1s, 4);
  CHECK(it.take<SendUpstream>().size() == 1);
}
