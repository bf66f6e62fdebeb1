#ifndef PIMENTOFRONT_HTTP_DETAIL_CONNECTION_STATE_H
#define PIMENTOFRONT_HTTP_DETAIL_CONNECTION_STATE_H

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace pimentofront::detail {

/// \returns whether the peer has acknowledged all bytes that were written to
/// the socket; true if the system doesn't tell.
inline bool isAllAcknowledged(int fd) {
  int unacknowledged = 0;
  return ::ioctl(fd, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

/// \returns whether the connection has failed. A reset that follows the peer's
/// orderly close doesn't show when the socket is read: that still yields the
/// end of the stream. Clears the socket's error.
inline bool hasFailed(int fd) {
  int error = 0;
  socklen_t n = sizeof(error);
  return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) == 0 && error != 0;
}

} // namespace pimentofront::detail

#endif
