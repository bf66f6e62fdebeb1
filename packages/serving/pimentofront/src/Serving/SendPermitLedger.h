#ifndef PIMENTOFRONT_SERVING_SEND_PERMIT_LEDGER_H
#define PIMENTOFRONT_SERVING_SEND_PERMIT_LEDGER_H

#include "RequestPacer.h"

#include <map>

namespace pimentofront {

/// \class SendPermitLedger
/// \ingroup Serving
/// \brief Paces the sends of all entries to limited or cold backend servers
/// that have no agent beside them.
///
/// Only the leader of the replicas keeps one, under its lease, so there is one
/// at any time. It is soft state: entries name the limit with each query, and a
/// pacer starts empty, so that what a former leader permitted is no burst more.
/// While no leader answers, such a server gets no requests.
///
/// A permit that isn't used soon is lost: what entries hold comes on top of the
/// limit. One request is saved up here and about one there, which makes the
/// same burst as at an agent.
class SendPermitLedger {
public:
  /// This replica leads in \p term. What was learned in another one is
  /// forgotten.
  void lead(std::uint64_t term);
  SendPermitReply onQuery(TimePoint now, const SendPermitQuery &query);

private:
  struct PacedServer {
    RequestPacer Pacer{/*burst=*/1};
    /// Entries that were told to come back and may be about to.
    double Promised = 0;
    TimePoint AskedAt;
  };
  Duration comeBack(TimePoint now, PacedServer &server) const;
  void forgetUnused(TimePoint now);

  std::uint64_t Term = 0;
  std::map<ServerProcess, PacedServer> Servers;
  TimePoint NextSweep;
};

} // namespace pimentofront

#endif
