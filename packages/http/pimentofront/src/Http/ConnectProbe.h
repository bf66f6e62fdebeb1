#ifndef PIMENTOFRONT_HTTP_CONNECT_PROBE_H
#define PIMENTOFRONT_HTTP_CONNECT_PROBE_H

#include "pimentofront/Forward.h"
#include "pimentofront/Net.h"

#include <functional>
#include <map>
#include <memory>

namespace pimentofront {

/// \class ConnectProbe
/// \ingroup Http
/// \brief Checks whether a server's process still runs by opening a connection
/// without sending data: a host refuses connections to a process that has
/// exited. If there is no reply, it opens further connections, since a packet
/// may have been lost.
class ConnectProbe {
public:
  using Callback = std::function<void(ServerCheckResult)>;

  explicit ConnectProbe(EventLoop &loop);
  ~ConnectProbe();
  ConnectProbe(const ConnectProbe &) = delete;
  ConnectProbe &operator=(const ConnectProbe &) = delete;

  /// Connects to \p address. \p done is called once, from the event loop and
  /// never from inside this function.
  void start(const std::string &address, Callback done);

private:
  struct Attempt;
  void end(std::uint64_t id, ServerCheckResult outcome);

  EventLoop &Loop;
  std::uint64_t LastId = 0;
  std::map<std::uint64_t, std::unique_ptr<Attempt>> Attempts;
};

} // namespace pimentofront

#endif
