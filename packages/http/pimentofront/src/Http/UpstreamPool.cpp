#include "detail/UpstreamChannel.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Connections that don't come about and kept ones that are too old are looked
/// for this often.
constexpr Duration SweepPeriod = std::chrono::milliseconds(100);

} // namespace

UpstreamPool::UpstreamPool(EventLoop &loop, const UpstreamPoolOptions &options,
                           UpstreamHandler &handler)
    : Loop(loop), Options(options), Handler(handler),
      Sweeper(loop.every(SweepPeriod, [this] { sweep(); })) {}

UpstreamPool::~UpstreamPool() = default;

detail::UpstreamChannel *UpstreamPool::takeKept(const std::string &address) {
  const auto it = Kept.find(address);
  if (it == Kept.end())
    return nullptr;
  const TimePoint now = Loop.now();
  std::vector<ChannelId> &ids = it->second;
  while (!ids.empty()) {
    const ChannelId id = ids.back();
    ids.pop_back();
    const auto channel = Channels.find(id);
    if (channel == Channels.end())
      continue;
    if (channel->second->isUsable(now))
      return channel->second.get();
    channel->second->end();
  }
  Kept.erase(it);
  return nullptr;
}

detail::UpstreamChannel &UpstreamPool::open(const std::string &address) {
  const ChannelId id = ++LastChannel;
  ++Opened;
  return *Channels
              .emplace(id, std::make_unique<detail::UpstreamChannel>(*this, id,
                                                                     address))
              .first->second;
}

void UpstreamPool::send(const SendUpstream &request) {
  // A kept connection may end just as the request is under way, and then it
  // isn't known whether it ran.
  detail::UpstreamChannel *channel =
      request.Once ? nullptr : takeKept(request.Address);
  if (!channel)
    channel = &open(request.Address);
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
  Kept[channel.address()].push_back(channel.id());
}

void UpstreamPool::bury(ChannelId id) {
  const auto it = Channels.find(id);
  if (it == Channels.end())
    return;
  if (const auto kept = Kept.find(it->second->address()); kept != Kept.end())
    std::erase(kept->second, id);
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
}

} // namespace pimentofront
