// Guards against a group that stays without a leader, loses acknowledged
// commands or leaves a replica or an entry behind after losses that it has to
// bear, in any order with joins, replacements, cuts, restarts and losses of
// power. A voter that had been silent was taken out of the group unseen, so
// that the next loss took the majority.

#include "LossSchedule.h"
#include "Schedules.h"

using namespace pimentofront::testing;

namespace {

std::string playLosses(std::uint64_t seed) { return LossSchedule(seed).play(); }

} // namespace

TEST_CASE("a group serves again after any permitted losses, keeps what it "
          "acknowledged, and everything that runs follows it",
          "[group-losses]") {
  checkSchedules(playLosses, 1, 200);
}

TEST_CASE("many schedules of permitted losses", "[.][group-losses-long]") {
  checkSchedules(playLosses, 201, 10200);
}
