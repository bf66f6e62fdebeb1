#include "pimentofront/Serving.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {

AccountShares::AccountShares(std::size_t maxAccounts)
    : MaxAccounts(maxAccounts), Accounts(Overflow + 1) {
  assert(maxAccounts > 0 && "at least one account must be counted");
}

double AccountShares::lowestServed() const {
  double lowest = LastServed;
  bool found = false;
  for (std::size_t i = Overflow; i < Accounts.size(); ++i) {
    const Account &it = Accounts[i];
    if (it.Waiting == 0 || (found && it.Served >= lowest))
      continue;
    lowest = it.Served;
    found = true;
  }
  return lowest;
}

AccountShares::Id AccountShares::find(const AccountName &name) {
  const auto it = Ids.find(name);
  return it == Ids.end() ? add(name) : it->second;
}

AccountShares::Id AccountShares::add(const AccountName &name) {
  if (Ids.size() < MaxAccounts) {
    const Id id = static_cast<Id>(Accounts.size());
    Accounts.push_back({.Name = name});
    Ids.emplace(name, id);
    return id;
  }
  // The counter that is lowest would be lifted most on its next use, so
  // forgetting it changes the least.
  Id victim = NoAccount;
  for (Id i = Overflow + 1; i < Accounts.size(); ++i)
    if (Accounts[i].Waiting == 0 &&
        (victim == NoAccount || Accounts[i].Served < Accounts[victim].Served))
      victim = i;
  if (victim == NoAccount)
    return Overflow;
  Ids.erase(Accounts[victim].Name);
  Accounts[victim] = {.Name = name};
  Ids.emplace(name, victim);
  return victim;
}

AccountShares::Activity AccountShares::enter(const AccountName &account,
                                             std::uint32_t share) {
  if (account.empty())
    return {};
  const Id id = find(account);
  Account &it = Accounts[id];
  it.Share = std::max(share, 1U);
  if (it.Waiting == 0)
    it.Served = std::max(it.Served, lowestServed());
  ++it.Waiting;
  return {*this, id};
}

void AccountShares::leave(Id id) {
  Account &it = Accounts[id];
  assert(it.Waiting > 0 && "each request leaves as often as it entered");
  --it.Waiting;
  LastServed = it.Served;
}

void AccountShares::charge(Id account, std::uint64_t tokens) {
  if (account == NoAccount)
    return;
  Account &it = Accounts[account];
  it.Served += static_cast<double>(tokens) / it.Share;
}

} // namespace pimentofront
