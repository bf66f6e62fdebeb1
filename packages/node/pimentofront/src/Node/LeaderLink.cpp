#include "pimentofront/Node.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {
namespace {

/// Delay between two attempts, so that a group without a leader isn't flooded
/// with connections.
constexpr Duration RetryPause = std::chrono::milliseconds(100);

/// Time within which a link has to open at first: some tens of round trips
/// within a region, plus the scheduling delay of a small processor. It doubles
/// with each link that didn't open, so that slow hosts can be reached.
constexpr Duration FirstOpenLimit = std::chrono::milliseconds(300);

} // namespace

LeaderLink::LeaderLink(Transport &transport, std::vector<std::string> addresses,
                       std::size_t first, Duration silenceLimit)
    : Network(transport), Addresses(std::move(addresses)), Next(first),
      SilenceLimit(silenceLimit) {
  assert(!Addresses.empty() && "at least one replica address is required");
}

std::optional<LinkId> LeaderLink::link(TimePoint now) {
  if (Link)
    return Link;
  if (now < RetryAt)
    return std::nullopt;
  Current = Hint.empty() ? nextAddress() : Hint;
  Hint.clear();
  HeardAt = now;
  Opened = false;
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

void LeaderLink::onHeard(TimePoint now) {
  HeardAt = now;
  Opened = true;
  NeverOpened = 0;
}

Duration LeaderLink::openLimit() const {
  constexpr std::uint32_t MostDoublings = 4;
  return std::min(FirstOpenLimit * (1U << std::min(NeverOpened, MostDoublings)),
                  SilenceLimit);
}

bool LeaderLink::tick(TimePoint now) {
  const Duration limit = Opened ? SilenceLimit : openLimit();
  if (!Link || HeardAt + limit >= now)
    return false;
  if (!Opened)
    ++NeverOpened;
  Silent = Current;
  giveUp(now);
  return true;
}

} // namespace pimentofront
