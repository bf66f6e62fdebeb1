#include "detail/CallerChannel.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdexcept>

namespace pimentofront {
namespace {

/// Interval between checks of the time limits, which are seconds long.
constexpr Duration SweepPeriod = std::chrono::milliseconds(250);
/// Pause before connections are accepted again after a failure, which is mostly
/// a lack of descriptors.
constexpr Duration AcceptPause = std::chrono::milliseconds(100);
/// A caller that has read nothing for this time may be disconnected for want of
/// room. Shorter pauses occur on busy hosts.
constexpr Duration UnreadTime = std::chrono::seconds(2);

} // namespace

CallerListener::CallerListener(EventLoop &loop,
                               const CallerListenerOptions &options,
                               CallerHandler &handler)
    : Loop(loop), Options(options), Handler(handler),
      Receiving({.Limit = options.MaxReceivingBytes}) {
  constexpr int Backlog = 1024;
  const sockaddr_in address = toSocketAddress(options.Address);
  Listener = evconnlistener_new_bind(
      loop.base(), onAccept, this,
      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      Backlog, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
  if (!Listener)
    throw std::runtime_error("can't listen for callers on " +
                             options.Address.Ip + ":" +
                             std::to_string(options.Address.Port));
  evconnlistener_set_error_cb(Listener, onAcceptError);
  SweepTimer = loop.every(SweepPeriod, [this] { sweep(); });
}

CallerListener::~CallerListener() {
  if (Listener)
    evconnlistener_free(Listener);
}

void CallerListener::onAccept(evconnlistener *, int fd, sockaddr *, int,
                              void *arg) {
  auto *self = static_cast<CallerListener *>(arg);
  if (!self->makeRoom()) {
    evutil_closesocket(fd);
    return self->Handler.onShed(ShedReason::NoConnection);
  }
  setSocketOptions(fd);
  bufferevent *bev =
      bufferevent_socket_new(self->Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
  const ChannelId id = ++self->LastChannel;
  self->Channels.emplace(
      id, std::make_unique<detail::CallerChannel>(*self, id, bev));
}

/// Without a pause, the event loop would call this again at once for as long as
/// there is no descriptor.
void CallerListener::onAcceptError(evconnlistener *listener, void *arg) {
  auto *self = static_cast<CallerListener *>(arg);
  evconnlistener_disable(listener);
  self->Handler.onShed(ShedReason::NoDescriptor);
  if (const auto id = self->Uses.first(self->Loop.now()))
    self->shed(*id, ShedReason::Displaced);
  self->AcceptTimer = self->Loop.after(AcceptPause, [self] {
    if (self->Listener)
      evconnlistener_enable(self->Listener);
  });
}

bool CallerListener::makeRoom() {
  if (Options.MaxConnections == 0 || Channels.size() < Options.MaxConnections)
    return true;
  const auto id = Uses.first(Loop.now());
  if (!id)
    return false;
  shed(*id, ShedReason::Displaced);
  return true;
}

void CallerListener::shed(ChannelId id, ShedReason reason) {
  const auto it = Channels.find(id);
  // The end of another connection may have ended it.
  if (it == Channels.end())
    return;
  it->second->end();
  Handler.onShed(reason);
}

void CallerListener::recordUse(ChannelId id, ConnectionUse use) {
  Uses.record(Loop.now(), id, use);
}

void CallerListener::setLimits(const CallerLimits &limits) {
  if (limits == Options.Limits)
    return;
  Options.Limits = limits;
  for (const auto &[id, it] : Channels)
    it->setLimits();
}

CallerKey CallerListener::addKey(ChannelId id) {
  Keys.emplace(++LastKey, id);
  return LastKey;
}

detail::CallerChannel *CallerListener::find(CallerKey key) {
  const auto it = Keys.find(key);
  return it == Keys.end() ? nullptr : Channels.at(it->second).get();
}

void CallerListener::reply(CallerKey key, const ResponseHead &head,
                           std::string_view body) {
  if (detail::CallerChannel *it = find(key))
    it->reply(head, body);
}

void CallerListener::replyHead(CallerKey key, const ResponseHead &head) {
  if (detail::CallerChannel *it = find(key))
    it->replyHead(head);
}

void CallerListener::replyPiece(CallerKey key, std::string_view bytes) {
  if (detail::CallerChannel *it = find(key))
    it->replyPiece(bytes);
}

void CallerListener::replyEnd(CallerKey key) {
  if (detail::CallerChannel *it = find(key))
    it->replyEnd();
}

void CallerListener::replyAbort(CallerKey key) {
  if (detail::CallerChannel *it = find(key))
    it->abort();
}

void CallerListener::beginStop() { Stopping = true; }

void CallerListener::stopListening() {
  if (Listener)
    evconnlistener_free(std::exchange(Listener, nullptr));
  std::vector<detail::CallerChannel *> idle;
  for (const auto &[id, it] : Channels)
    if (it->isIdle())
      idle.push_back(it.get());
  // Closed channels are freed in the next iteration of the event loop, so the
  // pointers stay valid. A request that arrives until then isn't read: its
  // caller sees the connection close without a response, and the request has
  // not run.
  for (detail::CallerChannel *it : idle)
    it->closeWhenWritten();
}

void CallerListener::removeChannel(ChannelId id) {
  const auto it = Channels.find(id);
  if (it == Channels.end())
    return;
  ClosedChannels.push_back(std::move(it->second));
  Channels.erase(it);
  Uses.remove(id);
  endReceiving(id);
  if (!FreeTimer)
    FreeTimer = Loop.after(Duration::zero(), [this] { freeClosed(); });
}

bool CallerListener::recordReceiving(ChannelId id, std::size_t bytes) {
  const bool mayRead = Receiving.record(Loop.now(), id, bytes);
  reportBytes();
  return mayRead;
}

void CallerListener::endReceiving(ChannelId id) {
  Receiving.remove(id);
  for (const ChannelId it : Receiving.takeResumed(Loop.now()))
    if (const auto channel = Channels.find(it); channel != Channels.end())
      channel->second->resumeReading();
  reportBytes();
}

void CallerListener::recordUnsent(std::size_t before, std::size_t after) {
  Unsent = Unsent - before + after;
  reportBytes();
}

void CallerListener::reportBytes() {
  Handler.onConnectionBytes(Unsent + Receiving.total());
}

void CallerListener::freeClosed() {
  const auto closed = std::exchange(ClosedChannels, {});
  FreeTimer.reset();
}

void CallerListener::sweep() {
  const TimePoint now = Loop.now();
  std::vector<detail::CallerChannel *> all;
  all.reserve(Channels.size());
  for (const auto &[id, it] : Channels)
    all.push_back(it.get());
  // A channel that checkTime() closes is freed in the next iteration of the
  // event loop, so the pointers stay valid.
  for (detail::CallerChannel *it : all)
    it->checkTime(now);
  refuseSurplus(now);
  disconnectReaders(now);
}

void CallerListener::refuseSurplus(TimePoint now) {
  for (const ChannelId id : Receiving.findSurplus(now)) {
    const auto it = Channels.find(id);
    if (it == Channels.end())
      continue;
    it->second->refuseUnfinished();
    Handler.onShed(ShedReason::Unfinished);
  }
}

void CallerListener::disconnectReaders(TimePoint now) {
  if (Options.MaxUnreadBytes == 0 || Unsent <= Options.MaxUnreadBytes)
    return;
  std::vector<std::pair<TimePoint, ChannelId>> idle;
  for (const auto &[id, it] : Channels)
    if (it->unsent() > 0 && now >= it->readAt() + UnreadTime)
      idle.emplace_back(it->readAt(), id);
  std::ranges::sort(idle);
  for (const auto &[readAt, id] : idle) {
    if (Unsent <= Options.MaxUnreadBytes)
      return;
    shed(id, ShedReason::Unread);
  }
}

} // namespace pimentofront
