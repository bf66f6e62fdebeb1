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
/// \brief All of a request but its body.
struct RequestHead {
  std::string Method;
  /// Path and query, as sent.
  std::string Target;
  HttpHeaders Headers;
  friend auto operator<=>(const RequestHead &, const RequestHead &) = default;
};

/// \class ResponseHead
/// \ingroup Forward
/// \brief All of an answer but its body.
struct ResponseHead {
  int Status = 0;
  HttpHeaders Headers;
  friend auto operator<=>(const ResponseHead &, const ResponseHead &) = default;
};

/// \ingroup Forward
/// \returns whether two header names are the same; their case doesn't count.
bool sameHeaderName(std::string_view a, std::string_view b);

/// \ingroup Forward
/// \returns the value of the first header of that name, or null.
const std::string *findHeader(const HttpHeaders &headers,
                              std::string_view name);

/// \class DecimalHeader
/// \ingroup Forward
/// \brief A header that holds one number.
struct DecimalHeader {
  bool Present = false;
  /// Not negative and finite; nothing if it can't be read or comes twice.
  std::optional<double> Value;
  friend auto operator<=>(const DecimalHeader &,
                          const DecimalHeader &) = default;
};

/// \ingroup Forward
/// Reads digits with an optional fraction, as in "1.5": no sign, no exponent,
/// no date.
DecimalHeader readDecimalHeader(const HttpHeaders &headers,
                                std::string_view name);

/// \ingroup Forward
/// Takes out what concerns one connection only (RFC 9110, section 7.6.1), and
/// the length, which whoever sends the message sets anew.
void removeConnectionHeaders(HttpHeaders &headers);

/// \ingroup Forward
/// Takes out all headers of one name.
void removeHeader(HttpHeaders &headers, std::string_view name);

} // namespace pimentofront

#endif
