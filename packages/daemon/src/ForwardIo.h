#ifndef PIMENTOFRONT_DAEMON_FORWARD_IO_H
#define PIMENTOFRONT_DAEMON_FORWARD_IO_H

#include "EventLog.h"
#include "IdentityProbe.h"
#include "Metrics.h"
#include "pimentofront/Http.h"

namespace pimentofront {

/// \class ForwardIo
/// \brief The I/O of request forwarding: accepts callers' connections, opens
/// connections to backend servers, and passes events to the ForwardNode, whose
/// commands it carries out.
class ForwardIo : public CallerHandler,
                  public UpstreamHandler,
                  public ForwardSink {
public:
  /// \throws std::runtime_error if the address of \p callers can't be bound.
  ForwardIo(EventLoop &loop, const CallerListenerOptions &callers,
            const ResponseLimits &responses, HttpClient &client,
            const HeaderCodec &codec, EventLog &log, Metrics &metrics);

  /// Sets the node that gets the events; must be called before the loop runs.
  void setNode(ForwardNode &node) { Node = &node; }
  /// Ends keep-alive: callers are asked not to reuse their connections.
  void beginStop() { Callers.beginStop(); }
  /// Stops accepting connections.
  void stopListening() { Callers.stopListening(); }
  /// \returns whether all callers have their answers. After beginStop() a
  /// connection is closed when its last answer is written.
  bool idle() const { return Callers.channels() == 0; }

  void onRequest(CallerKey key, RequestHead head, std::string body,
                 const ContentHash &bodyHash) override;
  void onCallerDisconnected(CallerKey key) override;
  void onUnsent(CallerKey key, std::size_t bytes) override;
  void onConnectionBytes(std::size_t bytes) override;
  void onShed(ShedReason reason) override;

  HeadDecision onHead(const AttemptId &attempt, ResponseHead head) override;
  void onBody(const AttemptId &attempt, std::string_view bytes) override;
  void onEnd(const AttemptId &attempt, UpstreamEnding ending) override;
  void onExcess(const ServerProcess &server, ResponseExcess excess,
                std::size_t bytes) override;

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
  IdentityProbe Identities;
};

} // namespace pimentofront

#endif
