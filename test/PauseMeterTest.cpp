#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};
const ServiceName Drafts("drafts");

EndedStream stream(Duration longestPause, Duration target = 400ms) {
  return {.Service = Drafts,
          .Route = "chat",
          .Took = 2s,
          .LongestPause = longestPause,
          .PauseTarget = target};
}

/// Records a stream each 100 ms, one in \p every with a pause over the target.
TimePoint record(PauseMeter &meter, TimePoint now, int streams, int every) {
  for (int i = 1; i <= streams; ++i, now += 100ms)
    meter.recordStream(now, stream(i % every == 0 ? 500ms : 200ms));
  return now;
}

} // namespace

TEST_CASE("streams that keep their pauses leave a service undisturbed",
          "[pause-meter]") {
  PauseMeter meter;
  const TimePoint now = record(meter, Start, 500, 1000);
  CHECK_FALSE(meter.isDisturbed(now, Drafts));
  CHECK(meter.meanDuration("chat") == 2s);
}

TEST_CASE("long prompts beside long answers disturb a service, and another one "
          "stays undisturbed",
          "[pause-meter]") {
  PauseMeter meter;
  const TimePoint now = record(meter, Start, 100, 5);
  CHECK(meter.isDisturbed(now, Drafts));
  CHECK_FALSE(meter.isDisturbed(now, ServiceName("others")));
}

TEST_CASE("a process that has just started knows of no disturbance",
          "[pause-meter]") {
  PauseMeter meter;
  CHECK_FALSE(meter.isDisturbed(Start, Drafts));
  meter.recordStream(Start, stream(900ms));
  CHECK_FALSE(meter.isDisturbed(Start, Drafts));
}

TEST_CASE("a route without an allowed pause says nothing about its service",
          "[pause-meter]") {
  PauseMeter meter;
  for (int i = 0; i < 100; ++i)
    meter.recordStream(Start, stream(5s, Duration::zero()));
  CHECK_FALSE(meter.isDisturbed(Start, Drafts));
}

// The measure against pauses is why they became few: it must outlive them by
// the dwell time, and end after it.
TEST_CASE("a disturbance lasts for the dwell time after pauses became few",
          "[pause-meter]") {
  PauseMeter meter;
  TimePoint now = record(meter, Start, 100, 5);
  now = record(meter, now, 500, 1000);
  CHECK(meter.isDisturbed(now, Drafts));
  now = record(meter, now, 1200, 100000);
  CHECK_FALSE(meter.isDisturbed(now, Drafts));
}

TEST_CASE("the table of routes and services stays bounded", "[pause-meter]") {
  PauseMeter meter({.Capacity = 4});
  for (int i = 0; i < 100; ++i) {
    EndedStream it = stream(900ms);
    it.Route = "r" + std::to_string(i);
    it.Service = ServiceName("s" + std::to_string(i % 2));
    meter.recordStream(Start, it);
  }
  CHECK(meter.meanDuration("r0") == Duration::zero());
  CHECK(meter.isDisturbed(Start, ServiceName("s1")));
}
