#ifndef PIMENTOFRONT_NET_SOCKET_H
#define PIMENTOFRONT_NET_SOCKET_H

#include "EventLoop.h"

#include <netinet/in.h>

namespace pimentofront {

/// \ingroup Net
/// \returns \p address in the form that system calls take.
sockaddr_in toSocketAddress(const HostPort &address);

/// \ingroup Net
/// Makes a TCP socket send without delay, and fail soon if its peer
/// acknowledges nothing: by default TCP detects that only after a quarter of an
/// hour.
void setSocketOptions(int fd);

} // namespace pimentofront

#endif
