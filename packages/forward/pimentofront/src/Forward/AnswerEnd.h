#ifndef PIMENTOFRONT_FORWARD_ANSWER_END_H
#define PIMENTOFRONT_FORWARD_ANSWER_END_H

#include <cstdint>

namespace pimentofront {

/// How the answer of a backend server ended.
enum class UpstreamEnding : std::uint8_t {
  /// Its length was reached, or its last chunk arrived.
  Complete,
  /// The connection couldn't be established: the server never received the
  /// request.
  NotSent,
  /// The request may have reached the server; the answer is incomplete.
  BrokeOff,
  /// Like BrokeOff, on a new connection that the server closed before it
  /// answered anything: most likely it has as many connections as it accepts.
  Rejected,
  /// The answer had neither a length nor chunks and ended with an orderly
  /// close, which also ends the answers of a process that exits.
  Closed,
};

/// \returns the name of \p ending in logs.
const char *upstreamEndingName(UpstreamEnding ending);

} // namespace pimentofront

#endif
