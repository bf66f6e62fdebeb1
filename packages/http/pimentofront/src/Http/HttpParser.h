#ifndef PIMENTOFRONT_HTTP_HTTP_PARSER_H
#define PIMENTOFRONT_HTTP_HTTP_PARSER_H

#include "pimentofront/Forward.h"

#include <memory>

namespace pimentofront {

/// Kind of messages that a parser reads.
enum class HttpMessageKind : std::uint8_t { Requests, Responses };

/// \class HttpLimits
/// \ingroup Http
struct HttpLimits {
  std::size_t MaxHeadBytes = std::size_t(16) << 10;
  std::size_t MaxBodyBytes = std::size_t(4) << 20;
};

/// Why a message is rejected.
enum class HttpFault : std::uint8_t {
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

/// \class HttpMessageHandler
/// \ingroup Http
/// \brief Receives the parts of each message. No callback may destroy the
/// parser.
class HttpMessageHandler {
public:
  virtual ~HttpMessageHandler() = default;
  /// \returns false to skip the body of this message.
  virtual bool onRequestHead(RequestHead) { return true; }
  virtual bool onResponseHead(ResponseHead) { return true; }
  /// An interim response has ended; another response follows.
  virtual void onInterimEnd() {}
  virtual void onBody(std::string_view bytes) = 0;
  virtual void onMessageEnd() = 0;
};

/// \class HttpParser
/// \ingroup Http
/// \brief Parses messages one after another, more strictly than http-parser: an
/// ambiguous message is rejected, since a backend server might read it in
/// another way (request smuggling).
class HttpParser {
public:
  HttpParser(HttpMessageKind side, const HttpLimits &limits,
             HttpMessageHandler &handler);
  ~HttpParser();
  HttpParser(const HttpParser &) = delete;
  HttpParser &operator=(const HttpParser &) = delete;

  /// Parses up to the end of one message.
  /// \returns the number of bytes consumed; the rest belongs to the next call.
  std::size_t feed(std::string_view bytes);
  /// Signals the end of the connection. It completes a response without a
  /// length; any other unfinished message is malformed.
  void finish();
  /// Sets the method that the next responses answer: those to HEAD have no
  /// body.
  void expectResponseTo(const std::string &method);
  void setLimits(const HttpLimits &limits);

  HttpFault fault() const;
  /// \returns whether a message has begun and not ended.
  bool inMessage() const;
  /// \returns whether the head of the current message is complete.
  bool headDone() const;
  /// \returns the memory that the current message's head takes, as far as it is
  /// read and not passed on, in bytes.
  std::size_t headMemory() const;
  /// \returns whether the connection can be reused after the message that
  /// ended.
  bool keepsConnection() const;
  /// \returns whether the current message is HTTP/1.1 or later.
  bool isHttp11() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace pimentofront

#endif
