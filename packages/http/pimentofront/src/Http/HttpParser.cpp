#include "pimentofront/Http.h"

#include <algorithm>
#include <http_parser.h>

namespace pimentofront {
namespace {

// RFC 9110, 15.
constexpr unsigned FirstStatus = 100;
constexpr unsigned StatusSwitchingProtocols = 101;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotModified = 304;
constexpr unsigned LastStatus = 599;

/// \returns whether a response may have \p status, to a request that asks for
/// no other protocol.
bool isAcceptedStatus(unsigned status) {
  return status >= FirstStatus && status <= LastStatus &&
         status != StatusSwitchingProtocols;
}

/// \returns whether the head announces a body.
bool announcesBody(const http_parser &parser) {
  constexpr std::uint64_t UnknownLength = ~std::uint64_t(0);
  const bool hasLength =
      parser.content_length != UnknownLength && parser.content_length > 0;
  return hasLength || (parser.flags & F_CHUNKED) != 0;
}

bool isTokenChar(char c) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(c)) ||
         Marks.find(c) != std::string_view::npos;
}

/// http-parser reads `Name : value` as a header whose name ends in a space;
/// another program may read it as `Name`.
bool isToken(const std::string &name) {
  return !name.empty() && std::ranges::all_of(name, isTokenChar);
}

/// Accepts only `chunked`, the one coding that all programs interpret alike.
bool isSupportedCoding(const HttpHeader &header) {
  return !sameHeaderName(header.Name, "transfer-encoding") ||
         sameHeaderName(header.Value, "chunked");
}

} // namespace

struct HttpParser::Impl {
  HttpMessageHandler &Handler;
  HttpLimits Limits;
  http_parser Parser{};
  HttpFault Fault = HttpFault::None;
  std::string Target;
  HttpHeaders Headers;
  bool LastWasValue = false;
  std::size_t HeadBytes = 0;
  std::size_t BodyBytes = 0;
  bool InMessage = false;
  bool HeadDone = false;
  bool KeepsConnection = true;
  bool Interim = false;
  bool SkipsBody = false;
  bool ResponseHasNoBody = false;

  Impl(HttpMessageKind side, const HttpLimits &limits,
       HttpMessageHandler &handler)
      : Handler(handler), Limits(limits) {
    http_parser_init(&Parser, side == HttpMessageKind::Requests
                                  ? HTTP_REQUEST
                                  : HTTP_RESPONSE);
    Parser.data = this;
  }

  static Impl &of(http_parser *parser) {
    return *static_cast<Impl *>(parser->data);
  }

  int fail(HttpFault fault) {
    Fault = fault;
    return 1;
  }

  int countHead(std::size_t n) {
    HeadBytes += n;
    return HeadBytes > Limits.MaxHeadBytes ? fail(HttpFault::HeadTooLarge) : 0;
  }

  static int onBegin(http_parser *parser) {
    Impl &self = of(parser);
    self.InMessage = true;
    self.HeadDone = false;
    self.Target.clear();
    self.Headers.clear();
    self.LastWasValue = true;
    self.HeadBytes = 0;
    self.BodyBytes = 0;
    return 0;
  }

  static int onUrl(http_parser *parser, const char *at, std::size_t n) {
    Impl &self = of(parser);
    self.Target.append(at, n);
    return self.countHead(n);
  }

  static int onField(http_parser *parser, const char *at, std::size_t n) {
    Impl &self = of(parser);
    // A colon and the end of the line belong to each header.
    constexpr std::size_t SeparatorBytes = 3;
    if (self.LastWasValue) {
      self.Headers.emplace_back();
      self.HeadBytes += SeparatorBytes;
    }
    self.LastWasValue = false;
    self.Headers.back().Name.append(at, n);
    return self.countHead(n);
  }

  static int onValue(http_parser *parser, const char *at, std::size_t n) {
    Impl &self = of(parser);
    // Trailers aren't forwarded.
    if (self.HeadDone)
      return 0;
    self.LastWasValue = true;
    self.Headers.back().Value.append(at, n);
    return self.countHead(n);
  }

  static int onHeadersComplete(http_parser *parser) {
    Impl &self = of(parser);
    self.HeadDone = true;
    for (const HttpHeader &it : self.Headers)
      if (!isToken(it.Name) || !isSupportedCoding(it))
        return -self.fail(HttpFault::Malformed);
    // Protocol upgrades aren't supported.
    parser->upgrade = 0;
    if (parser->type == HTTP_REQUEST)
      return self.requestHead(*parser);
    return self.responseHead(*parser);
  }

  int responseHead(const http_parser &parser) {
    constexpr int NoBody = 1;
    const unsigned status = parser.status_code;
    if (!isAcceptedStatus(status))
      return -fail(HttpFault::Malformed);
    Interim = status < StatusOk;
    // http-parser would read a body, which the next response may be taken for
    // (RFC 9112, 6.3).
    if (Interim && announcesBody(parser))
      return -fail(HttpFault::Malformed);
    KeepsConnection = http_should_keep_alive(&parser) != 0;
    if (!Interim)
      SkipsBody = !Handler.onResponseHead(
          {static_cast<int>(status), std::move(Headers)});
    const bool hasNoBody = ResponseHasNoBody || Interim ||
                           status == StatusNoContent ||
                           status == StatusNotModified;
    return hasNoBody ? NoBody : 0;
  }

  int requestHead(const http_parser &parser) {
    if (parser.method == HTTP_CONNECT)
      return -fail(HttpFault::Malformed);
    KeepsConnection = http_should_keep_alive(&parser) != 0;
    constexpr std::uint64_t UnknownLength = ~std::uint64_t(0);
    if (parser.content_length != UnknownLength &&
        parser.content_length > Limits.MaxBodyBytes)
      return -fail(HttpFault::BodyTooLarge);
    SkipsBody = !Handler.onRequestHead(
        {http_method_str(static_cast<http_method>(parser.method)),
         std::move(Target), std::move(Headers)});
    return 0;
  }

  static int onBody(http_parser *parser, const char *at, std::size_t n) {
    Impl &self = of(parser);
    self.BodyBytes += n;
    if (parser->type == HTTP_REQUEST &&
        self.BodyBytes > self.Limits.MaxBodyBytes)
      return self.fail(HttpFault::BodyTooLarge);
    if (!self.SkipsBody)
      self.Handler.onBody({at, n});
    return 0;
  }

  static int onComplete(http_parser *parser) {
    Impl &self = of(parser);
    self.InMessage = false;
    // Stop after each message: the next one may belong to another request.
    http_parser_pause(parser, 1);
    if (std::exchange(self.Interim, false))
      self.Handler.onInterimEnd();
    else
      self.Handler.onMessageEnd();
    return 0;
  }

  static const http_parser_settings &settings() {
    static const http_parser_settings Result = [] {
      http_parser_settings it;
      http_parser_settings_init(&it);
      it.on_message_begin = onBegin;
      it.on_url = onUrl;
      it.on_header_field = onField;
      it.on_header_value = onValue;
      it.on_headers_complete = onHeadersComplete;
      it.on_body = onBody;
      it.on_message_complete = onComplete;
      return it;
    }();
    return Result;
  }
};

HttpParser::HttpParser(HttpMessageKind side, const HttpLimits &limits,
                       HttpMessageHandler &handler)
    : State(new Impl(side, limits, handler)) {}

HttpParser::~HttpParser() = default;

std::size_t HttpParser::feed(std::string_view bytes) {
  Impl &self = *State;
  if (self.Fault != HttpFault::None || bytes.empty())
    return 0;
  http_parser_pause(&self.Parser, 0);
  const std::size_t used = http_parser_execute(&self.Parser, &Impl::settings(),
                                               bytes.data(), bytes.size());
  const http_errno ec = HTTP_PARSER_ERRNO(&self.Parser);
  if (ec != HPE_OK && ec != HPE_PAUSED && self.Fault == HttpFault::None)
    self.Fault = ec == HPE_HEADER_OVERFLOW ? HttpFault::HeadTooLarge
                                           : HttpFault::Malformed;
  return used;
}

void HttpParser::finish() {
  Impl &self = *State;
  if (self.Fault != HttpFault::None || !self.InMessage)
    return;
  http_parser_pause(&self.Parser, 0);
  http_parser_execute(&self.Parser, &Impl::settings(), nullptr, 0);
  if (self.InMessage)
    self.Fault = HttpFault::Malformed;
}

void HttpParser::expectResponseTo(const std::string &method) {
  State->ResponseHasNoBody = method == "HEAD";
}

void HttpParser::setLimits(const HttpLimits &limits) { State->Limits = limits; }
HttpFault HttpParser::fault() const { return State->Fault; }
bool HttpParser::inMessage() const { return State->InMessage; }
bool HttpParser::headDone() const { return State->HeadDone; }
std::size_t HttpParser::headMemory() const {
  return State->HeadBytes + State->Headers.capacity() * sizeof(HttpHeader);
}
bool HttpParser::keepsConnection() const { return State->KeepsConnection; }
bool HttpParser::isHttp11() const {
  const http_parser &it = State->Parser;
  return it.http_major > 1 || (it.http_major == 1 && it.http_minor >= 1);
}

} // namespace pimentofront
