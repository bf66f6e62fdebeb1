#ifndef PIMENTOFRONT_FORWARD_SERVER_SCORE_H
#define PIMENTOFRONT_FORWARD_SERVER_SCORE_H

#include "ServerView.h"

namespace pimentofront {

/// \class ScoreContext
/// \ingroup Forward
/// \brief What the scores of the servers of one service are compared by.
struct ScoreContext {
  /// Mean share of failures of the servers of the service.
  double MeanFailures = 0;
  /// Expected time of the fastest server of the service; zero if no server has
  /// answered yet.
  Duration FastestPace = Duration::zero();
  /// The request may be sent to another server if the chosen one declines it.
  bool CanRetry = true;
};

/// \returns how much \p server is to be avoided for one more request: the
/// fraction of its slots in use, and what its zone, failures and declines add.
/// A server that is noticeably slower than the fastest one counts as if its
/// slots and the request took that many times as long. The score is then the
/// expected time to answer beyond that of an idle server of usual pace, in
/// units of the latter, and ZonePreference the time that an answer from another
/// zone must save.
double scoreOf(TimePoint now, const ServerSetOptions &options,
               const ServerView &server, const ScoreContext &context);

} // namespace pimentofront

#endif
