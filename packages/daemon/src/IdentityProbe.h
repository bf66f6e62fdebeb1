#ifndef PIMENTOFRONT_DAEMON_IDENTITY_PROBE_H
#define PIMENTOFRONT_DAEMON_IDENTITY_PROBE_H

#include "pimentofront/Http.h"

namespace pimentofront {

/// \class IdentityProbe
/// \brief Asks the process at a server's address which one it is. Use it where
/// an accepted connection (ConnectProbe) may be another process's.
class IdentityProbe {
public:
  using Callback = std::function<void(ServerCheckResult)>;

  /// All parameters must outlive the probe.
  IdentityProbe(HttpClient &client, const HeaderCodec &codec)
      : Client(client), Codec(codec) {}

  /// Sends the query of \p check. \p done is called once, from the event loop.
  /// \pre \p check has a query.
  void start(const CheckServer &check, Callback done);

private:
  HttpClient &Client;
  const HeaderCodec &Codec;
};

} // namespace pimentofront

#endif
