#include "pimentofront/Account.h"

#include <openssl/crypto.h>

namespace pimentofront {

KeyDigest KeyDigest::of(std::string_view key) {
  KeyDigest result;
  result.Digest = ContentHasher().add(key).finish();
  return result;
}

std::string KeyDigest::shortText() const {
  constexpr std::size_t Digits = 8;
  return Digest.str().substr(0, Digits);
}

bool operator==(const KeyDigest &a, const KeyDigest &b) {
  return CRYPTO_memcmp(&a.Digest, &b.Digest, sizeof(a.Digest)) == 0;
}

} // namespace pimentofront
