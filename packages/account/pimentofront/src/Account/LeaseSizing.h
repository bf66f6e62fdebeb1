#ifndef PIMENTOFRONT_ACCOUNT_LEASE_SIZING_H
#define PIMENTOFRONT_ACCOUNT_LEASE_SIZING_H

#include "AllotmentBucket.h"

namespace pimentofront {

/// \class LeaseSizing
/// \ingroup Account
/// \brief Strategy that decides how many units an entry is granted in advance,
/// beyond those that its waiting requests need.
class LeaseSizing {
public:
  virtual ~LeaseSizing() = default;
  /// \param desired units that the entry asks to hold for future requests.
  /// \param level units that the bucket has left after the current needs.
  /// \returns the units to grant, not above \p level.
  virtual double advance(const AllotmentBucket &bucket, double desired,
                         double level) const = 0;
};

/// \class OnDemandLeases
/// \ingroup Account
/// \brief Grants no units in advance: the entry asks the ledger for each
/// request. No entry ever holds units that it doesn't need.
class OnDemandLeases : public LeaseSizing {
public:
  double advance(const AllotmentBucket &bucket, double desired,
                 double level) const override;
};

/// \class UsageBasedLeases
/// \ingroup Account
/// \brief Grants in advance the units that an entry will use soon, estimated
/// from its recent usage, while the account is far from its limit. Its requests
/// then don't wait for the ledger, and are served for a while without a leader.
/// Near the limit, the entry asks the ledger for each request.
class UsageBasedLeases : public LeaseSizing {
public:
  double advance(const AllotmentBucket &bucket, double desired,
                 double level) const override;
};

} // namespace pimentofront

#endif
