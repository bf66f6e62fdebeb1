#ifndef PIMENTOFRONT_NET_HTTP_SERVER_H
#define PIMENTOFRONT_NET_HTTP_SERVER_H

#include "EventLoop.h"
#include "pimentofront/Forward.h"

#include <string_view>
#include <vector>

namespace pimentofront {

/// \class HttpExchange
/// \ingroup Net
/// \brief A complete request and the means to respond to it, at once or later.
/// Responding does nothing after the caller has disconnected.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual std::string_view method() const = 0;
  virtual std::string_view path() const = 0;
  virtual std::string_view body() const = 0;
  /// \returns the body, which isn't kept any longer.
  virtual std::string takeBody() = 0;
  /// \returns the value of a header; empty if it is missing.
  virtual std::string_view header(const char *name) const = 0;
  virtual bool isDisconnected() const = 0;
  /// \returns the number of response bytes that aren't sent yet.
  virtual std::size_t unsentBytes() const = 0;

  /// Sends a complete response.
  virtual void reply(int status, const std::vector<HttpHeader> &headers,
                     std::string_view body) = 0;
  /// Starts a chunked response.
  virtual void beginStream(int status,
                           const std::vector<HttpHeader> &headers) = 0;
  virtual void sendPiece(std::string_view bytes) = 0;
  virtual void endStream() = 0;
  /// Closes the connection without completing the response, since the caller is
  /// too slow.
  virtual void abort() = 0;
  /// \p action is called once if the caller disconnects before the response is
  /// complete.
  virtual void onDisconnect(std::function<void()> action) = 0;
};

/// \class HttpHandler
/// \ingroup Net
/// \brief Handles the requests of an HttpServer.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;
  virtual void onRequest(std::shared_ptr<HttpExchange> exchange) = 0;
};

/// \class HttpServerOptions
/// \ingroup Net
struct HttpServerOptions {
  HostPort Address;
  /// Larger bodies are refused with status 413.
  std::size_t MaxBodyBytes = std::size_t(1) << 20;
  /// Larger heads end their connection.
  std::size_t MaxHeadBytes = std::size_t(64) << 10;
  /// Heads with more headers end their connection.
  std::size_t MaxHeaders = 256;
  /// Timeout for receiving from a caller and for sending each piece of a
  /// response; a part of a second is ignored.
  Duration CallerTimeout = std::chrono::seconds(30);
  /// A request may take CallerTimeout, and besides as long as it takes to send
  /// its bytes at this pace.
  std::size_t MinBytesPerSecond = 1024;
  /// Number of connections above which a new one displaces the least used one
  /// (CloseOrder); 0 sets no bound.
  std::size_t MaxConnections = 0;
  /// Bytes of requests that arrive or are handled, and of responses that aren't
  /// read; 0 sets no bound. A request that doesn't fit is refused with status
  /// 503.
  std::size_t MaxHeldBytes = 0;
};

/// \class HttpServer
/// \ingroup Net
/// \brief HTTP/1.1 server on libevhtp, with bounds on what callers can hold of
/// the process: descriptors, bytes, and time to send a request.
class HttpServer {
public:
  /// \throws std::runtime_error when the address can't be bound.
  HttpServer(EventLoop &loop, const HttpServerOptions &options,
             HttpHandler &handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// \p observer is told of each connection that is closed or refused for want
  /// of room.
  using ShedObserver = std::function<void(ShedReason)>;
  void setShedObserver(ShedObserver observer);

private:
  struct Impl;
  /// Shared with the requests that end after the server.
  std::shared_ptr<Impl> State;
};

} // namespace pimentofront

#endif
