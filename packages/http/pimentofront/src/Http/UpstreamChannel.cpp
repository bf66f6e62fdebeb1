#include "detail/UpstreamChannel.h"

#include "detail/ConnectionState.h"

#include <arpa/inet.h>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace pimentofront::detail {
namespace {

/// \returns the seconds in a `Keep-Alive: timeout=N` value.
std::optional<std::uint32_t> keepAliveSeconds(const std::string &value) {
  constexpr std::string_view Name = "timeout=";
  const std::size_t at = value.find(Name);
  if (at == std::string::npos)
    return std::nullopt;
  std::uint32_t seconds = 0;
  const char *begin = value.data() + at + Name.size();
  const auto read =
      std::from_chars(begin, value.data() + value.size(), seconds);
  return read.ec == std::errc() ? std::optional(seconds) : std::nullopt;
}

/// Adds a body without copying it.
void addBody(evbuffer *output, const std::shared_ptr<const std::string> &body) {
  if (body->empty())
    return;
  using Holder = std::shared_ptr<const std::string>;
  auto holder = std::make_unique<Holder>(body);
  const auto release = [](const void *, std::size_t, void *arg) {
    const std::unique_ptr<Holder> owner(static_cast<Holder *>(arg));
  };
  if (evbuffer_add_reference(output, body->data(), body->size(), release,
                             holder.get()) == 0)
    static_cast<void>(holder.release());
}

} // namespace

UpstreamChannel::UpstreamChannel(UpstreamPool &owner, std::uint64_t id,
                                 std::string address)
    : Owner(owner), Id(id), Address(std::move(address)),
      Parser(HttpMessageKind::Responses,
             {.MaxHeadBytes = owner.Options.Response.MaxHeadBytes}, *this),
      Meter(owner.Options.Response), OpenedAt(owner.Loop.now()),
      KeepAlive(owner.Options.DefaultKeepAlive) {
  const std::optional<HostPort> parsed = HostPort::parse(Address);
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setSocketOptions(fd);
  Bev = bufferevent_socket_new(Owner.Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(Bev, onReadable, nullptr, onEvent, this);
  const sockaddr_in to = toSocketAddress(parsed.value_or(HostPort{}));
  bufferevent_enable(Bev, EV_READ | EV_WRITE);
  bufferevent_socket_connect(Bev, reinterpret_cast<const sockaddr *>(&to),
                             sizeof(to));
}

UpstreamChannel::~UpstreamChannel() { bufferevent_free(Bev); }

void UpstreamChannel::send(const SendUpstream &request) {
  Attempt = request.Attempt;
  Server = request.Server;
  BelongsToAttempt = false;
  Ignored = false;
  ResponseComplete = false;
  InBody = false;
  Meter.begin();
  Parser.expectResponseTo(request.Head.Method);
  const std::string head = writeRequestHead(request.Head, request.Body->size());
  evbuffer *output = bufferevent_get_output(Bev);
  evbuffer_add(output, head.data(), head.size());
  addBody(output, request.Body);
}

void UpstreamChannel::ignore() {
  Ignored = true;
  Meter.ignore(Owner.Loop.now());
  pause(false);
}

void UpstreamChannel::pause(bool paused) {
  if (Ended)
    return;
  if (paused)
    bufferevent_disable(Bev, EV_READ);
  else
    bufferevent_enable(Bev, EV_READ);
}

void UpstreamChannel::onReadable(bufferevent *, void *arg) {
  static_cast<UpstreamChannel *>(arg)->parse();
}

void UpstreamChannel::parse() {
  evbuffer *input = bufferevent_get_input(Bev);
  ReceivedAny = true;
  // Bytes that arrive without a request in progress belong to no response.
  if (!Attempt)
    return end();
  while (!Ended && !ResponseComplete && evbuffer_get_length(input) > 0) {
    const std::size_t n = evbuffer_get_contiguous_space(input);
    const auto *bytes = reinterpret_cast<const char *>(
        evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
    const std::size_t used = feed({bytes, n});
    evbuffer_drain(input, used);
    if (Parser.fault() != HttpFault::None)
      return failAttempt(UpstreamEnding::BrokeOff);
    if (!Ended && !ResponseComplete)
      enforceLimits(Owner.Loop.now());
    if (used == 0)
      break;
  }
  if (ResponseComplete && !Ended)
    finishResponse(UpstreamEnding::Complete);
}

std::size_t UpstreamChannel::feed(std::string_view bytes) {
  const bool body = InBody;
  if (!body)
    Meter.recordHeadBegin(Owner.Loop.now());
  const std::size_t used = Parser.feed(bytes);
  if (body)
    Meter.recordBodyBytes(used);
  else if (!InBody)
    Meter.recordHeadBytes(used);
  return used;
}

void UpstreamChannel::enforceLimits(TimePoint now) {
  const std::optional<ResponseExcess> excess = Meter.excess(now);
  if (!excess)
    return;
  Owner.Handler.onExcess(Server, *excess, Meter.totalBytes());
  failAttempt(UpstreamEnding::Excessive);
}

bool UpstreamChannel::onResponseHead(ResponseHead head) {
  InBody = true;
  readKeepAlive(head.Headers);
  BelongsToAttempt = true;
  if (Ignored)
    return false;
  BelongsToAttempt =
      Owner.Handler.onHead(*Attempt, std::move(head)) == HeadDecision::Take;
  Meter.recordHead(Owner.Loop.now(), BelongsToAttempt);
  return BelongsToAttempt;
}

void UpstreamChannel::onBody(std::string_view bytes) {
  if (!Ignored && !Ended)
    Owner.Handler.onBody(*Attempt, bytes);
}

void UpstreamChannel::onMessageEnd() {
  InBody = false;
  ResponseComplete = BelongsToAttempt;
  if (!BelongsToAttempt)
    Meter.recordUnusedEnd();
}

void UpstreamChannel::readKeepAlive(const HttpHeaders &headers) {
  const std::string *value = findHeader(headers, "keep-alive");
  const auto seconds = value ? keepAliveSeconds(*value) : std::nullopt;
  KeepAlive = seconds ? fromSeconds(*seconds * Owner.Options.KeepAliveShare)
                      : Owner.Options.DefaultKeepAlive;
}

void UpstreamChannel::finishResponse(UpstreamEnding ending) {
  const AttemptId attempt = *Attempt;
  Attempt.reset();
  Owner.Busy.erase(attempt);
  // Surplus response bytes or unsent request bytes would be mixed up with a
  // further request on this connection.
  const bool clean = Parser.keepsConnection() &&
                     evbuffer_get_length(bufferevent_get_input(Bev)) == 0 &&
                     evbuffer_get_length(bufferevent_get_output(Bev)) == 0;
  if (clean) {
    pause(false);
    IdleSince = Owner.Loop.now();
    ReusableUntil = IdleSince + KeepAlive;
    Owner.returnToPool(*this);
  } else {
    end();
  }
  if (!Ignored)
    Owner.Handler.onEnd(attempt, ending);
}

void UpstreamChannel::failAttempt(UpstreamEnding ending) {
  const std::optional<AttemptId> attempt = std::exchange(Attempt, std::nullopt);
  end();
  if (!attempt)
    return;
  Owner.Busy.erase(*attempt);
  if (!Ignored)
    Owner.Handler.onEnd(*attempt, ending);
}

void UpstreamChannel::onEvent(bufferevent *, short what, void *arg) {
  auto *self = static_cast<UpstreamChannel *>(arg);
  if (what & BEV_EVENT_CONNECTED) {
    self->Connected = true;
    self->ConnectedAt = self->Owner.Loop.now();
    return;
  }
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  if (!self->Connected)
    return self->failAttempt(UpstreamEnding::NotSent);
  // An orderly close completes a response without a length.
  if ((what & BEV_EVENT_EOF) && self->Attempt && self->isOrderlyClose()) {
    self->Parser.finish();
    if (self->ResponseComplete && !self->Ended)
      return self->finishResponse(UpstreamEnding::Closed);
  }
  self->failAttempt(self->endingOnClose());
}

/// A server that closes before it has received the request has given up on it,
/// and its answer may be cut (RFC 9112, 9.6). The same holds for one that
/// resets the connection after it has shut down its sending side.
bool UpstreamChannel::isOrderlyClose() const {
  const int fd = bufferevent_getfd(Bev);
  return evbuffer_get_length(bufferevent_get_output(Bev)) == 0 &&
         isAllAcknowledged(fd) && !hasFailed(fd);
}

UpstreamEnding UpstreamChannel::endingOnClose() const {
  const TimePoint now = Owner.Loop.now();
  const bool soon = now < ConnectedAt + Owner.Options.RejectedWithin;
  return !ReceivedAny && soon ? UpstreamEnding::Rejected
                              : UpstreamEnding::BrokeOff;
}

void UpstreamChannel::checkTime(TimePoint now) {
  if (Ended)
    return;
  if (!Connected && now >= OpenedAt + Owner.Options.ConnectTimeout)
    return failAttempt(UpstreamEnding::NotSent);
  if (!Attempt && now >= ReusableUntil)
    return end();
  if (Attempt)
    enforceLimits(now);
}

void UpstreamChannel::end() {
  if (Ended)
    return;
  Ended = true;
  bufferevent_disable(Bev, EV_READ | EV_WRITE);
  Owner.removeChannel(Id);
}

} // namespace pimentofront::detail
