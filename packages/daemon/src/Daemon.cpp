#include "Daemon.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <malloc.h>
#include <random>
#include <sys/resource.h>
#include <unistd.h>

namespace pimentofront {
namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(20);
/// Part of the bytes that an entry may hold that unfinished requests may take:
/// one in this many.
constexpr std::size_t ReceivingPart = 4;
/// The same for responses that callers haven't read, above which those that
/// don't read are disconnected.
constexpr std::size_t UnreadPart = 2;

/// \returns how many descriptors the operating system allows this process.
std::size_t allowedDescriptors() {
  constexpr std::size_t Presumed = 1024;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return Presumed;
  return limit.rlim_cur;
}

std::uint64_t randomNumber() {
  std::random_device device;
  const std::uint64_t high = device();
  constexpr unsigned HalfBits = 32;
  return (high << HalfBits | device()) | 1;
}

} // namespace

Daemon::Daemon(const Settings &settings)
    : Options(settings), Wall(Loop), Incarnation(randomNumber()) {}

Daemon::~Daemon() {
  // The timers' callbacks use members, so the timers are destroyed first.
  FlushTimer.reset();
  StopTimer.reset();
  StoreTimer.reset();
  Timers.clear();
}

ExitCode Daemon::openStore() {
  if (!Options.IsReplica)
    return ExitCode::Good;
  auto store = FileLogStore::open(Options.DataFolder, randomNumber());
  if (!store) {
    std::fprintf(stderr, "%s: %s\n", Options.DataFolder.c_str(),
                 store.error().Detail.c_str());
    // A disk that rejects writes may accept them later, so opening is retried;
    // damaged data does not recover.
    return store.error().What == LogStoreError::Kind::Unwritable
               ? ExitCode::Good
               : ExitCode::Data;
  }
  Store = std::move(*store);
  Stored = Store->takeStored();
  return ExitCode::Good;
}

CallerListenerOptions Daemon::callerOptions(const IntakeLimits &intake) const {
  const std::size_t held = Options.Forward.Forward.Bytes.Limit;
  return {.Address = *HostPort::parse(Options.ForwardAddress),
          .MaxReceivingBytes = held / ReceivingPart,
          .MaxUnreadBytes = held / UnreadPart,
          .MaxConnections = intake.CallerConnections};
}

void Daemon::openNetwork() {
  const IntakeLimits intake = Options.intakeFor(allowedDescriptors());
  Network = std::make_unique<PeerNetwork>(
      Loop,
      PeerNetworkOptions{.Listen = *HostPort::parse(Options.PeerListenAddress),
                         .Self = {.Protocol = ProtocolVersion,
                                  .Host = Options.Host,
                                  .Replica = Stored.Id},
                         .MaxUnidentified = intake.UnidentifiedPeers},
      *this);
  Log = std::make_unique<EventLog>(Options, Loop, Network->clock());
  Group = std::make_unique<GroupReporter>(*Log);
  Api = std::make_unique<ApiHandler>(Loop, Options, *Log, Counters, *Network);
  const HostPort http = *HostPort::parse(Options.HttpAddress);
  Control = std::make_unique<platform::ControlApi>(
      Loop,
      platform::ControlApiOptions{.Port = http.Port,
                                  .ServesControl = Options.IsReplica,
                                  .Zones = Options.Zones},
      Documents, *Api);
  Control->setObserver([this](const char *event, std::string detail) {
    Log->write(LogLevel::Info, event, {{"detail", detail}});
  });
  Server = std::make_unique<HttpServer>(
      Loop,
      HttpServerOptions{.Address = http,
                        .MaxBodyBytes = Options.MaxBodyBytes,
                        .CallerTimeout = Options.CallerTimeout,
                        .MaxConnections = intake.HttpConnections,
                        .MaxHeldBytes = intake.HttpBytes},
      *Control);
  Server->setShedObserver([this](ShedReason it) { reportShed("http", it); });
  Network->setShedObserver([this](ShedReason it) { reportShed("peers", it); });
  Client = std::make_unique<HttpClient>(Loop);
  Client->setExcessObserver(
      [this](const HostPort &server, HttpEnding ending, std::size_t bytes) {
        Counters.recordExcessiveResponse(httpEndingName(ending));
        Log->write(LogLevel::Warn, "response_excessive",
                   {{"server", server.Ip + ":" + std::to_string(server.Port)},
                    {"limit", httpEndingName(ending)},
                    {"bytes", std::uint64_t(bytes)}});
      });
  if (Options.IsForward)
    ForwardConnections = std::make_unique<ForwardIo>(
        Loop, callerOptions(intake), Options.Responses, *Client, Headers, *Log,
        Counters);
}

void Daemon::reportShed(const char *port, ShedReason reason) {
  Counters.recordShedConnection(port, shedReasonName(reason));
  Log->write(LogLevel::Info, "connection_shed",
             {{"port", port}, {"why", shedReasonName(reason)}});
}

void Daemon::createReplica(TimePoint now) {
  ReplicaNodeOptions replica = Options.Replica;
  replica.Log.Host = Options.Host;
  replica.Log.Address = Options.PeerAddress;
  replica.Log.Zone = Options.Zone;
  replica.Log.Seed = Incarnation;
  replica.Documents = &Documents;
  replica.Loads.LoadsPerSecond = Options.LoadsPerSecond;
  replica.Loads.LoadTime = fromSeconds(1 / Options.LoadsPerSecond);
  replica.PeerAddresses = Options.Replicas;
  std::erase(replica.PeerAddresses, Options.PeerAddress);
  Replica = std::make_unique<ReplicaNode>(now, replica, Stored, *Store,
                                          *Network, Wall);
  Stored = StoredLog();
  if (StopStartedAt)
    Replica->beginLeave();
  // Loading the state temporarily allocates several times its size; return that
  // memory to the operating system.
  malloc_trim(0);
  Control->setReplica(Replica.get());
  bootstrapIfFirst(now);
}

/// All replicas start with the same list of addresses. The replica with the
/// smallest address forms the group, and the others ask to join it.
void Daemon::bootstrapIfFirst(TimePoint now) {
  const auto first = std::ranges::min_element(Options.Replicas);
  if (!Options.Bootstrap || *first != Options.PeerAddress ||
      Replica->log().lastIndex() != 0)
    return;
  if (Replica->bootstrap(now))
    Log->write(LogLevel::Info, "group_formed", {});
}

void Daemon::createAgent(TimePoint now) {
  AgentNodeOptions agent = Options.Agent;
  agent.Agent.Host = Options.Host;
  agent.Agent.Incarnation = Incarnation;
  agent.Agent.LoadTime = fromSeconds(1 / Options.LoadsPerSecond);
  agent.Zone = Options.Zone;
  agent.Address = Options.PeerAddress;
  agent.Replicas = Options.Replicas;
  BackendDriver *driver = nullptr;
  if (Options.UsesEngineOrders) {
    Gate = std::make_unique<HybridLoads>(HybridLoadsOptions{});
    Orders = std::make_unique<platform::EngineOrders>(
        Loop, *Client,
        platform::EngineOrdersOptions{
            .Engine = *HostPort::parse(Options.EngineAddress),
            .Holder = Options.Host,
            .ReportPeriod = Options.EngineProbePeriod});
    Orders->setObserver([this](const char *event, std::string detail) {
      Log->write(LogLevel::Info, event, {{"detail", detail}});
    });
    driver = Orders.get();
  } else {
    Gate = std::make_unique<ScheduledLoads>(Options.LoadsPerSecond, 1);
    Driver =
        std::make_unique<EngineDriver>(Loop, *Client, Options, *Log, Counters);
    driver = Driver.get();
  }
  Agent = std::make_unique<AgentNode>(now, agent, Eviction, *Gate, *driver,
                                      *Network);
  Agent->onEvent([this](const AgentEvent &it) { reportAgentEvent(it); });
  if (Orders) {
    Orders->setNode(*Agent);
    Slowness = std::make_unique<SlownessProbe>(
        Loop, *Client, Headers, *HostPort::parse(Options.EngineAddress), *Agent,
        [this] {
          Log->write(LogLevel::Warn, "slowness_unknown",
                     {{"engine", Options.EngineAddress}});
        });
  } else {
    Driver->setNode(*Agent);
  }
}

/// Starts and conditional refusals are counted only: they are the usual course.
void Daemon::reportAgentEvent(const AgentEvent &event) {
  Counters.recordAgentEvent(event);
  if (event.Result == AgentEvent::Outcome::Started ||
      isConditionalRefusal(event.Reason))
    return;
  const bool displaced = event.Result == AgentEvent::Outcome::Displaced;
  Log->write(LogLevel::Info, displaced ? "queue_displaced" : "queue_refused",
             {{"request", event.Request.str()},
              {"route", event.Kind.str()},
              {"urgency", static_cast<std::uint64_t>(event.Urgency)},
              {"account", event.Account.str()},
              {"reason", refusalReasonName(event.Reason)},
              {"why", event.Detail},
              {"waited_ms", toSeconds(event.Waited) * 1000},
              {"room_in_ms", toSeconds(event.RetryAfter) * 1000}});
}

void Daemon::createEntry(TimePoint now) {
  EntryNodeOptions entry = Options.Entry;
  entry.Host = Options.Host;
  entry.Entry.Incarnation = Incarnation;
  entry.Replicas = Options.Replicas;
  Routing = std::make_unique<AffinityRouting>(Options.Affinity);
  Entry = std::make_unique<EntryNode>(now, entry, *Routing, *Network, *Api);
}

void Daemon::createForward(TimePoint now) {
  ForwardNodeOptions forward = Options.Forward;
  forward.Feed = {.Host = Options.Host,
                  .Incarnation = Incarnation,
                  .Configuration = Options.Entry.Configuration,
                  .Replicas = Options.Replicas,
                  .ProbePeriod = Options.Entry.ProbePeriod};
  forward.Forward.Incarnation = Incarnation;
  forward.Forward.Host = Options.Host;
  forward.Forward.Servers.Zone = Options.Zone;
  ForwardRouting = std::make_unique<PrefixRouting>(Options.Prefix);
  Forward = std::make_unique<ForwardNode>(now, forward, Headers, Documents,
                                          *ForwardRouting, *Network,
                                          *ForwardConnections);
  ForwardConnections->setNode(*Forward);
  Control->setReady(
      [this] { return Forward->ready(Loop.now()) && !StopStartedAt; });
}

void Daemon::createNodes() {
  const TimePoint now = Loop.now();
  if (Store)
    createReplica(now);
  else if (Options.IsReplica)
    retryStoreLater();
  if (Options.IsAgent)
    createAgent(now);
  if (Options.IsEntry)
    createEntry(now);
  if (Options.IsForward)
    createForward(now);
  Api->setNodes({Entry.get(), Agent.get(), Replica.get(), Forward.get()});
}

ExitCode Daemon::run() {
  const ExitCode opened = openStore();
  if (opened != ExitCode::Good)
    return opened;
  try {
    openNetwork();
  } catch (const std::runtime_error &error) {
    std::fprintf(stderr, "%s\n", error.what());
    return ExitCode::Address;
  }
  createNodes();
  Timers.push_back(Loop.every(TickPeriod, [this] { tick(); }));
  for (const int it : {SIGTERM, SIGINT})
    Timers.push_back(Loop.onSignal(it, [this] { beginStop(); }));
  Timers.push_back(Loop.onSignal(SIGHUP, [this] {
    Log->reopen();
    Log->write(LogLevel::Info, "log_reopened", {});
  }));
  Timers.push_back(Loop.onSignal(SIGPIPE, [] {}));
  Log->write(LogLevel::Info, "process_started",
             {{"http", Options.HttpAddress},
              {"peers", Options.PeerAddress},
              {"incarnation", Incarnation}});
  Loop.run();
  Log->write(LogLevel::Info, "process_ended", {});
  return StoreFailed ? ExitCode::Data : ExitCode::Good;
}

//===----------------------------------------------------------------------===//
// Links: every node gets all events and ignores those of other nodes
//===----------------------------------------------------------------------===//

void Daemon::onLinkOpen(LinkId link, const Hello &hello) {
  if (isWithoutReplica(hello)) {
    Log->write(LogLevel::Info, "peer_refused",
               {{"peer", hello.Host.str()}, {"why", "store is closed"}});
    return Network->close(link);
  }
  const TimePoint now = Loop.now();
  Peers[link] = hello.Host;
  Log->write(LogLevel::Info, "peer_connected",
             {{"peer", hello.Host.str()}, {"link", link}});
  if (Replica)
    Replica->onLinkOpen(now, link, hello);
  if (Agent)
    Agent->onLinkOpen(now, link, hello);
  if (Entry)
    Entry->onLinkOpen(now, link, hello);
  if (Forward)
    Forward->onLinkOpen(now, link, hello);
}

/// Other processes open links to this one for its replica only. While there is
/// none, what arrives would be dropped, so they have to look for another one.
bool Daemon::isWithoutReplica(const Hello &hello) const {
  return Options.IsReplica && !Replica && !Options.IsAgent && !hello.Accepted;
}

void Daemon::onMessage(LinkId link, const Message &message) {
  const TimePoint now = Loop.now();
  if (Replica) {
    Replica->onMessage(now, link, message);
    scheduleFlush();
  }
  if (Agent)
    Agent->onMessage(now, link, message);
  if (Entry)
    Entry->onMessage(now, link, message);
  if (Forward)
    Forward->onMessage(now, link, message);
}

void Daemon::onLinkClosed(LinkId link) {
  const TimePoint now = Loop.now();
  const auto peer = Peers.extract(link);
  Log->write(
      LogLevel::Info, "peer_lost",
      {{"peer", peer ? peer.mapped().str() : "connection never established"},
       {"link", link}});
  if (Replica)
    Replica->onLinkClosed(now, link);
  if (Agent)
    Agent->onLinkClosed(now, link);
  if (Entry)
    Entry->onLinkClosed(now, link);
  if (Forward)
    Forward->onLinkClosed(now, link);
}

/// Flushes after the current iteration of the event loop, so that all messages
/// of one iteration share one sync of the disk.
void Daemon::scheduleFlush() {
  if (FlushTimer)
    return;
  FlushTimer = Loop.after(Duration::zero(), [this] {
    const auto keep = std::move(FlushTimer);
    if (Replica)
      Replica->flush(Loop.now());
  });
}

//===----------------------------------------------------------------------===//
// Periodic work and shutdown
//===----------------------------------------------------------------------===//

void Daemon::tick() {
  const TimePoint now = Loop.now();
  if (Replica) {
    Replica->tick(now);
    checkReplicaState();
  }
  if (Agent)
    Agent->tick(now);
  if (Forward)
    Forward->tick(now);
  if (!Entry)
    return;
  Entry->tick(now);
  const bool ready = Entry->ready(now);
  if (ready != WasReady)
    Log->write(LogLevel::Info, ready ? "entry_ready" : "entry_not_ready",
               {{"revision", Entry->configuration().revision()}});
  WasReady = ready;
}

void Daemon::checkReplicaState() {
  Group->report(Loop.now(), *Replica);
  if (!Replica->storeError())
    return;
  Log->write(LogLevel::Error, "store_failed",
             {{"why", Replica->storeError()->Detail}});
  closeReplica();
}

/// Stops the replica after a failed write, since a replica that cannot persist
/// its state must not take part in the group. Once the disk accepts writes
/// again, the state is read back from the data folder, which has everything
/// that the replica has promised to others.
void Daemon::closeReplica() {
  Control->setReplica(nullptr);
  Api->setNodes({Entry.get(), Agent.get(), nullptr, Forward.get()});
  Replica.reset();
  Store.reset();
  Group->reset();
  Network->closeAll();
  retryStoreLater();
}

void Daemon::retryStoreLater() {
  constexpr Duration RetryDelay = std::chrono::milliseconds(500);
  StoreTimer = Loop.after(RetryDelay, [this] {
    const auto keep = std::move(StoreTimer);
    if (openStore() != ExitCode::Good) {
      StoreFailed = true;
      return beginStop();
    }
    if (!Store)
      return retryStoreLater();
    Log->write(LogLevel::Info, "store_opened_again", {});
    Network->setReplica(Stored.Id);
    // What arrived on a link before now was dropped, a subscription too.
    Network->closeAll();
    createReplica(Loop.now());
    Api->setNodes({Entry.get(), Agent.get(), Replica.get(), Forward.get()});
  });
}

void Daemon::beginStop() {
  if (StopStartedAt)
    return;
  StopStartedAt = Loop.now();
  Log->write(LogLevel::Info, "stop_began", {});
  Api->beginStop();
  if (ForwardConnections)
    ForwardConnections->beginStop();
  if (Agent)
    Agent->leave(Loop.now());
  if (Replica)
    Replica->beginLeave();
  // Gives the load balancer time to see that this process is not ready before
  // it refuses requests.
  StopTimer = Loop.after(Options.StopNotice, [this] {
    if (Entry)
      Entry->stop();
    if (ForwardConnections)
      ForwardConnections->stopListening();
    StopTimer = Loop.every(TickPeriod, [this] { continueStop(); });
  });
}

bool Daemon::idle() const {
  return (!Entry || Entry->idle()) && (!Forward || Forward->idle()) &&
         (!ForwardConnections || ForwardConnections->idle()) &&
         (!Agent || Agent->controller().idle()) &&
         (!Replica || Replica->mayStop());
}

void Daemon::continueStop() {
  const bool late = Loop.now() - *StopStartedAt > Options.StopLimit;
  if (!idle() && !late)
    return;
  if (!idle())
    Log->write(LogLevel::Error, "stop_limit_hit",
               {{"limit_seconds", toSeconds(Options.StopLimit)}});
  if (Agent)
    Agent->sendLeaveMessage(Loop.now());
  // Gives the leave message time to be sent.
  constexpr Duration LeaveMessageDelay = std::chrono::milliseconds(100);
  StopTimer = Loop.after(LeaveMessageDelay, [this] { Loop.stop(); });
}

} // namespace pimentofront
