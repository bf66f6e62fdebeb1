#include "pimentofront/Testkit.h"

#include <algorithm>
#include <cmath>

namespace pimentofront::testkit {
namespace {

/// Time before the trace begins, in which the replica group elects a leader and
/// the agents register.
constexpr Duration StartupTime = std::chrono::seconds(5);
/// Time after the last request, in which the remaining answers arrive.
constexpr Duration DrainTime = std::chrono::seconds(35);

HostName replicaName(std::uint32_t i) {
  return HostName("entry-" + std::to_string(i));
}

std::unique_ptr<RoutingPolicy> makeRouting(const PolicySpec &policy) {
  switch (policy.Routing) {
  case RoutingChoice::LeastLoaded:
    return std::make_unique<LeastLoaded>();
  case RoutingChoice::ConsistentHash:
    return std::make_unique<ConsistentHash>();
  case RoutingChoice::Affinity:
    break;
  }
  return std::make_unique<AffinityRouting>(policy.Affinity);
}

std::unique_ptr<EvictionPolicy> makeEviction(const PolicySpec &policy) {
  if (policy.Eviction == EvictionChoice::LeastRecent)
    return std::make_unique<LeastRecentlyUsed>();
  return std::make_unique<LeastPopular>();
}

std::unique_ptr<LoadGate> makeGate(const PolicySpec &policy,
                                   const Deployment &deployment) {
  switch (policy.Loads) {
  case LoadChoice::Uncoordinated:
    return std::make_unique<UncoordinatedLoads>();
  case LoadChoice::StaticShare:
    return std::make_unique<StaticShare>(deployment.LoadsPerSecond,
                                         deployment.Workers);
  case LoadChoice::Scheduled:
    break;
  }
  return std::make_unique<ScheduledLoads>(deployment.LoadsPerSecond,
                                          deployment.Workers);
}

/// \returns the initial replicated state: all adapters with one live version.
std::string initialState(const Deployment &deployment, ReplayFault fault) {
  StateMachine state;
  const auto apply = [&](CommandBody body) {
    state.apply(0, Command{.Body = std::move(body)});
  };
  for (const KindShare &it : deployment.Kinds)
    apply(SetKind{it.Kind});
  for (std::uint32_t i = 0; i < deployment.Adapters; ++i) {
    const AdapterName name("adapter-" + std::to_string(i));
    // One adapter in twenty fails to load, some of the popular ones included.
    const bool bad = fault == ReplayFault::BadAdapters && i % 20 == 10;
    apply(CreateAdapter{name, "base"});
    apply(CreateVersion{name, 1, (bad ? "missing:" : "store://") + name.str()});
    apply(DeclareLive{name, {1}});
  }
  return state.encode();
}

class Replayer {
public:
  Replayer(const Deployment &deployment, const PolicySpec &policy,
           const Trace &trace, ReplayFault fault, std::uint64_t seed)
      : Cluster(deployment), Policy(policy), Requests(trace), Fault(fault),
        Sim({.Seed = seed,
             .BetweenZones = deployment.BetweenZones,
             .Store = {.LoadsPerSecond = deployment.LoadsPerSecond}}) {
    Sim.RequestLedger.discardTexts();
  }

  ReplayResult run() {
    addEntries();
    addAgents();
    Sim.runUntil(Sim.now() + StartupTime);
    Begin = Sim.now();
    const Duration length = Requests.Requests.empty()
                                ? Duration::zero()
                                : Requests.Requests.back().At;
    for (const TraceRequest &it : Requests.Requests)
      Sim.after(it.At, [this, &it] { send(it); });
    Sim.after(length / 2, [this] { injectFault(); });
    Sim.runUntil(Begin + length + DrainTime);
    return collectResult(length);
  }

private:
  const std::string &zoneOf(std::uint32_t i) const {
    return Cluster.Zones[i % Cluster.Zones.size()];
  }

  void addEntries() {
    ReplicaGroup group;
    for (std::uint32_t i = 0; i < Cluster.Entries; ++i) {
      group.Replicas.push_back({.Id = 1 + i,
                                .Host = replicaName(i),
                                .Address = replicaName(i).str()});
      Addresses.push_back(replicaName(i).str());
    }
    const std::string state = initialState(Cluster, Fault);
    for (std::uint32_t i = 0; i < Cluster.Entries; ++i) {
      const HostName host = replicaName(i);
      ProcessSpec spec{.Host = host, .Zone = ZoneName(zoneOf(i))};
      spec.IsEntry = true;
      spec.IsReplica = true;
      spec.Entry = {.Host = host, .Replicas = Addresses};
      spec.Replica.Log.Host = host;
      spec.Replica.Log.Address = host.str();
      spec.Replica.PeerAddresses = Addresses;
      spec.Replica.Loads = {.LoadsPerSecond = Cluster.LoadsPerSecond,
                            .LoadTime =
                                fromSeconds(1 / Cluster.LoadsPerSecond)};
      spec.MakeRouting = [this] { return makeRouting(Policy); };
      SimulatedProcess &process = Sim.add(spec);
      process.Disk = std::make_unique<MemoryLogStore>(1 + i);
      process.Disk->Stored.Snapshot = LogSnapshot::make(1, 1, group, state);
      Sim.start(process);
    }
  }

  void addAgents() {
    for (std::uint32_t i = 0; i < Cluster.Workers; ++i) {
      const HostName host("worker-" + std::to_string(i));
      ProcessSpec spec{.Host = host, .Zone = ZoneName(zoneOf(i))};
      spec.IsAgent = true;
      spec.Engine = Cluster.Engine;
      spec.Agent = {
          .Agent = {.Host = host,
                    .BaseModel = "base",
                    .Slots = Cluster.Engine.Slots,
                    .BatchCapacity = Cluster.Engine.BatchCapacity,
                    .Popularity = Policy.Popularity,
                    .LoadTime = fromSeconds(1 / Cluster.LoadsPerSecond),
                    .SpillDelay = Policy.SpillDelay,
                    .RefusesEarly = Policy.RefusesEarly,
                    .StallShare = Policy.StallShare,
                    .BatchingShare = Policy.BatchingShare,
                    .BatchingWait = Policy.BatchingWait},
          .Zone = spec.Zone,
          .Address = host.str(),
          .Replicas = Addresses};
      spec.MakeEviction = [this] { return makeEviction(Policy); };
      spec.MakeGate = [this] { return makeGate(Policy, Cluster); };
      Sim.start(Sim.add(spec));
    }
  }

  void send(const TraceRequest &request) {
    SimulatedProcess *entry = &Sim.process(replicaName(request.Entry));
    // The platform's load balancer skips entries that aren't ready.
    for (std::uint32_t i = 1; i < Cluster.Entries; ++i)
      if (!entry->Alive || !entry->Entry->ready(Sim.now()))
        entry =
            &Sim.process(replicaName((request.Entry + i) % Cluster.Entries));
    Sim.request(*entry, {.Id = RequestId("r" + std::to_string(++LastId)),
                         .Caller = CallerName("caller"),
                         .Kind = request.Kind,
                         .Adapter = request.Adapter,
                         .Prompt = request.Prompt,
                         .MaxTokens = request.Tokens});
  }

  void injectFault() {
    if (Fault == ReplayFault::ColdThird) {
      std::uint32_t i = 0;
      for (SimulatedProcess *it : Sim.processes())
        if (it->Engine && i++ % 3 == 0)
          it->Engine->restart();
    }
    if (Fault != ReplayFault::LeaderLost)
      return;
    if (SimulatedProcess *it = Sim.leader())
      Sim.kill(*it);
  }

  /// \returns the stall of a request: the time it waited for its adapter if it
  /// was answered, else the whole time until its outcome.
  static double stallOf(const RequestRecord &record) {
    if (record.Answer.Kind == FinalKind::Answered)
      return toSeconds(record.Answer.LoadStall);
    return toSeconds(record.EndedAt - record.SentAt);
  }

  static double percentile(std::vector<double> values, double fraction) {
    if (values.empty())
      return 0;
    std::ranges::sort(values);
    const auto at = static_cast<std::size_t>(
        std::llround(fraction * static_cast<double>(values.size() - 1)));
    return values[at];
  }

  Duration windowOf(const KindName &kind) const {
    for (const KindShare &it : Cluster.Kinds)
      if (it.Kind.Name == kind)
        return it.Kind.Window;
    return Duration::zero();
  }

  ReplayResult collectResult(Duration length) {
    ReplayResult result;
    result.StallByTenth.resize(10);
    std::map<KindName, std::vector<double>> stalls;
    std::vector<double> all;
    std::vector<double> refusals;
    std::uint64_t useful = 0;
    for (const auto &[key, it] : Sim.RequestLedger.requests()) {
      if (!it.Ended) // Its entry was killed; its caller lost the connection.
        continue;
      const double stall = stallOf(it);
      KindResult &kind = result.Kinds[it.Request.Kind];
      ++kind.Sent;
      ++result.Sent;
      const bool answered = it.Answer.Kind == FinalKind::Answered;
      const bool inWindow =
          answered && it.EndedAt - it.SentAt <= windowOf(it.Request.Kind);
      kind.InWindow += inWindow;
      result.InWindow += inWindow;
      useful += inWindow ? it.Answer.Tokens : 0;
      const bool refused = it.Answer.Kind == FinalKind::Refused;
      result.Refused += refused;
      result.Other += !answered && !refused;
      if (refused)
        refusals.push_back(toSeconds(it.EndedAt - it.SentAt));
      kind.StallTotal += stall;
      result.StallTotal += stall;
      stalls[it.Request.Kind].push_back(stall);
      all.push_back(stall);
      const auto tenth = static_cast<std::size_t>(std::min<std::int64_t>(
          9, 10 * (it.SentAt - Begin) / (length + Duration(1))));
      result.StallByTenth[tenth] += stall;
    }
    for (auto &[name, kind] : result.Kinds) {
      kind.StallP95 = percentile(stalls[name], 0.95);
      kind.StallP99 = percentile(stalls[name], 0.99);
    }
    result.StallP95 = percentile(all, 0.95);
    result.StallP99 = percentile(all, 0.99);
    result.RefusalP99 = percentile(refusals, 0.99);
    EngineCounters engines;
    for (SimulatedProcess *it : Sim.processes())
      if (it->Engine) {
        engines.Steps += it->Engine->counters().Steps;
        engines.Loads += it->Engine->counters().Loads;
      }
    const double capacity =
        static_cast<double>(engines.Steps) * Cluster.Engine.BatchCapacity;
    result.BatchEfficiency =
        capacity > 0 ? static_cast<double>(useful) / capacity : 0;
    result.Loads = engines.Loads;
    result.MinLoads =
        minLoads(Requests, std::size_t(Cluster.Workers) * Cluster.Engine.Slots);
    result.Violations = Sim.RequestLedger.violations();
    return result;
  }

  const Deployment &Cluster;
  const PolicySpec &Policy;
  const Trace &Requests;
  ReplayFault Fault;
  Simulation Sim;
  std::vector<std::string> Addresses;
  TimePoint Begin;
  std::uint64_t LastId = 0;
};

} // namespace

const std::vector<PolicySpec> &allPolicies() {
  using enum RoutingChoice;
  using enum EvictionChoice;
  using enum LoadChoice;
  static const std::vector<PolicySpec> All = {
      {.Name = "least-loaded",
       .Routing = RoutingChoice::LeastLoaded,
       .Eviction = LeastRecent,
       .Loads = Uncoordinated,
       .RefusesEarly = false,
       .BatchingShare = 0},
      {.Name = "hash",
       .Routing = RoutingChoice::ConsistentHash,
       .Eviction = LeastRecent,
       .Loads = Uncoordinated,
       .RefusesEarly = false,
       .BatchingShare = 0},
      {.Name = "v1",
       .Popularity = {.SessionHalfLife = Duration(1)},
       .StallShare = 1,
       .BatchingShare = 0},
      {.Name = "v2", .StallShare = 1, .BatchingShare = 0},
      {.Name = "v3", .BatchingShare = 0},
      {.Name = "v4", .BatchingWait = std::chrono::hours(1)},
      {.Name = "v5"},
  };
  return All;
}

const PolicySpec *findPolicy(const std::string &name) {
  const auto it = std::ranges::find(allPolicies(), name, &PolicySpec::Name);
  return it == allPolicies().end() ? nullptr : &*it;
}

const char *nameOf(ReplayFault fault) {
  constexpr const char *Names[] = {"none", "cold-third", "shift", "leader-lost",
                                   "bad-adapters"};
  return Names[static_cast<std::size_t>(fault)];
}

ReplayResult replay(const Deployment &deployment, const PolicySpec &policy,
                    const Trace &trace, ReplayFault fault, std::uint64_t seed) {
  return Replayer(deployment, policy, trace, fault, seed).run();
}

} // namespace pimentofront::testkit
