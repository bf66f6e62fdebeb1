#ifndef PIMENTOFRONT_FORWARD_SEND_PERMITS_H
#define PIMENTOFRONT_FORWARD_SEND_PERMITS_H

#include "pimentofront/Wire.h"

#include <map>
#include <optional>
#include <vector>

namespace pimentofront {

/// \class SendPermits
/// \ingroup Forward
/// \brief One entry's permits to send to backend servers that are rate limited
/// or cold and have no agent. The leader of the replicas grants them, one at a
/// time.
///
/// The entry asks for a permit only when it has a request to send, and not
/// before the retry-after delay of the leader's last reply is over. A permit
/// covers one send and expires after a short time.
class SendPermits {
public:
  /// \returns whether a request may be sent to \p server now.
  bool has(TimePoint now, const ServerProcess &server) const;
  /// Uses the permit.
  /// \pre has() holds for \p server.
  void use(const ServerProcess &server);
  /// Asks for a permit because there is a request for \p server. Does nothing
  /// if a permit is held or already asked for, or if the retry-after delay
  /// isn't over.
  void requestPermit(TimePoint now, const ServerProcess &server,
                     const RateLimit &limit, const ColdStart &cold = {});
  /// \returns the earliest time at which a permit for \p server can be valid:
  /// the start of a permit that is held, else the time of the next query.
  TimePoint earliestSendTime(TimePoint now, const ServerProcess &server) const;

  bool hasQueries() const { return !Queries.empty(); }
  /// \returns the queries to send to the leader, and clears the list.
  std::vector<SendPermitQuery> takeQueries();
  /// Applies the leader's reply; earliestSendTime() reflects it.
  void onReply(TimePoint now, const SendPermitReply &reply);
  /// Drops the queries that were sent on the link; they have to be sent again.
  void onLinkLost(TimePoint now);
  /// \returns whether a query has had no reply within its timeout.
  bool hasOverdueQuery(TimePoint now) const;

private:
  struct ServerState {
    /// Nonce of the query in flight; 0 for none.
    std::uint64_t Nonce = 0;
    TimePoint QueriedAt;
    TimePoint NextQueryAt;
    /// Validity period of the permit; empty if there is none.
    TimePoint ValidFrom;
    TimePoint ValidUntil;
  };
  void removeUnused(TimePoint now);

  std::map<ServerProcess, ServerState> Servers;
  std::vector<SendPermitQuery> Queries;
  std::uint64_t LastNonce = 0;
};

} // namespace pimentofront

#endif
