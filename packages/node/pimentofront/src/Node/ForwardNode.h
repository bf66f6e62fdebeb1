#ifndef PIMENTOFRONT_NODE_FORWARD_NODE_H
#define PIMENTOFRONT_NODE_FORWARD_NODE_H

#include "AgentLinks.h"
#include "DocumentCodec.h"
#include "OriginKeepers.h"
#include "ProposalQueue.h"
#include "ReplicaFeed.h"
#include "pimentofront/Forward.h"

namespace pimentofront {

/// \class ForwardSink
/// \ingroup Node
/// \brief Executes the forwarding controller's decisions towards callers and
/// backend servers.
class ForwardSink {
public:
  virtual ~ForwardSink() = default;
  virtual void onCommand(ForwardCommand command) = 0;
  virtual void onEvent(const ForwardEvent &event) = 0;
  /// A new routing document is in force.
  virtual void onTable(const RoutingTable &table) = 0;
};

/// \class ForwardNodeOptions
/// \ingroup Node
struct ForwardNodeOptions {
  ReplicaFeedOptions Feed;
  ForwardOptions Forward;
};

/// \class ForwardNode
/// \ingroup Node
/// \brief The part of an entry that forwards requests unchanged.
///
/// It continues to serve while the replicas are unreachable, except for client
/// accounts: a key is trusted only for the revocation bound after it was last
/// confirmed, and requests of a limited account need units that the leader
/// grants in advance. It starts only with a configuration that a quorum has
/// confirmed, so that a restart never brings back an older one.
class ForwardNode : public Node {
public:
  ForwardNode(TimePoint now, const ForwardNodeOptions &options,
              const HeaderCodec &headers, const DocumentCodec &documents,
              RoutingPolicy &routing, Transport &transport, ForwardSink &sink);

  void onLinkOpen(TimePoint now, LinkId link, const Hello &hello) override;
  void onMessage(TimePoint now, LinkId link, const Message &message) override;
  void onLinkClosed(TimePoint now, LinkId link) override;
  void tick(TimePoint now) override;

  void request(TimePoint now, std::uint64_t key, RequestHead head,
               std::string body, const ContentHash &bodyHash);
  void callerDisconnected(TimePoint now, std::uint64_t key);
  /// \p bytes of the answer to request \p key wait for its caller to read.
  void callerUnsent(TimePoint now, std::uint64_t key, std::size_t bytes);
  /// The callers' connections hold \p bytes in all.
  void connectionBytes(std::size_t bytes) {
    Controller.onConnectionBytes(bytes);
  }
  HeadDecision upstreamHead(TimePoint now, const AttemptId &attempt,
                            ResponseHead head);
  void upstreamBody(TimePoint now, const AttemptId &attempt,
                    std::string_view bytes);
  void upstreamEnd(TimePoint now, const AttemptId &attempt,
                   UpstreamEnding ending);
  /// Reports the result of a CheckServer command.
  void serverChecked(TimePoint now, const ServerProcess &server,
                     ServerCheckResult result);

  /// \returns whether requests can be served now and for some time to come.
  bool ready(TimePoint now) {
    return Controller.board().Table != nullptr && follows(now) &&
           Controller.accounts().ready(now) && Controller.knowsZones(now);
  }
  /// \returns how long ago the copies of the configuration, the members and the
  /// quarantine were last known to be current; nothing before the first time.
  std::optional<Duration> feedAge(TimePoint now) const { return Feed.age(now); }
  bool idle() const { return Controller.idle(); }
  const ForwardController &controller() const { return Controller; }
  const ConfigurationCopy &configuration() const {
    return Feed.configuration();
  }

private:
  /// \returns whether the copies are recent enough to get callers.
  bool follows(TimePoint now) const;
  void reportFeed(TimePoint now);
  void useDocument(TimePoint now);
  std::set<ZoneName> evacuatedZones() const;
  void onAgentMessage(TimePoint now, const HostName &host,
                      const Message &message);
  void sendToAgent(TimePoint now, const SendToAgent &message);
  /// Tells the replicas of streams, and asks them about others.
  void sendOrigins(TimePoint now);
  void onKeeperMessage(TimePoint now, LinkId link, const Message &message);
  /// Acts on replicas that have stopped answering questions about streams.
  void updateKeepers(TimePoint now);
  void sendProfile(TimePoint now, const HostName &host,
                   const std::string &address);
  void dropLinks(TimePoint now, const std::vector<LinkId> &links);
  void onFeedMessage(TimePoint now, const Message &message);
  void onLeaderMessage(TimePoint now, const Message &message);
  void proposeToReplicas(TimePoint now, const ProposeToReplicas &proposal);
  void onLedgerMessage(TimePoint now, const Message &message);
  /// Looks for another leader if the ledger's leader doesn't answer.
  void watchLedger(TimePoint now);
  /// Reports the spent and needed units to the allotment ledger, and requests
  /// permits to send to rate-limited servers.
  void sendLedgerRequests(TimePoint now);
  /// Detects that the process was paused or suspended since the last call.
  void detectPause(TimePoint now);
  void flush(TimePoint now);

  const DocumentCodec &Documents;
  Transport &Network;
  ForwardSink &Sink;
  ReplicaFeed Feed;
  /// Link to the leader for proposals.
  LeaderLink Leader;
  ProposalQueue Proposals;
  /// Link to the leader for the units of allotments and for send permits. It is
  /// separate because it is open most of the time and its silence has another
  /// limit.
  LeaderLink Ledger;
  AgentLinks Agents;
  OriginKeepers Keepers;
  ForwardController Controller;
  Duration ReadyAge;
  std::optional<TimePoint> LastCall;
  /// Revision of the routing document in use.
  Revision DocumentRevision = 0;
  bool Confirmed = false;
  bool WasReady = false;
};

} // namespace pimentofront

#endif
