#ifndef PIMENTOFRONT_FORWARD_HEADROOM_H
#define PIMENTOFRONT_FORWARD_HEADROOM_H

#include <algorithm>
#include <cstddef>

namespace pimentofront {

/// \ingroup Forward
/// \returns the part of a limit on bytes that a holder of \p bytes has to leave
/// free: room for sixteen of its size, at most a quarter of \p limit. So
/// holders of any number can't keep out those that are much smaller.
inline std::size_t headroomBeside(std::size_t bytes, std::size_t limit) {
  constexpr std::size_t Others = 16;
  constexpr std::size_t MaxPart = 4;
  return std::min(limit / MaxPart, Others * std::min(bytes, limit));
}

} // namespace pimentofront

#endif
