// Guards against a report that calls an entry undisturbed to which the soak
// test did something, or disturbed where it did nothing.

#include "platform/soak/DisturbanceRecord.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::soak;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration time) { return TimePoint() + time; }

} // namespace

TEST_CASE("A host is calm unless a disturbance overlaps the time asked for") {
  DisturbanceRecord it;
  CHECK(it.isCalm("entry-0", at(0s), at(60s)));
  const auto kind = GENERATE(HostDisturbance::Stopped, HostDisturbance::Frozen,
                             HostDisturbance::Link);
  it.begin(at(10s), "entry-0", kind);
  CHECK(it.isCalm("entry-0", at(5s), at(9s)));
  CHECK(it.isCalm("entry-1", at(5s), at(60s)));
  CHECK_FALSE(it.isCalm("entry-0", at(5s), at(10s)));
  CHECK_FALSE(it.isCalm("entry-0", at(30s), at(31s)));
  it.end(at(12s), "entry-0", kind);
  CHECK_FALSE(it.isCalm("entry-0", at(11s), at(11500ms)));
  CHECK_FALSE(it.isCalm("entry-0", at(12s), at(20s)));
  CHECK(it.isCalm("entry-0", at(12001ms), at(20s)));
}

TEST_CASE("The end of one disturbance leaves the others of a host") {
  DisturbanceRecord it;
  it.begin(at(1s), "entry-0", HostDisturbance::Frozen);
  it.begin(at(2s), "entry-0", HostDisturbance::Stopped);
  it.end(at(3s), "entry-0", HostDisturbance::Frozen);
  CHECK_FALSE(it.isCalm("entry-0", at(4s), at(5s)));
  // A stopped process is started once, however often it was signalled.
  it.begin(at(4s), "entry-0", HostDisturbance::Stopped);
  it.end(at(6s), "entry-0", HostDisturbance::Stopped);
  CHECK(it.isCalm("entry-0", at(7s), at(8s)));
  CHECK(it.describe("entry-0", at(5s), at(8s), at(1s)) ==
        ", entry-0 stopped 1000 to 5000, entry-0 stopped 3000 to 5000");
}
