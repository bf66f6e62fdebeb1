#include "pimentofront/Forward.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {
namespace {

/// If the leader doesn't reply to a query within this time, the entry looks for
/// the leader again.
constexpr Duration AskTimeout = std::chrono::milliseconds(400);
/// Delay between two attempts to find a leader that replies.
constexpr Duration AskPause = std::chrono::milliseconds(100);
/// Number of servers at which those without a recent query are removed.
constexpr std::size_t MostKept = 256;
constexpr Duration KeptUnused = std::chrono::seconds(30);

} // namespace

bool SendPermits::has(TimePoint now, const ServerProcess &server) const {
  const auto it = Servers.find(server);
  return it != Servers.end() && now >= it->second.GoodFrom &&
         now < it->second.GoodUntil;
}

void SendPermits::use(const ServerProcess &server) {
  const auto it = Servers.find(server);
  assert(it != Servers.end() && "use() needs a permit");
  it->second.GoodUntil = it->second.GoodFrom;
}

void SendPermits::want(TimePoint now, const ServerProcess &server,
                       const RateLimit &limit, const ColdStart &cold) {
  if (Servers.size() >= MostKept)
    forgetUnused(now);
  Known &it = Servers[server];
  if (it.Nonce != 0 || now < it.NextAskAt || now < it.GoodUntil)
    return;
  it.Nonce = ++LastNonce;
  it.AskedAt = now;
  Queries.push_back(
      {.Nonce = it.Nonce, .Server = server, .Limit = limit, .Cold = cold});
}

void SendPermits::forgetUnused(TimePoint now) {
  std::erase_if(Servers, [&](const auto &it) {
    return it.second.Nonce == 0 && now >= it.second.AskedAt + KeptUnused;
  });
}

TimePoint SendPermits::nextChance(TimePoint now,
                                  const ServerProcess &server) const {
  const auto it = Servers.find(server);
  if (it == Servers.end())
    return now;
  const Known &known = it->second;
  const bool given = now < known.GoodUntil;
  return std::max(now, given ? known.GoodFrom : known.NextAskAt);
}

std::vector<SendPermitQuery> SendPermits::takeQueries() {
  return std::exchange(Queries, {});
}

void SendPermits::onReply(TimePoint now, const SendPermitReply &reply) {
  const auto it = std::ranges::find_if(Servers, [&](const auto &known) {
    return known.second.Nonce == reply.Nonce;
  });
  if (reply.Nonce == 0 || it == Servers.end())
    return;
  Known &known = it->second;
  known.Nonce = 0;
  known.NextAskAt = now + reply.ComeBack;
  if (!reply.Granted)
    return;
  known.GoodFrom = now + reply.Delay;
  known.GoodUntil = known.GoodFrom + reply.Lifetime;
}

void SendPermits::onLinkLost(TimePoint now) {
  Queries.clear();
  for (auto &[server, it] : Servers) {
    if (it.Nonce == 0)
      continue;
    it.Nonce = 0;
    it.NextAskAt = now + AskPause;
  }
}

bool SendPermits::unanswered(TimePoint now) const {
  return std::ranges::any_of(Servers, [&](const auto &it) {
    return it.second.Nonce != 0 && now >= it.second.AskedAt + AskTimeout;
  });
}

} // namespace pimentofront
