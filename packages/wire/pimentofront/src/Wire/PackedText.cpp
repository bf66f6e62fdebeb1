#include "pimentofront/Wire.h"

#include <cstring>
#include <zlib.h>

namespace pimentofront {
namespace {

/// Rejects a damaged length; no document comes near this size.
constexpr std::uint64_t MaxTextBytes = std::uint64_t(64) << 20;
constexpr std::size_t LengthBytes = sizeof(std::uint64_t);

} // namespace

std::string packText(std::string_view text) {
  const std::uint64_t length = text.size();
  uLongf n = compressBound(text.size());
  std::string packed(LengthBytes + n, '\0');
  std::memcpy(packed.data(), &length, LengthBytes);
  compress2(reinterpret_cast<Bytef *>(packed.data() + LengthBytes), &n,
            reinterpret_cast<const Bytef *>(text.data()), text.size(),
            Z_DEFAULT_COMPRESSION);
  packed.resize(LengthBytes + n);
  return packed;
}

std::string unpackText(std::string_view packed) {
  std::uint64_t length = 0;
  if (packed.size() < LengthBytes)
    return {};
  std::memcpy(&length, packed.data(), LengthBytes);
  if (length > MaxTextBytes)
    return {};
  std::string text(length, '\0');
  uLongf n = length;
  const int done =
      uncompress(reinterpret_cast<Bytef *>(text.data()), &n,
                 reinterpret_cast<const Bytef *>(packed.data() + LengthBytes),
                 packed.size() - LengthBytes);
  return done == Z_OK && n == length ? text : std::string();
}

} // namespace pimentofront
