#include "TcpProxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>

namespace pimentofront::soak {
namespace {

/// Period in which buffered bytes are checked for delivery.
constexpr Duration TickPeriod = std::chrono::milliseconds(5);

} // namespace

const char *disturbanceName(Disturbance disturbance) {
  constexpr const char *Names[] = {"none",        "delay",   "cut",
                                   "cut one way", "silence", "reset"};
  return Names[static_cast<std::size_t>(disturbance)];
}

TcpProxy::TcpProxy(EventLoop &loop, const HostPort &listen,
                   const HostPort &target)
    : Loop(loop), ListenAddress(listen), TargetAddress(target) {
  this->listen();
  Ticker = loop.every(TickPeriod, [this] { tick(); });
}

void TcpProxy::listen() {
  const sockaddr_in address = toSocketAddress(ListenAddress);
  constexpr int Backlog = 128;
  Listener = evconnlistener_new_bind(
      Loop.base(), onAccept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
      Backlog, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
  if (!Listener)
    throw std::runtime_error("a proxy cannot listen on port " +
                             std::to_string(ListenAddress.Port));
}

void TcpProxy::setRefusing(bool refusing) {
  if (refusing && Listener)
    evconnlistener_free(std::exchange(Listener, nullptr));
  else if (!refusing && !Listener)
    listen();
}

TcpProxy::~TcpProxy() {
  if (Listener)
    evconnlistener_free(Listener);
  for (Connection &it : Connections)
    close(it, /*reset=*/false);
}

void TcpProxy::disturb(Disturbance disturbance, Duration delay) {
  Current = disturbance;
  Delay = delay;
  for (Connection &it : Connections) {
    if (disturbance == Disturbance::Silence)
      it.Silent = true;
    if (disturbance == Disturbance::Reset && !it.Closed)
      close(it, /*reset=*/true);
  }
  if (disturbance == Disturbance::Silence || disturbance == Disturbance::Reset)
    Current = Disturbance::None;
}

void TcpProxy::setUp(bufferevent *bev, Connection &connection) {
  bufferevent_setcb(bev, onReadable, nullptr, onEvent, &connection);
  bufferevent_enable(bev, EV_READ | EV_WRITE);
}

void TcpProxy::onAccept(evconnlistener *, int fd, sockaddr *, int, void *arg) {
  auto *self = static_cast<TcpProxy *>(arg);
  Connection &it = self->Connections.emplace_back();
  it.Owner = self;
  it.Caller.Bev =
      bufferevent_socket_new(self->Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
  it.Target.Bev =
      bufferevent_socket_new(self->Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  setUp(it.Caller.Bev, it);
  setUp(it.Target.Bev, it);
  const sockaddr_in address = toSocketAddress(self->TargetAddress);
  if (bufferevent_socket_connect(it.Target.Bev,
                                 reinterpret_cast<const sockaddr *>(&address),
                                 sizeof(address)) != 0)
    it.Target.HasClosed = true;
}

void TcpProxy::onReadable(bufferevent *bev, void *arg) {
  auto &it = *static_cast<Connection *>(arg);
  evbuffer *input = bufferevent_get_input(bev);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  Side &to = bev == it.Caller.Bev ? it.Target : it.Caller;
  TcpProxy &self = *it.Owner;
  const bool isDelayed = self.Current == Disturbance::Delay;
  const TimePoint at =
      self.Loop.now() + (isDelayed ? self.Delay : Duration::zero());
  to.Buffered.emplace_back(at, std::move(bytes));
  self.deliver(it);
}

void TcpProxy::onEvent(bufferevent *bev, short what, void *arg) {
  auto &it = *static_cast<Connection *>(arg);
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    (bev == it.Caller.Bev ? it.Caller : it.Target).HasClosed = true;
}

bool TcpProxy::canDeliver(const Connection &connection, const Side &to) const {
  if (connection.Silent || Current == Disturbance::Cut)
    return false;
  return Current != Disturbance::CutOneWay || &to != &connection.Target;
}

void TcpProxy::deliver(Connection &connection) {
  for (Side *to : {&connection.Caller, &connection.Target}) {
    if (!canDeliver(connection, *to))
      continue;
    while (!to->Buffered.empty() && to->Buffered.front().first <= Loop.now()) {
      const std::string &bytes = to->Buffered.front().second;
      bufferevent_write(to->Bev, bytes.data(), bytes.size());
      to->Buffered.pop_front();
    }
  }
}

void TcpProxy::close(Connection &connection, bool reset) {
  if (connection.Closed)
    return;
  connection.Closed = true;
  for (Side *it : {&connection.Caller, &connection.Target}) {
    const int fd = bufferevent_getfd(it->Bev);
    const linger now{.l_onoff = 1, .l_linger = 0};
    if (reset && fd >= 0)
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    bufferevent_free(it->Bev);
    it->Bev = nullptr;
  }
}

void TcpProxy::tick() {
  for (Connection &it : Connections) {
    if (it.Closed)
      continue;
    deliver(it);
    // A close is passed on only after the bytes before it, and not during a
    // cut.
    const bool callerClosed = it.Caller.HasClosed &&
                              canDeliver(it, it.Target) &&
                              it.Target.Buffered.empty();
    const bool targetClosed = it.Target.HasClosed &&
                              canDeliver(it, it.Caller) &&
                              it.Caller.Buffered.empty();
    const bool written =
        evbuffer_get_length(bufferevent_get_output(it.Caller.Bev)) == 0 ||
        it.Caller.HasClosed;
    if (callerClosed || (targetClosed && written))
      close(it, /*reset=*/false);
  }
  Connections.remove_if([](const Connection &it) { return it.Closed; });
}

} // namespace pimentofront::soak
