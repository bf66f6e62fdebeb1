#ifndef PIMENTOFRONT_FORWARD_PLAIN_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_PLAIN_CONTROLLER_H

#include "DeferController.h"

namespace pimentofront {

/// What happens next to a request for a plain service.
enum class PlainChoice : std::uint8_t {
  Send,
  /// All servers are full: the request waits at the entry.
  Wait,
  /// The servers can't answer all requests in time, and this one isn't
  /// admitted.
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
  /// Share of the requests for the service that this entry admits.
  double AdmittedShare = 1;
};

/// \class PlainController
/// \ingroup Forward
/// \brief Chooses the server for a request to a plain service, which has no
/// agents; requests for engines are routed by a RoutingPolicy. Of a service
/// that is asked for too much, PlainAdmission decides which requests are sent.
/// With ForwardOptions::QueuesPlain, the queue of the service decides in
/// addition while all servers are full.
class PlainController {
public:
  PlainController(ForwardBoard &board, DeferController &deferrals)
      : Board(board), Deferrals(deferrals) {}

  /// Decides on a request that has arrived or is tried again. Whether it is
  /// admitted is decided once.
  PlainDecision decide(TimePoint now, ForwardRequest &request,
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
  bool isAdmitted(TimePoint now, const ForwardRequest &request,
                  const PlainRoom &room);
  PlainDecision decideOnPermit(TimePoint now, const ForwardRequest &request,
                               const std::vector<ServerProcess> &paced) const;

  ForwardBoard &Board;
  DeferController &Deferrals;
};

} // namespace pimentofront

#endif
