// Guards against a replica group that stays without a leader after losses that
// it should bear, and against commands that are lost then. Hosts are added,
// replaced and cut off one at a time; at the end one disk is lost while all
// other hosts lose power.

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

/// After this time a host that was lost doesn't count as lost any more: from
/// when it is back, or from when the successor of one that left for good
/// starts.
constexpr Duration CatchUpTime = 4s;
/// Time within which the group serves again after the last host is back.
constexpr Duration RecoveryTime = 12s;
constexpr Duration PowerLoss = 1s;

/// A group of three replicas, "r0" to "r2", to which others are added.
class ReplicaGroupUnderTest {
public:
  explicit ReplicaGroupUnderTest(std::uint64_t seed)
      : Sim(SimulationOptions{.Seed = seed}) {
    for (int i = 0; i < 3; ++i)
      add();
    at(0).Replica->bootstrap(Sim.now());
    run(CatchUpTime);
    accept();
  }

  SimulatedProcess &at(std::size_t i) {
    return Sim.process(HostName("r" + std::to_string(i)));
  }

  /// Starts a replica on a new host with an empty disk. Its settings name the
  /// three first hosts.
  void add() {
    const HostName host("r" + std::to_string(Hosts.size()));
    ProcessSpec spec{.Host = host, .IsReplica = true};
    spec.Replica.Log.Host = host;
    spec.Replica.Log.Address = host.str();
    spec.Replica.Log.HeartbeatPeriod = 100ms;
    spec.Replica.Log.ElectionTimeout = 400ms;
    spec.Replica.PeerAddresses = {"r0", "r1", "r2"};
    spec.Replica.InitialVoters = 3;
    std::erase(spec.Replica.PeerAddresses, host.str());
    Hosts.push_back(host);
    Sim.start(Sim.add(spec));
  }

  void run(Duration d) { Sim.runUntil(Sim.now() + d); }

  /// Cuts replica \p i off from all others for \p d.
  void cutOff(std::size_t i, Duration d) {
    for (const HostName &it : Hosts) {
      Sim.cut(it, Hosts[i]);
      Sim.cut(Hosts[i], it);
    }
    run(d);
    Sim.healAll();
  }

  /// Has one more command accepted, so that there is one to lose.
  void accept() {
    SimulatedProcess *leader = Sim.leader();
    REQUIRE(leader);
    bool accepted = false;
    const AdapterName name("a" + std::to_string(Accepted));
    REQUIRE(leader->Replica->propose(
        Sim.now(), Command{.Body = CreateAdapter{name, "base"}},
        [&](const auto &outcome) { accepted = outcome.has_value(); }));
    run(200ms);
    REQUIRE(accepted);
    ++Accepted;
  }

  /// Empties the disk of replica \p wiped while all others that run lose power.
  void loseDiskAndPower(std::size_t wiped) {
    for (std::size_t i = 0; i < Hosts.size(); ++i) {
      if (!at(i).Alive)
        continue;
      if (i == wiped)
        Sim.loseDisk(at(i));
      Sim.killFor(at(i), PowerLoss);
    }
    run(PowerLoss + RecoveryTime);
  }

  /// \returns whether a leader has all commands that were accepted.
  bool serves() {
    SimulatedProcess *leader = Sim.leader();
    if (!leader)
      return false;
    const Configuration *current =
        leader->Replica->currentConfiguration(Sim.now());
    return current && current->adapterCount() == Accepted;
  }

  Simulation Sim;

private:
  std::vector<HostName> Hosts;
  std::size_t Accepted = 0;
};

} // namespace

TEST_CASE("a group bears the loss of a disk after voters were cut off one "
          "after the other beside added replicas",
          "[replaced-voters]") {
  const auto seed = GENERATE(1, 2, 3, 4, 5);
  ReplicaGroupUnderTest group(seed);
  group.add();
  group.add();
  group.run(CatchUpTime);
  for (const std::size_t it : {1, 2}) {
    group.cutOff(it, 5500ms);
    group.run(CatchUpTime + 500ms);
  }
  // r0 is lost for good. The settings of its successor name r0 to r2.
  group.Sim.loseDisk(group.at(0));
  group.run(1s);
  group.add();
  group.run(CatchUpTime);
  group.accept();
  group.loseDiskAndPower(3);
  CHECK(group.serves());
}

TEST_CASE("a group bears the loss of a disk once the successor of a lost host "
          "has had the time to catch up",
          "[lost-host]") {
  const auto seed = GENERATE(1, 2, 3, 4, 5);
  const auto lost = GENERATE(as<std::size_t>(), 0, 1, 2);
  ReplicaGroupUnderTest group(seed);
  group.Sim.loseDisk(group.at(lost));
  group.add();
  group.run(CatchUpTime);
  group.accept();
  group.loseDiskAndPower(lost == 1 ? 2 : 1);
  CHECK(group.serves());
}

TEST_CASE("a group bears the loss of a disk as soon as a host has stopped "
          "whose successor has had the time to catch up",
          "[leaving-host]") {
  const auto seed = GENERATE(1, 2, 3, 4, 5);
  const auto leaving = GENERATE(as<std::size_t>(), 0, 1, 2);
  ReplicaGroupUnderTest group(seed);
  group.add();
  group.run(CatchUpTime);
  group.accept();
  group.Sim.stop(group.at(leaving));
  while (group.at(leaving).Alive)
    group.run(10ms);
  group.loseDiskAndPower(leaving == 1 ? 2 : 1);
  CHECK(group.serves());
}
