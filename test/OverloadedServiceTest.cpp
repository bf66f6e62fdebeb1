// A plain service with few slots loses servers, and its callers ask for more
// than the others can do. Guards against queues at the servers that make most
// answers late, and against newcomers (a route, an account, an entry or a
// server that was added later) that are hardly served, because chance decides
// who finds a place in a full queue.

#include "SmallService.h"

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

/// Requests a second: three servers have room for 600, one for 200.
constexpr double Usual = 340;
/// An added route has few requests, whose callers don't come back.
constexpr double Few = 3.5;
/// Until the entries have noticed that servers are gone.
constexpr Duration SettleTime = 3s;

/// Loses two of its three servers.
void loseTwo(SmallService &it) {
  it.run(3s, Usual, Few);
  it.removeServer(0);
  it.removeServer(1);
  it.run(SettleTime, Usual, Few);
  it.resetCounts();
}

} // namespace

TEST_CASE("a service that has lost two of three servers answers in time what "
          "the last one can do, and refuses the rest at once",
          "[overloaded-service]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SmallService it({.Seed = seed});
    loseTwo(it);
    it.run(10s, Usual, Few);
    it.drain();
    const CallerCounts first = it.first();
    INFO("seed " << seed << ": " << first.text() << "; capacity "
                 << it.capacity(10s) << ", arrivals " << it.arrivals()
                 << ", declines " << it.declines());
    // Slots are idle now and then, since the work of requests differs.
    CHECK(first.InTime >= 0.8 * it.capacity(10s));
    CHECK(first.Late <= 0.1 * first.InTime);
    CHECK(it.declines() <= 0.05 * it.arrivals());
    CHECK(it.refusalsWithoutReturn() == 0);
  }
}

TEST_CASE("an added route with few requests is served at least a quarter as "
          "often as all requests while its service is overloaded",
          "[overloaded-service]") {
  // The callers of other services, which are served.
  constexpr double Others = 0.98;
  constexpr double OtherRequests = 2.6;
  CallerCounts sum;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    SmallService it({.Seed = seed});
    loseTwo(it);
    it.run(9s, Usual, Few);
    it.drain();
    const CallerCounts first = it.first();
    const CallerCounts added = it.onRoute("added");
    const double all =
        (first.servedShare() + Others * OtherRequests) / (1 + OtherRequests);
    INFO("seed " << seed << ": first " << first.text() << "; added "
                 << added.text());
    CHECK(added.servedShare() >= all / 4);
    sum.Asked += added.Asked;
    sum.InTime += added.InTime;
    sum.Late += added.Late;
  }
  INFO("all seeds: " << sum.text());
  // Serving them takes one hundredth of the room.
  CHECK(sum.InTime >= 0.8 * sum.Asked);
}

TEST_CASE("an account with few requests is served while larger ones overload "
          "the service",
          "[overloaded-service]") {
  CallerCounts sum;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SmallService it({.Seed = seed,
                     .Returns = 0,
                     .Accounts = {{"large", 0.5},
                                  {"medium1", 0.25},
                                  {"medium2", 0.24},
                                  {"new", 0.01}}});
    loseTwo(it);
    it.run(10s, Usual);
    it.drain();
    const CallerCounts large = it.account("large");
    const CallerCounts added = it.account("new");
    INFO("seed " << seed << ": large " << large.text() << "; new "
                 << added.text());
    CHECK(added.servedShare() >= large.servedShare());
    sum.Asked += added.Asked;
    sum.InTime += added.InTime;
  }
  INFO("all seeds: " << sum.text());
  CHECK(sum.InTime >= 0.8 * sum.Asked);
}

TEST_CASE("an entry that has restarted serves its callers as the others do "
          "while the service is overloaded",
          "[overloaded-service]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SmallService it({.Seed = seed});
    loseTwo(it);
    it.restartEntry(10);
    it.resetCounts();
    it.run(10s, Usual, Few);
    it.drain();
    const CallerCounts first = it.first();
    const CallerCounts restarted = it.entry(10);
    INFO("seed " << seed << ": all " << first.text() << "; restarted "
                 << restarted.text());
    CHECK(restarted.servedShare() >= 0.75 * first.servedShare());
    CHECK(restarted.servedShare() <= 1.25 * first.servedShare());
    CHECK(first.InTime >= 0.8 * it.capacity(10s));
  }
}

TEST_CASE("entries with many callers serve them as well as those with few "
          "while the service is overloaded",
          "[overloaded-service]") {
  SmallService it({});
  loseTwo(it);
  it.run(30s, Usual);
  it.drain();
  // Entries are in order of their numbers of callers.
  const CallerCounts least = it.entry(0);
  const CallerCounts most = it.entry(20);
  INFO("least: " << least.text() << "; most: " << most.text());
  CHECK(least.servedShare() >= 0.75 * most.servedShare());
  CHECK(most.servedShare() >= 0.75 * least.servedShare());
}

TEST_CASE("a server that is added to an overloaded service is used within two "
          "seconds",
          "[overloaded-service]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SmallService it({.Seed = seed});
    loseTwo(it);
    it.run(5s, Usual);
    it.addServer();
    it.run(2s, Usual);
    it.resetCounts();
    it.run(5s, Usual);
    it.drain();
    const CallerCounts first = it.first();
    INFO("seed " << seed << ": " << first.text() << ", capacity "
                 << it.capacity(5s));
    // Two servers have room for 400 requests a second.
    CHECK(first.InTime >= 0.95 * first.Asked);
  }
}

TEST_CASE("a small service whose servers have room refuses nobody",
          "[overloaded-service]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SmallService it({.Seed = seed});
    it.run(10s, Usual, Few);
    it.drain();
    const CallerCounts first = it.first();
    INFO("seed " << seed << ": " << first.text());
    CHECK(first.Refused + first.Failed == 0);
    CHECK(first.InTime >= 0.97 * first.Asked);
  }
}

TEST_CASE("an entry without valid reports sends all requests, and a single "
          "report takes at most half of them",
          "[overloaded-service]") {
  PlainAdmission admission;
  const AdmissionRequest request{.Route = "once", .Target = 150ms};
  const WaitReport full{.Wait = 120ms, .Pace = 30ms, .At = Now};
  admission.recordArrival(Now, request, full);
  // The growth of the same step precedes the cut.
  const PlainAdmissionOptions options;
  constexpr double LongestStep = 0.25; // seconds
  CHECK(admission.share() ==
        Approx(0.5 * (1 + options.GrowthPerSecond * LongestStep)));
  CHECK(admission.probability(Now, request) < 0.5);
  admission.recordArrival(Now + 10ms, request, std::nullopt);
  CHECK(admission.probability(Now + 10ms, request) == 1);
}

TEST_CASE("less urgent requests are admitted after urgent ones, but a quarter "
          "as often as all requests at least",
          "[overloaded-service]") {
  PlainAdmission admission;
  const AdmissionRequest urgent{.Route = "a", .Urgency = 0, .Target = 150ms};
  const AdmissionRequest other{.Route = "b", .Urgency = 2, .Target = 150ms};
  TimePoint now = Now;
  for (int i = 0; i < 400; ++i) {
    now += 5ms;
    const bool full = i % 4 == 0;
    const WaitReport report{
        .Wait = full ? 60ms : 27ms, .Pace = 30ms, .At = now};
    admission.recordArrival(now, urgent, report);
    admission.recordArrival(now, other, report);
  }
  INFO("admitted share " << admission.share());
  REQUIRE(admission.share() < 0.7);
  const WaitReport steady{.Wait = 26ms, .Pace = 30ms, .At = now};
  admission.recordArrival(now, urgent, steady);
  const double first = admission.probability(now, urgent);
  const double last = admission.probability(now, other);
  CHECK(first > last);
  CHECK(last >= admission.share() / 4);
}

// A service with a server that hasn't reported lately: its room isn't known,
// but an entry refuses by the reports of the others. Guards against refusals
// that ask callers to come back in no time.
TEST_CASE("a refusal asks callers to come back later although a server hasn't "
          "reported",
          "[overloaded-service]") {
  const PlainQueue queue;
  const PlainDemand demand{
      .ArrivedAt = Now, .Target = 150ms, .Deadline = Now + 1s};
  PlainRoom room;
  room.Reported = WaitReport{.Wait = 60ms, .Pace = 30ms, .At = Now};
  CHECK(queue.retryAfter(Now, demand, room) >= 30ms);
  // A caller without any time left.
  PlainDemand last = demand;
  last.Deadline = Now + 10ms;
  CHECK(queue.retryAfter(Now, last, room) >= 10ms);
}
