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
  Group(std::uint64_t seed, int entries) : Sim({.Seed = seed}) {
    const std::vector<std::string> addresses = {"n0", "n1", "n2"};
    for (int i = 0; i < 3; ++i) {
      const HostName host("n" + std::to_string(i));
      ProcessSpec spec{.Host = host, .Zone = ZoneName(host.str())};
      spec.IsReplica = true;
      spec.Replica.Log.Host = host;
      spec.Replica.Log.Address = host.str();
      spec.Replica.PeerAddresses = addresses;
      Sim.start(Sim.add(spec));
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
      Sim.start(Sim.add(spec));
    }
    Sim.runUntil(Sim.now() + 1s);
    Sim.process(HostName("n0")).Replica->bootstrap(Sim.now());
    Sim.runUntil(Sim.now() + 9s);
  }

  /// Runs the simulation until \p done returns true, for 60 s at most.
  /// \returns the elapsed virtual time in seconds.
  template <class Done> double until(Done &&done) {
    const TimePoint begin = Sim.now();
    while (!done() && Sim.now() < begin + 60s)
      Sim.runUntil(Sim.now() + Step);
    return toSeconds(Sim.now() - begin);
  }

  Simulation Sim;
};

void print(const char *what, std::vector<double> times) {
  std::ranges::sort(times);
  std::printf("%-52s median %.2f s, max %.2f s (%zu runs)\n", what,
              times[times.size() / 2], times.back(), times.size());
}

double timeWithoutLeader(std::uint64_t seed, bool cut) {
  Group group(seed, 0);
  SimulatedProcess *former = group.Sim.leader();
  if (!cut)
    group.Sim.kill(*former);
  for (SimulatedProcess *it : group.Sim.processes()) {
    if (!cut || it == former)
      continue;
    group.Sim.cut(former->Spec.Host, it->Spec.Host);
    group.Sim.cut(it->Spec.Host, former->Spec.Host);
  }
  return group.until([&] {
    const SimulatedProcess *it = group.Sim.leader();
    return it && it != former;
  });
}

/// \returns the time in seconds from a change's acceptance until it is in force
/// at all entries.
double timeToApply(std::uint64_t seed, int entries, bool leaderDies) {
  Group group(seed, entries);
  SimulatedProcess &first = group.Sim.process(HostName("e0"));
  Revision accepted = 0;
  group.Sim.command(first,
                    {.Id = CommandId("c"),
                     .Operator = OperatorName("o"),
                     .Body = SetKind{{.Name = KindName("k")}}},
                    [&](const auto &outcome) { accepted = outcome->At; });
  group.until([&] { return accepted != 0; });
  if (leaderDies)
    group.Sim.kill(*group.Sim.leader());
  return group.until([&] {
    return std::ranges::all_of(group.Sim.processes(), [&](const auto *it) {
      return !it->Entry || it->Entry->configuration().revision() >= accepted;
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
