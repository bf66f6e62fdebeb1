#include "pimentofront/Api.h"

namespace pimentofront {
namespace {

constexpr std::size_t HeaderBytes = 5;
constexpr unsigned ByteBits = 8;

} // namespace

std::string encodeEnvelope(std::uint8_t flags, std::string_view message) {
  std::string bytes(1, static_cast<char>(flags));
  for (int shift = 3 * ByteBits; shift >= 0; shift -= ByteBits)
    bytes += static_cast<char>(message.size() >> shift);
  bytes += message;
  return bytes;
}

std::optional<Envelope> EnvelopeReader::next() {
  if (Malformed || Buffer.size() < HeaderBytes)
    return std::nullopt;
  std::size_t n = 0;
  for (std::size_t i = 1; i < HeaderBytes; ++i)
    n = n << ByteBits | static_cast<unsigned char>(Buffer[i]);
  if (n > MaxMessageBytes) {
    Malformed = true;
    return std::nullopt;
  }
  if (Buffer.size() < HeaderBytes + n)
    return std::nullopt;
  Envelope result{static_cast<std::uint8_t>(Buffer[0]),
                  Buffer.substr(HeaderBytes, n)};
  Buffer.erase(0, HeaderBytes + n);
  return result;
}

} // namespace pimentofront
