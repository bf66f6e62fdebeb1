#ifndef PIMENTOFRONT_ACCOUNT_ACCOUNT_TABLE_H
#define PIMENTOFRONT_ACCOUNT_ACCOUNT_TABLE_H

#include "ClientAccount.h"

#include <unordered_map>

namespace pimentofront {

/// \class AccountTable
/// \ingroup Account
/// \brief The client accounts of one configuration, indexed for lookup in
/// constant time. Stores digests of keys, never the keys.
class AccountTable {
public:
  AccountTable() = default;
  /// \pre checkAccounts() has no findings.
  explicit AccountTable(std::vector<ClientAccount> accounts);

  /// \returns whether requests need a key, which they do if there are accounts.
  bool requiresKey() const { return !Accounts.empty(); }
  /// \returns the account that holds the key, or null. The pointer is valid for
  /// the lifetime of the table.
  const ClientAccount *findByKey(const KeyDigest &key) const;
  const ClientAccount *find(const AccountName &name) const;
  const std::vector<ClientAccount> &accounts() const { return Accounts; }

private:
  std::vector<ClientAccount> Accounts;
  std::unordered_map<KeyDigest, std::size_t> Holders;
  std::unordered_map<AccountName, std::size_t> Names;
};

} // namespace pimentofront

#endif
