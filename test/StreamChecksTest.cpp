// Guards against checks of the soak test that pass whatever callers receive:
// each check has to report a stream that breaks its rule, and no other.

#include "platform/soak/StreamChecks.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::soak;

namespace {

constexpr std::uint64_t Length = 4;

/// \returns a stream whose events \p ids have the software version \p version.
StreamRecord makeStream(const std::vector<std::uint64_t> &ids,
                        const std::string &version = "v1") {
  StreamRecord stream{.Length = Length,
                      .Attempts = {{.Id = "a1", .Entry = "entry-0"}}};
  for (const std::uint64_t it : ids)
    stream.Events.push_back(
        {.Attempt = "a1", .Id = it, .Version = version, .Server = "i-1"});
  return stream;
}

StreamRecord makeMixedStream() {
  StreamRecord stream = makeStream({1, 2, 3, 4});
  stream.Events.back().Version = "v1.1";
  return stream;
}

StreamRecord makeResumedStream(bool wentOn, bool hadTwoServers = true) {
  StreamRecord stream = makeStream({1, 2});
  stream.Resumptions.push_back(
      {.Attempts = {"a2"}, .HadTwoServers = hadTwoServers, .WentOn = wentOn});
  return stream;
}

std::vector<StreamRecord> repeat(std::size_t n, const StreamRecord &stream) {
  return std::vector<StreamRecord>(n, stream);
}

} // namespace

TEST_CASE("The soak's event order check finds gaps, repeats and early ends") {
  StreamRecord whole = makeStream({1, 2, 3, 4});
  whole.Attempts.back().IsComplete = true;
  CHECK(checkEventOrder({whole, makeStream({}), makeStream({1, 2})}).empty());

  CHECK(checkEventOrder({makeStream({2, 3})}).size() == 1);
  CHECK(checkEventOrder({makeStream({1, 3})}).size() == 1);
  CHECK(checkEventOrder({makeStream({1, 2, 2})}).size() == 1);
  CHECK(checkEventOrder({makeStream({1, 2, 3, 4, 5})}).size() == 1);
  StreamRecord early = makeStream({1, 2, 3});
  early.Attempts.back().IsComplete = true;
  CHECK(checkEventOrder({early}).size() == 1);
  StreamRecord malformed = makeStream({1});
  malformed.Malformed = {"id: 2"};
  CHECK(checkEventOrder({malformed}).size() == 1);
}

TEST_CASE("The soak's version check allows two mixed streams, and names each "
          "one beyond") {
  auto streams = repeat(20, makeStream({1, 2, 3, 4}, "v1.1"));
  streams.push_back(makeStream({1, 2}));
  streams.push_back(makeMixedStream());
  streams.push_back(makeMixedStream());
  CHECK(describeMixedStreams(streams).size() == 2);
  CHECK(checkVersions(streams).empty());
  streams.push_back(makeMixedStream());
  CHECK(checkVersions(streams).size() == 3);
  CHECK(checkVersions(streams).front().find("v1.1") != std::string::npos);
}

TEST_CASE("The soak's resumption check wants half of the new streams' share") {
  auto streams = repeat(6, makeResumedStream(/*wentOn=*/true));
  for (const auto &it : repeat(6, makeResumedStream(/*wentOn=*/false)))
    streams.push_back(it);
  CHECK(checkResumptions(streams).empty());
  streams.front().Resumptions.front().WentOn = false;
  CHECK(checkResumptions(streams).size() == 1 + 7);

  SECTION("not of streams whose version had fewer than two servers") {
    for (StreamRecord &it : streams)
      it.Resumptions.front().HadTwoServers = false;
    CHECK(checkResumptions(streams).empty());
  }
  SECTION("not of fewer than twelve") {
    streams.pop_back();
    CHECK(checkResumptions(streams).empty());
  }
  SECTION("by the new streams of the same time") {
    // No new stream begins either when all of these try to go on.
    const TimePoint later = TimePoint() + std::chrono::seconds(60);
    for (StreamRecord &it : streams)
      it.Resumptions.front().StartedAt = later;
    StreamRecord failed = makeStream({});
    failed.StartedAt = later;
    streams.push_back(failed);
    CHECK(checkResumptions(streams).empty());
  }
}

TEST_CASE(
    "The soak's resumption check counts resumptions at disturbed entries, "
    "and the report tells them apart") {
  auto streams = repeat(12, makeResumedStream(/*wentOn=*/false));
  CHECK(streamsResumedInTouch(streams).Of == 0);
  CHECK(checkResumptions(streams).size() == 1 + 12);
  streams.front().Resumptions.front().HadEntryInTouch = true;
  streams.back().Resumptions.front().HadEntryInTouch = true;
  streams.back().Resumptions.front().WentOn = true;
  CHECK(streamsResumedInTouch(streams).Of == 2);
  CHECK(streamsResumedInTouch(streams).Good == 1);
  CHECK(resumedStreams(streams).Of == 12);
}
