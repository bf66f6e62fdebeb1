#ifndef PIMENTOFRONT_BASE_CONTENT_HASH_H
#define PIMENTOFRONT_BASE_CONTENT_HASH_H

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pimentofront {

/// \class ContentHash
/// \ingroup Base
/// \brief 128 bits that stand for some content: the first half of its SHA-256
/// (FIPS 180-4). Nobody can make other content that has the same.
struct ContentHash {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  bool empty() const { return High == 0 && Low == 0; }
  /// \returns 32 hexadecimal digits, for logs and operators.
  std::string str() const;
  /// \returns the hash that \p text stands for; an empty one if it is none.
  static ContentHash parse(std::string_view text);
  friend auto operator<=>(const ContentHash &, const ContentHash &) = default;
};

/// \class ContentHasher
/// \ingroup Base
/// \brief Hashes content as it arrives (libcrypto). Costs a microsecond and
/// some nanoseconds a byte; use stableHash() where nobody has a reason to look
/// for a collision.
class ContentHasher {
public:
  ContentHasher();
  ~ContentHasher();
  ContentHasher(const ContentHasher &) = delete;
  ContentHasher &operator=(const ContentHasher &) = delete;

  ContentHasher &add(std::string_view bytes);
  /// Adds \p bytes with their length, so that neighbours can't run together.
  ContentHasher &addField(std::string_view bytes);
  /// \returns the hash of all that was added, and begins anew.
  ContentHash finish();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace pimentofront

template <> struct std::hash<pimentofront::ContentHash> {
  std::size_t operator()(const pimentofront::ContentHash &it) const {
    return it.Low;
  }
};

#endif
