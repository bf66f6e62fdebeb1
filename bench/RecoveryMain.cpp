//===- RecoveryMain.cpp - Recovery times in virtual time --------*- C++ -*-===//
///
/// Simulates replica groups and measures the time without a leader after the
/// leader is killed or its links drop all packets, and the time from a change's
/// acceptance until it is in force at all entries. The times contain the
/// protocol's timeouts and the links' delays, but no processor time.
///
//===----------------------------------------------------------------------===//

#include "pimentofront/Testkit.h"

#include <algorithm>
#include <cstdio>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 10ms;

/// A simulated group of three replicas in three zones, and some entries.
struct Group {
  Group(std::uint64_t seed, int entries) : Simulation({.Seed = seed}) {
    const std::vector<std::string> addresses = {"n0", "n1", "n2"};
    for (int i = 0; i < 3; ++i) {
      const HostName host("n" + std::to_string(i));
      ProcessSpec spec{.Host = host, .Zone = ZoneName(host.str())};
      spec.IsReplica = true;
      spec.Replica.Log.Host = host;
      spec.Replica.Log.Address = host.str();
      spec.Replica.Others = addresses;
      Simulation.start(Simulation.add(spec));
    }
    for (int i = 0; i < entries; ++i) {
      const HostName host("e" + std::to_string(i));
      ProcessSpec spec{.Host = host,
                       .Zone = ZoneName("n" + std::to_string(i % 3))};
      spec.IsEntry = true;
      spec.Entry = {.Host = host, .Replicas = addresses};
      spec.MakeRouting = [] {
        return std::make_unique<AffinityRouting>(AffinityOptions{});
      };
      Simulation.start(Simulation.add(spec));
    }
    Simulation.runUntil(Simulation.now() + 1s);
    Simulation.process(HostName("n0")).Replica->bootstrap(Simulation.now());
    Simulation.runUntil(Simulation.now() + 9s);
  }

  /// Runs the simulation until \p done returns true, for 60 s at most.
  /// \returns the elapsed virtual time in seconds.
  template <class Done> double until(Done &&done) {
    const TimePoint begin = Simulation.now();
    while (!done() && Simulation.now() < begin + 60s)
      Simulation.runUntil(Simulation.now() + Step);
    return toSeconds(Simulation.now() - begin);
  }

  World Simulation;
};

void print(const char *what, std::vector<double> times) {
  std::ranges::sort(times);
  std::printf("%-52s median %.2f s, max %.2f s (%zu runs)\n", what,
              times[times.size() / 2], times.back(), times.size());
}

double timeWithoutLeader(std::uint64_t seed, bool cut) {
  Group group(seed, 0);
  WorldProcess *former = group.Simulation.leader();
  if (!cut)
    group.Simulation.kill(*former);
  for (WorldProcess *it : group.Simulation.processes()) {
    if (!cut || it == former)
      continue;
    group.Simulation.cut(former->Spec.Host, it->Spec.Host);
    group.Simulation.cut(it->Spec.Host, former->Spec.Host);
  }
  return group.until([&] {
    const WorldProcess *it = group.Simulation.leader();
    return it && it != former;
  });
}

/// \returns the time in seconds from a change's acceptance until it is in force
/// at all entries.
double timeToApply(std::uint64_t seed, int entries, bool leaderDies) {
  Group group(seed, entries);
  WorldProcess &first = group.Simulation.process(HostName("e0"));
  Revision accepted = 0;
  group.Simulation.command(
      first,
      {.Id = CommandId("c"),
       .Operator = OperatorName("o"),
       .Body = SetKind{{.Name = KindName("k")}}},
      [&](const auto &outcome) { accepted = outcome->At; });
  group.until([&] { return accepted != 0; });
  if (leaderDies)
    group.Simulation.kill(*group.Simulation.leader());
  return group.until([&] {
    return std::ranges::all_of(
        group.Simulation.processes(), [&](const auto *it) {
          return !it->Entry ||
                 it->Entry->configuration().revision() >= accepted;
        });
  });
}

} // namespace

int main() {
  constexpr std::uint64_t Runs = 40;
  for (const bool cut : {false, true}) {
    std::vector<double> times;
    for (std::uint64_t seed = 1; seed <= Runs; ++seed)
      times.push_back(timeWithoutLeader(seed, cut));
    print(cut ? "no leader after its links drop all packets"
              : "no leader after the leader is killed",
          times);
  }
  for (const int entries : {10, 200})
    for (const bool dies : {false, true}) {
      std::vector<double> times;
      for (std::uint64_t seed = 1; seed <= (entries > 10 ? 5 : Runs); ++seed)
        times.push_back(timeToApply(seed, entries, dies));
      const std::string what = "accepted to in force, " +
                               std::to_string(entries) + " entries" +
                               (dies ? ", leader killed" : "");
      print(what.c_str(), times);
    }
}
