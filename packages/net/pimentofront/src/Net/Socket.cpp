#include "pimentofront/Net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>

namespace pimentofront {

sockaddr_in toSocketAddress(const HostPort &address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.Port);
  inet_pton(AF_INET, address.Ip.c_str(), &result.sin_addr);
  return result;
}

void setSocketOptions(int fd) {
  const int on = 1;
  // A silent network failure is detected within three seconds: callers wait
  // some seconds for a response, and TCP retransmits a lost packet several
  // times within that time.
  const unsigned unacknowledgedMilliseconds = 3'000;
  const int idleSeconds = 1;
  const int probes = 2;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMilliseconds,
             sizeof(unacknowledgedMilliseconds));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(idleSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &idleSeconds, sizeof(idleSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

} // namespace pimentofront
