#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {

TimePoint DeferController::deferLimit(const ForwardRequest &request) const {
  const ForwardOptions &options = Board.Options;
  const Duration time =
      request.Traits.TimeLeft.value_or(request.Deadline - request.ArrivedAt);
  const Duration share = fromSeconds(toSeconds(time) * options.DeferShare);
  return request.ArrivedAt + std::min(share, options.DeferTimeout);
}

bool DeferController::defer(TimePoint now, ForwardRequest &request) {
  const bool neverSent = request.Sends == 0 && !request.MayHaveRun;
  if (!neverSent || now >= deferLimit(request) ||
      Board.Deferred.size() >= Board.Options.MaxDeferred)
    return false;
  Board.Deferred.insert(request.Key);
  request.NextTryAt = now + Board.Options.RetryDelay;
  return true;
}

void DeferController::retryAt(std::uint64_t key, TimePoint at) {
  if (!Board.Deferred.contains(key))
    return;
  ForwardRequest &request = Board.Requests.at(key);
  request.NextTryAt = std::min(request.NextTryAt, at);
}

std::vector<std::uint64_t> DeferController::takeDue(TimePoint now) {
  std::vector<std::uint64_t> due;
  for (const std::uint64_t key : Board.Deferred) {
    const ForwardRequest &request = Board.Requests.at(key);
    const bool tableChanged = !request.Route && request.Table != Board.Table;
    if (tableChanged || now >= request.NextTryAt)
      due.push_back(key);
  }
  for (const std::uint64_t key : due)
    Board.Deferred.erase(key);
  return due;
}

} // namespace pimentofront
