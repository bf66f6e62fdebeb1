#ifndef PIMENTOFRONT_SERVING_DISPLACEMENT_POLICY_H
#define PIMENTOFRONT_SERVING_DISPLACEMENT_POLICY_H

#include "AgentBoard.h"

namespace pimentofront {

/// \class QueueState
/// \ingroup Serving
/// \brief The queue of an engine as an arriving request finds it.
struct QueueState {
  std::vector<const WaitingAttempt *> Waiting;
  /// Maximum number of waiting requests.
  std::size_t Limit = 0;
  /// Time until the engine has processed the prompts that were sent to it.
  Duration EngineWait = Duration::zero();
  double TokensPerSecond = 1;
};

/// \class DisplacementPolicy
/// \ingroup Serving
/// \brief Decides which waiting requests yield when an arriving one takes the
/// queue beyond what can be served: beyond its limit, or beyond what the engine
/// can process before the deadlines.
///
/// Only requests that the engine hasn't been given can yield, so a displaced
/// request has truly not run. It yields to a more urgent one, or to an equally
/// urgent one of another account if its own account has received and waits for
/// more, relative to its share. A request that was displaced once, at any
/// agent, keeps its place.
class DisplacementPolicy {
public:
  struct Decision {
    /// The requests compete by urgency or account. Otherwise the queue is
    /// served in order of arrival, and this policy decides nothing.
    bool Applies = false;
    /// The arriving request can be served.
    bool Admits = true;
    std::vector<const WaitingAttempt *> Displaced;
    /// Time until the engine has processed all prompts that remain.
    Duration Wait = Duration::zero();
  };

  /// \param accounts must outlive the policy.
  explicit DisplacementPolicy(const AccountShares &accounts)
      : Accounts(accounts) {}

  Decision decide(TimePoint now, const WaitingAttempt &arrival,
                  const QueueState &queue) const;

private:
  /// Work that each account has received and asks for in the queue, relative
  /// to its share. Service alone would let one account fill the queue.
  struct Claims {
    std::unordered_map<AccountShares::Id, double> ByAccount;
    /// Work of the largest request relative to the share of its account.
    double Largest = 0;
  };
  Claims claimsOf(const WaitingAttempt &arrival, const QueueState &queue) const;
  static bool yields(const WaitingAttempt &waiting,
                     const WaitingAttempt &arrival, const Claims &claims);
  /// \returns whether \p a is displaced before \p b.
  static bool yieldsBefore(const WaitingAttempt &a, const WaitingAttempt &b,
                           const Claims &claims);
  void displace(TimePoint now, const WaitingAttempt &arrival,
                const QueueState &queue, Decision &result) const;

  const AccountShares &Accounts;
};

} // namespace pimentofront

#endif
