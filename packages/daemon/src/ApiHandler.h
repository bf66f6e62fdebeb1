#ifndef PIMENTOFRONT_DAEMON_API_HANDLER_H
#define PIMENTOFRONT_DAEMON_API_HANDLER_H

#include "EventLog.h"
#include "Metrics.h"
#include "pimentofront/Api.h"

#include <unordered_map>

namespace pimentofront {

/// \class ApiCall
/// \brief A call of the public API that has not been answered yet.
struct ApiCall {
  std::shared_ptr<HttpExchange> Exchange;
  ConnectContent Content;
  /// The encoded request message: the body of the HTTP request or, for a
  /// streaming method, the contents of its envelope.
  std::string Body;
  Duration Timeout = Duration::zero();

  void succeed(const google::protobuf::Message &message) const;
  void fail(const ConnectError &error) const;
};

/// \class LocalNodes
/// \brief The nodes that run in this process; null for roles that it does not
/// have.
struct LocalNodes {
  EntryNode *Entry = nullptr;
  AgentNode *Agent = nullptr;
  ReplicaNode *Replica = nullptr;
  const ForwardNode *Forward = nullptr;
};

/// \class ApiHandler
/// \brief Serves the public API: calls of callers and of operators in the
/// Connect protocol, and plain HTTP pages for health, readiness and metrics.
class ApiHandler : public HttpHandler, public AnswerSink {
public:
  ApiHandler(EventLoop &loop, const Settings &settings, EventLog &log,
             Metrics &metrics, const PeerNetwork &network);
  ~ApiHandler() override;

  void setNodes(const LocalNodes &nodes) { Nodes = nodes; }
  /// Makes the readiness page report "not ready", so that the load balancer
  /// stops sending requests to this process.
  void beginStop() { Stopping = true; }

  void onRequest(std::shared_ptr<HttpExchange> exchange) override;
  void onChunk(RequestKey key, std::uint64_t position,
               const std::string &text) override;
  void onFinal(RequestKey key, const KindName &kind,
               const FinalAnswer &answer) override;
  void onFeedEvent(const FeedEvent &event) override;

private:
  /// The form in which a caller gets its response.
  enum class ResponseKind : std::uint8_t { Text, Stream, Service };
  struct Pending {
    ApiCall Call;
    ResponseKind Expected = ResponseKind::Text;
    CallerName Caller;
    RequestId Id;
    TimePoint ArrivedAt;
    std::string Text;
    bool StreamStarted = false;
  };

  void onPlainHttp(HttpExchange &exchange);
  std::string metricsText();
  void onCall(const std::shared_ptr<HttpExchange> &exchange);
  void dispatch(ApiCall call, std::string_view method);
  void generate(ApiCall call, bool stream);
  void callService(ApiCall call);
  void cancel(const ApiCall &call);
  void begin(Pending pending, CallerRequest request);
  void beginStream(Pending &pending);
  void answer(Pending &pending, const FinalAnswer &answer);
  void fail(Pending &pending, const FinalAnswer &answer);
  void dropSlowCaller(RequestKey key);

  EventLoop &Loop;
  const Settings &Options;
  EventLog &Log;
  Metrics &Counters;
  const PeerNetwork &Network;
  LocalNodes Nodes;
  bool Stopping = false;
  RequestKey LastKey = 0;
  std::unordered_map<RequestKey, Pending> Calls;
};

/// Serves a call of the Operator service.
/// \returns false if that service has no \p method in this process; the call is
/// then not answered.
bool serveOperatorCall(const LocalNodes &nodes, const Settings &settings,
                       TimePoint now, std::string_view method,
                       const ApiCall &call);

/// Decodes the message of \p call. Answers the call with an error if the
/// message is malformed.
/// \returns whether \p message was decoded.
bool readOrFail(const ApiCall &call, google::protobuf::Message &message);

} // namespace pimentofront

#endif
