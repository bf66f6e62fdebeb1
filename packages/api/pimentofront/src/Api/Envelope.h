#ifndef PIMENTOFRONT_API_ENVELOPE_H
#define PIMENTOFRONT_API_ENVELOPE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentofront {

/// \class Envelope
/// \ingroup Api
/// \brief One message of a stream: a byte of flags, four bytes of length in
/// big-endian order, and the message.
struct Envelope {
  static constexpr std::uint8_t Compressed = 1;
  static constexpr std::uint8_t EndOfStream = 2;

  std::uint8_t Flags = 0;
  std::string Message;
};

/// \ingroup Api
std::string encodeEnvelope(std::uint8_t flags, std::string_view message);

/// \class EnvelopeReader
/// \ingroup Api
/// \brief Extracts envelopes from a stream of bytes that arrives in arbitrary
/// pieces.
class EnvelopeReader {
public:
  /// \param maxMessageBytes a longer message makes the stream malformed.
  explicit EnvelopeReader(std::size_t maxMessageBytes)
      : MaxMessageBytes(maxMessageBytes) {}

  void feed(std::string_view bytes) { Buffer += bytes; }
  /// \returns the next complete envelope, if there is one.
  std::optional<Envelope> next();
  /// \returns whether the bytes can't be a stream of envelopes.
  bool malformed() const { return Malformed; }
  /// \returns whether bytes of an incomplete envelope are left.
  bool hasPartialEnvelope() const { return !Buffer.empty(); }

private:
  std::size_t MaxMessageBytes;
  std::string Buffer;
  bool Malformed = false;
};

} // namespace pimentofront

#endif
