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
/// \brief Finds out whether a server's process still runs, by one connection
/// that carries nothing: a host refuses those to a process that has ended.
class ConnectProbe {
public:
  using Callback = std::function<void(ServerCheckResult)>;

  explicit ConnectProbe(EventLoop &loop);
  ~ConnectProbe();
  ConnectProbe(const ConnectProbe &) = delete;
  ConnectProbe &operator=(const ConnectProbe &) = delete;

  /// Connects to \p address; \p done is called once, and never from here.
  void start(const std::string &address, Callback done);

private:
  struct Try;
  void end(std::uint64_t id, ServerCheckResult life);

  EventLoop &Loop;
  std::uint64_t LastId = 0;
  std::map<std::uint64_t, std::unique_ptr<Try>> Tries;
};

} // namespace pimentofront

#endif
