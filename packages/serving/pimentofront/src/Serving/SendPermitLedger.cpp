#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// The longest that an entry is told to wait before it asks again: the limit
/// may have ended or risen.
constexpr Duration MostComeBack = std::chrono::seconds(3);
/// Permits are given so long before they may be used: whoever has to ask again
/// comes late, and the limit isn't used up. Short, since a limit that falls
/// doesn't take them back.
constexpr Duration GivenAhead = std::chrono::milliseconds(200);
/// A permit lapses after the time of one request, within these bounds: a reply
/// takes some round trips, and an entry without work is no place to keep it.
constexpr Duration LeastLifetime = std::chrono::milliseconds(100);
constexpr Duration MostLifetime = std::chrono::seconds(1);
/// A server of which nobody has asked for so long is forgotten.
constexpr Duration KeptUnused = std::chrono::seconds(30);

} // namespace

void SendPermitLedger::lead(std::uint64_t term) {
  if (term == Term)
    return;
  Term = term;
  Servers.clear();
}

Duration SendPermitLedger::comeBack(TimePoint now, PacedServer &server) const {
  const auto before = static_cast<std::size_t>(server.Promised);
  const Duration wait = server.Pacer.wait(now, before);
  if (wait < MostComeBack)
    server.Promised += 1;
  return std::min(wait, MostComeBack);
}

SendPermitReply SendPermitLedger::onQuery(TimePoint now,
                                          const SendPermitQuery &query) {
  forgetUnused(now);
  PacedServer &server = Servers[query.Server];
  server.Pacer.apply(now, query.Limit);
  server.Pacer.applyCold(now, query.Cold);
  SendPermitReply reply{.Nonce = query.Nonce};
  if (server.Pacer.paces(now)) {
    const Duration interval = server.Pacer.interval(now);
    reply.Lifetime = std::clamp(interval, LeastLifetime, MostLifetime);
    // Those whose time has come are there, or don't come.
    const double due = toSeconds(now - server.AskedAt) / toSeconds(interval);
    server.Promised = std::max(server.Promised - due, 0.0);
  }
  server.AskedAt = now;
  const auto delay = server.Pacer.reserve(now, GivenAhead);
  reply.Granted = delay.has_value();
  reply.Delay = delay.value_or(Duration::zero());
  if (!reply.Granted)
    reply.ComeBack = comeBack(now, server);
  return reply;
}

void SendPermitLedger::forgetUnused(TimePoint now) {
  if (now < NextSweep)
    return;
  NextSweep = now + KeptUnused;
  std::erase_if(Servers, [&](const auto &it) {
    return now >= it.second.AskedAt + KeptUnused;
  });
}

} // namespace pimentofront
