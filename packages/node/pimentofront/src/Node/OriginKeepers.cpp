#include "pimentofront/Node.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {

void OriginKeepers::setAddresses(const std::vector<std::string> &addresses) {
  if (addresses.empty())
    return;
  for (auto it = Keepers.begin(); it != Keepers.end();) {
    if (std::ranges::find(addresses, it->first) != addresses.end()) {
      ++it;
      continue;
    }
    if (it->second.Link) {
      Watch.forget(*it->second.Link);
      Network.close(*it->second.Link);
    }
    if (!it->second.Lost)
      Lost.push_back(it->first);
    it = Keepers.erase(it);
  }
  for (const std::string &it : addresses)
    Keepers.try_emplace(it);
}

OriginKeepers::KeeperMap::iterator OriginKeepers::find(LinkId link) {
  return std::ranges::find_if(
      Keepers, [&](const auto &it) { return it.second.Link == link; });
}

bool OriginKeepers::owns(LinkId link) const {
  return std::ranges::any_of(
      Keepers, [&](const auto &it) { return it.second.Link == link; });
}

void OriginKeepers::connect(TimePoint now) {
  Used = true;
  for (auto &[address, it] : Keepers) {
    if (it.Link || now < it.RetryAt)
      continue;
    it.Link = Network.open(address);
    it.OpenedAt = now;
  }
}

void OriginKeepers::send(LinkId link,
                         const std::vector<StreamOrigin> &origins) {
  for (auto first = origins.begin(); first != origins.end();) {
    const auto n = std::min<std::ptrdiff_t>(MaxOrigins, origins.end() - first);
    Network.send(link, StreamOrigins{{first, first + n}});
    first += n;
  }
}

void OriginKeepers::tell(TimePoint now,
                         const std::vector<StreamOrigin> &origins) {
  connect(now);
  for (const auto &[address, it] : Keepers)
    if (it.Open)
      send(*it.Link, origins);
}

void OriginKeepers::ask(TimePoint now, const RequestId &stream) {
  connect(now);
  for (const auto &[address, it] : Keepers) {
    if (!it.Link)
      continue;
    if (it.Open)
      Watch.expectReply(now, *it.Link);
    Network.send(*it.Link, StreamOriginQuery{stream});
  }
}

void OriginKeepers::check(TimePoint now, Keeper &keeper) {
  keeper.NextCheck = now + CheckPeriod;
  Watch.expectReply(now, *keeper.Link);
  Network.send(*keeper.Link, StreamOriginQuery{});
}

void OriginKeepers::onOpen(TimePoint now, LinkId link,
                           const std::vector<StreamOrigin> &origins) {
  const auto it = find(link);
  assert(it != Keepers.end() && "call it only for links that it owns");
  it->second.Open = true;
  send(link, origins);
  check(now, it->second);
}

std::string OriginKeepers::onReceived(LinkId link) {
  const auto it = find(link);
  assert(it != Keepers.end() && "call it only for links that it owns");
  Watch.recordReceived(link);
  it->second.Lost = false;
  it->second.RetryDelay = MinRetryDelay;
  return it->first;
}

void OriginKeepers::onClosed(TimePoint now, LinkId link) {
  const auto it = find(link);
  assert(it != Keepers.end() && "call it only for links that it owns");
  Watch.forget(link);
  Keeper &keeper = it->second;
  keeper.Link.reset();
  keeper.Open = false;
  keeper.RetryAt = now + keeper.RetryDelay;
  keeper.RetryDelay = std::min(2 * keeper.RetryDelay, MaxRetryDelay);
  if (!std::exchange(keeper.Lost, true))
    Lost.push_back(it->first);
}

void OriginKeepers::close(TimePoint now, LinkId link) {
  Network.close(link);
  onClosed(now, link);
}

void OriginKeepers::tick(TimePoint now, bool needed) {
  std::vector<LinkId> dead = Watch.takeSilent(now);
  for (const auto &[address, it] : Keepers)
    if (it.Link && !it.Open && now >= it.OpenedAt + OpenTimeout)
      dead.push_back(*it.Link);
  for (const LinkId it : dead)
    close(now, it);
  if (needed || Used)
    connect(now);
  if (!needed)
    return;
  for (auto &[address, it] : Keepers)
    if (it.Open && now >= it.NextCheck)
      check(now, it);
}

std::vector<std::string> OriginKeepers::answering() const {
  std::vector<std::string> result;
  for (const auto &[address, it] : Keepers)
    if (!it.Lost)
      result.push_back(address);
  return result;
}

} // namespace pimentofront
