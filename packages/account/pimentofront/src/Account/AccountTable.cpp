#include "pimentofront/Account.h"

namespace pimentofront {

AccountTable::AccountTable(std::vector<ClientAccount> accounts)
    : Accounts(std::move(accounts)) {
  for (std::size_t i = 0; i < Accounts.size(); ++i) {
    Names.emplace(Accounts[i].Name, i);
    for (const KeyDigest &it : Accounts[i].Keys)
      Holders.emplace(it, i);
  }
}

const ClientAccount *AccountTable::findByKey(const KeyDigest &key) const {
  const auto it = Holders.find(key);
  return it == Holders.end() ? nullptr : &Accounts[it->second];
}

const ClientAccount *AccountTable::find(const AccountName &name) const {
  const auto it = Names.find(name);
  return it == Names.end() ? nullptr : &Accounts[it->second];
}

} // namespace pimentofront
