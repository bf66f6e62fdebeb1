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
  /// The request may be sent to another server if the chosen one declines it.
  bool CanRetry = true;
};

/// \returns how much \p server is to be avoided for one more request: the
/// fraction of its slots in use, and what its zone, failures and declines add.
double scoreOf(TimePoint now, const ServerSetOptions &options,
               const ServerView &server, const ScoreContext &context);

} // namespace pimentofront

#endif
