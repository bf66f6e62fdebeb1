#include "pimentofront/Forward.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {
namespace {

/// If the leader doesn't reply to a query within this time, the entry looks for
/// the leader again.
constexpr Duration QueryTimeout = std::chrono::milliseconds(400);
/// Delay between two attempts to find a leader that replies.
constexpr Duration QueryRetryDelay = std::chrono::milliseconds(100);
/// Number of servers at which those without a recent query are removed.
constexpr std::size_t MaxTrackedServers = 256;
constexpr Duration UnusedTimeout = std::chrono::seconds(30);

} // namespace

bool SendPermits::has(TimePoint now, const ServerProcess &server) const {
  const auto it = Servers.find(server);
  return it != Servers.end() && now >= it->second.ValidFrom &&
         now < it->second.ValidUntil;
}

void SendPermits::use(const ServerProcess &server) {
  const auto it = Servers.find(server);
  assert(it != Servers.end() && "use() needs a permit");
  it->second.ValidUntil = it->second.ValidFrom;
}

void SendPermits::requestPermit(TimePoint now, const ServerProcess &server,
                                const RateLimit &limit, const ColdStart &cold) {
  if (Servers.size() >= MaxTrackedServers)
    removeUnused(now);
  ServerState &it = Servers[server];
  if (it.Nonce != 0 || now < it.NextQueryAt || now < it.ValidUntil)
    return;
  it.Nonce = ++LastNonce;
  it.QueriedAt = now;
  Queries.push_back(
      {.Nonce = it.Nonce, .Server = server, .Limit = limit, .Cold = cold});
}

void SendPermits::removeUnused(TimePoint now) {
  std::erase_if(Servers, [&](const auto &it) {
    return it.second.Nonce == 0 && now >= it.second.QueriedAt + UnusedTimeout;
  });
}

TimePoint SendPermits::earliestSendTime(TimePoint now,
                                        const ServerProcess &server) const {
  const auto it = Servers.find(server);
  if (it == Servers.end())
    return now;
  const ServerState &known = it->second;
  const bool isGranted = now < known.ValidUntil;
  return std::max(now, isGranted ? known.ValidFrom : known.NextQueryAt);
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
  ServerState &known = it->second;
  known.Nonce = 0;
  known.NextQueryAt = now + reply.RetryAfter;
  if (!reply.Granted)
    return;
  known.ValidFrom = now + reply.Delay;
  known.ValidUntil = known.ValidFrom + reply.Lifetime;
}

void SendPermits::onLinkLost(TimePoint now) {
  Queries.clear();
  for (auto &[server, it] : Servers) {
    if (it.Nonce == 0)
      continue;
    it.Nonce = 0;
    it.NextQueryAt = now + QueryRetryDelay;
  }
}

bool SendPermits::hasOverdueQuery(TimePoint now) const {
  return std::ranges::any_of(Servers, [&](const auto &it) {
    return it.second.Nonce != 0 && now >= it.second.QueriedAt + QueryTimeout;
  });
}

} // namespace pimentofront
