#ifndef PIMENTOFRONT_NET_HTTP_SERVER_H
#define PIMENTOFRONT_NET_HTTP_SERVER_H

#include "EventLoop.h"
#include "pimentofront/Forward.h"

#include <string_view>
#include <vector>

namespace pimentofront {

/// \class HttpExchange
/// \ingroup Net
/// \brief One request that arrived whole, and the way to answer it, at once or
/// later. After the caller has gone, answering does nothing.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual std::string_view method() const = 0;
  virtual std::string_view path() const = 0;
  virtual std::string_view body() const = 0;
  /// \returns the value of a header, empty when it isn't there.
  virtual std::string_view header(const char *name) const = 0;
  virtual bool gone() const = 0;
  /// \returns bytes that the caller hasn't taken yet.
  virtual std::size_t unsentBytes() const = 0;

  /// Answers with a whole body.
  virtual void reply(int status, const std::vector<HttpHeader> &headers,
                     std::string_view body) = 0;
  /// Begins an answer in pieces.
  virtual void beginStream(int status,
                           const std::vector<HttpHeader> &headers) = 0;
  virtual void sendPiece(std::string_view bytes) = 0;
  virtual void endStream() = 0;
  /// Ends the connection without an answer: the caller is too slow.
  virtual void abort() = 0;
  /// \p action is called once if the caller goes away before the end.
  virtual void onGone(std::function<void()> action) = 0;
};

/// \class HttpHandler
/// \ingroup Net
/// \brief What a daemon does with requests.
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
  /// A caller has this long to send a request and to take each piece.
  Duration CallerTimeout = std::chrono::seconds(30);
};

/// \class HttpServer
/// \ingroup Net
/// \brief HTTP/1.1 by libevhtp.
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
