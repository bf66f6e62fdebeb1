#ifndef PIMENTOFRONT_TESTKIT_SIMULATION_H
#define PIMENTOFRONT_TESTKIT_SIMULATION_H

#include "FakeBackend.h"

#include <queue>

namespace pimentofront::testkit {

/// \class MemoryLogStore
/// \ingroup Testkit
/// \brief A simulated disk. Its contents survive a kill of the process.
class MemoryLogStore : public LogStore {
public:
  explicit MemoryLogStore(ReplicaId id) { Stored.Id = id; }
  tl::expected<void, LogStoreError> write(const LogWrite &write) override;
  tl::expected<void, LogStoreError>
  compact(const LogSnapshot &snapshot,
          const std::vector<LogEntry> &rest) override;

  StoredLog Stored;
  bool Full = false;
  /// The store can't be opened.
  bool Unreadable = false;
  std::uint64_t Syncs = 0;
};

/// \class ProcessSpec
/// \ingroup Testkit
/// \brief Configuration of a simulated process; the same for all its
/// incarnations.
struct ProcessSpec {
  HostName Host;
  ZoneName Zone;
  bool IsEntry = false;
  bool IsAgent = false;
  bool IsReplica = false;
  bool IsForward = false;
  EntryNodeOptions Entry;
  AgentNodeOptions Agent;
  ReplicaNodeOptions Replica;
  FakeEngineOptions Engine;
  std::function<std::unique_ptr<RoutingPolicy>()> MakeRouting;
  std::function<std::unique_ptr<EvictionPolicy>()> MakeEviction;
  std::function<std::unique_ptr<LoadGate>()> MakeGate;
  ForwardNodeOptions Forward;
  std::function<std::unique_ptr<ForwardNode>(const ForwardNodeOptions &,
                                             RoutingPolicy &, Transport &)>
      MakeForward;
};

class Simulation;

/// \class SimulatedProcess
/// \ingroup Testkit
/// \brief A simulated process with its nodes, and the engine on the same host.
class SimulatedProcess : public Transport,
                         public BackendDriver,
                         public AnswerSink {
public:
  SimulatedProcess(Simulation &simulation, ProcessSpec spec);
  ~SimulatedProcess() override;

  LinkId open(const std::string &address, LinkPurpose purpose) override;
  void send(LinkId link, const Message &message) override;
  void close(LinkId link) override;
  void generate(const ExecuteRequest &request) override;
  void callService(const ExecuteRequest &request) override;
  void cancel(const AttemptId &attempt) override;
  void load(const StartLoad &load) override;
  void onChunk(RequestKey key, std::uint64_t position,
               const std::string &text) override;
  void onFinal(RequestKey key, const KindName &kind,
               const FinalAnswer &answer) override;

  Simulation &Owner;
  ProcessSpec Spec;
  bool Alive = false;
  bool Frozen = false;
  /// The host has no power: nothing answers at its address.
  bool Dark = false;
  std::uint64_t Incarnation = 0;
  /// Differs from `Incarnation` if the replica was closed and opened again.
  std::uint64_t ReplicaIncarnation = 0;
  std::unique_ptr<MemoryLogStore> Disk;
  /// Identity that the process announces to its peers; 0 until its store has
  /// been opened.
  ReplicaId AnnouncedReplica = 0;
  std::unique_ptr<FakeEngine> Engine;
  std::unique_ptr<RoutingPolicy> Routing;
  std::unique_ptr<EvictionPolicy> Eviction;
  std::unique_ptr<LoadGate> Gate;
  std::unique_ptr<EntryNode> Entry;
  std::unique_ptr<AgentNode> Agent;
  std::unique_ptr<ReplicaNode> Replica;
  std::unique_ptr<ForwardNode> Forward;
  /// Events that arrived while the process was frozen, in order.
  std::vector<std::function<void()>> PendingEvents;
  /// FakeEngine::startedAt() as the agent last saw it; 0 if none is known.
  std::uint64_t KnownEngineStart = 0;
  /// Requests whose callers are waiting for an answer.
  std::set<RequestKey> Waiting;
};

/// \class SimulationOptions
/// \ingroup Testkit
struct SimulationOptions {
  std::uint64_t Seed = 1;
  /// One-way latency within an availability zone, and between two.
  Duration InZone = std::chrono::microseconds(200);
  Duration BetweenZones = std::chrono::microseconds(900);
  WeightStoreOptions Store;
  Duration ServiceDelay = std::chrono::milliseconds(50);
  Duration TickPeriod = std::chrono::milliseconds(20);
  /// A link with unacknowledged data is closed after this time, as with
  /// TCP_USER_TIMEOUT.
  Duration UserTimeout = std::chrono::seconds(10);
  /// Shortest and longest time from the request to stop until a process ends.
  Duration StopNotice = std::chrono::milliseconds(100);
  Duration StopLimit = std::chrono::seconds(2);
};

/// \class Simulation
/// \ingroup Testkit
/// \brief The simulation: processes, the links between them, and the virtual
/// clock.
class Simulation : public EventScheduler, public WallClock {
public:
  explicit Simulation(const SimulationOptions &options);
  ~Simulation() override;

  TimePoint now() const override { return Now; }
  std::uint64_t milliseconds() const override;
  void after(Duration delay, std::function<void()> action) override;
  void runUntil(TimePoint end);

  SimulatedProcess &add(const ProcessSpec &spec);
  SimulatedProcess &process(const HostName &host);
  std::vector<SimulatedProcess *> processes();
  /// \returns the replica that holds the leader's lease, or null.
  SimulatedProcess *leader();
  void start(SimulatedProcess &process);
  void kill(SimulatedProcess &process);
  /// Asks a replica to stop, as SIGTERM does. It ends when it may stop, at the
  /// latest after `StopLimit`, and doesn't start again.
  void stop(SimulatedProcess &process);
  void freeze(SimulatedProcess &process) { process.Frozen = true; }
  void wake(SimulatedProcess &process);
  /// Kills a process, and starts it again after \p duration.
  void killFor(SimulatedProcess &process, Duration duration);
  /// Freezes a process, and wakes it after \p duration if it is still frozen
  /// then.
  void freezeFor(SimulatedProcess &process, Duration duration);
  void loseDisk(SimulatedProcess &process);
  /// Takes the replica's node away, as after a failed write, and creates it
  /// anew after \p duration. Meanwhile the process accepts links and drops
  /// what arrives on them.
  void closeStoreFor(SimulatedProcess &process, Duration duration);

  /// Kills a process whose host loses power: its peers aren't told, and what
  /// they send and open hangs until powerOn().
  void powerOff(SimulatedProcess &process);
  /// Starts the process of a host that has power again. The host resets the
  /// links that its peers still hold.
  void powerOn(SimulatedProcess &process);

  /// Stops delivery from \p from to \p to without closing links. As with TCP
  /// retransmission, healAll() delivers what is pending; a link whose data is
  /// pending for `UserTimeout` is closed. Cuts of the same direction add up.
  void cut(const HostName &from, const HostName &to);
  /// Ends one cut from \p from to \p to, as healAll() does for all of them.
  void heal(const HostName &from, const HostName &to);
  void healAll();
  void slow(const HostName &from, const HostName &to, Duration delay);

  /// Calls \p action if that incarnation of the process is alive; when it
  /// wakes, if it is frozen.
  void atProcess(const HostName &host, std::uint64_t incarnation,
                 std::function<void(SimulatedProcess &)> action);

  /// Submits a caller's request at an entry.
  RequestKey request(SimulatedProcess &entry, CallerRequest request);
  /// Submits an operator's command at an entry. \p done gets no outcome if the
  /// entry is down.
  void command(SimulatedProcess &entry, const Command &command,
               CommandCallback done);

  Ledger RequestLedger;
  FakeWeightStore Store;
  FakeService Service;
  Random Rng;

private:
  friend class SimulatedProcess;
  struct Event {
    TimePoint At;
    std::uint64_t Sequence;
    std::function<void()> Action;
    friend bool operator>(const Event &a, const Event &b) {
      return a.At != b.At ? a.At > b.At : a.Sequence > b.Sequence;
    }
  };
  /// One end of a link.
  struct LinkEnd {
    HostName Host;
    std::uint64_t Incarnation = 0;
    HostName PeerHost;
    LinkId Peer = 0;
    LinkPurpose Purpose = LinkPurpose::General;
    bool Known = false;
    /// The peer's greeting has arrived. Messages are queued until then.
    bool Open = false;
    TimePoint LastArrival;
    /// Messages that wait for the greeting or for the end of a cut.
    std::vector<Message> Unsent;
    TimePoint UnsentSince;
  };

  LinkId openLink(SimulatedProcess &from, const std::string &address,
                  LinkPurpose purpose);
  void connect(LinkId ours);
  void sendOn(LinkId link, const Message &message);
  void sendUnsent(LinkId link);
  void notifyOpen(LinkId link, const Hello &hello);
  void closeLink(LinkId link);
  void dropLinksOf(const HostName &host);
  /// Notifies the owner of \p link that it was closed.
  void notifyClosed(LinkId link);
  void deliver(LinkId to, const Message &message);
  bool isCut(const HostName &from, const HostName &to) const;
  Duration delayBetween(const HostName &from, const HostName &to) const;
  void tick(const HostName &host, std::uint64_t incarnation);
  /// Opens the store and creates the replica; tries again later if the store
  /// can't be opened.
  void openReplica(SimulatedProcess &process);
  /// Closes a replica whose store has failed, with all links of the process.
  void closeReplica(SimulatedProcess &process);
  void closeAllLinks(SimulatedProcess &process);
  void openReplicaLater(SimulatedProcess &process);
  void notifyNodesClosed(SimulatedProcess &process, LinkId link);
  /// Closes the links that \p host holds to an end that no longer exists.
  void resetStaleLinks(const HostName &host, const HostName &peer);
  void stopWhenPossible(const HostName &host, std::uint64_t incarnation,
                        TimePoint limit);
  void probeEngine(SimulatedProcess &process);
  void expireUnsent();

  SimulationOptions Options;
  TimePoint Now{std::chrono::seconds(100)};
  std::uint64_t Sequence = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::map<HostName, std::unique_ptr<SimulatedProcess>> Processes;
  std::map<LinkId, LinkEnd> LinkEnds;
  LinkId LastLink = 0;
  std::multiset<std::pair<HostName, HostName>> Cuts;
  std::map<std::pair<HostName, HostName>, Duration> LinkDelays;
  RequestKey LastKey = 0;
  ReplicaId LastDisk = 1000;
};

} // namespace pimentofront::testkit

#endif
