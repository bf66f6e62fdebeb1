#ifndef PIMENTOFRONT_DAEMON_DAEMON_H
#define PIMENTOFRONT_DAEMON_DAEMON_H

#include "ApiHandler.h"
#include "ControlApi.h"
#include "EngineDriver.h"
#include "EngineOrders.h"
#include "ForwardIo.h"
#include "GroupReporter.h"
#include "ManifestReader.h"
#include "RequestHeaders.h"
#include "SlownessProbe.h"

namespace pimentofront {

/// Exit codes of the daemon.
enum class ExitCode : int {
  Good = 0,
  /// The command line is invalid.
  Usage = 2,
  /// The settings are invalid.
  Settings = 3,
  /// An address can't be bound.
  Address = 4,
  /// The data folder can't be used.
  Data = 5,
};

/// \class Daemon
/// \brief A daemon process: an event loop and the nodes for the roles that are
/// named in its settings.
class Daemon : public PeerHandler {
public:
  explicit Daemon(const Settings &settings);
  ~Daemon() override;
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Runs until a signal stops the process. Ends early if an address can't be
  /// bound, or if the data folder is damaged at the start or when it is
  /// reopened after a failed write.
  ExitCode run();

  void onLinkOpen(LinkId link, const Hello &hello) override;
  void onMessage(LinkId link, const Message &message) override;
  void onLinkClosed(LinkId link) override;

private:
  class LoopClock : public WallClock {
  public:
    explicit LoopClock(const EventLoop &loop) : Loop(loop) {}
    std::uint64_t milliseconds() const override {
      return Loop.wallMilliseconds();
    }

  private:
    const EventLoop &Loop;
  };

  ExitCode openStore();
  void openNetwork();
  CallerListenerOptions callerOptions(const IntakeLimits &intake) const;
  void reportShed(const char *port, ShedReason reason);
  void createNodes();
  void createReplica(TimePoint now);
  void createAgent(TimePoint now);
  void reportAgentEvent(const AgentEvent &event);
  void createEntry(TimePoint now);
  void createForward(TimePoint now);
  bool isWithoutReplica(const Hello &hello) const;
  void bootstrapIfFirst(TimePoint now);
  void tick();
  void scheduleFlush();
  void checkReplicaState();
  void closeReplica();
  void retryStoreLater();
  void beginStop();
  void continueStop();
  bool idle() const;

  Settings Options;
  EventLoop Loop;
  LoopClock Wall;
  std::uint64_t Incarnation;
  std::unique_ptr<FileLogStore> Store;
  StoredLog Stored;
  std::unique_ptr<PeerNetwork> Network;
  std::unique_ptr<EventLog> Log;
  std::unique_ptr<GroupReporter> Group;
  Metrics Counters;
  std::unique_ptr<ApiHandler> Api;
  platform::ManifestReader Documents;
  platform::RequestHeaders Headers;
  std::unique_ptr<platform::ControlApi> Control;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<HttpClient> Client;

  LeastPopular Eviction;
  std::unique_ptr<LoadGate> Gate;
  std::unique_ptr<AffinityRouting> Routing;
  std::unique_ptr<RoutingPolicy> ForwardRouting;
  std::unique_ptr<EngineDriver> Driver;
  std::unique_ptr<platform::EngineOrders> Orders;
  std::unique_ptr<ForwardIo> ForwardConnections;
  std::unique_ptr<EntryNode> Entry;
  std::unique_ptr<ForwardNode> Forward;
  std::unique_ptr<AgentNode> Agent;
  std::unique_ptr<SlownessProbe> Slowness;
  std::unique_ptr<ReplicaNode> Replica;

  std::vector<std::unique_ptr<Timer>> Timers;
  std::unique_ptr<Timer> FlushTimer;
  std::unique_ptr<Timer> StopTimer;
  std::unique_ptr<Timer> StoreTimer;
  std::optional<TimePoint> StopStartedAt;
  /// Host at the other end of each link, for the log.
  std::map<LinkId, HostName> Peers;
  bool StoreFailed = false;
  bool WasReady = false;
};

} // namespace pimentofront

#endif
