#include "pimentofront/Testkit.h"

#include <algorithm>

namespace pimentofront::testkit {

//===----------------------------------------------------------------------===//
// Virtual time
//===----------------------------------------------------------------------===//

Simulation::Simulation(const SimulationOptions &options)
    : Store(*this, options.Store),
      Service(*this, RequestLedger, options.ServiceDelay), Rng(options.Seed),
      Options(options) {}

Simulation::~Simulation() = default;

std::uint64_t Simulation::milliseconds() const {
  constexpr std::uint64_t Epoch = 1'790'000'000'000;
  constexpr std::int64_t MicrosPerMilli = 1000;
  return Epoch + static_cast<std::uint64_t>(Now.time_since_epoch().count() /
                                            MicrosPerMilli);
}

void Simulation::after(Duration delay, std::function<void()> action) {
  Events.push({Now + delay, ++Sequence, std::move(action)});
}

void Simulation::runUntil(TimePoint end) {
  while (!Events.empty() && Events.top().At <= end) {
    Event event = Events.top();
    Events.pop();
    Now = std::max(Now, event.At);
    event.Action();
  }
  Now = std::max(Now, end);
}

//===----------------------------------------------------------------------===//
// Processes
//===----------------------------------------------------------------------===//

SimulatedProcess &Simulation::add(const ProcessSpec &spec) {
  auto &slot = Processes[spec.Host];
  slot = std::make_unique<SimulatedProcess>(*this, spec);
  if (spec.IsAgent && !spec.Agent.Agent.BaseModel.empty())
    slot->Engine =
        std::make_unique<FakeEngine>(*this, spec.Engine, Store, RequestLedger);
  return *slot;
}

SimulatedProcess &Simulation::process(const HostName &host) {
  return *Processes.at(host);
}

std::vector<SimulatedProcess *> Simulation::processes() {
  std::vector<SimulatedProcess *> result;
  for (auto &[host, it] : Processes)
    result.push_back(it.get());
  return result;
}

SimulatedProcess *Simulation::leader() {
  for (auto &[host, it] : Processes)
    if (it->Alive && it->Replica && it->Replica->log().holdsLease(Now))
      return it.get();
  return nullptr;
}

void Simulation::start(SimulatedProcess &process) {
  if (process.Alive)
    return;
  process.Alive = true;
  process.Frozen = false;
  process.Incarnation = Rng.next() | 1;
  const ProcessSpec &spec = process.Spec;
  if (spec.IsReplica) {
    if (!process.Disk)
      process.Disk = std::make_unique<MemoryLogStore>(++LastDisk);
    process.ReplicaIncarnation = process.Incarnation;
    process.AnnouncedReplica = 0;
    openReplica(process);
  }
  if (spec.IsAgent) {
    AgentNodeOptions options = spec.Agent;
    options.Agent.Incarnation = process.Incarnation;
    process.Eviction = spec.MakeEviction();
    process.Gate = spec.MakeGate();
    process.KnownEngineStart = 0;
    process.Agent = std::make_unique<AgentNode>(
        Now, options, *process.Eviction, *process.Gate, process, process);
  }
  if (spec.IsEntry) {
    EntryNodeOptions options = spec.Entry;
    options.Entry.Incarnation = process.Incarnation;
    process.Routing = spec.MakeRouting();
    process.Entry = std::make_unique<EntryNode>(Now, options, *process.Routing,
                                                process, process);
  }
  if (spec.IsForward) {
    ForwardNodeOptions options = spec.Forward;
    options.Feed.Incarnation = process.Incarnation;
    options.Forward.Incarnation = process.Incarnation;
    process.Routing = spec.MakeRouting();
    process.Forward = spec.MakeForward(options, *process.Routing, process);
  }
  if (process.Engine) {
    const auto at = [this, host = spec.Host, incarnation = process.Incarnation](
                        auto action) { atProcess(host, incarnation, action); };
    process.Engine->attach(
        {.OnTokens =
             [=](const AttemptId &attempt, std::uint32_t n, std::string text) {
               at([=](SimulatedProcess &it) {
                 it.Agent->controller().onTokens(it.Owner.now(), attempt, n,
                                                 text);
                 it.Agent->flush(it.Owner.now());
               });
             },
         .OnEnd =
             [=](const AttemptId &attempt) {
               at([=](SimulatedProcess &it) {
                 it.Agent->controller().onWorkEnded(
                     it.Owner.now(), attempt, AttemptEnding::Answered, "");
                 it.Agent->flush(it.Owner.now());
               });
             }});
  }
  tick(spec.Host, process.Incarnation);
}

void Simulation::kill(SimulatedProcess &process) {
  if (!process.Alive)
    return;
  process.Alive = false;
  process.Frozen = false;
  process.PendingEvents.clear();
  // Its callers see the connection close and can't know whether their requests
  // were run.
  process.Waiting.clear();
  dropLinksOf(process.Spec.Host);
  if (process.Engine)
    process.Engine->detach();
  process.Entry.reset();
  process.Agent.reset();
  process.Replica.reset();
  process.Forward.reset();
}

void Simulation::stop(SimulatedProcess &process) {
  if (process.Replica)
    process.Replica->beginLeave();
  after(Options.StopNotice,
        [this, host = process.Spec.Host, incarnation = process.Incarnation,
         limit = Now + Options.StopLimit] {
          stopWhenPossible(host, incarnation, limit);
        });
}

void Simulation::stopWhenPossible(const HostName &host,
                                  std::uint64_t incarnation, TimePoint limit) {
  SimulatedProcess &process = *Processes.at(host);
  if (!process.Alive || process.Incarnation != incarnation)
    return;
  const bool mayStop = !process.Replica || process.Replica->mayStop();
  if (!process.Frozen && (mayStop || Now >= limit))
    return kill(process);
  after(Options.TickPeriod,
        [=, this] { stopWhenPossible(host, incarnation, limit); });
}

void Simulation::wake(SimulatedProcess &process) {
  process.Frozen = false;
  // After a pause, pending messages and expired timers may run in either order.
  // Here the messages run first.
  const auto pending = std::move(process.PendingEvents);
  process.PendingEvents.clear();
  for (const auto &it : pending)
    it();
}

void Simulation::killFor(SimulatedProcess &process, Duration duration) {
  kill(process);
  after(duration, [this, &process] { start(process); });
}

void Simulation::freezeFor(SimulatedProcess &process, Duration duration) {
  freeze(process);
  after(duration, [this, &process] {
    if (process.Alive && process.Frozen)
      wake(process);
  });
}

void Simulation::closeStoreFor(SimulatedProcess &process, Duration duration) {
  dropLinksOf(process.Spec.Host);
  process.Replica.reset();
  after(duration,
        [this, host = process.Spec.Host, incarnation = process.Incarnation] {
          atProcess(host, incarnation, [this](SimulatedProcess &it) {
            if (!it.Replica)
              openReplica(it);
          });
        });
}

void Simulation::loseDisk(SimulatedProcess &process) {
  kill(process);
  process.Disk.reset();
}

void Simulation::atProcess(const HostName &host, std::uint64_t incarnation,
                           std::function<void(SimulatedProcess &)> action) {
  SimulatedProcess &process = *Processes.at(host);
  if (!process.Alive || process.Incarnation != incarnation)
    return;
  if (process.Frozen) {
    process.PendingEvents.push_back([this, host, incarnation, action] {
      atProcess(host, incarnation, action);
    });
    return;
  }
  action(process);
}

void Simulation::probeEngine(SimulatedProcess &process) {
  FakeEngine &engine = *process.Engine;
  AgentController &controller = process.Agent->controller();
  const std::uint64_t currentStart = engine.down() ? 0 : engine.startedAt();
  if (process.KnownEngineStart != 0 &&
      currentStart != process.KnownEngineStart) {
    controller.onEngineLost(Now);
    process.KnownEngineStart = 0;
  }
  if (currentStart == 0)
    return;
  if (!controller.board().EngineReady)
    controller.onEngineFound(Now, engine.resident(), engine.idle());
  process.KnownEngineStart = currentStart;
  process.Agent->flush(Now);
}

void Simulation::tick(const HostName &host, std::uint64_t incarnation) {
  SimulatedProcess &process = *Processes.at(host);
  if (!process.Alive || process.Incarnation != incarnation)
    return;
  after(Options.TickPeriod, [=, this] { tick(host, incarnation); });
  if (process.Frozen)
    return;
  if (process.Replica) {
    process.Replica->tick(Now);
    RequestLedger.recordRevision(
        host, process.ReplicaIncarnation,
        process.Replica->state().configuration().revision());
    if (process.Replica->storeError())
      closeReplica(process);
  }
  if (process.Agent) {
    if (process.Engine)
      probeEngine(process);
    process.Agent->tick(Now);
  }
  if (process.Entry) {
    process.Entry->tick(Now);
    RequestLedger.recordRevision(HostName(host.str() + "/entry"), incarnation,
                                 process.Entry->configuration().revision());
  }
  if (process.Forward)
    process.Forward->tick(Now);
  expireUnsent();
}

//===----------------------------------------------------------------------===//
// Callers and operators
//===----------------------------------------------------------------------===//

RequestKey Simulation::request(SimulatedProcess &entry, CallerRequest request) {
  request.Key = ++LastKey;
  RequestLedger.recordSubmitted(Now, request.Key, request);
  if (!entry.Alive)
    return request.Key; // Connection refused: the caller knows it wasn't run.
  entry.Waiting.insert(request.Key);
  atProcess(entry.Spec.Host, entry.Incarnation,
            [request](SimulatedProcess &it) {
              it.Entry->request(it.Owner.now(), request);
            });
  return request.Key;
}

void Simulation::command(SimulatedProcess &entry, const Command &command,
                         CommandCallback done) {
  if (!entry.Alive)
    return done(std::nullopt);
  atProcess(entry.Spec.Host, entry.Incarnation, [=](SimulatedProcess &it) {
    it.Entry->command(it.Owner.now(), command, done);
  });
}

} // namespace pimentofront::testkit
