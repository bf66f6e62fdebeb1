#include "IdentityProbe.h"

#include <cassert>

namespace pimentofront {
namespace {

/// Covers round trips between zones and a short wait for a slot of a server
/// that is busy. It is short since a caller waits for the result.
constexpr Duration Timeout = std::chrono::milliseconds(300);
constexpr std::size_t MaxResponseBytes = std::size_t(256) << 10;

} // namespace

void IdentityProbe::start(const CheckServer &check, Callback done) {
  assert(check.Query && "CheckServer needs a query to be identified by");
  const auto onEnd = [this, server = check.Server,
                      done = std::move(done)](const HttpResponse &it) {
    done(it.Ending == HttpEnding::Complete
             ? Codec.readIdentity(server, {it.Status, it.Headers}, it.Body)
             : ServerCheckResult::Unidentified);
  };
  // A pooled connection may be to the former process, which a cut link keeps
  // from ending.
  Client.start({.Address = HostPort::parse(check.Address).value_or(HostPort{}),
                .Method = check.Query->Method,
                .Path = check.Query->Target,
                .Headers = check.Query->Headers,
                .Timeout = Timeout,
                .MaxResponseBytes = MaxResponseBytes,
                .FreshConnection = true,
                .OnEnd = onEnd});
}

} // namespace pimentofront
