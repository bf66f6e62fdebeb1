#ifndef PIMENTOFRONT_HTTP_UPSTREAM_POOL_H
#define PIMENTOFRONT_HTTP_UPSTREAM_POOL_H

#include "HttpWriter.h"

#include <map>
#include <unordered_map>

namespace pimentofront {

/// \class UpstreamHandler
/// \ingroup Http
/// \brief What a process does with the answers of backend servers.
class UpstreamHandler {
public:
  virtual ~UpstreamHandler() = default;
  virtual HeadDecision onHead(const AttemptId &attempt, ResponseHead head) = 0;
  virtual void onBody(const AttemptId &attempt, std::string_view bytes) = 0;
  virtual void onEnd(const AttemptId &attempt, UpstreamEnding ending) = 0;
};

/// \class UpstreamPoolOptions
/// \ingroup Http
struct UpstreamPoolOptions {
  /// How long a connection may take to come about: some round trips between
  /// zones and a server's own time for it.
  Duration ConnectTimeout = std::chrono::milliseconds(500);
  /// Kept connections are used for this part of the time that the server says
  /// it keeps them, so that a request doesn't meet one that is just closing.
  double KeepShare = 0.5;
  /// How long one is kept whose server doesn't say.
  Duration DefaultKeep = std::chrono::milliseconds(300);
  /// A request that may run once takes a kept connection that answered so
  /// lately; after that, one may have ended unseen.
  Duration OnceIdle = std::chrono::milliseconds(500);
  /// A new connection that ends within this time without an answer was turned
  /// away: some round trips between zones, less than a server works.
  Duration TurnedAwayWithin = std::chrono::milliseconds(20);
  std::size_t MaxAnswerHeadBytes = std::size_t(64) << 10;
};

namespace detail {
class UpstreamChannel;
} // namespace detail

/// \class UpstreamPool
/// \ingroup Http
/// \brief Connections to backend servers, kept between requests. Never sends a
/// request twice by itself.
///
/// Each request says how many connections may be open to its server. Those
/// without a request are given up first, the one that was used longest ago
/// before the others, rather than open one too many.
class UpstreamPool {
public:
  UpstreamPool(EventLoop &loop, const UpstreamPoolOptions &options,
               UpstreamHandler &handler);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool &) = delete;
  UpstreamPool &operator=(const UpstreamPool &) = delete;

  /// Sends; the handler's onEnd() is called once, unless it is cancelled.
  void send(const SendUpstream &request);
  /// Closes the connection, which has the server stop.
  void cancel(const AttemptId &attempt);
  /// Reads the answer to its end and tells nobody.
  void ignore(const AttemptId &attempt);
  std::uint64_t connectionsOpened() const { return Opened; }

private:
  friend class detail::UpstreamChannel;
  using ChannelId = std::uint64_t;
  /// Connections to one address.
  struct Peer {
    std::uint32_t Open = 0;
    ConnectionLimits Part;
    /// The process that is there now.
    ServerProcess Server;
    /// Those without a request, the last used one at the end.
    std::vector<ChannelId> Kept;
  };
  /// \returns a kept connection that answered within \p idle, or null.
  detail::UpstreamChannel *takeKept(Peer &peer, Duration idle);
  detail::UpstreamChannel &open(Peer &peer, const std::string &address);
  /// Ends kept connections until \p more fit beside those of \p peer.
  void makeRoom(Peer &peer, std::uint32_t more);
  /// Another process is at the address of \p peer: kept connections to the
  /// former one may be dead without a sign of it.
  void useProcess(Peer &peer, const ServerProcess &process);
  void keep(detail::UpstreamChannel &channel);
  void bury(ChannelId id);
  void reap();
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
  std::vector<std::unique_ptr<detail::UpstreamChannel>> Dead;
  std::unique_ptr<Timer> Reaper;
  std::unique_ptr<Timer> Sweeper;
};

} // namespace pimentofront

#endif
