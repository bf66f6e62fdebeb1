#include "LogRateLimiter.h"
#include "PipeAppender.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

using namespace pimentofront;
using namespace std::chrono_literals;

TEST_CASE(
    "log lines are rate-limited per event, and dropped lines are counted") {
  LogRateLimiter limiter({.Burst = 5, .PerSecond = 2});
  const TimePoint start{100s};
  int written = 0;
  for (int i = 0; i < 100; ++i)
    written += limiter.allow(start, "busy");
  CHECK(written == 5);
  CHECK(limiter.allow(start, "other"));
  CHECK(limiter.takeOmitted() ==
        std::map<std::string, std::uint64_t>{{"busy", 95}});
  CHECK(limiter.takeOmitted().empty());
  for (int i = 0; i < 100; ++i)
    written += limiter.allow(start + 10ms * i, "busy");
  CHECK(written == 6);
}

TEST_CASE("a log reader that reads nothing doesn't block the writer") {
  int fds[2];
  REQUIRE(::pipe(fds) == 0);
  PipeAppender appender(fds[1]);
  const std::string line(1000, 'x');
  const log4cplus::spi::InternalLoggingEvent event(
      "test", log4cplus::INFO_LOG_LEVEL, line, __FILE__, __LINE__);
  constexpr int Lines = 1000;
  for (int i = 0; i < Lines; ++i)
    appender.doAppend(event);
  // A pipe holds 64 KB; the remaining lines are dropped without blocking.
  CHECK(appender.dropped() > Lines / 2);
  CHECK(appender.dropped() < Lines);
  ::close(fds[0]);
  ::close(fds[1]);
}
