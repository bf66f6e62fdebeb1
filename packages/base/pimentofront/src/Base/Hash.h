#ifndef PIMENTOFRONT_BASE_HASH_H
#define PIMENTOFRONT_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace pimentofront {

/// \ingroup Base
/// \returns the XXH3 64-bit hash of \p bytes; the same on every machine, so it
/// may be stored and compared between processes.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace pimentofront

#endif
