#include "pimentofront/Account.h"

#include <unordered_map>
#include <unordered_set>

namespace pimentofront {
namespace {

std::string locationOf(std::size_t account, const std::string &field) {
  return "/accounts/" + std::to_string(account) + "/" + field;
}

/// Maps a key to the position in the list of the account that holds it.
using KeyHolders = std::unordered_map<KeyDigest, std::size_t>;

void checkKeys(const std::vector<ClientAccount> &accounts, std::size_t i,
               KeyHolders &holders, Findings &findings) {
  const std::vector<KeyDigest> &keys = accounts[i].Keys;
  for (std::size_t k = 0; k < keys.size(); ++k) {
    const auto [it, isNew] = holders.emplace(keys[k], i);
    if (isNew || it->second == i)
      continue;
    findings.add(locationOf(i, "keys/" + std::to_string(k)),
                 "the same key as one of account '" +
                     accounts[it->second].Name.str() + "'");
  }
}

} // namespace

double Allotment::unitsOf(std::optional<double> tokens) const {
  if (Unit == AllotmentUnit::Request)
    return 1;
  return tokens.value_or(PlainTokens);
}

void checkAccounts(const std::vector<ClientAccount> &accounts,
                   Findings &findings) {
  std::unordered_set<AccountName> names;
  KeyHolders holders;
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    const AccountName &name = accounts[i].Name;
    if (name.empty())
      findings.add(locationOf(i, "name"), "expected a name");
    else if (!names.insert(name).second)
      findings.add(locationOf(i, "name"),
                   "account '" + name.str() + "' stands twice");
    checkKeys(accounts, i, holders, findings);
  }
}

} // namespace pimentofront
