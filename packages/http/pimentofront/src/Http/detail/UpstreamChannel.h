#ifndef PIMENTOFRONT_HTTP_DETAIL_UPSTREAM_CHANNEL_H
#define PIMENTOFRONT_HTTP_DETAIL_UPSTREAM_CHANNEL_H

#include "pimentofront/Http.h"

struct bufferevent;

namespace pimentofront::detail {

/// \class UpstreamChannel
/// \ingroup Http
/// \brief One connection to a backend server.
class UpstreamChannel : public HttpMessageHandler {
public:
  UpstreamChannel(UpstreamPool &owner, std::uint64_t id, std::string address);
  ~UpstreamChannel() override;

  /// \pre no request is in progress.
  void send(const SendUpstream &request);
  void ignore();
  void pause(bool paused);
  void checkTime(TimePoint now);
  /// \returns whether the connection can be reused and has been idle for at
  /// most \p idle.
  bool isReusable(TimePoint now, Duration idle) const {
    return !Ended && !Attempt && now < ReusableUntil && now - IdleSince <= idle;
  }

  bool onResponseHead(ResponseHead head) override;
  void onBody(std::string_view bytes) override;
  void onInterimEnd() override { Meter.recordInterimEnd(); }
  void onMessageEnd() override;

  const std::string &address() const { return Address; }
  /// \returns the server process that the last request was sent to.
  const ServerProcess &server() const { return Server; }
  std::uint64_t id() const { return Id; }
  void end();

private:
  static void onReadable(bufferevent *, void *arg);
  static void onEvent(bufferevent *, short what, void *arg);
  void parse();
  void finishResponse(UpstreamEnding ending);
  void failAttempt(UpstreamEnding ending);
  /// Parses \p bytes. \returns the number of bytes consumed.
  std::size_t feed(std::string_view bytes);
  /// Closes the connection if the response exceeds a limit.
  void enforceLimits(TimePoint now);
  /// \returns whether a close by the server may complete its response: it has
  /// received the whole request, and hasn't reset the connection.
  bool isOrderlyClose() const;
  /// \returns how an attempt ended whose connection closed before the complete
  /// response.
  UpstreamEnding endingOnClose() const;
  void readKeepAlive(const HttpHeaders &headers);

  UpstreamPool &Owner;
  std::uint64_t Id;
  std::string Address;
  ServerProcess Server;
  bufferevent *Bev;
  HttpParser Parser;
  ResponseMeter Meter;
  std::optional<AttemptId> Attempt;
  bool Connected = false;
  TimePoint OpenedAt;
  TimePoint ConnectedAt;
  /// The server has sent bytes on this connection, for any request.
  bool ReceivedAny = false;
  /// The response that is being read belongs to the request in progress. Any
  /// other response is skipped.
  bool BelongsToAttempt = false;
  /// The head of a final response is complete, and the response hasn't ended.
  bool InBody = false;
  bool Ignored = false;
  /// The complete response has been read.
  bool ResponseComplete = false;
  bool Ended = false;
  Duration KeepAlive;
  TimePoint IdleSince;
  TimePoint ReusableUntil;
};

} // namespace pimentofront::detail

#endif
