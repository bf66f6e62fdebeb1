#ifndef PIMENTOFRONT_SERVING_ORDER_WITHIN_URGENCY_H
#define PIMENTOFRONT_SERVING_ORDER_WITHIN_URGENCY_H

#include "RequestOrder.h"

namespace pimentofront::detail {

/// \returns the position of the next of the candidates of \p urgency. The
/// accounts with the least service relative to their share go first, so that an
/// account can't win by sending more. Of theirs, requests that can be on time
/// precede late ones, then the one that is due first, and of two due at the
/// same time the larger, whose answer is worth more to its caller.
/// \pre a candidate has that urgency.
std::size_t chooseWithinUrgency(std::span<const OrderCandidate> candidates,
                                std::uint32_t urgency,
                                const AccountShares &accounts);

} // namespace pimentofront::detail

#endif
