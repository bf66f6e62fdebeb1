#ifndef PIMENTOFRONT_NODE_AGENT_NODE_H
#define PIMENTOFRONT_NODE_AGENT_NODE_H

#include "LeaderLink.h"
#include "pimentofront/Serving.h"

#include <functional>
#include <memory>

namespace pimentofront {

/// \class BackendDriver
/// \ingroup Node
/// \brief Executes the agent's decisions at the engine and the plain services,
/// and reports the results to AgentNode::controller().
class BackendDriver {
public:
  virtual ~BackendDriver() = default;
  virtual void generate(const ExecuteRequest &request) = 0;
  virtual void callService(const ExecuteRequest &request) = 0;
  virtual void cancel(const AttemptId &attempt) = 0;
  virtual void load(const StartLoad &load) = 0;
};

/// \class AgentNodeOptions
/// \ingroup Node
struct AgentNodeOptions {
  AgentOptions Agent;
  ZoneName Zone;
  /// Address at which entries reach this agent.
  std::string Address;
  std::vector<std::string> Replicas;
  /// Interval at which the lease on membership is renewed.
  Duration RenewPeriod = std::chrono::seconds(2);
  /// For an engine that doesn't report its start time: how long its former
  /// process counts as exited. Entries learn of the next process within a few
  /// seconds. After that the engine itself detects orders for another process.
  Duration FormerProcessRetention = std::chrono::seconds(5);
};

/// \class AgentNode
/// \ingroup Node
/// \brief The process beside a backend server, and the only one that sends
/// orders to its engine.
class AgentNode : public Node {
public:
  /// \param eviction, \p gate, \p driver and \p transport outlive the node.
  AgentNode(TimePoint now, const AgentNodeOptions &options,
            const EvictionPolicy &eviction, LoadGate &gate,
            BackendDriver &driver, Transport &transport);

  void onLinkOpen(TimePoint now, LinkId link, const Hello &hello) override;
  void onMessage(TimePoint now, LinkId link, const Message &message) override;
  void onLinkClosed(TimePoint now, LinkId link) override;
  void tick(TimePoint now) override;

  /// The driver reports events to the controller, then calls flush().
  AgentController &controller() { return Controller; }
  const AgentController &controller() const { return Controller; }
  /// Executes the commands of the controller.
  void flush(TimePoint now);

  /// Announces to the entries and the leader that this agent takes no new work.
  void leave(TimePoint now);
  /// Deregisters this process from the leader, because it exits.
  void sendLeaveMessage(TimePoint now);
  /// Sets the callback for a new engine profile from the routing document.
  /// \returns what the routing document specifies for the engine.
  const EngineProfile &profile() const { return Profile; }
  using ProfileCallback = std::function<void(const EngineProfile &)>;
  void onProfile(ProfileCallback action) { ProfileAction = std::move(action); }
  /// Sets the callback for decisions on requests, for logs and metrics.
  using EventCallback = std::function<void(const AgentEvent &)>;
  void onEvent(EventCallback action) { EventAction = std::move(action); }
  /// \returns the fencing token for orders; 0 before the leader has issued one.
  std::uint64_t fence() const { return Fence; }
  /// \returns the engine's process as entries named it last; empty if none has
  /// since the process started.
  const ServerProcess &engineProcess() const { return Process; }
  /// Records when the engine's process started, as the engine reports it; 0 if
  /// it doesn't.
  void setEngineStart(std::uint64_t startedAt) { EngineStartedAt = startedAt; }
  /// The process that entries named has exited; another one may have started.
  void onEngineRestarted(TimePoint now);
  /// \returns the remaining time of the lease on membership.
  Duration remainingLease(TimePoint now) const;

private:
  void onLeaderMessage(TimePoint now, const Message &message);
  void announce(TimePoint now, bool gone);
  void scheduleAnnouncement(TimePoint now);
  MemberRecord record(bool gone) const;
  void sendToScheduler(TimePoint now, const Message &message);
  void onEntryMessage(TimePoint now, LinkId link, const Message &message);
  void onExecute(TimePoint now, LinkId link, const ExecuteRequest &request);
  /// \returns whether \p process is known to have exited, or to be another one
  /// than the engine runs now.
  bool hasExited(TimePoint now, const ServerProcess &process) const;
  void onReleased(TimePoint now, const AttemptReleased &message);
  void applyProfile(TimePoint now, const EngineProfile &profile);
  void start(TimePoint now, const StartGeneration &command);
  void execute(TimePoint now, const AgentCommand &command);
  void reportEvents();
  void cancelWork(TimePoint now, const AttemptId &attempt);

  AgentNodeOptions Options;
  BackendDriver &Driver;
  Transport &Network;
  AgentController Controller;
  LeaderLink Leader;
  std::set<LinkId> Entries;
  /// Whether the leader has this agent's full announcement from the current
  /// link.
  bool Announced = false;
  TimePoint NextRenewal;
  TimePoint LeasedUntil;
  std::uint64_t Fence = 0;
  /// Attempts that an entry sends to the engine itself, with the link to that
  /// entry.
  std::unordered_map<AttemptId, LinkId> Delegated;
  ServerProcess Process;
  /// When the engine's process started, as the engine reports it; 0 if unknown.
  std::uint64_t EngineStartedAt = 0;
  /// Exited processes of the engine, and when their exit was noticed. An entry
  /// that names one of them doesn't know the next process yet, so its request
  /// is refused.
  std::map<ServerProcess, TimePoint> FormerProcesses;
  /// Streams of which entries have told this agent.
  StreamOriginTable Origins;
  EngineProfile Profile;
  ProfileCallback ProfileAction;
  EventCallback EventAction;
};

} // namespace pimentofront

#endif
