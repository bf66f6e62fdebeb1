#ifndef PIMENTOFRONT_HTTP_HTTP_WRITER_H
#define PIMENTOFRONT_HTTP_HTTP_WRITER_H

#include "HttpParser.h"

namespace pimentofront {

/// How the body of a message is delimited.
enum class HttpFraming : std::uint8_t {
  Length,
  Chunked,
  /// By the end of the connection, for callers of HTTP/1.0.
  Close,
};

/// \ingroup Http
/// \returns the head of a request, up to and with its empty line. A body goes
/// with its length.
std::string writeRequestHead(const RequestHead &head, std::size_t bodyBytes);

/// \ingroup Http
/// \returns the head of an answer, up to and with its empty line.
/// \param bodyBytes counts for HttpFraming::Length only.
std::string writeResponseHead(const ResponseHead &head, HttpFraming framing,
                              std::size_t bodyBytes, bool keepsConnection);

/// \ingroup Http
/// \returns the line that goes before a chunk of \p n bytes.
std::string writeChunkHead(std::size_t n);

} // namespace pimentofront

#endif
