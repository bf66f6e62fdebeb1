#include "LossGroup.h"

#include <algorithm>
#include <array>

namespace pimentofront::testing {
namespace {

using namespace std::chrono_literals;
using testkit::MemoryLogStore;
using testkit::ProcessSpec;
using testkit::SimulatedProcess;

constexpr Duration CheckPeriod = 20ms;
constexpr std::size_t FirstHosts = 3;
constexpr std::size_t Entries = 2;
constexpr std::size_t MaxSeeds = 3;
constexpr std::size_t WantedVoters = 3;
/// Small, so that replicas that join or were away get snapshots.
constexpr std::size_t CompactAfterEntries = 24;

testkit::SimulationOptions simulationOptions(std::uint64_t seed) {
  testkit::SimulationOptions options;
  options.Seed = seed;
  options.UserTimeout = 3s;
  return options;
}

std::string seconds(Duration d) {
  constexpr std::size_t Size = 32;
  std::array<char, Size> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3f s", toSeconds(d));
  return buf.data();
}

} // namespace

class LossGroup::NoSink : public ForwardSink {
public:
  void onCommand(ForwardCommand) override {}
  void onEvent(const ForwardEvent &) override {}
  void onTable(const RoutingTable &) override {}
};

class LossGroup::NoDocuments : public DocumentCodec {
public:
  RoutingDocument decode(std::string_view, Findings &) const override {
    return {};
  }
};

LossGroup::LossGroup(std::uint64_t seed)
    : Sim(simulationOptions(seed)), Rng(seed), Start(Sim.now()),
      Headers(std::make_unique<testkit::TestHeaderCodec>()),
      Documents(std::make_unique<NoDocuments>()),
      Sink(std::make_unique<NoSink>()), LeaderSeenAt(Sim.now()),
      PauseUntil(Sim.now()) {}

LossGroup::~LossGroup() = default;

Duration LossGroup::upTo(Duration longest) {
  return fromSeconds(toSeconds(longest) * Rng.uniform());
}
Duration LossGroup::between(Duration shortest, Duration longest) {
  return shortest + upTo(longest - shortest);
}

void LossGroup::note(const std::string &line) {
  Lines.push_back(seconds(now() - Start) + "  " + line);
}

void LossGroup::fail(const std::string &what) {
  if (!Broken.empty())
    return;
  Broken = what;
  note("BROKEN: " + what);
}

//===----------------------------------------------------------------------===//
// Hosts
//===----------------------------------------------------------------------===//

void LossGroup::begin() {
  const std::vector<std::string> seeds{"r0", "r1", "r2"};
  for (std::size_t i = 0; i < FirstHosts; ++i) {
    const HostName name("r" + std::to_string(i));
    Hosts.push_back({.Name = name, .Counted = true, .Seeds = seeds});
    ProcessSpec spec{.Host = name, .IsReplica = true};
    addHost(Hosts.back(), spec);
    Sim.after(upTo(300ms), [this, i] {
      Sim.start(at(i));
      if (i == 0)
        at(i).Replica->bootstrap(now());
    });
  }
  for (std::size_t i = 0; i < Entries; ++i)
    addEntry();
  propose();
}

std::size_t LossGroup::addReplica(bool counted) {
  const std::size_t host = Hosts.size();
  const HostName name((counted ? "r" : "x") + std::to_string(host));
  Hosts.push_back({.Name = name, .Counted = counted});
  addHost(Hosts.back(), {.Host = name, .IsReplica = true});
  useSeeds(host, drawSeeds(host));
  note(name.str() + " is added, seeds " + Hosts[host].Seeds.front() + ".." +
       Hosts[host].Seeds.back());
  Sim.start(at(host));
  return host;
}

void LossGroup::addEntry() {
  const HostName name("e" + std::to_string(Hosts.size()));
  Hosts.push_back({.Name = name, .IsEntry = true, .Seeds = {"r0", "r1", "r2"}});
  ProcessSpec spec{.Host = name, .IsForward = true};
  spec.MakeRouting = [] {
    return std::make_unique<PrefixRouting>(PrefixRoutingOptions{});
  };
  spec.MakeForward = [this](const ForwardNodeOptions &forward,
                            RoutingPolicy &routing, Transport &transport) {
    return std::make_unique<ForwardNode>(Sim.now(), forward, *Headers,
                                         *Documents, routing, transport, *Sink);
  };
  addHost(Hosts.back(), spec);
  Sim.start(Sim.process(name));
}

std::size_t LossGroup::addHost(LossHost host, const ProcessSpec &given) {
  ProcessSpec spec = given;
  if (spec.IsReplica) {
    spec.Replica.Log.Host = host.Name;
    spec.Replica.Log.Address = host.Name.str();
    spec.Replica.Log.HeartbeatPeriod = 100ms;
    spec.Replica.Log.ElectionTimeout = 400ms;
    spec.Replica.InitialVoters = WantedVoters;
    spec.Replica.Log.MayVote = host.Counted;
    spec.Replica.CompactAfterEntries = CompactAfterEntries;
    spec.Replica.PeerAddresses = host.Seeds;
    std::erase(spec.Replica.PeerAddresses, host.Name.str());
  } else {
    spec.Forward.Feed = {.Host = host.Name,
                         .Configuration = {.Lease = ApplyTime},
                         .Replicas = host.Seeds,
                         .ProbePeriod = ApplyTime / 4};
  }
  Sim.add(spec);
  return Hosts.size() - 1;
}

std::vector<std::size_t>
LossGroup::hostsThat(const std::function<bool(const LossHost &)> &wanted) {
  std::vector<std::size_t> result;
  for (std::size_t i = 0; i < Hosts.size(); ++i)
    if (!Hosts[i].Removed && !Hosts[i].Leaving && wanted(Hosts[i]))
      result.push_back(i);
  return result;
}

/// A file names hosts of the time when it is written. One that names too few
/// hosts that go on would leave no way to the group: a counted host may be the
/// next to be lost for good while another one is away.
bool LossGroup::reachesGroup(std::size_t self,
                             const std::vector<std::string> &seeds) {
  const auto known = hostsThat([&](const LossHost &it) {
    const SimulatedProcess &process = Sim.process(it.Name);
    return it.Counted && it.Name != Hosts[self].Name &&
           std::ranges::find(seeds, it.Name.str()) != seeds.end() &&
           process.Alive && !process.Frozen;
  });
  return known.size() >= (Hosts[self].Counted ? 1U : 2U);
}

std::vector<std::string> LossGroup::drawSeeds(std::size_t self) {
  std::vector<std::string> seeds;
  const auto draw = [&](std::vector<std::size_t> from, std::size_t n) {
    while (n > 0 && !from.empty()) {
      const std::size_t i = pick(from.size());
      const std::string name = Hosts[from[i]].Name.str();
      from.erase(from.begin() + static_cast<std::ptrdiff_t>(i));
      if (std::ranges::find(seeds, name) != seeds.end())
        continue;
      seeds.push_back(name);
      --n;
    }
  };
  const auto isReplica = [](const LossHost &it) { return !it.IsEntry; };
  draw(hostsThat(isReplica), MaxSeeds);
  if (reachesGroup(self, seeds))
    return seeds;
  seeds.clear();
  const auto goesOn = [&](const LossHost &it) {
    const SimulatedProcess &process = Sim.process(it.Name);
    return it.Counted && it.Name != Hosts[self].Name && process.Alive &&
           !process.Frozen;
  };
  draw(hostsThat(goesOn), 2);
  draw(hostsThat(isReplica), MaxSeeds - seeds.size());
  return seeds;
}

/// A restart is by the old settings or by new ones.
void LossGroup::renewSeeds(std::size_t host) {
  if (chance(0.5) && reachesGroup(host, Hosts[host].Seeds))
    return;
  useSeeds(host, drawSeeds(host));
}

void LossGroup::useSeeds(std::size_t host,
                         const std::vector<std::string> &seeds) {
  Hosts[host].Seeds = seeds;
  ProcessSpec &spec = at(host).Spec;
  if (Hosts[host].IsEntry) {
    spec.Forward.Feed.Replicas = Hosts[host].Seeds;
    return;
  }
  spec.Replica.PeerAddresses = Hosts[host].Seeds;
  std::erase(spec.Replica.PeerAddresses, Hosts[host].Name.str());
}

void LossGroup::startAgain(std::size_t host) {
  if (Hosts[host].Removed || isRunning(host))
    return;
  renewSeeds(host);
  note(Hosts[host].Name.str() + " is back");
  Sim.powerOn(at(host));
}

//===----------------------------------------------------------------------===//
// Faults
//===----------------------------------------------------------------------===//

void LossGroup::takeDown(std::size_t host, const Down &down) {
  LossHost &it = Hosts[host];
  if (it.Removed || !isRunning(host))
    return;
  note(it.Name.str() + (down.PowerLost ? " loses power" : " is killed") +
       (down.DiskLost ? ", with its disk lost" : "") + ", for " +
       seconds(down.For));
  if (down.PowerLost)
    Sim.powerOff(at(host));
  else
    Sim.kill(at(host));
  if (it.Leaving) {
    it.Removed = true;
    return Sim.powerOff(at(host));
  }
  if (down.DiskLost)
    at(host).Disk.reset();
  if (down.Unreadable > Duration::zero() && at(host).Disk) {
    note(it.Name.str() + "'s store can't be opened for " +
         seconds(down.For + down.Unreadable));
    at(host).Disk->Unreadable = true;
    Sim.after(down.For + down.Unreadable, [this, host] {
      if (at(host).Disk)
        at(host).Disk->Unreadable = false;
    });
  }
  Sim.after(down.For, [this, host] { startAgain(host); });
}

void LossGroup::freeze(std::size_t host, Duration d) {
  if (Hosts[host].Removed || !isRunning(host))
    return;
  note(Hosts[host].Name.str() + " freezes for " + seconds(d));
  Sim.freezeFor(at(host), d);
}

void LossGroup::fillDisk(std::size_t host, Duration d) {
  MemoryLogStore *disk = at(host).Disk.get();
  if (Hosts[host].Removed || !disk)
    return;
  note(Hosts[host].Name.str() + "'s disk is full for " + seconds(d));
  disk->Full = true;
  Sim.after(d, [this, host] {
    if (at(host).Disk)
      at(host).Disk->Full = false;
  });
}

void LossGroup::cut(const std::vector<std::size_t> &some,
                    const std::vector<std::size_t> &others, Direction direction,
                    Duration d) {
  std::vector<std::pair<HostName, HostName>> pairs;
  std::string names;
  for (const std::size_t i : some)
    for (const std::size_t j : others) {
      if (i == j)
        continue;
      if (direction != Direction::In)
        pairs.emplace_back(Hosts[i].Name, Hosts[j].Name);
      if (direction != Direction::Out)
        pairs.emplace_back(Hosts[j].Name, Hosts[i].Name);
    }
  for (const std::size_t i : some)
    names += Hosts[i].Name.str() + " ";
  names += direction == Direction::Both ? "<-/-> "
           : direction == Direction::In ? "<-/- "
                                        : "-/-> ";
  for (const std::size_t j : others)
    names += Hosts[j].Name.str() + " ";
  note("cut: " + names + "for " + seconds(d));
  for (const auto &[from, to] : pairs)
    Sim.cut(from, to);
  Sim.after(d, [this, pairs] {
    for (const auto &[from, to] : pairs)
      Sim.heal(from, to);
  });
}

void LossGroup::removeAbruptly(std::size_t host, bool powerLost) {
  note(Hosts[host].Name.str() + " is gone for good" +
       (powerLost ? ", its power first" : ""));
  Hosts[host].Removed = true;
  if (!powerLost)
    Sim.kill(at(host));
  Sim.powerOff(at(host));
}

void LossGroup::askToStop(std::size_t host) {
  note(Hosts[host].Name.str() + " is asked to stop, for good");
  Hosts[host].Leaving = true;
  Sim.stop(at(host));
}

//===----------------------------------------------------------------------===//
// Commands
//===----------------------------------------------------------------------===//

void LossGroup::propose() {
  Sim.after(between(100ms, 300ms), [this] { propose(); });
  SimulatedProcess *leader = Sim.leader();
  if (!leader || leader->Frozen)
    return;
  const AdapterName name("a" + std::to_string(++LastCommand));
  leader->Replica->propose(
      now(), Command{.Body = CreateAdapter{name, "base"}},
      [this, name](const std::optional<CommandOutcome> &outcome) {
        if (outcome && outcome->Result == CommandResult::Accepted)
          onAcknowledged(name, outcome->At);
      });
}

void LossGroup::onAcknowledged(const AdapterName &name, Revision at) {
  Accepted.push_back({now(), at, name});
  if (OnNextAck)
    Sim.after(Duration::zero(), std::exchange(OnNextAck, {}));
}

Revision LossGroup::acknowledgedBy(TimePoint at) const {
  const auto it = std::ranges::upper_bound(Accepted, at, {}, &Acknowledged::At);
  return it == Accepted.begin() ? 0 : std::prev(it)->Number;
}

//===----------------------------------------------------------------------===//
// Checks
//===----------------------------------------------------------------------===//

void LossGroup::runUntil(TimePoint end) {
  while (now() < end && Broken.empty()) {
    Sim.runUntil(std::min(now() + CheckPeriod, end));
    check();
  }
}

void LossGroup::check() {
  for (std::size_t i = 0; i < Hosts.size(); ++i) {
    LossHost &it = Hosts[i];
    if (it.Leaving && !it.Removed && !isRunning(i)) {
      it.Removed = true;
      note(it.Name.str() + " has stopped");
      Sim.powerOff(at(i));
    }
  }
  checkLeaders();
  checkReads();
  checkEntries();
}

void LossGroup::checkLeaders() {
  std::string holders;
  std::size_t leases = 0;
  for (std::size_t i = 0; i < Hosts.size(); ++i) {
    const SimulatedProcess &it = at(i);
    if (!it.Replica || it.Replica->log().role() != LogRole::Leader)
      continue;
    const ReplicatedLog &log = it.Replica->log();
    if (LeaderOf.emplace(log.term(), log.id()).first->second != log.id())
      fail("two leaders of term " + std::to_string(log.term()));
    if (!log.holdsLease(now()))
      continue;
    ++leases;
    holders += " " + it.Spec.Host.str();
  }
  if (leases > 1)
    fail("two leases at a time:" + holders);
  if (leases > 0)
    LeaderSeenAt = now();
  if (now() > std::max(LeaderSeenAt, PauseUntil) + RecoveryTime)
    fail("no leader for " + seconds(now() - LeaderSeenAt));
}

void LossGroup::checkReads() {
  if (Accepted.empty())
    return;
  for (std::size_t i = 0; i < Hosts.size(); ++i) {
    const SimulatedProcess &it = at(i);
    if (!it.Replica || it.Frozen)
      continue;
    const Configuration *current = it.Replica->currentConfiguration(now());
    if (!current)
      continue;
    const Acknowledged &last = Accepted.back();
    if (current->revision() < last.Number ||
        current->adapterCount() < Accepted.size() ||
        !current->findAdapter(last.Name))
      fail(it.Spec.Host.str() + " shows revision " +
           std::to_string(current->revision()) + " with " +
           std::to_string(current->adapterCount()) + " adapters as current, " +
           std::to_string(last.Number) + " with " +
           std::to_string(Accepted.size()) + " were acknowledged");
  }
}

void LossGroup::checkEntries() {
  for (std::size_t i = 0; i < Hosts.size(); ++i) {
    const SimulatedProcess &it = at(i);
    if (!it.Forward || it.Frozen)
      continue;
    const ConfigurationCopy &copy = it.Forward->configuration();
    const auto age = copy.confirmationAge(now());
    if (!copy.isConfirmed(now()) || !age)
      continue;
    const Revision wanted = acknowledgedBy(now() - *age);
    if (copy.revision() < wanted)
      fail(it.Spec.Host.str() + " takes revision " +
           std::to_string(copy.revision()) + " for confirmed, " +
           std::to_string(wanted) + " was acknowledged");
  }
}

std::string LossGroup::lacksService(TimePoint since) {
  SimulatedProcess *leader = Sim.leader();
  if (!leader)
    return "no leader";
  const Configuration *current = leader->Replica->currentConfiguration(now());
  if (!current)
    return "the leader can't read";
  for (const Acknowledged &it : Accepted)
    if (!current->findAdapter(it.Name))
      return "lost: " + it.Name.str();
  if (Accepted.empty() || Accepted.back().At <= since)
    return "no command accepted";
  return "";
}

std::string LossGroup::lacksFollowers() {
  SimulatedProcess *leader = Sim.leader();
  if (!leader)
    return "no leader";
  const ReplicaGroup &group = leader->Replica->log().group();
  const Revision wanted = acknowledgedBy(now() - ApplyTime);
  std::size_t voters = 0;
  for (const std::size_t i : hostsThat([](const auto &) { return true; })) {
    const SimulatedProcess &it = at(i);
    const std::string name = it.Spec.Host.str();
    if (it.Forward) {
      if (it.Forward->configuration().revision() < wanted)
        return "entry " + name + " doesn't follow";
      if (!it.Forward->configuration().isConfirmed(now()))
        return "entry " + name + " isn't confirmed";
      continue;
    }
    if (!it.Replica)
      return name + " has no replica";
    const ReplicatedLog &log = it.Replica->log();
    const auto entry =
        std::ranges::find(group.Replicas, log.id(), &ReplicaDescriptor::Id);
    const auto own = std::ranges::find(log.group().Replicas, log.id(),
                                       &ReplicaDescriptor::Id);
    if (entry == group.Replicas.end())
      return name + " isn't a member" +
             (log.isMember() ? " but takes itself for one" : "");
    if (own == log.group().Replicas.end())
      return name + " doesn't know that it is a member";
    if (own->Learner != entry->Learner)
      return name + " doesn't know whether it votes";
    if (it.Replica->state().configuration().revision() < wanted)
      return name + " doesn't follow";
    voters += entry->Learner ? 0 : 1;
  }
  const auto all = static_cast<std::size_t>(
      std::ranges::count(group.Replicas, false, &ReplicaDescriptor::Learner));
  if (voters < WantedVoters || voters != all)
    return std::to_string(voters) + " of " + std::to_string(all) +
           " voters run, so that one more loss isn't borne";
  return "";
}

//===----------------------------------------------------------------------===//
// Report
//===----------------------------------------------------------------------===//

std::string LossGroup::describe(std::size_t host) {
  const SimulatedProcess &it = at(host);
  std::string text = it.Spec.Host.str() + ":";
  if (Hosts[host].Removed)
    return text + " gone";
  if (!it.Alive)
    return text + " down";
  if (it.Frozen)
    text += " frozen";
  if (it.Forward)
    return text + " revision " +
           std::to_string(it.Forward->configuration().revision()) +
           (it.Forward->configuration().isConfirmed(now()) ? " confirmed" : "");
  if (!it.Replica)
    return text + " no store";
  const ReplicatedLog &log = it.Replica->log();
  constexpr std::array Roles{" follower", " candidate", " leader"};
  text += Roles.at(static_cast<std::size_t>(log.role()));
  text += " id " + std::to_string(log.id()) + " term " +
          std::to_string(log.term()) + " committed " +
          std::to_string(log.commitIndex()) + " last " +
          std::to_string(log.lastIndex()) + " revision " +
          std::to_string(it.Replica->state().configuration().revision()) +
          " group";
  for (const ReplicaDescriptor &member : log.group().Replicas)
    text += " " + member.Host.str() + "/" + std::to_string(member.Id) +
            (member.Learner ? "(learner)" : "");
  return text;
}

std::string LossGroup::report() {
  std::string text;
  for (const std::string &it : Lines)
    text += "\n  " + it;
  text += "\n  at " + seconds(now() - Start) + ", " +
          std::to_string(Accepted.size()) + " acknowledged, the last as " +
          std::to_string(Accepted.empty() ? 0 : Accepted.back().Number) + ":";
  for (std::size_t i = 0; i < Hosts.size(); ++i)
    text += "\n    " + describe(i);
  return text;
}

} // namespace pimentofront::testing
