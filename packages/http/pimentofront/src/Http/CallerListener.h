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
  /// The caller of \p key has \p bytes of its response to read yet.
  virtual void onUnsent(CallerKey, std::size_t /*bytes*/) {}
  /// All connections together hold \p bytes: unfinished requests and unread
  /// responses.
  virtual void onConnectionBytes(std::size_t /*bytes*/) {}
  /// A connection was closed or refused for want of room.
  virtual void onShed(ShedReason /*reason*/) {}
};

/// \class CallerListenerOptions
/// \ingroup Http
struct CallerListenerOptions {
  HostPort Address;
  CallerLimits Limits;
  /// A connection with more unsent response bytes than this is closed, since
  /// its caller doesn't read.
  std::size_t MaxUnsentBytes = std::size_t(4) << 20;
  /// Bound on the bytes of unfinished requests (ReceiveGate); 0 sets none.
  std::size_t MaxReceivingBytes = 0;
  /// Unread bytes of all responses above which callers that don't read are
  /// disconnected; 0 sets no bound.
  std::size_t MaxUnreadBytes = 0;
  /// Number of connections above which a new one displaces the least used one
  /// (CloseOrder); 0 sets no bound.
  std::size_t MaxConnections = 0;
};

namespace detail {
class CallerChannel;
} // namespace detail

/// \class CallerListener
/// \ingroup Http
/// \brief Accepts callers' connections. Each connection handles one request at
/// a time; pipelined requests wait unread.
///
/// Bounds what callers can hold of the process: descriptors, bytes of requests
/// that arrive, and bytes of responses that aren't read. A caller that reads
/// nothing of its response for the idle timeout is disconnected.
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
  /// \returns how many connections aren't read because of MaxReceivingBytes.
  std::size_t stoppedChannels() const { return Receiving.stopped(); }

private:
  friend class detail::CallerChannel;
  using ChannelId = std::uint64_t;
  static void onAccept(evconnlistener *, int fd, struct sockaddr *, int,
                       void *arg);
  static void onAcceptError(evconnlistener *listener, void *arg);
  /// Makes room for one more connection if all that are allowed are open.
  /// \returns false if none can be closed.
  bool makeRoom();
  /// Closes the connection \p id, which nobody may use any further.
  void shed(ChannelId id, ShedReason reason);
  /// Refuses unfinished requests that take room for which others wait.
  void refuseSurplus(TimePoint now);
  /// Disconnects callers that don't read while responses take too much room.
  void disconnectReaders(TimePoint now);
  detail::CallerChannel *find(CallerKey key);
  CallerKey addKey(ChannelId id);
  void dropKey(CallerKey key) { Keys.erase(key); }
  /// Removes a channel and frees it in the next iteration of the event loop,
  /// since it may be inside one of its own callbacks.
  void removeChannel(ChannelId id);
  void freeClosed();
  void sweep();
  /// Records what the channel \p id does now.
  void recordUse(ChannelId id, ConnectionUse use);
  /// \returns whether the channel may be read further.
  bool recordReceiving(ChannelId id, std::size_t bytes);
  /// The channel \p id holds no unfinished request any more.
  void endReceiving(ChannelId id);
  /// The unread bytes of a channel's responses have changed.
  void recordUnsent(std::size_t before, std::size_t after);
  void reportBytes();

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
  ReceiveGate Receiving;
  CloseOrder Uses;
  /// Unread bytes of the responses of all channels.
  std::size_t Unsent = 0;
  std::vector<std::unique_ptr<detail::CallerChannel>> ClosedChannels;
  std::unique_ptr<Timer> FreeTimer;
  std::unique_ptr<Timer> SweepTimer;
  /// Begins to accept connections again after a failure.
  std::unique_ptr<Timer> AcceptTimer;
};

} // namespace pimentofront

#endif
