#ifndef PIMENTOFRONT_HTTP_HTTP_WRITER_H
#define PIMENTOFRONT_HTTP_HTTP_WRITER_H

#include "HttpParser.h"

namespace pimentofront {

/// How the body of a message is delimited.
enum class HttpFraming : std::uint8_t {
  Length,
  Chunked,
  /// By closing the connection, for HTTP/1.0 callers.
  Close,
};

/// \ingroup Http
/// \returns the head of a request, including the empty line at its end. A body
/// is sent with Content-Length.
std::string writeRequestHead(const RequestHead &head, std::size_t bodyBytes);

/// \ingroup Http
/// \returns the head of a response, including the empty line at its end.
/// \param bodyBytes is used with HttpFraming::Length only.
std::string writeResponseHead(const ResponseHead &head, HttpFraming framing,
                              std::size_t bodyBytes, bool keepsConnection);

/// \ingroup Http
/// \returns the size line that precedes a chunk of \p n bytes.
std::string writeChunkHead(std::size_t n);

} // namespace pimentofront

#endif
