#ifndef PIMENTOFRONT_HTTP_UPSTREAM_POOL_H
#define PIMENTOFRONT_HTTP_UPSTREAM_POOL_H

#include "HttpWriter.h"
#include "ResponseMeter.h"

#include <map>
#include <unordered_map>

namespace pimentofront {

/// \class UpstreamHandler
/// \ingroup Http
/// \brief Receives the responses of backend servers.
class UpstreamHandler {
public:
  virtual ~UpstreamHandler() = default;
  virtual HeadDecision onHead(const AttemptId &attempt, ResponseHead head) = 0;
  virtual void onBody(const AttemptId &attempt, std::string_view bytes) = 0;
  virtual void onEnd(const AttemptId &attempt, UpstreamEnding ending) = 0;
  /// The connection to \p server is closed after \p bytes of a response that
  /// exceeds a limit. Unless the attempt is ignored, onEnd() follows with
  /// UpstreamEnding::Excessive.
  virtual void onExcess(const ServerProcess &, ResponseExcess,
                        std::size_t /*bytes*/) {}
};

/// \class UpstreamPoolOptions
/// \ingroup Http
struct UpstreamPoolOptions {
  /// Limit on connecting: some round trips between zones and the server's own
  /// time to accept the connection.
  Duration ConnectTimeout = std::chrono::milliseconds(500);
  /// Idle connections are reused for this share of the keep-alive timeout that
  /// the server announces, so that no request is sent on a connection that the
  /// server is just closing.
  double KeepAliveShare = 0.5;
  /// Keep-alive time of connections whose server announces none.
  Duration DefaultKeepAlive = std::chrono::milliseconds(300);
  /// Maximum idle time of a connection that is reused for a request that may
  /// run only once: after a longer time it may have closed unnoticed.
  Duration MaxIdleForOnce = std::chrono::milliseconds(500);
  /// A new connection that closes within this time without a response was
  /// rejected: some round trips between zones, less than a server takes to
  /// process a request.
  Duration RejectedWithin = std::chrono::milliseconds(20);
  ResponseLimits Response;
};

namespace detail {
class UpstreamChannel;
} // namespace detail

/// \class UpstreamPool
/// \ingroup Http
/// \brief Pool of keep-alive connections to backend servers. Never retries a
/// request by itself.
///
/// Each request carries the limits on the connections to its server. Idle
/// connections are closed, the least recently used first, before a new one
/// would exceed the limits.
class UpstreamPool {
public:
  UpstreamPool(EventLoop &loop, const UpstreamPoolOptions &options,
               UpstreamHandler &handler);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool &) = delete;
  UpstreamPool &operator=(const UpstreamPool &) = delete;

  /// Sends a request. UpstreamHandler::onEnd() is called once, unless the
  /// attempt is cancelled or ignored.
  void send(const SendUpstream &request);
  /// Closes the connection, which makes the server stop.
  void cancel(const AttemptId &attempt);
  /// Reads the response to its end without reporting it, so that the connection
  /// can be reused, or closes the connection if that exceeds a limit.
  void ignore(const AttemptId &attempt);
  /// Stops reading the response, or goes on reading it. A connection that isn't
  /// read doesn't show that its server has closed it.
  void pause(const AttemptId &attempt, bool paused);
  std::uint64_t connectionsOpened() const { return Opened; }

private:
  friend class detail::UpstreamChannel;
  using ChannelId = std::uint64_t;
  /// Connections to one address.
  struct Peer {
    std::uint32_t Open = 0;
    ConnectionLimits Limits;
    /// The process at the address, as the last request named it.
    ServerProcess Server;
    /// Idle connections, the most recently used one last.
    std::vector<ChannelId> Idle;
  };
  /// \returns a connection that has been idle for at most \p idle, or null.
  detail::UpstreamChannel *takeIdle(Peer &peer, Duration idle);
  detail::UpstreamChannel &open(Peer &peer, const std::string &address);
  /// Closes idle connections of \p peer until \p more fit within its limits.
  void closeSurplusIdle(Peer &peer, std::uint32_t more);
  /// Sets the process at the address of \p peer. If it differs from the
  /// previous one, closes the idle connections, which may be dead without
  /// notice.
  void setProcess(Peer &peer, const ServerProcess &process);
  void returnToPool(detail::UpstreamChannel &channel);
  void removeChannel(ChannelId id);
  void freeClosed();
  void sweep();

  EventLoop &Loop;
  UpstreamPoolOptions Options;
  UpstreamHandler &Handler;
  ChannelId LastChannel = 0;
  std::uint64_t Opened = 0;
  std::unordered_map<ChannelId, std::unique_ptr<detail::UpstreamChannel>>
      Channels;
  std::unordered_map<AttemptId, ChannelId> Busy;
  std::map<std::string, Peer> Peers;
  std::vector<std::unique_ptr<detail::UpstreamChannel>> ClosedChannels;
  std::unique_ptr<Timer> FreeTimer;
  std::unique_ptr<Timer> SweepTimer;
};

} // namespace pimentofront

#endif
