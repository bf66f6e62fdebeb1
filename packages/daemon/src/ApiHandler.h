#ifndef PIMENTOFRONT_DAEMON_API_HANDLER_H
#define PIMENTOFRONT_DAEMON_API_HANDLER_H

#include "EventLog.h"
#include "Metrics.h"
#include "pimentofront/Api.h"

#include <unordered_map>

namespace pimentofront {

/// \class ApiCall
/// \brief One call of the public interface, until it is answered.
struct ApiCall {
  std::shared_ptr<HttpExchange> Exchange;
  ConnectContent Content;
  /// The message in the body, still encoded.
  std::string Body;
  Duration Timeout = Duration::zero();

  void succeed(const google::protobuf::Message &message) const;
  void fail(const ConnectError &error) const;
};

/// \class ApiParts
/// \brief The nodes that this process has; null where it hasn't.
struct ApiParts {
  EntryNode *Entry = nullptr;
  AgentNode *Agent = nullptr;
  ReplicaNode *Replica = nullptr;
  const ForwardNode *Forward = nullptr;
};

/// \class ApiHandler
/// \brief Serves the public interface: callers' calls, operators' calls, and
/// plain HTTP for health, readiness and metrics.
class ApiHandler : public HttpHandler, public AnswerSink {
public:
  ApiHandler(EventLoop &loop, const Settings &settings, EventLog &log,
             Metrics &metrics, const PeerNetwork &network);
  ~ApiHandler() override;

  void setParts(const ApiParts &parts) { Parts = parts; }
  /// From now on the process is not ready; the balancer turns away.
  void beginStop() { Stopping = true; }

  void onRequest(std::shared_ptr<HttpExchange> exchange) override;
  void onChunk(RequestKey key, std::uint64_t position,
               const std::string &text) override;
  void onFinal(RequestKey key, const KindName &kind,
               const FinalAnswer &answer) override;

private:
  /// What a caller waits for.
  enum class Waiting : std::uint8_t { Text, Stream, Service };
  struct Pending {
    ApiCall Call;
    Waiting For = Waiting::Text;
    CallerName Caller;
    RequestId Id;
    TimePoint ArrivedAt;
    std::string Text;
    bool StreamBegun = false;
  };

  void onPlain(HttpExchange &exchange);
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
  ApiParts Parts;
  bool Stopping = false;
  RequestKey LastKey = 0;
  std::unordered_map<RequestKey, Pending> Calls;
};

/// Serves one call of the Operator service, if \p method names one.
/// \returns whether it does.
bool serveOperatorCall(const ApiParts &parts, const Settings &settings,
                       TimePoint now, std::string_view method,
                       const ApiCall &call);

/// Reads the message of \p call; a malformed one is answered.
bool readOrFail(const ApiCall &call, google::protobuf::Message &message);

} // namespace pimentofront

#endif
