#ifndef PIMENTOFRONT_NODE_FORWARD_NODE_H
#define PIMENTOFRONT_NODE_FORWARD_NODE_H

#include "AgentLinks.h"
#include "DocumentCodec.h"
#include "ProposalQueue.h"
#include "ReplicaFeed.h"
#include "pimentofront/Forward.h"

namespace pimentofront {

/// \class ForwardSink
/// \ingroup Node
/// \brief Carries out what forwarding decides, towards callers and backend
/// servers.
class ForwardSink {
public:
  virtual ~ForwardSink() = default;
  virtual void onCommand(ForwardCommand command) = 0;
  virtual void onEvent(const ForwardEvent &event) = 0;
  /// Another routing document is in force.
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
/// \brief The part of an entry that passes requests on as they are.
///
/// It serves on while the replicas are away, but for client accounts: that a
/// key still holds is relied on for a revocation bound only, and a limited
/// account's requests need units that the leader lends. It begins only with a
/// configuration that a quorum has confirmed, so that a restart never brings
/// back an older one.
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
  void callerGone(TimePoint now, std::uint64_t key);
  HeadDecision upstreamHead(TimePoint now, const AttemptId &attempt,
                            ResponseHead head);
  void upstreamBody(TimePoint now, const AttemptId &attempt,
                    std::string_view bytes);
  void upstreamEnd(TimePoint now, const AttemptId &attempt,
                   UpstreamEnding ending);
  /// Answers a CheckServer command.
  void serverChecked(TimePoint now, const ServerProcess &server,
                     ServerCheckResult life);

  /// \returns whether requests can be served, for a while yet.
  bool ready(TimePoint now) {
    return Controller.board().Table != nullptr &&
           Controller.accounts().ready(now) && Controller.knowsZones(now);
  }
  bool idle() const { return Controller.idle(); }
  const ForwardController &controller() const { return Controller; }
  const ConfigurationCopy &configuration() const {
    return Feed.configuration();
  }

private:
  void useDocument(TimePoint now);
  std::set<ZoneName> evacuatedZones() const;
  void onAgentMessage(TimePoint now, const HostName &host,
                      const Message &message);
  void sendToAgent(TimePoint now, const SendToAgent &message);
  void sendProfile(TimePoint now, const HostName &host,
                   const std::string &address);
  void dropLinks(TimePoint now, const std::vector<LinkId> &links);
  void onFeedMessage(TimePoint now, const Message &message);
  void onLeaderMessage(TimePoint now, const Message &message);
  void askReplicas(TimePoint now, const AskReplicas &question);
  void onLedgerMessage(TimePoint now, const Message &message);
  /// Looks for another leader when the ledger's one doesn't answer.
  void watchLedger(TimePoint now);
  /// Tells the allotment ledger what was spent and what is needed, and asks for
  /// sends to limited servers.
  void askLedgers(TimePoint now);
  /// Notices that the process has slept since it was called last.
  void noteTime(TimePoint now);
  void flush(TimePoint now);

  const DocumentCodec &Documents;
  Transport &Network;
  ForwardSink &Sink;
  ReplicaFeed Feed;
  /// The leader, for what the replicas decide.
  LeaderLink Leader;
  ProposalQueue Proposals;
  /// The leader, for the units of allotments and for permits to send. A link of
  /// its own: it is mostly open, and its silence means something else.
  LeaderLink Ledger;
  AgentLinks Agents;
  ForwardController Controller;
  std::optional<TimePoint> LastCall;
  /// Revision of the document in use.
  Revision InUse = 0;
  bool Confirmed = false;
};

} // namespace pimentofront

#endif
