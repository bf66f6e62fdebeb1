#include "pimentofront/Testkit.h"

#include <algorithm>
#include <cassert>

namespace pimentofront::testkit {
namespace {

constexpr const char *Service = "plain";
constexpr const char *Path = "/flow/";
constexpr std::uint32_t Slots = 64;
constexpr int StatusOk = 200;
constexpr int StatusMisdirected = 421;
constexpr int StatusUnavailable = 503;

HostName replicaName(std::uint32_t i) {
  return HostName("replica-" + std::to_string(i));
}
HostName entryName(std::uint32_t i) {
  return HostName("entry-" + std::to_string(i));
}

/// \returns the host of server \p i; its agent listens there.
HostName agentName(std::uint32_t i) {
  return HostName("10.0.0." + std::to_string(i) + ":9");
}

std::string eventText(std::uint32_t id, const std::string &software) {
  return "id: " + std::to_string(id) + "\ndata: " + software + "\n\n";
}

} // namespace

/// A document with one route of resumable streams to one service.
class ForwardFleet::FixedDocument : public DocumentCodec {
public:
  FixedDocument(std::optional<EngineSpec> engine,
                const ForwardFleetOptions &options)
      : Engine(std::move(engine)), ColdPerSecond(options.ColdPerSecond),
        ColdTime(options.ColdTime), MaxServers(options.MaxServers),
        Resumable(options.Resumable) {}

  RoutingDocument decode(std::string_view, Findings &) const override {
    return {.Routes = {{.Name = "flow",
                        .Host = "h",
                        .PathPrefix = Path,
                        .Kind = Repeatability::Stream,
                        .Split = {{ServiceName(Service), 1}},
                        .Timeout = std::chrono::seconds(10),
                        .LatencyTarget = std::chrono::seconds(1),
                        .MaxServers = MaxServers,
                        .Resumable = Resumable}},
            .Services = {{.Name = ServiceName(Service),
                          .ColdPerSecond = ColdPerSecond,
                          .ColdTime = ColdTime,
                          .Engine = Engine}}};
  }

private:
  std::optional<EngineSpec> Engine;
  double ColdPerSecond;
  Duration ColdTime;
  std::uint32_t MaxServers;
  bool Resumable;
};

/// Executes the commands of one entry.
class ForwardFleet::EntrySink : public ForwardSink {
public:
  EntrySink(ForwardFleet &fleet, HostName entry)
      : Fleet(fleet), Entry(std::move(entry)) {}

  void onCommand(ForwardCommand command) override {
    SimulatedProcess &entry = Fleet.Sim.process(Entry);
    if (const auto *send = std::get_if<SendUpstream>(&command))
      return Fleet.onSend(entry, *send);
    if (const auto *check = std::get_if<CheckServer>(&command))
      return Fleet.onCheck(entry, *check);
    if (const auto *cancel = std::get_if<CancelUpstream>(&command)) {
      for (Server &it : Fleet.Servers)
        std::erase_if(it.Runs, [&](const auto &run) {
          return run.second.Attempt == cancel->Attempt;
        });
      return;
    }
    if (const auto *complete = std::get_if<ReplyComplete>(&command)) {
      begin(complete->Key, complete->Head);
      Fleet.Calls.at(complete->Key).Answer.Body = complete->Body;
      return Fleet.endCall(complete->Key, /*complete=*/true);
    }
    if (const auto *head = std::get_if<ReplyHead>(&command))
      return begin(head->Key, head->Head);
    if (const auto *piece = std::get_if<ReplyPiece>(&command)) {
      Fleet.Calls.at(piece->Key).Answer.Body += piece->Bytes;
      return;
    }
    if (const auto *end = std::get_if<ReplyEnd>(&command))
      return Fleet.endCall(end->Key, /*complete=*/true);
    if (const auto *abort = std::get_if<ReplyAbort>(&command))
      return Fleet.endCall(abort->Key, /*complete=*/false);
  }
  void onEvent(const ForwardEvent &event) override {
    Fleet.RecordedEvents.push_back(event);
  }
  void onTable(const RoutingTable &) override {}

private:
  void begin(std::uint64_t key, const ResponseHead &head) {
    CallerAnswer &answer = Fleet.Calls.at(key).Answer;
    answer.Status = head.Status;
    answer.Stamped = findHeader(head.Headers, "stamp") != nullptr;
    if (const std::string *it = findHeader(head.Headers, "come-back"))
      answer.RetryAfter = Duration(std::stoll(*it));
  }

  ForwardFleet &Fleet;
  HostName Entry;
};

ForwardFleet::ForwardFleet(const ForwardFleetOptions &options)
    : Options(options), Sim(options.Simulation) {
  std::optional<EngineSpec> engine;
  if (options.Engines)
    engine = EngineSpec{.BatchCapacity = Slots,
                        .AdapterSlots = options.AdapterSlots,
                        .Models = {{.Name = Service}}};
  Document = std::make_unique<FixedDocument>(std::move(engine), options);
  addReplicas();
  addEntries();
  addServers();
}

ForwardFleet::~ForwardFleet() = default;

void ForwardFleet::addReplicas() {
  ReplicaGroup group;
  for (std::uint32_t i = 0; i < Options.Replicas; ++i) {
    group.Replicas.push_back(
        {.Id = 1 + i, .Host = replicaName(i), .Address = replicaName(i).str()});
    Addresses.push_back(replicaName(i).str());
  }
  for (std::uint32_t i = 0; i < Options.Replicas; ++i) {
    ProcessSpec spec{.Host = replicaName(i), .IsReplica = true};
    spec.Replica.Log.Host = spec.Host;
    spec.Replica.Log.Address = spec.Host.str();
    spec.Replica.PeerAddresses = Addresses;
    SimulatedProcess &process = Sim.add(spec);
    process.Disk = std::make_unique<MemoryLogStore>(1 + i);
    process.Disk->Stored.Snapshot =
        LogSnapshot::make(1, 1, group, StateMachine().encode());
    Sim.start(process);
  }
}

void ForwardFleet::addEntries() {
  for (std::uint32_t i = 0; i < Options.Entries; ++i) {
    const HostName host = entryName(i);
    EntrySinks[host] = std::make_unique<EntrySink>(*this, host);
    ProcessSpec spec{.Host = host, .IsForward = true};
    spec.Forward.Feed = {.Host = host, .Replicas = Addresses};
    spec.Forward.Forward.EvacuationBound = Options.EvacuationBound;
    spec.MakeRouting = [] {
      return std::make_unique<PrefixRouting>(PrefixRoutingOptions{});
    };
    spec.MakeForward = [this, host](const ForwardNodeOptions &forward,
                                    RoutingPolicy &routing,
                                    Transport &transport) {
      return std::make_unique<ForwardNode>(Sim.now(), forward, Headers,
                                           *Document, routing, transport,
                                           *EntrySinks.at(host));
    };
    Sim.start(Sim.add(spec));
  }
}

void ForwardFleet::addServers() {
  for (std::uint32_t i = 0; i < Options.Servers; ++i)
    addServer(Options.Software);
  registerServers();
}

void ForwardFleet::addServer(const std::string &software) {
  const auto i = static_cast<std::uint32_t>(Servers.size());
  Servers.push_back({.Name = HostName("server-" + std::to_string(i) + ".0"),
                     .Address = "10.0.0." + std::to_string(i) + ":80",
                     .Software = software,
                     .StartedAt = startOf(software)});
  if (Options.Engines)
    addAgent(i);
}

std::uint64_t ForwardFleet::startOf(const std::string &software) const {
  return software.empty() ? 0 : Sim.milliseconds();
}

std::size_t ForwardFleet::serversUp(const std::string &software) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Servers, [&](const Server &it) {
        return it.Up && it.Software == software;
      }));
}

void ForwardFleet::addAgent(std::uint32_t i) {
  const HostName host = agentName(i);
  ProcessSpec spec{.Host = host, .IsAgent = true};
  spec.Engine.Slots = Options.AdapterSlots;
  spec.Agent = {.Agent = {.Host = host,
                          .BaseModel = Service,
                          .Slots = Options.AdapterSlots,
                          .BatchCapacity = Slots,
                          .BatchingShare = 0},
                .Zone = zoneOf(i),
                .Address = host.str(),
                .Replicas = Addresses};
  spec.MakeEviction = [] { return std::make_unique<LeastPopular>(); };
  spec.MakeGate = [] { return std::make_unique<UncoordinatedLoads>(); };
  Sim.start(Sim.add(spec));
}

SimulatedProcess &ForwardFleet::agent(std::uint32_t i) {
  return Sim.process(agentName(i));
}

ZoneName ForwardFleet::zoneOf(std::uint32_t server) const {
  return ZoneName("zone-" + std::to_string(server % Options.Zones));
}

void ForwardFleet::cutOffReplicas(const HostName &host) {
  for (std::uint32_t i = 0; i < Options.Replicas; ++i) {
    Sim.cut(host, replicaName(i));
    Sim.cut(replicaName(i), host);
  }
}

void ForwardFleet::makeServerCold(std::uint32_t i) {
  Servers[i].ColdUntil = Sim.now() + Options.ColdTime;
}

void ForwardFleet::setFeedback(std::uint32_t i,
                               const ScriptedFeedback &feedback) {
  Servers[i].Feedback = feedback;
}

SimulatedProcess &ForwardFleet::entry(std::uint32_t i) {
  return Sim.process(entryName(i));
}
SimulatedProcess &ForwardFleet::replica(std::uint32_t i) {
  return Sim.process(replicaName(i));
}

/// Registers the servers at the leader, and proposes the routing document until
/// the proposal has an outcome.
void ForwardFleet::registerServers() {
  Sim.after(Options.Heartbeat, [this] { registerServers(); });
  SimulatedProcess *leader = Sim.leader();
  ++RegistrationRound;
  if (!leader || leader->Frozen)
    return;
  if (!DocumentDecided)
    leader->Replica->propose(
        Sim.now(), Command{.Body = PutDocument{1, packText("document")}},
        [this](const auto &outcome) { DocumentDecided = outcome.has_value(); });
  for (const Server &it : Servers)
    if (it.Up && it.Registers)
      announce(it);
}

void ForwardFleet::deregisterServer(std::uint32_t i,
                                    ReplicaNode::DecisionCallback done) {
  SimulatedProcess *leader = Sim.leader();
  assert(leader && "only a leader answers");
  Servers[i].Registers = false;
  const MemberRecord gone{.Host = Servers[i].Name,
                          .Incarnation = Servers[i].StartedAt,
                          .Gone = true,
                          .Registered = true};
  if (!leader->Replica->announceDeparture(Sim.now(), gone, 0, done))
    done(std::nullopt);
}

void ForwardFleet::announce(const Server &server) {
  SimulatedProcess *leader = Sim.leader();
  if (!leader || leader->Frozen)
    return;
  const auto i = static_cast<std::uint32_t>(&server - Servers.data());
  const Duration cold = server.ColdUntil - Sim.now();
  leader->Replica->announce(Sim.now(),
                            {.Host = server.Name,
                             .Incarnation = server.StartedAt,
                             .Zone = zoneOf(i),
                             .Address = server.Address,
                             .Services = {ServiceName(Service)},
                             .Slots = Slots,
                             .Registered = true,
                             .ColdFor = std::max(cold, Duration::zero()),
                             .Software = server.Software},
                            RegistrationRound);
}

//===----------------------------------------------------------------------===//
// Callers
//===----------------------------------------------------------------------===//

std::uint64_t ForwardFleet::call(SimulatedProcess &entry,
                                 const std::string &content,
                                 std::function<void(const CallerAnswer &)> done,
                                 const std::string &adapter,
                                 const ResumePoint &from) {
  HttpHeaders headers{{"adapter", Options.Engines ? adapter : std::string()}};
  if (!from.Attempt.empty()) {
    headers.push_back({"resumes", from.Attempt});
    headers.push_back({"last-event", std::to_string(from.LastEvent)});
  }
  return startCall(entry, content, std::move(headers), std::move(done));
}

std::uint64_t
ForwardFleet::callWithParts(SimulatedProcess &entry, const std::string &content,
                            const std::vector<std::uint64_t> &parts,
                            std::function<void(const CallerAnswer &)> done) {
  std::string ids;
  for (const std::uint64_t it : parts)
    ids += (ids.empty() ? "" : ",") + std::to_string(it);
  return startCall(entry, content, {{"parts", ids}}, std::move(done));
}

std::uint64_t
ForwardFleet::startCall(SimulatedProcess &entry, const std::string &content,
                        HttpHeaders headers,
                        std::function<void(const CallerAnswer &)> done) {
  const std::uint64_t key = ++LastKey;
  const std::string id = "r" + std::to_string(key);
  Calls[key] = {.Entry = {entry.Spec.Host, entry.Incarnation},
                .Answer = {.Id = id, .SentAt = Sim.now()},
                .Done = std::move(done)};
  if (!entry.Alive) {
    endCall(key, /*complete=*/false);
    return key;
  }
  const auto time =
      std::chrono::duration_cast<std::chrono::milliseconds>(Options.CallerTime);
  RequestHead head{
      "POST",
      Path + content,
      {{"Host", "h"}, {"id", id}, {"time", std::to_string(time.count())}}};
  head.Headers.insert(head.Headers.end(), headers.begin(), headers.end());
  Sim.atProcess(entry.Spec.Host, entry.Incarnation, [=](SimulatedProcess &it) {
    it.Forward->request(it.Owner.now(), key, head, content,
                        ContentHasher().add(content).finish());
  });
  return key;
}

void ForwardFleet::resetCall(std::uint64_t key) {
  const auto it = Calls.find(key);
  if (it == Calls.end())
    return;
  const EntryProcess entry = it->second.Entry;
  endCall(key, /*complete=*/false);
  Sim.atProcess(entry.Host, entry.Incarnation, [=](SimulatedProcess &process) {
    process.Forward->callerDisconnected(process.Owner.now(), key);
  });
}

void ForwardFleet::killEntry(std::uint32_t i, Duration downtime) {
  const EntryProcess process{entryName(i), entry(i).Incarnation};
  Sim.killFor(entry(i), downtime);
  for (Server &it : Servers)
    std::erase_if(it.Runs,
                  [&](const auto &run) { return run.second.Entry == process; });
  std::vector<std::uint64_t> broken;
  for (const auto &[key, call] : Calls)
    if (call.Entry == process)
      broken.push_back(key);
  for (const std::uint64_t key : broken)
    endCall(key, /*complete=*/false);
}

void ForwardFleet::endCall(std::uint64_t key, bool complete) {
  const auto it = Calls.find(key);
  if (it == Calls.end())
    return;
  Call call = std::move(it->second);
  Calls.erase(it);
  call.Answer.EndedAt = Sim.now();
  call.Answer.IsComplete = complete;
  if (call.Done)
    Sim.after(Duration::zero(),
              [call = std::move(call)] { call.Done(call.Answer); });
}

//===----------------------------------------------------------------------===//
// Servers
//===----------------------------------------------------------------------===//

ForwardFleet::Server *ForwardFleet::findServer(const std::string &address) {
  const auto it = std::ranges::find(Servers, address, &Server::Address);
  return it == Servers.end() ? nullptr : &*it;
}

void ForwardFleet::callEntry(const Run &run,
                             std::function<void(ForwardNode &)> action) {
  Sim.after(Options.Latency, [this, run, action] {
    Sim.atProcess(run.Entry.Host, run.Entry.Incarnation,
                  [action](SimulatedProcess &it) { action(*it.Forward); });
  });
}

void ForwardFleet::onSend(SimulatedProcess &entry, const SendUpstream &send) {
  const Server *server = findServer(send.Address);
  const auto i = static_cast<std::size_t>(server - Servers.data());
  Run run{.Attempt = send.Attempt,
          .Entry = {entry.Spec.Host, entry.Incarnation},
          .Id = *findHeader(send.Head.Headers, "id"),
          .Content = send.Head.Target.substr(std::string_view(Path).size())};
  if (const std::string *it = findHeader(send.Head.Headers, "parts"))
    for (const PromptPart &part : TestHeaderCodec::decodeParts(*it))
      run.Parts.push_back(part.Id);
  if (const std::string *it = findHeader(send.Head.Headers, "last");
      it && !server->Software.empty())
    run.After = static_cast<std::uint32_t>(std::stoul(*it));
  Sim.after(Options.Latency, [this, i, run, expectedName = send.Server.Name] {
    onArrival(i, expectedName, run);
  });
}

void ForwardFleet::onArrival(std::size_t i, const HostName &expectedName,
                             Run run) {
  Server &server = Servers[i];
  if (server.PoweredOff)
    return;
  if (!server.Up)
    return callEntry(run, [this, run](ForwardNode &it) {
      it.upstreamEnd(Sim.now(), run.Attempt, UpstreamEnding::NotSent);
    });
  if (server.Name != expectedName)
    return callEntry(run, [this, run](ForwardNode &it) {
      it.upstreamHead(Sim.now(), run.Attempt,
                      {StatusMisdirected, {{"id", run.Id}, {"not-run", "1"}}});
    });
  Arrivals.push_back({.At = Sim.now(),
                      .Content = run.Content,
                      .Parts = run.Parts,
                      .Server = server.Name,
                      .Entry = run.Entry,
                      .Zone = zoneOf(static_cast<std::uint32_t>(i)),
                      .Cold = Sim.now() < server.ColdUntil});
  if (server.Feedback.Backoff || server.Feedback.Declining)
    return reject(server, run);
  const std::uint64_t id = ++LastRun;
  server.Runs.emplace(id, run);
  const Duration wait =
      fromSeconds(toSeconds(Options.FirstEvent) * (0.5 + Sim.Rng.uniform()));
  Sim.after(wait, [=, this] { onEvent(i, id, run.After + 1); });
}

void ForwardFleet::reject(const Server &server, const Run &run) {
  HttpHeaders headers{{"not-run", "1"}};
  if (server.Feedback.Backoff)
    headers.push_back(
        {"rest", std::to_string(toSeconds(*server.Feedback.Backoff))});
  sendHead(server, run, StatusUnavailable, std::move(headers));
}

void ForwardFleet::sendHead(const Server &server, const Run &run, int status,
                            HttpHeaders headers) {
  ScriptedFeedback feedback = server.Feedback;
  // Only a rejection carries the backoff.
  if (status != StatusUnavailable)
    feedback.Backoff.reset();
  headers.push_back({"id", run.Id});
  if (feedback.Limit)
    headers.push_back({"limit", std::to_string(*feedback.Limit)});
  if (feedback.Leaving)
    headers.push_back({"leaving", "1"});
  if (Options.LoadReports)
    headers.push_back({"load", std::to_string(server.Runs.size()) + ",0"});
  callEntry(run, [this, run, status, headers, feedback,
                  name = server.Name](ForwardNode &node) {
    if (feedback.Limit || feedback.Backoff || feedback.Leaving)
      Deliveries.push_back({Sim.now(), name, run.Entry, feedback});
    node.upstreamHead(Sim.now(), run.Attempt, {status, headers});
  });
}

bool ForwardFleet::crashesServers(const Run &run) const {
  return CrashingContents.contains(run.Content) ||
         std::ranges::any_of(run.Parts, [this](std::uint64_t it) {
           return CrashingParts.contains(it);
         });
}

void ForwardFleet::onEvent(std::size_t i, std::uint64_t id,
                           std::uint32_t event) {
  Server &server = Servers[i];
  const auto it = server.Runs.find(id);
  if (it == server.Runs.end())
    return;
  const Run run = it->second;
  if (crashesServers(run)) {
    Sim.after(Options.CrashDelay, [this, i, name = server.Name, run] {
      if (Servers[i].Up && Servers[i].Name == name)
        crash(Servers[i], &run);
    });
    return;
  }
  if (event == run.After + 1)
    sendHead(server, run, StatusOk, {{"stamp", "s"}});
  if (event <= Options.Events)
    callEntry(run, [this, run, text = eventText(event, server.Software)](
                       ForwardNode &node) {
      node.upstreamBody(Sim.now(), run.Attempt, text);
    });
  if (event < Options.Events) {
    Sim.after(Options.EventInterval,
              [this, i, id, event] { onEvent(i, id, event + 1); });
    return;
  }
  server.Runs.erase(id);
  const auto ending =
      Options.Unframed ? UpstreamEnding::Closed : UpstreamEnding::Complete;
  callEntry(run, [this, run, ending](ForwardNode &node) {
    node.upstreamEnd(Sim.now(), run.Attempt, ending);
  });
}

ServerCheckResult ForwardFleet::checkAddress(const CheckServer &check) {
  const Server *server = findServer(check.Address);
  if (server->PoweredOff)
    return ServerCheckResult::Unknown;
  if (!server->Up)
    return ServerCheckResult::Exited;
  const bool isOther =
      check.Query &&
      ServerProcess{server->Name, server->StartedAt} != check.Server;
  return isOther ? ServerCheckResult::Replaced
                 : ServerCheckResult::StillRunning;
}

void ForwardFleet::onCheck(SimulatedProcess &entry, const CheckServer &check) {
  const EntryProcess from{entry.Spec.Host, entry.Incarnation};
  Sim.after(Options.Latency, [this, from, check] {
    constexpr Duration Timeout = std::chrono::milliseconds(200);
    const ServerCheckResult checkResult = checkAddress(check);
    const Duration wait = checkResult == ServerCheckResult::Unknown
                              ? Timeout - Options.Latency
                              : Options.Latency;
    Sim.after(wait, [this, from, process = check.Server, checkResult] {
      Sim.atProcess(from.Host, from.Incarnation, [=](SimulatedProcess &it) {
        it.Forward->serverChecked(it.Owner.now(), process, checkResult);
      });
    });
  });
}

void ForwardFleet::cutOff(const Run &run) {
  UpstreamEnding ending = UpstreamEnding::BrokeOff;
  std::string torn;
  if (Options.Unframed) {
    constexpr double ResetShare = 0.25;
    constexpr double TornShare = 0.25;
    const double kind = Sim.Rng.uniform();
    if (kind >= ResetShare)
      ending = UpstreamEnding::Closed;
    if (kind >= ResetShare && kind < ResetShare + TornShare)
      torn = "id: 1";
  }
  const auto end = [this, run, ending, torn] {
    callEntry(run, [this, run, ending, torn](ForwardNode &node) {
      if (!torn.empty())
        node.upstreamBody(Sim.now(), run.Attempt, torn);
      node.upstreamEnd(Sim.now(), run.Attempt, ending);
    });
  };
  if (Options.CloseDelay == Duration::zero())
    end();
  else
    Sim.after(Options.CloseDelay, end);
}

void ForwardFleet::crash(Server &server, const Run *cause, bool keepsName) {
  ServerCrash crash{.At = Sim.now(), .Server = server.Name};
  if (cause) {
    crash.Content = cause->Content;
    crash.Parts = cause->Parts;
  }
  server.Up = false;
  server.Feedback = {};
  for (const auto &it : std::exchange(server.Runs, {})) {
    const Run &run = it.second;
    crash.RequestsInFlight.push_back(run.Content);
    cutOff(run);
  }
  Crashes.push_back(std::move(crash));
  const auto i = static_cast<std::uint32_t>(&server - Servers.data());
  if (Options.Engines)
    agent(i).Engine->setDown(true);
  Sim.after(Options.RestartDelay,
            [this, i, keepsName] { restart(i, keepsName); });
}

void ForwardFleet::restart(std::uint32_t i, bool keepsName) {
  if (Options.Engines)
    agent(i).Engine->setDown(false);
  Server &it = Servers[i];
  ++it.Starts;
  it.StartedAt = startOf(it.Software);
  it.Up = true;
  it.Registers = true;
  it.PoweredOff = false;
  if (Options.ColdPerSecond > 0)
    makeServerCold(i);
  if (keepsName)
    return announce(it);
  it.Name =
      HostName("server-" + std::to_string(i) + "." + std::to_string(it.Starts));
}

void ForwardFleet::replaceServer(std::uint32_t i, const std::string &software,
                                 bool keepsName) {
  Server &server = Servers[i];
  if (!server.Up)
    return;
  crash(server, nullptr, keepsName);
  server.Software = software;
}

void ForwardFleet::crashServer(std::uint32_t i) {
  if (Servers[i].Up)
    crash(Servers[i], nullptr);
}

void ForwardFleet::powerOffServer(std::uint32_t i) {
  if (!Servers[i].Up)
    return;
  Servers[i].PoweredOff = true;
  Servers[i].Runs.clear();
}

} // namespace pimentofront::testkit
