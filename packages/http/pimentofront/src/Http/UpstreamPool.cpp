#include "detail/UpstreamChannel.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Interval between checks for connect timeouts and expired idle connections.
constexpr Duration SweepPeriod = std::chrono::milliseconds(100);

} // namespace

UpstreamPool::UpstreamPool(EventLoop &loop, const UpstreamPoolOptions &options,
                           UpstreamHandler &handler)
    : Loop(loop), Options(options), Handler(handler),
      SweepTimer(loop.every(SweepPeriod, [this] { sweep(); })) {}

UpstreamPool::~UpstreamPool() = default;

detail::UpstreamChannel *UpstreamPool::takeIdle(Peer &peer, Duration idle) {
  const TimePoint now = Loop.now();
  if (peer.Idle.empty())
    return nullptr;
  detail::UpstreamChannel *channel = Channels.at(peer.Idle.back()).get();
  if (!channel->isReusable(now, idle))
    return nullptr;
  peer.Idle.pop_back();
  return channel;
}

void UpstreamPool::closeSurplusIdle(Peer &peer, std::uint32_t more) {
  const auto tooMany = [&] {
    return peer.Idle.size() > peer.Limits.MaxIdle ||
           std::uint64_t(peer.Open) + more > peer.Limits.MaxOpen;
  };
  // end() removes the channel from the list.
  while (!peer.Idle.empty() && tooMany())
    Channels.at(peer.Idle.front())->end();
}

detail::UpstreamChannel &UpstreamPool::open(Peer &peer,
                                            const std::string &address) {
  const ChannelId id = ++LastChannel;
  ++Opened;
  ++peer.Open;
  return *Channels
              .emplace(id, std::make_unique<detail::UpstreamChannel>(*this, id,
                                                                     address))
              .first->second;
}

void UpstreamPool::setProcess(Peer &peer, const ServerProcess &process) {
  const bool same = mayBeSameProcess(peer.Server, process);
  peer.Server = process;
  // end() removes the channel from the list.
  while (!same && !peer.Idle.empty())
    Channels.at(peer.Idle.front())->end();
}

void UpstreamPool::send(const SendUpstream &request) {
  Peer &peer = Peers[request.Address];
  setProcess(peer, request.Server);
  peer.Limits = request.Connections;
  detail::UpstreamChannel *channel =
      takeIdle(peer, request.Once ? Options.MaxIdleForOnce : Duration::max());
  if (!channel) {
    closeSurplusIdle(peer, /*more=*/1);
    channel = &open(peer, request.Address);
  }
  Busy[request.Attempt] = channel->id();
  channel->send(request);
}

void UpstreamPool::cancel(const AttemptId &attempt) {
  const auto it = Busy.find(attempt);
  if (it == Busy.end())
    return;
  const ChannelId id = it->second;
  Busy.erase(it);
  if (const auto channel = Channels.find(id); channel != Channels.end()) {
    channel->second->ignore();
    channel->second->end();
  }
}

void UpstreamPool::ignore(const AttemptId &attempt) {
  const auto it = Busy.find(attempt);
  if (it == Busy.end())
    return;
  if (const auto channel = Channels.find(it->second); channel != Channels.end())
    channel->second->ignore();
}

void UpstreamPool::pause(const AttemptId &attempt, bool paused) {
  const auto it = Busy.find(attempt);
  if (it == Busy.end())
    return;
  if (const auto channel = Channels.find(it->second); channel != Channels.end())
    channel->second->pause(paused);
}

void UpstreamPool::returnToPool(detail::UpstreamChannel &channel) {
  Peer &peer = Peers.at(channel.address());
  if (!mayBeSameProcess(channel.server(), peer.Server))
    return channel.end();
  peer.Idle.push_back(channel.id());
  // The limits may have been lowered meanwhile.
  closeSurplusIdle(peer, /*more=*/0);
}

void UpstreamPool::removeChannel(ChannelId id) {
  const auto it = Channels.find(id);
  if (it == Channels.end())
    return;
  const auto peer = Peers.find(it->second->address());
  std::erase(peer->second.Idle, id);
  --peer->second.Open;
  ClosedChannels.push_back(std::move(it->second));
  Channels.erase(it);
  if (!FreeTimer)
    FreeTimer = Loop.after(Duration::zero(), [this] { freeClosed(); });
}

void UpstreamPool::freeClosed() {
  const auto closed = std::exchange(ClosedChannels, {});
  FreeTimer.reset();
}

void UpstreamPool::sweep() {
  const TimePoint now = Loop.now();
  std::vector<detail::UpstreamChannel *> all;
  all.reserve(Channels.size());
  for (const auto &[id, it] : Channels)
    all.push_back(it.get());
  for (detail::UpstreamChannel *it : all)
    it->checkTime(now);
  // Peers are removed only here, since functions that close connections hold a
  // reference to their peer.
  std::erase_if(Peers, [](const auto &it) { return it.second.Open == 0; });
}

} // namespace pimentofront
