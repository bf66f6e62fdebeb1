#ifndef PIMENTOFRONT_ACCOUNT_KEY_DIGEST_H
#define PIMENTOFRONT_ACCOUNT_KEY_DIGEST_H

#include "pimentofront/Base.h"

namespace pimentofront {

/// \class KeyDigest
/// \ingroup Account
/// \brief Digest that represents a client account's key, which is a secret: the
/// key itself never appears in a table, log line, metric or error. Compares in
/// constant time.
class KeyDigest {
public:
  KeyDigest() = default;
  /// \returns the digest of \p key.
  static KeyDigest of(std::string_view key);

  /// \returns the first 8 digits, which let operators tell keys apart.
  std::string shortText() const;
  std::size_t bucket() const { return Digest.Low; }
  friend bool operator==(const KeyDigest &a, const KeyDigest &b);
  friend auto operator<=>(const KeyDigest &a, const KeyDigest &b) {
    return a.Digest <=> b.Digest;
  }

private:
  ContentHash Digest;
};

} // namespace pimentofront

template <> struct std::hash<pimentofront::KeyDigest> {
  std::size_t operator()(const pimentofront::KeyDigest &it) const {
    return it.bucket();
  }
};

#endif
