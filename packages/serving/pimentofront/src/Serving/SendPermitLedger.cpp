#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Maximum retry-after given to an entry: the limit may end or rise before a
/// longer one is over.
constexpr Duration MaxRetryAfter = std::chrono::seconds(3);
/// How long before its use a permit may be granted. An entry that has to ask
/// again comes late, and part of the limit stays unused. Short, since a limit
/// that falls does not revoke permits.
constexpr Duration GrantAhead = std::chrono::milliseconds(200);
/// A permit expires after the time between two requests, within these bounds: a
/// reply takes some round trips, and an entry without work should not keep a
/// permit.
constexpr Duration MinLifetime = std::chrono::milliseconds(100);
constexpr Duration MaxLifetime = std::chrono::seconds(1);
/// A server is forgotten when no entry has asked for it for this time.
constexpr Duration UnusedServerTimeout = std::chrono::seconds(30);

} // namespace

void SendPermitLedger::startLeading(std::uint64_t term) {
  if (term == Term)
    return;
  Term = term;
  Servers.clear();
}

Duration SendPermitLedger::retryAfter(TimePoint now,
                                      PacedServer &server) const {
  const auto before = static_cast<std::size_t>(server.ExpectedRetries);
  const Duration wait = server.Pacer.wait(now, before);
  if (wait < MaxRetryAfter)
    server.ExpectedRetries += 1;
  return std::min(wait, MaxRetryAfter);
}

SendPermitReply SendPermitLedger::onQuery(TimePoint now,
                                          const SendPermitQuery &query) {
  forgetUnused(now);
  PacedServer &server = Servers[query.Server];
  server.Pacer.apply(now, query.Limit);
  server.Pacer.applyCold(now, query.Cold);
  SendPermitReply reply{.Nonce = query.Nonce};
  if (server.Pacer.isPacing(now)) {
    const Duration interval = server.Pacer.interval(now);
    reply.Lifetime = std::clamp(interval, MinLifetime, MaxLifetime);
    // Entries whose retry-after has passed have asked again or never will.
    const double due =
        toSeconds(now - server.LastQueryAt) / toSeconds(interval);
    server.ExpectedRetries = std::max(server.ExpectedRetries - due, 0.0);
  }
  server.LastQueryAt = now;
  const auto delay = server.Pacer.reserve(now, GrantAhead);
  reply.Granted = delay.has_value();
  reply.Delay = delay.value_or(Duration::zero());
  if (!reply.Granted)
    reply.RetryAfter = retryAfter(now, server);
  return reply;
}

void SendPermitLedger::forgetUnused(TimePoint now) {
  if (now < NextSweep)
    return;
  NextSweep = now + UnusedServerTimeout;
  std::erase_if(Servers, [&](const auto &it) {
    return now >= it.second.LastQueryAt + UnusedServerTimeout;
  });
}

} // namespace pimentofront
