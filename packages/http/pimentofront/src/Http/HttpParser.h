#ifndef PIMENTOFRONT_HTTP_HTTP_PARSER_H
#define PIMENTOFRONT_HTTP_HTTP_PARSER_H

#include "pimentofront/Forward.h"

#include <memory>

namespace pimentofront {

/// What a parser reads.
enum class HttpSide : std::uint8_t { Requests, Answers };

/// \class HttpLimits
/// \ingroup Http
struct HttpLimits {
  std::size_t MaxHeadBytes = std::size_t(16) << 10;
  std::size_t MaxBodyBytes = std::size_t(4) << 20;
};

/// Why a message can't be read.
enum class HttpFault : std::uint8_t {
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

/// \class HttpMessageHandler
/// \ingroup Http
/// \brief Takes the parts of one message. No call may destroy the parser.
class HttpMessageHandler {
public:
  virtual ~HttpMessageHandler() = default;
  /// \returns false to skip the body of this message.
  virtual bool onRequestHead(RequestHead) { return true; }
  virtual bool onResponseHead(ResponseHead) { return true; }
  virtual void onBody(std::string_view bytes) = 0;
  virtual void onMessageEnd() = 0;
};

/// \class HttpParser
/// \ingroup Http
/// \brief Reads messages one after another. Stricter than the library: a
/// message that two programs could read in two ways is refused, since one of
/// them might be a backend server.
class HttpParser {
public:
  HttpParser(HttpSide side, const HttpLimits &limits,
             HttpMessageHandler &handler);
  ~HttpParser();
  HttpParser(const HttpParser &) = delete;
  HttpParser &operator=(const HttpParser &) = delete;

  /// Reads up to the end of one message.
  /// \returns the bytes used; the rest is for the next call.
  std::size_t feed(std::string_view bytes);
  /// No more bytes come: an answer without a length is whole now.
  void finish();
  /// The answers to come are to requests of this method: HEAD has no body.
  void expectAnswerTo(const std::string &method);
  void setLimits(const HttpLimits &limits);

  HttpFault fault() const;
  /// \returns whether a message has begun and not ended.
  bool inMessage() const;
  /// \returns whether the head of the message at hand has come.
  bool headDone() const;
  /// \returns whether the connection can be used after the message that ended.
  bool keepsConnection() const;
  /// \returns whether the message at hand is of HTTP/1.1 or later.
  bool isHttp11() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace pimentofront

#endif
