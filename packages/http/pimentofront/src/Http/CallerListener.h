#ifndef PIMENTOFRONT_HTTP_CALLER_LISTENER_H
#define PIMENTOFRONT_HTTP_CALLER_LISTENER_H

#include "HttpWriter.h"

#include <map>
#include <unordered_map>

struct evconnlistener;

namespace pimentofront {

/// Names a caller's request inside one process; never used again.
using CallerKey = std::uint64_t;

/// \class CallerHandler
/// \ingroup Http
/// \brief What a process does with the requests of callers.
class CallerHandler {
public:
  virtual ~CallerHandler() = default;
  /// A request has arrived whole. \p bodyHash was made as it came.
  virtual void onRequest(CallerKey key, RequestHead head, std::string body,
                         const ContentHash &bodyHash) = 0;
  /// The caller went away before it had its whole answer.
  virtual void onCallerDisconnected(CallerKey key) = 0;
};

/// \class CallerListenerOptions
/// \ingroup Http
struct CallerListenerOptions {
  HostPort Address;
  CallerLimits Limits;
  /// An answer that the caller doesn't take is given up at this many bytes.
  std::size_t MaxUnsentBytes = std::size_t(4) << 20;
};

namespace detail {
class CallerChannel;
} // namespace detail

/// \class CallerListener
/// \ingroup Http
/// \brief The connections of callers. One request at a time on each; what
/// comes behind it waits.
class CallerListener {
public:
  /// \throws std::runtime_error when the address can't be bound.
  CallerListener(EventLoop &loop, const CallerListenerOptions &options,
                 CallerHandler &handler);
  ~CallerListener();
  CallerListener(const CallerListener &) = delete;
  CallerListener &operator=(const CallerListener &) = delete;

  void setLimits(const CallerLimits &limits);
  /// Answers whole. After any of these calls, a key without a connection is
  /// ignored: the caller has gone.
  void reply(CallerKey key, const ResponseHead &head, std::string_view body);
  void replyHead(CallerKey key, const ResponseHead &head);
  void replyPiece(CallerKey key, std::string_view bytes);
  void replyEnd(CallerKey key);
  /// Ends the connection, so that the answer doesn't look complete.
  void replyAbort(CallerKey key);

  /// From now on each answer is the last one on its connection.
  void beginStop();
  /// Takes no new connections, and ends those without a request.
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
  /// Ends a channel a turn later: it may be in one of its own call-backs.
  void bury(ChannelId id);
  void reap();
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
  std::vector<std::unique_ptr<detail::CallerChannel>> Dead;
  std::unique_ptr<Timer> Reaper;
  std::unique_ptr<Timer> Sweeper;
};

} // namespace pimentofront

#endif
