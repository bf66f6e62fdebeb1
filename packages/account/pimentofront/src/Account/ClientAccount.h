#ifndef PIMENTOFRONT_ACCOUNT_CLIENT_ACCOUNT_H
#define PIMENTOFRONT_ACCOUNT_CLIENT_ACCOUNT_H

#include "KeyDigest.h"

#include <optional>
#include <vector>

namespace pimentofront {

/// What an allotment counts.
enum class AllotmentUnit : std::uint8_t {
  Request,
  /// Tokens of the prompt plus the maximum that may be generated.
  Token,
};

/// \class Allotment
/// \ingroup Account
/// \brief How much a client account may send, over all entries together.
struct Allotment {
  AllotmentUnit Unit = AllotmentUnit::Request;
  /// Units a second; 0 means no limit.
  double PerSecond = 0;
  /// Maximum number of unused units that accumulate.
  double Burst = 0;
  /// Units of a request that doesn't state its tokens.
  double PlainTokens = 0;
  friend auto operator<=>(const Allotment &, const Allotment &) = default;

  bool limited() const { return PerSecond > 0; }
  /// \returns the units of a request. \p tokens is empty if the request doesn't
  /// state them.
  double unitsOf(std::optional<double> tokens) const;
};

/// \class ClientAccount
/// \ingroup Account
/// \brief A customer of the embedding product, who sends requests with one of
/// its keys.
struct ClientAccount {
  AccountName Name;
  /// Digests of its keys; if empty, the account can't send requests any more.
  std::vector<KeyDigest> Keys;
  /// Overrides the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> Priority;
  Allotment Limit;
  /// Regions in which its requests may be served; empty means all regions.
  std::vector<RegionName> Regions;
  friend auto operator<=>(const ClientAccount &,
                          const ClientAccount &) = default;
};

/// Adds a finding for each error that makes the accounts unusable: a name that
/// is missing or occurs twice, or a key that two accounts hold. No finding
/// contains a key.
void checkAccounts(const std::vector<ClientAccount> &accounts,
                   Findings &findings);

} // namespace pimentofront

#endif
