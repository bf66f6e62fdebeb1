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
  /// Timeout for receiving from a caller and for sending each piece of a
  /// response; a part of a second is ignored.
  Duration CallerTimeout = std::chrono::seconds(30);
};

/// \class HttpServer
/// \ingroup Net
/// \brief HTTP/1.1 server on libevhtp.
class HttpServer {
public:
  /// \throws std::runtime_error when the address can't be bound.
  HttpServer(EventLoop &loop, const HttpServerOptions &options,
             HttpHandler &handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace pimentofront

#endif
