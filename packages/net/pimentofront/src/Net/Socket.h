#ifndef PIMENTOFRONT_NET_SOCKET_H
#define PIMENTOFRONT_NET_SOCKET_H

#include "EventLoop.h"

#include <netinet/in.h>

namespace pimentofront {

/// \ingroup Net
/// \returns \p address as the system calls take it.
sockaddr_in toSocketAddress(const HostPort &address);

/// \ingroup Net
/// Has a TCP socket send at once, and end when its other side acknowledges
/// nothing: by itself TCP notices that only after a quarter of an hour.
void prepareSocket(int fd);

} // namespace pimentofront

#endif
