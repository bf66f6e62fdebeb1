#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {

PlainDecision PlainController::decide(TimePoint now,
                                      const ForwardRequest &request) {
  const auto paced = Board.Servers.pacedServers(now, request.Service,
                                                request.Avoid, request.Zones);
  const bool canRetry = request.Sends + 1 < request.Route->MaxServers &&
                        Board.Budgets.canRetry(request.Service);
  ServerView *server =
      Board.Servers.choose(now, request.Service, request.Avoid, Board.Permits,
                           request.Zones, canRetry);
  if (server) {
    const ServerProcess process = server->Record.process();
    if (Board.Permits.has(now, process))
      Board.Permits.use(process);
  }
  for (const ServerProcess &it : paced)
    Board.Permits.requestPermit(now, it,
                                Board.Servers.feedbackOf(it).limit(now),
                                Board.Servers.coldStartOf(now, it));
  if (server)
    return {.Choice = PlainChoice::Send, .Server = server};
  if (paced.empty())
    return {.Choice = PlainChoice::NoServer};
  return decideOnPermit(now, request, paced);
}

PlainDecision
PlainController::decideOnPermit(TimePoint now, const ForwardRequest &request,
                                const std::vector<ServerProcess> &paced) const {
  const auto nextChanceOf = [&](const ServerProcess &it) {
    return Board.Permits.earliestSendTime(now, it);
  };
  const TimePoint earliest =
      nextChanceOf(*std::ranges::min_element(paced, {}, nextChanceOf));
  // The leader grants this entry one permit at a time for each server, so no
  // more requests than servers are deferred for permits.
  const auto deferred =
      std::ranges::count_if(Board.Deferred, [&](const auto key) {
        return Board.Requests.at(key).Service == request.Service;
      });
  const bool mayWait = earliest < Deferrals.deferLimit(request) &&
                       static_cast<std::size_t>(deferred) < paced.size();
  return {.Choice = mayWait ? PlainChoice::AwaitPermit : PlainChoice::NoPermit,
          .At = earliest};
}

} // namespace pimentofront
