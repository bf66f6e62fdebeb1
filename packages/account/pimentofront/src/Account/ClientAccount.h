#ifndef PIMENTOFRONT_ACCOUNT_CLIENT_ACCOUNT_H
#define PIMENTOFRONT_ACCOUNT_CLIENT_ACCOUNT_H

#include "KeyDigest.h"

#include <optional>
#include <vector>

namespace pimentofront {

/// What an allotment counts.
enum class AllotmentUnit : std::uint8_t {
  Request,
  /// Tokens of the prompt, and the most that may be generated.
  Token,
};

/// \class Allotment
/// \ingroup Account
/// \brief How much a client account may send, over all entries together.
struct Allotment {
  AllotmentUnit Unit = AllotmentUnit::Request;
  /// Units a second; 0 stands for no limit.
  double PerSecond = 0;
  /// Units that may be saved up.
  double Burst = 0;
  /// What a request counts that doesn't tell its tokens.
  double PlainTokens = 0;
  friend auto operator<=>(const Allotment &, const Allotment &) = default;

  bool limited() const { return PerSecond > 0; }
  /// \returns the units of a request with \p tokens, if it tells them.
  double unitsOf(std::optional<double> tokens) const;
};

/// \class ClientAccount
/// \ingroup Account
/// \brief A customer of the embedding product, who sends requests with one of
/// its keys.
struct ClientAccount {
  AccountName Name;
  /// None: nobody may send under its name any more.
  std::vector<KeyDigest> Keys;
  /// Goes before the priority of a route; 0 is the most urgent.
  std::optional<std::uint32_t> Priority;
  Allotment Limit;
  /// Its requests may be served in these regions only; none: everywhere.
  std::vector<RegionName> Regions;
  friend auto operator<=>(const ClientAccount &,
                          const ClientAccount &) = default;
};

/// Adds a finding for each thing that makes the accounts unusable: a name that
/// is missing or stands twice, a key that two accounts hold. No finding names
/// a key.
void checkAccounts(const std::vector<ClientAccount> &accounts,
                   Findings &findings);

} // namespace pimentofront

#endif
