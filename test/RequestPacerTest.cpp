#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};

RateLimit named(std::uint64_t perThousandSeconds, Duration age = 0s) {
  return {.Named = true, .PerThousandSeconds = perThousandSeconds, .Age = age};
}

} // namespace

TEST_CASE("a pacer starts empty and saves up no more than its burst",
          "[pacer]") {
  RequestPacer pacer;
  CHECK(pacer.take(Now));
  CHECK(pacer.wait(Now, 100) == 0s);
  CHECK(pacer.apply(Now, named(2000)));
  CHECK_FALSE(pacer.take(Now));
  CHECK(pacer.wait(Now, 0) == 500ms);
  CHECK(pacer.wait(Now, 3) == 2s);
  CHECK(pacer.take(Now + 500ms));
  CHECK_FALSE(pacer.take(Now + 600ms));
  CHECK(pacer.take(Now + 100s));
  CHECK(pacer.take(Now + 100s));
  CHECK_FALSE(pacer.take(Now + 100s));
}

TEST_CASE("of several words on a limit the newest holds", "[pacer]") {
  RequestPacer pacer;
  CHECK(pacer.apply(Now, named(2000)));
  CHECK_FALSE(pacer.apply(Now, named(9000, 1s)));
  CHECK_FALSE(pacer.apply(Now, {.Age = 1ms}));
  CHECK(pacer.isLimited());
  CHECK(pacer.limit(Now + 3s) == named(2000, 3s));
  // A limit that falls takes back what was saved up at the former rate only as
  // far as its own burst goes.
  CHECK(pacer.apply(Now + 1s, named(1000)));
  CHECK(pacer.take(Now + 1s));
  CHECK(pacer.apply(Now + 2s, {}));
  CHECK_FALSE(pacer.isLimited());
  CHECK_FALSE(pacer.apply(Now + 2s, named(1000, 1s)));
  // An age from the future counts as none.
  CHECK(pacer.apply(Now + 3s, named(1000, -5s)));
  CHECK_FALSE(pacer.apply(Now + 3s, {.Age = 1s}));
}

TEST_CASE("however low a limit is, a request goes now and then", "[pacer]") {
  RequestPacer pacer;
  pacer.apply(Now, named(0));
  CHECK(pacer.wait(Now, 0) == 4s);
  CHECK(pacer.limit(Now).PerThousandSeconds == 0);
  CHECK_FALSE(pacer.take(Now + 3999ms));
  CHECK(pacer.take(Now + 4s));
}
