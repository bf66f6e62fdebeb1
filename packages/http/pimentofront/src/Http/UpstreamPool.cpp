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
      Sweeper(loop.every(SweepPeriod, [this] { sweep(); })) {}

UpstreamPool::~UpstreamPool() = default;

detail::UpstreamChannel *UpstreamPool::takeKept(Peer &peer, Duration idle) {
  const TimePoint now = Loop.now();
  if (peer.Kept.empty())
    return nullptr;
  detail::UpstreamChannel *channel = Channels.at(peer.Kept.back()).get();
  if (!channel->isUsable(now, idle))
    return nullptr;
  peer.Kept.pop_back();
  return channel;
}

void UpstreamPool::makeRoom(Peer &peer, std::uint32_t more) {
  const auto tooMany = [&] {
    return peer.Kept.size() > peer.Part.Kept ||
           std::uint64_t(peer.Open) + more > peer.Part.Open;
  };
  // end() removes the channel from the list.
  while (!peer.Kept.empty() && tooMany())
    Channels.at(peer.Kept.front())->end();
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

void UpstreamPool::useProcess(Peer &peer, const ServerProcess &process) {
  const bool same = maybeSame(peer.Server, process);
  peer.Server = process;
  // end() removes the channel from the list.
  while (!same && !peer.Kept.empty())
    Channels.at(peer.Kept.front())->end();
}

void UpstreamPool::send(const SendUpstream &request) {
  Peer &peer = Peers[request.Address];
  useProcess(peer, request.Server);
  peer.Part = request.Connections;
  detail::UpstreamChannel *channel =
      takeKept(peer, request.Once ? Options.OnceIdle : Duration::max());
  if (!channel) {
    makeRoom(peer, /*more=*/1);
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

void UpstreamPool::keep(detail::UpstreamChannel &channel) {
  Peer &peer = Peers.at(channel.address());
  if (!maybeSame(channel.server(), peer.Server))
    return channel.end();
  peer.Kept.push_back(channel.id());
  // The limits may have been lowered meanwhile.
  makeRoom(peer, /*more=*/0);
}

void UpstreamPool::bury(ChannelId id) {
  const auto it = Channels.find(id);
  if (it == Channels.end())
    return;
  const auto peer = Peers.find(it->second->address());
  std::erase(peer->second.Kept, id);
  --peer->second.Open;
  Dead.push_back(std::move(it->second));
  Channels.erase(it);
  if (!Reaper)
    Reaper = Loop.after(Duration::zero(), [this] { reap(); });
}

void UpstreamPool::reap() {
  const auto dead = std::exchange(Dead, {});
  Reaper.reset();
}

void UpstreamPool::sweep() {
  const TimePoint now = Loop.now();
  std::vector<detail::UpstreamChannel *> all;
  all.reserve(Channels.size());
  for (const auto &[id, it] : Channels)
    all.push_back(it.get());
  for (detail::UpstreamChannel *it : all)
    it->checkTime(now);
  // Not earlier: functions that close connections hold a reference to the peer.
  std::erase_if(Peers, [](const auto &it) { return it.second.Open == 0; });
}

} // namespace pimentofront
