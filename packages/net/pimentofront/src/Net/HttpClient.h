#ifndef PIMENTOFRONT_NET_HTTP_CLIENT_H
#define PIMENTOFRONT_NET_HTTP_CLIENT_H

#include "HttpServer.h"

struct evhttp_connection;
struct evhttp_request;

namespace pimentofront {

/// How a call to a server ended.
enum class HttpEnding : std::uint8_t {
  /// A complete response arrived.
  Complete,
  /// No connection was established: the server never received the call.
  NotSent,
  /// The server may have received the call, but no complete response arrived.
  BrokeOff,
  /// Like BrokeOff, since the response has more bytes than the call allows.
  TooLarge,
  /// Like BrokeOff, since the response had begun, but didn't end in time.
  TooSlow,
};
/// \ingroup Net
/// \returns the name of \p ending in logs and metrics.
const char *httpEndingName(HttpEnding ending);

/// \class HttpResponse
/// \ingroup Net
struct HttpResponse {
  HttpEnding Ending = HttpEnding::BrokeOff;
  int Status = 0;
  /// Without the parts that were passed to HttpCall::OnPiece.
  std::string Body;
  std::vector<HttpHeader> Headers;
};

/// \class HttpCall
/// \ingroup Net
struct HttpCall {
  HostPort Address;
  std::string Method = "POST";
  std::string Path;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// Limit on the wait for the connection, on the wait for the response, and on
  /// the time from the response's first byte to its last.
  Duration Timeout = std::chrono::seconds(60);
  /// Limit on the bytes of the response, including its head and all interim
  /// responses.
  std::size_t MaxResponseBytes = std::size_t(16) << 20;
  /// Uses a new connection. For calls that must not be repeated: the server may
  /// just have closed an idle connection.
  bool FreshConnection = false;
  /// If set, receives the body of a response with status 200 piece by piece.
  std::function<void(std::string_view)> OnPiece;
  std::function<void(const HttpResponse &)> OnEnd;
};

/// Identifies a call in progress; 0 is none.
using HttpCallId = std::uint64_t;

/// \class HttpClient
/// \ingroup Net
/// \brief HTTP client on evhttp with a pool of keep-alive connections. Never
/// retries a call by itself.
class HttpClient {
public:
  explicit HttpClient(EventLoop &loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts \p call. `OnEnd` is called exactly once, unless the call is
  /// cancelled.
  HttpCallId start(HttpCall call);
  /// Closes the connection of a call, which makes the server stop.
  void cancel(HttpCallId id);
  /// \p observer is told of each call that ends as TooLarge or TooSlow, with
  /// the bytes that were read.
  using ExcessObserver =
      std::function<void(const HostPort &, HttpEnding, std::size_t)>;
  void setExcessObserver(ExcessObserver observer);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace pimentofront

#endif
