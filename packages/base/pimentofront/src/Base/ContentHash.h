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
/// \brief 128 bits that identify some content: the first half of its SHA-256
/// (FIPS 180-4). Finding other content with the same hash is infeasible.
struct ContentHash {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  bool empty() const { return High == 0 && Low == 0; }
  /// \returns 32 hexadecimal digits, for logs and operators.
  std::string str() const;
  /// \returns the hash written as \p text; an empty one if \p text is not a
  /// hash.
  static ContentHash parse(std::string_view text);
  friend auto operator<=>(const ContentHash &, const ContentHash &) = default;
};

/// \class ContentHasher
/// \ingroup Base
/// \brief Hashes content incrementally (libcrypto). Costs a microsecond plus
/// some nanoseconds per byte; use stableHash() where nobody has an incentive to
/// find a collision.
class ContentHasher {
public:
  ContentHasher();
  ~ContentHasher();
  ContentHasher(const ContentHasher &) = delete;
  ContentHasher &operator=(const ContentHasher &) = delete;

  ContentHasher &add(std::string_view bytes);
  /// Adds \p bytes preceded by their length, so that different sequences of
  /// fields have different hashes.
  ContentHasher &addField(std::string_view bytes);
  /// \returns the hash of all bytes added, and resets the hasher.
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
