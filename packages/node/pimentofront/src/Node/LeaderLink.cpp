#include "pimentofront/Node.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {
namespace {

/// Delay between two attempts, so that a group without a leader isn't flooded
/// with connections.
constexpr Duration RetryDelay = std::chrono::milliseconds(100);

/// Time within which a link has to open at first: some tens of round trips
/// within a region, plus the scheduling delay of a small processor. It doubles
/// with each link that didn't open, so that slow hosts can be reached.
constexpr Duration InitialOpenTimeout = std::chrono::milliseconds(300);

/// A link that lasted longer than this served its purpose: the next one that is
/// needed begins a new round over the addresses.
constexpr Duration RoundTimeout = std::chrono::seconds(10);

} // namespace

LeaderLink::LeaderLink(Transport &transport, std::vector<std::string> addresses,
                       std::size_t first, Duration silenceTimeout)
    : Network(transport), Addresses(std::move(addresses)), Next(first),
      Configured(Addresses), SilenceTimeout(silenceTimeout) {
  assert(!Addresses.empty() && "at least one replica address is required");
}

std::optional<LinkId> LeaderLink::link(TimePoint now) {
  if (Link)
    return Link;
  if (now < RetryAt)
    return std::nullopt;
  CurrentAddress = LeaderHint.empty() ? nextAddress(now) : LeaderHint;
  LeaderHint.clear();
  LastReceivedAt = now;
  Opened = false;
  Link = Network.open(CurrentAddress);
  return Link;
}

std::string LeaderLink::nextAddress(TimePoint now) {
  if (now >= LastTriedAt + RoundTimeout)
    Tried = 0;
  LastTriedAt = now;
  if (Tried >= Addresses.size()) {
    Tried = 0;
    if (const auto configured = nextConfigured())
      return *configured;
  }
  ++Tried;
  const std::string &address = Addresses[Next++ % Addresses.size()];
  if (address != TimedOutAddress || Addresses.size() == 1)
    return address;
  return Addresses[Next++ % Addresses.size()];
}

std::optional<std::string> LeaderLink::nextConfigured() {
  for (std::size_t i = 0; i < Configured.size(); ++i) {
    const std::string &it = Configured[NextConfigured++ % Configured.size()];
    if (std::ranges::find(Addresses, it) == Addresses.end())
      return it;
  }
  return std::nullopt;
}

void LeaderLink::setAddresses(const std::vector<std::string> &addresses) {
  if (!addresses.empty())
    Addresses = addresses;
}

void LeaderLink::onClosed(TimePoint now) {
  Link.reset();
  RetryAt = now + RetryDelay;
}

void LeaderLink::giveUp(TimePoint now) {
  if (Link)
    Network.close(*Link);
  onClosed(now);
}

void LeaderLink::leave(TimePoint now) {
  TimedOutAddress = CurrentAddress;
  giveUp(now);
}

void LeaderLink::onRedirect(TimePoint now, const std::string &address) {
  giveUp(now);
  LeaderHint = address;
  if (!address.empty())
    RetryAt = now;
}

void LeaderLink::onReceived(TimePoint now) {
  LastReceivedAt = now;
  Opened = true;
  FailedOpens = 0;
}

Duration LeaderLink::openTimeout() const {
  constexpr std::uint32_t MaxDoublings = 4;
  return std::min(InitialOpenTimeout *
                      (1U << std::min(FailedOpens, MaxDoublings)),
                  SilenceTimeout);
}

bool LeaderLink::tick(TimePoint now) {
  const Duration limit = Opened ? SilenceTimeout : openTimeout();
  if (!Link || LastReceivedAt + limit >= now)
    return false;
  if (!Opened)
    ++FailedOpens;
  leave(now);
  return true;
}

} // namespace pimentofront
