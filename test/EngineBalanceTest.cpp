#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

using Hosts = std::vector<const MemberView *>;

constexpr std::uint32_t UsualPace = 40'000;
constexpr std::uint32_t SlowPace = 30'000;

/// Every third engine has \p pace, and the others the usual one.
MemberViews engines(int n, std::uint32_t pace) {
  MemberViews members;
  for (int i = 0; i < n; ++i) {
    const HostName host("w" + std::to_string(i));
    members[host] = {.Record = {.Host = host, .BaseModel = "base", .Slots = 6},
                     .NameHash = stableHash(host.str()),
                     .Load = {.PromptRate = i % 3 == 0 ? pace : UsualPace}};
  }
  return members;
}

AdapterKey adapter(int i) { return {AdapterName("a" + std::to_string(i)), 1}; }

HostName firstOf(const MemberViews &members, const AdapterKey &key) {
  Hosts hosts;
  for (const auto &[name, it] : members)
    hosts.push_back(&it);
  EngineBalance({.Enabled = true}).order(key, 1, hosts);
  return hosts.front()->Record.Host;
}

/// \returns the share of 3,000 adapters whose first engine has \p pace.
double shareOf(const MemberViews &members, std::uint32_t pace) {
  constexpr int Adapters = 3000;
  int n = 0;
  for (int i = 0; i < Adapters; ++i)
    n += members.at(firstOf(members, adapter(i))).Load.PromptRate == pace;
  return n / double(Adapters);
}

} // namespace

TEST_CASE("an engine 1.3 times as slow gets fewer adapters",
          "[engine-balance]") {
  // Weights of 0.75, 1 and 1.
  const double share = shareOf(engines(30, SlowPace), SlowPace);
  CHECK(share == Approx(0.75 / 2.75).margin(0.04));
}

TEST_CASE("engines of about the same pace are chosen as before",
          "[engine-balance]") {
  const MemberViews even = engines(30, UsualPace);
  const MemberViews near = engines(30, UsualPace * 9 / 10);
  const MemberViews unknown = engines(30, 0);
  for (int i = 0; i < 200; ++i) {
    CHECK(firstOf(near, adapter(i)) == firstOf(even, adapter(i)));
    CHECK(firstOf(unknown, adapter(i)) == firstOf(even, adapter(i)));
  }
}

TEST_CASE("when an engine's pace falls only its own adapters move",
          "[engine-balance]") {
  const MemberViews before = engines(30, UsualPace);
  MemberViews after = before;
  const HostName slow("w7");
  after.at(slow).Load.PromptRate = SlowPace;
  for (int i = 0; i < 1000; ++i) {
    const HostName was = firstOf(before, adapter(i));
    if (was != slow)
      CHECK(firstOf(after, adapter(i)) == was);
  }
}

TEST_CASE("an engine that reports a pace near zero still gets requests",
          "[engine-balance]") {
  CHECK(shareOf(engines(30, 1), 1) > 0.1);
}
