#ifndef PIMENTOFRONT_NODE_FORWARD_NODE_H
#define PIMENTOFRONT_NODE_FORWARD_NODE_H

#include "AgentLinks.h"
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

/// \class DocumentCodec
/// \ingroup Node
/// \brief Reads the operators' routing documents; one class for each format.
class DocumentCodec {
public:
  virtual ~DocumentCodec() = default;
  /// \returns the document; with findings, it isn't to be used.
  virtual RoutingDocument decode(std::string_view text,
                                 Findings &findings) const = 0;
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
/// It serves on while the replicas are away: nothing that it promises needs
/// them. It begins only with a configuration that a quorum has confirmed, so
/// that a restart never brings back an older one.
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
  HeadVerdict upstreamHead(TimePoint now, const AttemptId &attempt,
                           ResponseHead head);
  void upstreamBody(TimePoint now, const AttemptId &attempt,
                    std::string_view bytes);
  void upstreamEnd(TimePoint now, const AttemptId &attempt,
                   UpstreamEnding ending);
  /// Answers a CheckServer command.
  void serverChecked(TimePoint now, const ServerProcess &server,
                     ServerLife life);

  /// \returns whether requests can be served.
  bool ready() const { return Controller.board().Table != nullptr; }
  bool idle() const { return Controller.idle(); }
  const ForwardController &controller() const { return Controller; }
  const ConfigurationCopy &configuration() const {
    return Feed.configuration();
  }

private:
  void useDocument(TimePoint now);
  void onAgentMessage(TimePoint now, const HostName &host,
                      const Message &message);
  void sendToAgent(TimePoint now, const SendToAgent &message);
  void sendProfile(TimePoint now, const HostName &host,
                   const std::string &address);
  void dropLinks(TimePoint now, const std::vector<LinkId> &links);
  void onFeedMessage(TimePoint now, const Message &message);
  void onLeaderMessage(TimePoint now, const Message &message);
  void askReplicas(TimePoint now, const AskReplicas &question);
  /// Notices that the process has slept since it was called last.
  void noteTime(TimePoint now);
  void flush(TimePoint now);

  const DocumentCodec &Documents;
  ForwardSink &Sink;
  ReplicaFeed Feed;
  /// The leader, for what the replicas decide.
  LeaderLink Leader;
  ProposalQueue Proposals;
  AgentLinks Agents;
  ForwardController Controller;
  std::optional<TimePoint> LastCall;
  /// Revision of the document in use.
  Revision InUse = 0;
  bool Confirmed = false;
};

} // namespace pimentofront

#endif
