#include "detail/CallerChannel.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace pimentofront::detail {
namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusRequestTimeout = 408;
constexpr int StatusUnavailable = 503;
constexpr int StatusBodyTooLarge = 413;
constexpr int StatusHeadTooLarge = 431;

/// Bytes that are read ahead while a request waits for its response, and unread
/// bytes of responses above which no further request is read.
constexpr std::size_t MaxPipelinedBytes = std::size_t(16) << 10;

int statusOf(HttpFault fault) {
  switch (fault) {
  case HttpFault::HeadTooLarge:
    return StatusHeadTooLarge;
  case HttpFault::BodyTooLarge:
    return StatusBodyTooLarge;
  default:
    return StatusBadRequest;
  }
}

HttpLimits limitsOf(const CallerLimits &limits) {
  return {.MaxHeadBytes = limits.MaxHeadBytes,
          .MaxBodyBytes = limits.MaxBodyBytes};
}

} // namespace

CallerChannel::CallerChannel(CallerListener &owner, std::uint64_t id,
                             bufferevent *bev)
    : Owner(owner), Id(id), Bev(bev),
      Parser(HttpMessageKind::Requests, limitsOf(owner.Options.Limits), *this),
      StateSince(owner.Loop.now()), ReadAt(StateSince) {
  bufferevent_setcb(Bev, onReadable, onWritten, onEvent, this);
  bufferevent_setwatermark(Bev, EV_READ, 0, MaxPipelinedBytes);
  evbuffer_add_cb(bufferevent_get_output(Bev), onOutput, this);
  bufferevent_enable(Bev, EV_READ | EV_WRITE);
  recordUse();
}

CallerChannel::~CallerChannel() {
  evbuffer_remove_cb(bufferevent_get_output(Bev), onOutput, this);
  bufferevent_free(Bev);
}

void CallerChannel::setLimits() {
  Parser.setLimits(limitsOf(Owner.Options.Limits));
}

//===----------------------------------------------------------------------===//
// Reading
//===----------------------------------------------------------------------===//

void CallerChannel::onReadable(bufferevent *, void *arg) {
  auto *self = static_cast<CallerChannel *>(arg);
  self->parse();
  self->limitReadAhead();
}

void CallerChannel::limitReadAhead() {
  if (Ended || Closing || Stopped)
    return;
  const bool full =
      evbuffer_get_length(bufferevent_get_input(Bev)) >= MaxPipelinedBytes;
  if (full == ReadAheadFull)
    return;
  ReadAheadFull = full;
  if (full)
    bufferevent_disable(Bev, EV_READ);
  else
    bufferevent_enable(Bev, EV_READ);
}

void CallerChannel::parse() {
  if (Stopped)
    return;
  evbuffer *input = bufferevent_get_input(Bev);
  // A pipelined request isn't read until the one before it is answered.
  while (Key == 0 && !Closing && !Ended && evbuffer_get_length(input) > 0 &&
         (Receiving || mayBegin())) {
    if (!Receiving) {
      Receiving = true;
      StateSince = Owner.Loop.now();
    }
    // A parsed head may take many times the memory of its bytes.
    if (!Parser.headDone() && !recordReceiving())
      return;
    const std::size_t n = evbuffer_get_contiguous_space(input);
    const auto *bytes = reinterpret_cast<const char *>(
        evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
    const std::size_t used = Parser.feed({bytes, n});
    evbuffer_drain(input, used);
    if (Parser.fault() != HttpFault::None)
      return refuse(statusOf(Parser.fault()));
    if (used == 0)
      break;
  }
  if (Receiving && !Ended)
    recordReceiving();
}

bool CallerChannel::mayBegin() const { return Unsent <= MaxPipelinedBytes; }

void CallerChannel::parseLater() {
  bufferevent_trigger(Bev, EV_READ,
                      static_cast<int>(BEV_OPT_DEFER_CALLBACKS) |
                          static_cast<int>(BEV_TRIG_IGNORE_WATERMARKS));
}

void CallerChannel::recordUse() {
  if (Ended || Key != 0)
    return;
  if (Unsent > 0 || Closing)
    return Owner.recordUse(Id, ConnectionUse::Unread);
  if (Receiving)
    return Owner.recordUse(Id, ConnectionUse::Receiving);
  Owner.recordUse(Id, Answered ? ConnectionUse::Idle : ConnectionUse::Unused);
}

bool CallerChannel::recordReceiving() {
  recordUse();
  const std::size_t head =
      Parser.headDone() ? memoryOf(Head) : Parser.headMemory();
  const std::size_t held =
      Body.size() + head + evbuffer_get_length(bufferevent_get_input(Bev));
  if (Owner.recordReceiving(Id, held))
    return true;
  Stopped = true;
  bufferevent_disable(Bev, EV_READ);
  return false;
}

void CallerChannel::resumeReading() {
  Stopped = false;
  if (Ended || Closing)
    return;
  bufferevent_enable(Bev, EV_READ);
  if (evbuffer_get_length(bufferevent_get_input(Bev)) > 0)
    parseLater();
}

bool CallerChannel::onRequestHead(RequestHead head) {
  const std::string *expect = findHeader(head.Headers, "expect");
  if (expect && sameHeaderName(*expect, "100-continue")) {
    constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(Bev, Continue.data(), Continue.size());
    removeHeader(head.Headers, "expect");
  }
  Head = std::move(head);
  Body.clear();
  return true;
}

void CallerChannel::onBody(std::string_view bytes) {
  Body += bytes;
  Hasher.add(bytes);
}

void CallerChannel::onMessageEnd() {
  Receiving = false;
  Owner.endReceiving(Id);
  HeadOnly = Head.Method == "HEAD";
  LastRequest = !Parser.keepsConnection();
  Framing = Parser.isHttp11() ? HttpFraming::Chunked : HttpFraming::Close;
  Key = Owner.addKey(Id);
  Owner.recordUse(Id, ConnectionUse::Busy);
  Owner.Handler.onRequest(Key, std::move(Head),
                          std::exchange(Body, std::string()), Hasher.finish());
}

void CallerChannel::refuse(int status) {
  ResponseHead head{.Status = status};
  // The request waited for its turn in vain; nothing of it was passed on.
  if (status == StatusUnavailable)
    head.Headers.push_back({"Retry-After", "1"});
  const std::string text =
      writeResponseHead(head, HttpFraming::Length, 0, false);
  bufferevent_write(Bev, text.data(), text.size());
  dropRequest();
  closeWhenWritten();
}

void CallerChannel::refuseUnfinished() {
  refuse(Stopped ? StatusUnavailable : StatusRequestTimeout);
}

void CallerChannel::dropRequest() {
  bufferevent_disable(Bev, EV_READ);
  evbuffer *input = bufferevent_get_input(Bev);
  evbuffer_drain(input, evbuffer_get_length(input));
  std::exchange(Body, std::string());
  Receiving = false;
  Owner.endReceiving(Id);
}

bool CallerChannel::isReaderGone(TimePoint now) const {
  return Unsent > 0 && now >= ReadAt + Owner.Options.Limits.IdleTimeout;
}

void CallerChannel::checkTime(TimePoint now) {
  if (isReaderGone(now))
    return end();
  if (Key != 0 || Closing)
    return;
  const CallerLimits &limits = Owner.Options.Limits;
  if (Receiving) {
    // Both limits count from the request's first byte. A body may take longer
    // than a head.
    const Duration limit =
        Parser.headDone() ? limits.IdleTimeout : limits.HeadTimeout;
    if (now >= StateSince + limit)
      refuseUnfinished();
    return;
  }
  // Callers reuse a connection until the timeout. Closing it a little later
  // avoids a race with a request that is just being sent.
  constexpr Duration Grace = std::chrono::seconds(1);
  const TimePoint idleSince = std::max(StateSince, ReadAt);
  if (now >= idleSince + limits.IdleTimeout + Grace)
    end();
}

//===----------------------------------------------------------------------===//
// Answering
//===----------------------------------------------------------------------===//

bool CallerChannel::keepsConnection() const {
  return !LastRequest && !Owner.Stopping;
}

void CallerChannel::reply(const ResponseHead &head, std::string_view body) {
  const std::string text = writeResponseHead(head, HttpFraming::Length,
                                             body.size(), keepsConnection());
  evbuffer *output = bufferevent_get_output(Bev);
  evbuffer_add(output, text.data(), text.size());
  if (!HeadOnly)
    evbuffer_add(output, body.data(), body.size());
  finishResponse();
}

void CallerChannel::resetOnClose(bool enabled) {
  const linger reset{.l_onoff = enabled ? 1 : 0, .l_linger = 0};
  setsockopt(bufferevent_getfd(Bev), SOL_SOCKET, SO_LINGER, &reset,
             sizeof(reset));
}

void CallerChannel::replyHead(const ResponseHead &head) {
  // Without chunks only a TCP reset shows that a response is incomplete. It is
  // sent wherever the connection ends before the response, also by the kernel
  // if this process is killed.
  if (Framing == HttpFraming::Close)
    resetOnClose(true);
  const std::string text =
      writeResponseHead(head, Framing, 0, keepsConnection());
  bufferevent_write(Bev, text.data(), text.size());
}

void CallerChannel::replyPiece(std::string_view bytes) {
  if (bytes.empty() || HeadOnly)
    return;
  evbuffer *output = bufferevent_get_output(Bev);
  if (evbuffer_get_length(output) > Owner.Options.MaxUnsentBytes)
    return end();
  if (Framing == HttpFraming::Close) {
    evbuffer_add(output, bytes.data(), bytes.size());
    return;
  }
  const std::string head = writeChunkHead(bytes.size());
  evbuffer_add(output, head.data(), head.size());
  evbuffer_add(output, bytes.data(), bytes.size());
  evbuffer_add(output, "\r\n", 2);
}

void CallerChannel::replyEnd() {
  if (Framing == HttpFraming::Close)
    LastRequest = true;
  else if (!HeadOnly)
    bufferevent_write(Bev, "0\r\n\r\n", 5);
  finishResponse();
}

void CallerChannel::finishResponse() {
  Owner.dropKey(Key);
  Key = 0;
  Answered = true;
  StateSince = Owner.Loop.now();
  if (!keepsConnection())
    return closeWhenWritten();
  recordUse();
  if (evbuffer_get_length(bufferevent_get_input(Bev)) > 0)
    parseLater();
}

void CallerChannel::closeWhenWritten() {
  Closing = true;
  recordUse();
  if (evbuffer_get_length(bufferevent_get_output(Bev)) == 0)
    endWritten();
}

void CallerChannel::endWritten() {
  resetOnClose(false);
  end();
}

void CallerChannel::onOutput(evbuffer *output, const evbuffer_cb_info *info,
                             void *arg) {
  auto *self = static_cast<CallerChannel *>(arg);
  const std::size_t before = self->Unsent;
  self->Unsent = evbuffer_get_length(output);
  if (before == 0 || info->n_deleted > 0)
    self->ReadAt = self->Owner.Loop.now();
  self->Owner.recordUnsent(before, self->Unsent);
  if (self->Key != 0)
    return self->Owner.Handler.onUnsent(self->Key, self->Unsent);
  self->recordUse();
  if (before > MaxPipelinedBytes && self->mayBegin())
    self->parseLater();
}

void CallerChannel::onWritten(bufferevent *, void *arg) {
  auto *self = static_cast<CallerChannel *>(arg);
  if (self->Closing)
    self->endWritten();
}

void CallerChannel::abort() {
  Owner.dropKey(Key);
  Key = 0;
  // The caller may resume after the part that it has, so that part is still
  // written, where the missing last chunk shows that the response is
  // incomplete.
  if (Framing == HttpFraming::Chunked)
    return closeWhenWritten();
  end();
}

void CallerChannel::onEvent(bufferevent *, short what, void *arg) {
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    static_cast<CallerChannel *>(arg)->end();
}

void CallerChannel::end() {
  if (Ended)
    return;
  Ended = true;
  bufferevent_disable(Bev, EV_READ | EV_WRITE);
  evbuffer_remove_cb(bufferevent_get_output(Bev), onOutput, this);
  Owner.recordUnsent(std::exchange(Unsent, 0), 0);
  // The descriptor is free at once, before this object is.
  evutil_closesocket(bufferevent_getfd(Bev));
  bufferevent_setfd(Bev, -1);
  const CallerKey key = std::exchange(Key, 0);
  if (key != 0) {
    Owner.dropKey(key);
    Owner.Handler.onCallerDisconnected(key);
  }
  Owner.removeChannel(Id);
}

} // namespace pimentofront::detail
