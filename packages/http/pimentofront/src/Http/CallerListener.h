#ifndef PIMENTOFRONT_HTTP_CALLER_LISTENER_H
#define PIMENTOFRONT_HTTP_CALLER_LISTENER_H

#include "HttpWriter.h"

#include <map>
#include <unordered_map>

struct evconnlistener;

namespace pimentofront {

/// Identifies a caller's request within one process; never reused.
using CallerKey = std::uint64_t;

/// \class CallerHandler
/// \ingroup Http
/// \brief Receives the requests of a CallerListener.
class CallerHandler {
public:
  virtual ~CallerHandler() = default;
  /// Called with a complete request. \p bodyHash was computed while the body
  /// arrived.
  virtual void onRequest(CallerKey key, RequestHead head, std::string body,
                         const ContentHash &bodyHash) = 0;
  /// The caller disconnected before its response was complete.
  virtual void onCallerDisconnected(CallerKey key) = 0;
};

/// \class CallerListenerOptions
/// \ingroup Http
struct CallerListenerOptions {
  HostPort Address;
  CallerLimits Limits;
  /// A connection with more unsent response bytes than this is closed, since
  /// its caller doesn't read.
  std::size_t MaxUnsentBytes = std::size_t(4) << 20;
};

namespace detail {
class CallerChannel;
} // namespace detail

/// \class CallerListener
/// \ingroup Http
/// \brief Accepts callers' connections. Each connection handles one request at
/// a time; pipelined requests wait unread.
class CallerListener {
public:
  /// \throws std::runtime_error when the address can't be bound.
  CallerListener(EventLoop &loop, const CallerListenerOptions &options,
                 CallerHandler &handler);
  ~CallerListener();
  CallerListener(const CallerListener &) = delete;
  CallerListener &operator=(const CallerListener &) = delete;

  void setLimits(const CallerLimits &limits);
  /// Sends a complete response. This and the following functions ignore a key
  /// whose caller has disconnected.
  void reply(CallerKey key, const ResponseHead &head, std::string_view body);
  void replyHead(CallerKey key, const ResponseHead &head);
  void replyPiece(CallerKey key, std::string_view bytes);
  void replyEnd(CallerKey key);
  /// Closes the connection in a way that shows the response to be incomplete.
  void replyAbort(CallerKey key);

  /// From now on each connection is closed after its next response.
  void beginStop();
  /// Accepts no new connections, and closes those without a request in
  /// progress.
  void stopListening();
  std::size_t channels() const { return Channels.size(); }

private:
  friend class detail::CallerChannel;
  using ChannelId = std::uint64_t;
  static void onAccept(evconnlistener *, int fd, struct sockaddr *, int,
                       void *arg);
  detail::CallerChannel *find(CallerKey key);
  CallerKey addKey(ChannelId id);
  void dropKey(CallerKey key) { Keys.erase(key); }
  /// Removes a channel and frees it in the next iteration of the event loop,
  /// since it may be inside one of its own callbacks.
  void removeChannel(ChannelId id);
  void freeClosed();
  void sweep();

  EventLoop &Loop;
  CallerListenerOptions Options;
  CallerHandler &Handler;
  evconnlistener *Listener = nullptr;
  bool Stopping = false;
  ChannelId LastChannel = 0;
  CallerKey LastKey = 0;
  std::unordered_map<ChannelId, std::unique_ptr<detail::CallerChannel>>
      Channels;
  std::unordered_map<CallerKey, ChannelId> Keys;
  std::vector<std::unique_ptr<detail::CallerChannel>> ClosedChannels;
  std::unique_ptr<Timer> FreeTimer;
  std::unique_ptr<Timer> SweepTimer;
};

} // namespace pimentofront

#endif
