#include "pimentofront/Http.h"

#include <charconv>
#include <http_parser.h>

namespace pimentofront {
namespace {

void appendHeaders(std::string &out, const HttpHeaders &headers) {
  for (const HttpHeader &it : headers) {
    out += it.Name;
    out += ": ";
    out += it.Value;
    out += "\r\n";
  }
}

bool hasNoBody(int status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return status == NoContent || status == NotModified;
}

} // namespace

std::string writeRequestHead(const RequestHead &head, std::size_t bodyBytes) {
  std::string out;
  out += head.Method;
  out += ' ';
  out += head.Target;
  out += " HTTP/1.1\r\n";
  appendHeaders(out, head.Headers);
  const bool mayLackBody = head.Method == "GET" || head.Method == "HEAD" ||
                           head.Method == "DELETE" || head.Method == "OPTIONS";
  if (bodyBytes > 0 || !mayLackBody)
    out += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
  return out + "\r\n";
}

std::string writeResponseHead(const ResponseHead &head, HttpFraming framing,
                              std::size_t bodyBytes, bool keepsConnection) {
  std::string out = "HTTP/1.1 " + std::to_string(head.Status) + ' ' +
                    http_status_str(static_cast<http_status>(head.Status)) +
                    "\r\n";
  appendHeaders(out, head.Headers);
  if (framing == HttpFraming::Chunked)
    out += "Transfer-Encoding: chunked\r\n";
  else if (framing == HttpFraming::Length && !hasNoBody(head.Status))
    out += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
  if (!keepsConnection || framing == HttpFraming::Close)
    out += "Connection: close\r\n";
  return out + "\r\n";
}

std::string writeChunkHead(std::size_t n) {
  constexpr int Hexadecimal = 16;
  char digits[2 * sizeof(n)];
  const auto end =
      std::to_chars(digits, digits + sizeof(digits), n, Hexadecimal);
  return std::string(digits, end.ptr) + "\r\n";
}

} // namespace pimentofront
