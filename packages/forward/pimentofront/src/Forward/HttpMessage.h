#ifndef PIMENTOFRONT_FORWARD_HTTP_MESSAGE_H
#define PIMENTOFRONT_FORWARD_HTTP_MESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentofront {

/// \class HttpHeader
/// \ingroup Forward
/// \brief One header line.
struct HttpHeader {
  std::string Name;
  std::string Value;
  friend auto operator<=>(const HttpHeader &, const HttpHeader &) = default;
};
using HttpHeaders = std::vector<HttpHeader>;

/// \class RequestHead
/// \ingroup Forward
/// \brief A request without its body.
struct RequestHead {
  std::string Method;
  /// Path and query, as sent.
  std::string Target;
  HttpHeaders Headers;
  friend auto operator<=>(const RequestHead &, const RequestHead &) = default;
};
/// \ingroup Forward
/// \returns the memory that \p head takes, in bytes. Small headers take many
/// times what was sent.
std::size_t memoryOf(const RequestHead &head);

/// \class ResponseHead
/// \ingroup Forward
/// \brief An answer without its body.
struct ResponseHead {
  int Status = 0;
  HttpHeaders Headers;
  friend auto operator<=>(const ResponseHead &, const ResponseHead &) = default;
};

/// \ingroup Forward
/// \returns whether two header names are equal, regardless of case.
bool sameHeaderName(std::string_view a, std::string_view b);

/// \ingroup Forward
/// \returns the value of the first header with this name, or null.
const std::string *findHeader(const HttpHeaders &headers,
                              std::string_view name);

/// \ingroup Forward
/// \returns the value of the first header with this name, empty without one. It
/// refers to \p headers.
std::string_view headerValue(const HttpHeaders &headers, std::string_view name);

/// \class DecimalHeader
/// \ingroup Forward
/// \brief A header whose value is one number.
struct DecimalHeader {
  bool Present = false;
  /// Finite and not negative; nothing if the value can't be parsed or the
  /// header occurs more than once.
  std::optional<double> Value;
  friend auto operator<=>(const DecimalHeader &,
                          const DecimalHeader &) = default;
};

/// \ingroup Forward
/// Parses digits with an optional fraction, as in "1.5". Refuses signs,
/// exponents and dates.
DecimalHeader readDecimalHeader(const HttpHeaders &headers,
                                std::string_view name);

/// \ingroup Forward
/// Removes the headers that apply to one connection only (RFC 9110, section
/// 7.6.1), and the content length, which the sender of the message sets again.
void removeConnectionHeaders(HttpHeaders &headers);

/// \ingroup Forward
/// Removes all headers with this name.
void removeHeader(HttpHeaders &headers, std::string_view name);

} // namespace pimentofront

#endif
