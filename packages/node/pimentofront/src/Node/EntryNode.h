#ifndef PIMENTOFRONT_NODE_ENTRY_NODE_H
#define PIMENTOFRONT_NODE_ENTRY_NODE_H

#include "AgentLinks.h"
#include "ProposalQueue.h"
#include "ReplicaFeed.h"

#include <functional>

namespace pimentofront {

/// \class AnswerSink
/// \ingroup Node
/// \brief Receives the answers to callers and operators.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;
  virtual void onChunk(RequestKey key, std::uint64_t position,
                       const std::string &text) = 0;
  virtual void onFinal(RequestKey key, const KindName &kind,
                       const FinalAnswer &answer) = 0;
  /// The entry subscribed again or left a replica.
  virtual void onFeedEvent(const FeedEvent &) {}
};

/// \class EntryNodeOptions
/// \ingroup Node
struct EntryNodeOptions {
  HostName Host;
  EntryOptions Entry;
  ConfigurationCopyOptions Configuration;
  std::vector<std::string> Replicas;
  /// Interval at which the process asks whether its configuration is current.
  Duration ProbePeriod = std::chrono::seconds(1);
  /// Time within which an operator's command has to be decided.
  Duration CommandTimeout = std::chrono::seconds(10);
};

/// Receives the outcome of an operator's command, or nothing if it is unknown.
using CommandCallback =
    std::function<void(const std::optional<CommandOutcome> &)>;
using StatusCallback = std::function<void(const std::optional<AdminReply> &)>;

/// \class EntryNode
/// \ingroup Node
/// \brief The process that accepts the requests of callers and operators.
class EntryNode : public Node {
public:
  /// \param routing, \p transport and \p sink outlive the node.
  EntryNode(TimePoint now, const EntryNodeOptions &options,
            RoutingPolicy &routing, Transport &transport, AnswerSink &sink);

  void onLinkOpen(TimePoint now, LinkId link, const Hello &hello) override;
  void onMessage(TimePoint now, LinkId link, const Message &message) override;
  void onLinkClosed(TimePoint now, LinkId link) override;
  void tick(TimePoint now) override;

  void request(TimePoint now, CallerRequest request);
  void callerDisconnected(TimePoint now, RequestKey key);
  /// Proposes an operator's command to the replicas.
  void command(TimePoint now, const Command &command, CommandCallback done);
  /// Sends a request to one replica, or to the leader if \p replica is empty.
  void admin(TimePoint now, AdminRequest request, const std::string &replica,
             StatusCallback done);

  /// Refuses new requests from now on.
  void stop() { Controller.stop(); }
  bool idle() const { return Controller.idle() && Proposals.empty(); }
  /// \returns whether requests are served: the configuration is confirmed and
  /// the process isn't stopping.
  bool ready(TimePoint now) const {
    return Feed.configuration().isConfirmed(now) &&
           !Controller.board().Stopping;
  }
  /// \returns how long ago the copies of the configuration and the members were
  /// last known to be current; nothing before the first time.
  std::optional<Duration> feedAge(TimePoint now) const { return Feed.age(now); }
  const EntryController &controller() const { return Controller; }
  const ConfigurationCopy &configuration() const {
    return Feed.configuration();
  }

private:
  struct AdminCall {
    AdminRequest Request;
    LinkId Link = 0;
    TimePoint Deadline;
    StatusCallback Done;
  };

  void flush(TimePoint now);
  void onReplicaMessage(TimePoint now, const Message &message);
  void onAgentMessage(TimePoint now, const HostName &host,
                      const Message &message);
  void onAdminReply(const AdminReply &reply);
  void dropStaleAgentLinks(TimePoint now);

  EntryNodeOptions Options;
  Transport &Network;
  AnswerSink &Sink;
  /// Any replica, for the configuration. Commands go to the leader.
  ReplicaFeed Feed;
  LeaderLink Leader;
  EntryController Controller;
  AgentLinks Agents;
  ProposalQueue Proposals;
  std::map<std::uint64_t, AdminCall> AdminCalls;
  std::uint64_t LastNonce = 0;
};

} // namespace pimentofront

#endif
