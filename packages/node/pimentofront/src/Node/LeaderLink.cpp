#include "pimentofront/Node.h"

#include <cassert>

namespace pimentofront {
namespace {

/// Between two tries, so that a group without a leader isn't stormed.
constexpr Duration RetryPause = std::chrono::milliseconds(100);

} // namespace

LeaderLink::LeaderLink(Transport &transport, std::vector<std::string> addresses,
                       std::size_t first, Duration silenceLimit)
    : Network(transport), Addresses(std::move(addresses)), Next(first),
      SilenceLimit(silenceLimit) {
  assert(!Addresses.empty() && "a process knows where replicas are");
}

std::optional<LinkId> LeaderLink::link(TimePoint now) {
  if (Link)
    return Link;
  if (now < RetryAt)
    return std::nullopt;
  Current = Hint.empty() ? nextAddress() : Hint;
  Hint.clear();
  HeardAt = now;
  Link = Network.open(Current);
  return Link;
}

std::string LeaderLink::nextAddress() {
  const std::string &address = Addresses[Next++ % Addresses.size()];
  if (address != Silent || Addresses.size() == 1)
    return address;
  return Addresses[Next++ % Addresses.size()];
}

void LeaderLink::setAddresses(const std::vector<std::string> &addresses) {
  if (!addresses.empty())
    Addresses = addresses;
}

void LeaderLink::onClosed(TimePoint now) {
  Link.reset();
  RetryAt = now + RetryPause;
}

void LeaderLink::giveUp(TimePoint now) {
  if (Link)
    Network.close(*Link);
  onClosed(now);
}

void LeaderLink::onRedirect(TimePoint now, const std::string &address) {
  giveUp(now);
  Hint = address;
  if (!address.empty())
    RetryAt = now;
}

void LeaderLink::tick(TimePoint now) {
  if (!Link || HeardAt + SilenceLimit >= now)
    return;
  Silent = Current;
  giveUp(now);
}

} // namespace pimentofront
