#ifndef PIMENTOFRONT_NODE_AGENT_NODE_H
#define PIMENTOFRONT_NODE_AGENT_NODE_H

#include "LeaderLink.h"
#include "pimentofront/Serving.h"

#include <functional>
#include <memory>

namespace pimentofront {

/// \class BackendDriver
/// \ingroup Node
/// \brief Carries out what the agent decides, at the engine and the plain
/// services. It reports back to AgentNode::controller().
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
  /// How often the lease is renewed.
  Duration RenewPeriod = std::chrono::seconds(2);
  /// A process of the engine that doesn't tell when it started counts as ended
  /// for so long: entries hear of the next one within a few seconds. After that
  /// the engine itself says whether an order is for another process.
  Duration FormerProcessKept = std::chrono::seconds(5);
};

/// \class AgentNode
/// \ingroup Node
/// \brief The process beside a backend server: the only one that gives its
/// engine orders.
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

  /// The driver tells the controller what happened, then calls flush().
  AgentController &controller() { return Controller; }
  const AgentController &controller() const { return Controller; }
  /// Carries out what the controller decided.
  void flush(TimePoint now);

  /// Tells everybody that no new work is taken.
  void leave(TimePoint now);
  /// Tells the leader that this process ends.
  void sayGoodbye(TimePoint now);
  /// The routing document says something new of the engine.
  using ProfileCallback = std::function<void(const EngineProfile &)>;
  void onProfile(ProfileCallback action) { ProfileAction = std::move(action); }
  /// \returns the fencing token for orders; 0 before the leader has given one.
  std::uint64_t fence() const { return Fence; }
  /// \returns the engine's process, as entries named it last; empty while none
  /// has, since it started.
  const ServerProcess &engineProcess() const { return Process; }
  /// The engine says when its process started; 0 if it doesn't.
  void onEngineSeen(std::uint64_t startedAt) { EngineStartedAt = startedAt; }
  /// The process that entries named has ended; another one may have begun.
  void onEngineRestarted(TimePoint now);
  /// \returns time left of the lease on membership.
  Duration remainingLease(TimePoint now) const;

private:
  void onLeaderMessage(TimePoint now, const Message &message);
  void announce(TimePoint now, bool gone);
  void announceAnew(TimePoint now);
  MemberRecord record(bool gone) const;
  void sendToScheduler(TimePoint now, const Message &message);
  void onEntryMessage(TimePoint now, LinkId link, const Message &message);
  void onExecute(TimePoint now, LinkId link, const ExecuteRequest &request);
  /// \returns whether \p process isn't the one that the engine runs now.
  bool hasEnded(TimePoint now, const ServerProcess &process) const;
  void onReleased(TimePoint now, const AttemptReleased &message);
  void takeProfile(TimePoint now, const EngineProfile &profile);
  void start(TimePoint now, const ExecuteRequest &request);
  void carryOut(TimePoint now, const AgentCommand &command);
  void cancelWork(TimePoint now, const AttemptId &attempt);

  AgentNodeOptions Options;
  BackendDriver &Driver;
  Transport &Network;
  AgentController Controller;
  LeaderLink Leader;
  std::set<LinkId> Entries;
  /// The leader has our full announcement, on this link.
  bool Announced = false;
  TimePoint NextRenewal;
  TimePoint LeasedUntil;
  std::uint64_t Fence = 0;
  /// Attempts that an entry sends to the engine itself.
  std::unordered_map<AttemptId, LinkId> Delegated;
  ServerProcess Process;
  /// When the engine's process started, by its own word; 0 if it isn't told.
  std::uint64_t EngineStartedAt = 0;
  /// Processes of the engine that have ended, and since when that is known: an
  /// entry that names one hasn't heard of the next one, and can't send it a
  /// request.
  std::map<ServerProcess, TimePoint> FormerProcesses;
  EngineProfile Profile;
  ProfileCallback ProfileAction;
};

} // namespace pimentofront

#endif
