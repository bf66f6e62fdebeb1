#ifndef PIMENTOFRONT_FORWARD_SEND_PERMITS_H
#define PIMENTOFRONT_FORWARD_SEND_PERMITS_H

#include "pimentofront/Wire.h"

#include <map>
#include <optional>
#include <vector>

namespace pimentofront {

/// \class SendPermits
/// \ingroup Forward
/// \brief One entry's permits to send to limited or cold backend servers
/// without an agent; the leader of the replicas gives them, one at a time.
///
/// It asks when there is something to send, and not before the leader's time to
/// come back. A permit is good for one send and lapses soon.
class SendPermits {
public:
  /// \returns whether a request may be sent to \p server now.
  bool has(TimePoint now, const ServerProcess &server) const;
  /// Uses the permit.
  /// \pre has() holds for \p server.
  void use(const ServerProcess &server);
  /// There is work for \p server: asks for a permit, unless there is one, it
  /// has been asked for, or it is too early.
  void want(TimePoint now, const ServerProcess &server, const RateLimit &limit,
            const ColdStart &cold = {});
  /// \returns when a permit for \p server may come.
  TimePoint nextChance(TimePoint now, const ServerProcess &server) const;

  bool wantsQuery() const { return !Queries.empty(); }
  /// \returns what to ask the leader.
  std::vector<SendPermitQuery> takeQueries();
  /// The leader has answered; nextChance() says what it means.
  void onReply(TimePoint now, const SendPermitReply &reply);
  /// Whatever was asked on the link has to be asked again.
  void onLinkLost(TimePoint now);
  /// \returns whether a query has gone without an answer for too long.
  bool unanswered(TimePoint now) const;

private:
  struct Known {
    /// Of the query under way; 0 for none.
    std::uint64_t Nonce = 0;
    TimePoint AskedAt;
    TimePoint NextAskAt;
    /// The permit, if there is one.
    TimePoint GoodFrom;
    TimePoint GoodUntil;
  };
  void forgetUnused(TimePoint now);

  std::map<ServerProcess, Known> Servers;
  std::vector<SendPermitQuery> Queries;
  std::uint64_t LastNonce = 0;
};

} // namespace pimentofront

#endif
