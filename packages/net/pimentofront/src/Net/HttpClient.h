#ifndef PIMENTOFRONT_NET_HTTP_CLIENT_H
#define PIMENTOFRONT_NET_HTTP_CLIENT_H

#include "HttpServer.h"

struct evhttp_connection;
struct evhttp_request;

namespace pimentofront {

/// How a call of a backend server ended.
enum class HttpEnding : std::uint8_t {
  /// A complete answer arrived.
  Complete,
  /// No connection came about: the server never saw the call.
  NotSent,
  /// The call may have reached the server; no complete answer.
  BrokeOff,
};

/// \class HttpAnswer
/// \ingroup Net
struct HttpAnswer {
  HttpEnding Ending = HttpEnding::BrokeOff;
  int Status = 0;
  /// Empty when the body was taken in pieces.
  std::string Body;
};

/// \class HttpCall
/// \ingroup Net
struct HttpCall {
  HostPort Address;
  std::string Method = "POST";
  std::string Path;
  std::vector<HttpHeader> Headers;
  std::string Body;
  Duration Timeout = std::chrono::seconds(60);
  /// Uses a connection of its own, so that a call that may not be repeated
  /// never meets a kept connection that the server has just closed.
  bool FreshConnection = false;
  /// Set to take the body of a good answer piece by piece.
  std::function<void(std::string_view)> OnPiece;
  std::function<void(const HttpAnswer &)> OnEnd;
};

/// Names a call in progress; 0 is none.
using HttpCallId = std::uint64_t;

/// \class HttpClient
/// \ingroup Net
/// \brief Calls to backend servers by evhttp, with kept connections. It never
/// repeats a call by itself.
class HttpClient {
public:
  explicit HttpClient(EventLoop &loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts \p call; `OnEnd` is called exactly once, unless it is cancelled.
  HttpCallId start(HttpCall call);
  /// Closes the connection of a call, which tells the server to stop.
  void cancel(HttpCallId id);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace pimentofront

#endif
