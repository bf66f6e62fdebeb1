#ifndef PIMENTOFRONT_SERVING_SEND_PERMIT_LEDGER_H
#define PIMENTOFRONT_SERVING_SEND_PERMIT_LEDGER_H

#include "RequestPacer.h"

#include <map>

namespace pimentofront {

/// \class SendPermitLedger
/// \ingroup Serving
/// \brief Paces the requests of all entries to limited or cold backend servers
/// that have no agent beside them.
///
/// Only the leader of the replicas has one, protected by its lease, so that
/// there is one at any time. It is soft state: entries name the limit with each
/// query, and a pacer starts empty, so that permits of a former leader don't
/// add a burst. While no leader answers, such a server gets no requests.
///
/// A permit expires soon, because permits that entries hold come on top of the
/// limit. One request can be saved up here and about one at the entries, which
/// adds up to the burst that an agent's pacer allows.
class SendPermitLedger {
public:
  /// This replica leads in \p term. State of another term is discarded.
  void startLeading(std::uint64_t term);
  SendPermitReply onQuery(TimePoint now, const SendPermitQuery &query);

private:
  struct PacedServer {
    RequestPacer Pacer{/*burst=*/1};
    /// Number of entries that were given a retry-after and may still ask again
    /// then.
    double ExpectedRetries = 0;
    TimePoint LastQueryAt;
  };
  Duration retryAfter(TimePoint now, PacedServer &server) const;
  void forgetUnused(TimePoint now);

  std::uint64_t Term = 0;
  std::map<ServerProcess, PacedServer> Servers;
  TimePoint NextSweep;
};

} // namespace pimentofront

#endif
