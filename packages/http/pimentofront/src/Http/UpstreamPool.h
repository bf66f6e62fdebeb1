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
  virtual HeadVerdict onHead(const AttemptId &attempt, ResponseHead head) = 0;
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
  std::size_t MaxAnswerHeadBytes = std::size_t(64) << 10;
};

namespace detail {
class UpstreamChannel;
} // namespace detail

/// \class UpstreamPool
/// \ingroup Http
/// \brief Connections to backend servers, kept between requests. Never sends a
/// request twice by itself.
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
  detail::UpstreamChannel *takeKept(const std::string &address);
  detail::UpstreamChannel &open(const std::string &address);
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
  /// Kept connections by address, the last used one at the end.
  std::map<std::string, std::vector<ChannelId>> Kept;
  std::vector<std::unique_ptr<detail::UpstreamChannel>> Dead;
  std::unique_ptr<Timer> Reaper;
  std::unique_ptr<Timer> Sweeper;
};

} // namespace pimentofront

#endif
