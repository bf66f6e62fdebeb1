#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {

TimePoint HoldController::limitOf(const ForwardRequest &request) const {
  const ForwardOptions &options = Board.Options;
  const Duration time =
      request.Traits.TimeLeft.value_or(request.Deadline - request.ArrivedAt);
  const Duration share = fromSeconds(toSeconds(time) * options.HoldShare);
  return request.ArrivedAt + std::min(share, options.HoldTime);
}

bool HoldController::hold(TimePoint now, ForwardRequest &request) {
  const bool untouched = request.Sends == 0 && !request.MayHaveRun;
  if (!untouched || now >= limitOf(request) ||
      Board.Held.size() >= Board.Options.MostHeld)
    return false;
  Board.Held.insert(request.Key);
  request.NextTryAt = now + Board.Options.HoldPause;
  return true;
}

void HoldController::wakeAt(std::uint64_t key, TimePoint at) {
  if (!Board.Held.contains(key))
    return;
  ForwardRequest &request = Board.Requests.at(key);
  request.NextTryAt = std::min(request.NextTryAt, at);
}

std::vector<std::uint64_t> HoldController::takeDue(TimePoint now) {
  std::vector<std::uint64_t> due;
  for (const std::uint64_t key : Board.Held) {
    const ForwardRequest &request = Board.Requests.at(key);
    const bool tableCame = !request.Route && request.Table != Board.Table;
    if (tableCame || now >= request.NextTryAt)
      due.push_back(key);
  }
  for (const std::uint64_t key : due)
    Board.Held.erase(key);
  return due;
}

} // namespace pimentofront
