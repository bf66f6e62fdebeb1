#ifndef PIMENTOFRONT_HTTP_DETAIL_CALLER_CHANNEL_H
#define PIMENTOFRONT_HTTP_DETAIL_CALLER_CHANNEL_H

#include "pimentofront/Http.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace pimentofront::detail {

/// \class CallerChannel
/// \ingroup Http
/// \brief One connection of a caller.
class CallerChannel : public HttpMessageHandler {
public:
  CallerChannel(CallerListener &owner, std::uint64_t id, bufferevent *bev);
  ~CallerChannel() override;

  bool onRequestHead(RequestHead head) override;
  void onBody(std::string_view bytes) override;
  void onMessageEnd() override;

  void reply(const ResponseHead &head, std::string_view body);
  void replyHead(const ResponseHead &head);
  void replyPiece(std::string_view bytes);
  void replyEnd();
  void abort();
  /// Enforces the time limits on a caller that sends slowly or not at all.
  void checkTime(TimePoint now);
  void setLimits();
  /// Goes on reading a request that was stopped by the listener's bound.
  void resumeReading();
  /// \returns whether no request is in progress. The last response may still be
  /// unwritten.
  bool isIdle() const { return Key == 0 && !Parser.inMessage(); }
  /// Closes the connection once the pending output is written. Nothing more is
  /// read from it.
  void closeWhenWritten();
  /// Refuses the request that is being received, which hasn't run.
  void refuseUnfinished();
  /// Closes the connection. Nothing more is read from it.
  void end();
  /// \returns the bytes of responses that the caller hasn't read.
  std::size_t unsent() const { return Unsent; }
  /// \returns when the caller last read some of them.
  TimePoint readAt() const { return ReadAt; }

private:
  static void onReadable(bufferevent *, void *arg);
  static void onWritten(bufferevent *, void *arg);
  static void onEvent(bufferevent *, short what, void *arg);
  static void onOutput(evbuffer *output, const evbuffer_cb_info *info,
                       void *arg);
  void parse();
  /// Stops reading while as much is read ahead as may be. Without that,
  /// libevent calls onReadable() again and again while the input is at its
  /// watermark.
  void limitReadAhead();
  void refuse(int status);
  /// Frees what has arrived of a request that was refused, and reads no more.
  void dropRequest();
  void finishResponse();
  /// Tells the listener what the connection does, as long as no request waits
  /// for its response.
  void recordUse();
  /// \returns whether a further request may be read: the caller has read
  /// enough of the responses before.
  bool mayBegin() const;
  /// Parses in the next iteration of the event loop what has been read ahead.
  void parseLater();
  /// Closes the connection in an orderly way, since all output is written.
  void endWritten();
  /// Stops reading if the listener's bound on unfinished requests says so.
  /// \returns whether the request may be read further.
  bool recordReceiving();
  /// \returns whether the caller has read nothing of a response for the idle
  /// timeout.
  bool isReaderGone(TimePoint now) const;
  bool keepsConnection() const;
  /// Sets whether the connection is reset when it is closed.
  void resetOnClose(bool enabled);

  CallerListener &Owner;
  std::uint64_t Id;
  bufferevent *Bev;
  HttpParser Parser;
  RequestHead Head;
  std::string Body;
  ContentHasher Hasher;
  /// The request that waits for its response; 0 is none.
  CallerKey Key = 0;
  HttpFraming Framing = HttpFraming::Length;
  bool HeadOnly = false;
  /// The connection is closed after the current request.
  bool LastRequest = false;
  bool Closing = false;
  bool Ended = false;
  /// A request has been answered on this connection.
  bool Answered = false;
  /// When the caller became idle, or began to send the request that is being
  /// received.
  TimePoint StateSince;
  bool Receiving = false;
  /// Reading is stopped by the listener's bound on unfinished requests.
  bool Stopped = false;
  bool ReadAheadFull = false;
  /// Unread bytes of responses, and when there were fewer of them last or none.
  std::size_t Unsent = 0;
  TimePoint ReadAt;
};

} // namespace pimentofront::detail

#endif
