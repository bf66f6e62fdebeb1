#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};

LoadDemand demand(const char *host, const char *adapter, std::uint32_t weight,
                  Duration slack = 10s) {
  return {HostName(host), 1, {AdapterName(adapter), 1}, weight, slack};
}

} // namespace

TEST_CASE("one load at a time, the most weight first") {
  LoadScheduler scheduler({.LoadsPerSecond = 4});
  scheduler.onDemand(Now, demand("w1", "light", 1));
  scheduler.onDemand(Now, demand("w2", "heavy", 8));
  const auto first = scheduler.run(Now);
  REQUIRE(first.size() == 1);
  CHECK(first[0].Host == HostName("w2"));
  CHECK(scheduler.run(Now + 1s).empty()); // The first is still loading.
  scheduler.onDone(Now + 1s,
                   {HostName("w2"), first[0].Ticket.Ticket, true, 1s});
  CHECK(scheduler.run(Now + 1s).size() == 1);
}

TEST_CASE("what can't come in time stands behind what can") {
  LoadScheduler scheduler({.LoadsPerSecond = 4});
  scheduler.onDemand(Now, demand("w1", "late", 9, 10ms));
  scheduler.onDemand(Now, demand("w2", "good", 1));
  CHECK(scheduler.run(Now).at(0).Host == HostName("w2"));
}

TEST_CASE("the wait that is told grows with the queue") {
  LoadScheduler scheduler({.LoadsPerSecond = 4});
  Duration before = -1s;
  for (const char *it : {"a", "b", "c", "d"}) {
    const Duration told = scheduler.onDemand(Now, demand("w", it, 1)).Backlog;
    CHECK(told > before);
    before = told;
  }
  CHECK(before == 750ms);
}

TEST_CASE("a ticket that is lost doesn't stop the loads") {
  LoadScheduler scheduler({.LoadsPerSecond = 4});
  scheduler.onDemand(Now, demand("w1", "a", 1));
  REQUIRE(scheduler.run(Now).size() == 1);
  scheduler.onDemand(Now, demand("w2", "b", 1));
  CHECK(scheduler.run(Now + 1s).empty());
  CHECK(scheduler.run(Now + 2100ms).size() == 1);
}

TEST_CASE("a host that is gone gives its ticket free at once") {
  LoadScheduler scheduler({.LoadsPerSecond = 4});
  scheduler.onDemand(Now, demand("w1", "a", 1));
  scheduler.run(Now);
  scheduler.onDemand(Now, demand("w2", "b", 1));
  scheduler.forgetHost(HostName("w1"));
  CHECK(scheduler.run(Now + 250ms).size() == 1);
}

TEST_CASE("demands that nobody tells again go") {
  LoadScheduler scheduler({.LoadsPerSecond = 4});
  scheduler.onDemand(Now, demand("w1", "a", 1));
  CHECK(scheduler.run(Now + 4s).empty());
  CHECK(scheduler.waiting() == 0);
}

TEST_CASE("sessions are told from standing popularity") {
  PopularityTable table({});
  const AdapterKey steady{AdapterName("steady"), 1};
  TimePoint now = Now;
  for (int i = 0; i < 600; ++i) {
    now += 100s;
    table.noteRequest(now, steady);
    const AdapterKey once{AdapterName("s" + std::to_string(i)), 1};
    for (int j = 0; j < 3; ++j)
      table.noteRequest(now + j * 3s, once);
  }
  CHECK(table.sessionShare() > 0.2);
  const AdapterKey last{AdapterName("s599"), 1};
  CHECK(table.valueOf(now + 7s, last) > table.valueOf(now + 7s, steady));
  CHECK(table.valueOf(now + 60s, last) < table.valueOf(now + 60s, steady));
}

TEST_CASE("a table of popularity is bounded") {
  PopularityTable table({.Capacity = 100});
  for (int i = 0; i < 1000; ++i)
    table.noteRequest(Now, {AdapterName(std::to_string(i)), 1});
  CHECK(table.size() <= 100);
}
