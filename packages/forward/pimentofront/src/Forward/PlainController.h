#ifndef PIMENTOFRONT_FORWARD_PLAIN_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_PLAIN_CONTROLLER_H

#include "DeferController.h"

namespace pimentofront {

/// What happens next to a request for a plain service.
enum class PlainChoice : std::uint8_t {
  Send,
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
};

/// \class PlainController
/// \ingroup Forward
/// \brief Chooses the server for a request to a plain service, which has no
/// agents; requests for engines are routed by a RoutingPolicy.
class PlainController {
public:
  PlainController(ForwardBoard &board, DeferController &deferrals)
      : Board(board), Deferrals(deferrals) {}

  PlainDecision decide(TimePoint now, const ForwardRequest &request);

private:
  PlainDecision decideOnPermit(TimePoint now, const ForwardRequest &request,
                               const std::vector<ServerProcess> &paced) const;

  ForwardBoard &Board;
  DeferController &Deferrals;
};

} // namespace pimentofront

#endif
