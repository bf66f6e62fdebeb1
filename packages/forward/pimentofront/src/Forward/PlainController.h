#ifndef PIMENTOFRONT_FORWARD_PLAIN_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_PLAIN_CONTROLLER_H

#include "DeferController.h"

namespace pimentofront {

/// What happens next to a request for a plain service.
enum class PlainChoice : std::uint8_t {
  Send,
  /// All servers are full: the request waits at the entry.
  Wait,
  /// All servers are full, and its answer wouldn't be in time.
  Refuse,
  /// No server takes the request now.
  NoServer,
  /// The only servers that take it are rate limited or cold, and this entry has
  /// no permit: it waits until one may come.
  AwaitPermit,
  /// As before, but no permit can come while the request may wait.
  NoPermit,
};

/// \class PlainDecision
/// \ingroup Forward
struct PlainDecision {
  PlainChoice Choice = PlainChoice::NoServer;
  /// Set for Send.
  ServerView *Server = nullptr;
  /// When a permit may come, for AwaitPermit and NoPermit.
  TimePoint At;
  /// For Wait and Refuse.
  PlainOutcome Outcome;
  PlainRoom Room;
};

/// \class PlainController
/// \ingroup Forward
/// \brief Chooses the server for a request to a plain service, which has no
/// agents; requests for engines are routed by a RoutingPolicy. While all
/// servers are full, the queue of the service decides.
class PlainController {
public:
  PlainController(ForwardBoard &board, DeferController &deferrals)
      : Board(board), Deferrals(deferrals) {}

  PlainDecision decide(TimePoint now, const ForwardRequest &request,
                       const std::vector<ServerProcess> &avoid);
  /// \returns the waiting requests that can be sent now; they no longer wait.
  std::vector<std::uint64_t> takeReady(TimePoint now);
  /// \returns the requests that may wait no longer, or that were displaced;
  /// they no longer wait.
  std::vector<std::uint64_t> takeExpired(TimePoint now);
  /// \returns the last decision on a request of takeExpired(): Send if its
  /// answer can still be in time, else Refuse.
  PlainDecision refuse(TimePoint now, const ForwardRequest &request);

private:
  PlainRoom roomFor(TimePoint now, const ForwardRequest &request,
                    const std::vector<ServerProcess> &avoid) const {
    return Board.Servers.plainRoom(now, request.Service, avoid, request.Zones);
  }
  PlainDecision decideOnPermit(TimePoint now, const ForwardRequest &request,
                               const std::vector<ServerProcess> &paced) const;

  ForwardBoard &Board;
  DeferController &Deferrals;
};

} // namespace pimentofront

#endif
