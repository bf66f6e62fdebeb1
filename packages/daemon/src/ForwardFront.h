#ifndef PIMENTOFRONT_DAEMON_FORWARD_FRONT_H
#define PIMENTOFRONT_DAEMON_FORWARD_FRONT_H

#include "EventLog.h"
#include "Metrics.h"
#include "pimentofront/Http.h"

namespace pimentofront {

/// \class ForwardFront
/// \brief The I/O of forwarding: callers' connections on one side, those to
/// backend servers on the other, the node's decisions between them.
class ForwardFront : public CallerHandler,
                     public UpstreamHandler,
                     public ForwardSink {
public:
  /// \throws std::runtime_error when the address can't be bound.
  ForwardFront(EventLoop &loop, const HostPort &listen, EventLog &log,
               Metrics &metrics);

  /// The node that decides; to be set before the loop runs.
  void setNode(ForwardNode &node) { Node = &node; }
  /// Callers are told not to use their connections again.
  void beginStop() { Callers.beginStop(); }
  /// No new connections from here on.
  void stopListening() { Callers.stopListening(); }
  /// \returns whether all callers have their answers: a connection ends when
  /// its last one is written.
  bool idle() const { return Callers.channels() == 0; }

  void onRequest(CallerKey key, RequestHead head, std::string body,
                 const ContentHash &bodyHash) override;
  void onCallerDisconnected(CallerKey key) override;

  HeadDecision onHead(const AttemptId &attempt, ResponseHead head) override;
  void onBody(const AttemptId &attempt, std::string_view bytes) override;
  void onEnd(const AttemptId &attempt, UpstreamEnding ending) override;

  void onCommand(ForwardCommand command) override;
  void onEvent(const ForwardEvent &event) override;
  void onTable(const RoutingTable &table) override;

private:
  void checkServer(const CheckServer &check);

  EventLoop &Loop;
  EventLog &Log;
  Metrics &Counters;
  ForwardNode *Node = nullptr;
  CallerListener Callers;
  UpstreamPool Servers;
  ConnectProbe Probe;
};

} // namespace pimentofront

#endif
