#ifndef PIMENTOFRONT_TEST_OWN_ADDRESS_H
#define PIMENTOFRONT_TEST_OWN_ADDRESS_H

#include "pimentofront/Net.h"

#include <unistd.h>

namespace pimentofront::test {

/// \param net second octet of the address, one for each test file.
/// \returns a loopback address that only this process uses, so that tests that
/// run concurrently don't collide.
inline HostPort ownAddress(int net) {
  constexpr int Octet = 256;
  constexpr std::uint16_t Port = 9000;
  const int id = ::getpid();
  return {"127." + std::to_string(net) + "." +
              std::to_string(id / Octet % Octet) + "." +
              std::to_string(id % Octet),
          Port};
}

} // namespace pimentofront::test

#endif
