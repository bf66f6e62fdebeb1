#include "pimentofront/Wire.h"

#include <catch2/catch.hpp>

using namespace pimentofront;

namespace {

template <class T> void checkRoundTrip(const T &message) {
  const Frame frame{42, message};
  const auto decoded = decodeFrame(encodeFrame(frame));
  REQUIRE(decoded);
  CHECK(decoded->SentAt == 42);
  CHECK(decoded->Content == Message(message));
}

} // namespace

TEST_CASE("every type of field survives encoding and decoding") {
  checkRoundTrip(Hello{1, HostName("suva-1"), 7, true});
  checkRoundTrip(ExecuteRequest{.Attempt = {1, ~0ULL},
                                .Kind = KindName("counter"),
                                .Remaining = Duration(-5),
                                .Key = {AdapterName("h0"), 3},
                                .Prompt = std::string("\0\xff half \xc3", 9),
                                .OnlyIfResident = true});
  checkRoundTrip(ConfigurationUpdate{
      .UpTo = 9,
      .Records = {AdapterRecord{.Name = AdapterName("a"),
                                .Versions = {{1, "s", true}, {2, "t", false}}},
                  KindRecord{.Name = KindName("k")},
                  DrainRecord{.Host = HostName("h"), .Drained = true},
                  SoftwareRecord{.Service = ServiceName("s"),
                                 .Versions = {"v1", ""},
                                 .ChangedAt = 9,
                                 .ChangedBy = OperatorName("anna")}}});
  checkRoundTrip(
      AppendRequest{.Entries = {{1, 2, EntryKind::Command, 3, "x"}}});
  checkRoundTrip(Propose{7, {.Body = ClaimRequest{.Holder = {1, 2}}}});
  checkRoundTrip(
      Propose{7, {.Body = RecordSoftware{ServiceName("s"), "v1", true}}});
}

TEST_CASE("bytes that are not a frame are rejected") {
  CHECK_FALSE(decodeFrame(""));
  CHECK_FALSE(decodeFrame("garbage"));
  const std::string good = encodeFrame({1, RenewLease{HostName("h"), 5}});
  for (std::size_t n = 0; n < good.size(); ++n)
    CHECK_FALSE(decodeFrame(good.substr(0, n)));
  CHECK_FALSE(decodeFrame(good + "x"));
}

TEST_CASE("a message with an unknown type number is rejected") {
  // An array of type number 200, time 1 and no fields.
  CHECK_FALSE(decodeFrame(std::string("\x83\x18\xc8\x01\x80", 5)));
}

TEST_CASE("a frame of a million nested arrays does not overflow the stack") {
  CHECK_FALSE(decodeFrame(std::string(1'000'000, '\x81')));
}

TEST_CASE("an array of more elements than memory can hold is rejected") {
  // An array of 2^60 elements, alone and as the fields of a Hello.
  const std::string large("\x9b\x10\0\0\0\0\0\0\0", 9);
  CHECK_FALSE(decodeFrame(large));
  CHECK_FALSE(decodeFrame(std::string("\x83\0\x01", 3) + large));
  CHECK_FALSE(decodeEntry("\x01" + large));
}

TEST_CASE("names of any bytes survive encoding and decoding") {
  const std::string bytes("\xff\0\n\xc3", 4);
  checkRoundTrip(ExecuteRequest{.Request = RequestId(bytes),
                                .Key = {AdapterName(bytes), 3},
                                .Server = HostName(bytes)});
}

TEST_CASE("fields that a later release adds at the end are ignored") {
  // NotLeader (type number 11) with two fields instead of one.
  const std::string bytes = std::string("\x83\x0b\x01\x82\x41\x61\x05", 7);
  const auto frame = decodeFrame(bytes);
  REQUIRE(frame);
  CHECK(frame->Content == Message(NotLeader{"a"}));
}

// Guards against a process of an earlier release that is sent a record which it
// can't decode, so that it closes the link.
TEST_CASE("a subscriber of an earlier release takes no records of software") {
  std::string bytes = encodeFrame({1, Subscribe{.TakesSoftware = true}});
  // Type number 16, time 1 and eight fields, of which the last two are missing.
  REQUIRE(bytes.substr(0, 4) == "\x83\x10\x01\x88");
  bytes[3] = '\x86';
  bytes.resize(bytes.size() - 2);
  const auto frame = decodeFrame(bytes);
  REQUIRE(frame);
  CHECK(frame->Content == Message(Subscribe{}));
}

// Guards against a replica of an earlier release that is sent commands which it
// can't apply.
TEST_CASE("a replica of an earlier release takes no commands of departures") {
  std::string bytes = encodeFrame(
      {1, Subscribe{.TakesSoftware = true, .TakesDepartures = true}});
  REQUIRE(bytes.substr(0, 4) == "\x83\x10\x01\x88");
  bytes[3] = '\x87';
  bytes.pop_back();
  const auto frame = decodeFrame(bytes);
  REQUIRE(frame);
  CHECK(frame->Content == Message(Subscribe{.TakesSoftware = true}));
}

TEST_CASE("a stored record with a newer format version is rejected") {
  std::string bytes = encodeCommand({.Body = CreateAdapter{}});
  CHECK(decodeCommand(bytes));
  ++bytes[0];
  CHECK_FALSE(decodeCommand(bytes));
}
