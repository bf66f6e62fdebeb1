#ifndef PIMENTOFRONT_SERVING_ACCOUNT_SHARES_H
#define PIMENTOFRONT_SERVING_ACCOUNT_SHARES_H

#include "pimentofront/Base.h"

#include <unordered_map>
#include <utility>
#include <vector>

namespace pimentofront {

/// \class AccountShares
/// \ingroup Serving
/// \brief Counts the service that each client account has received from one
/// engine, so that accounts which compete for it get shares in proportion to
/// their allotments: the virtual token counter of Sheng et al., "Fairness in
/// Serving Large Language Models" (OSDI 2024).
///
/// An account is active while at least one of its requests waits. The engine is
/// never left idle for the sake of a share: the counters only decide who goes
/// first. An account that becomes active is lifted to the lowest counter of the
/// active ones, so idle time earns no credit.
///
/// Use it where the contention is. It doesn't bound the total that an account
/// sends to the fleet; allotments do.
class AccountShares {
public:
  /// Index of an account. Valid while the account is active.
  using Id = std::uint32_t;
  /// Requests that belong to no account.
  static constexpr Id NoAccount = 0;

  /// \class Activity
  /// \brief Keeps an account active as long as it exists.
  class Activity {
  public:
    Activity() = default;
    Activity(AccountShares &shares, Id id) : Shares(&shares), Account(id) {}
    Activity(Activity &&other) noexcept
        : Shares(std::exchange(other.Shares, nullptr)), Account(other.Account) {
    }
    Activity &operator=(Activity &&other) noexcept {
      std::swap(Shares, other.Shares);
      std::swap(Account, other.Account);
      return *this;
    }
    ~Activity() {
      if (Shares)
        Shares->leave(Account);
    }
    Id id() const { return Account; }

  private:
    AccountShares *Shares = nullptr;
    Id Account = NoAccount;
  };

  /// \param maxAccounts number of accounts whose counters are kept. Beyond it
  /// an inactive account is forgotten; if all are active, further accounts
  /// share one counter.
  explicit AccountShares(std::size_t maxAccounts = 1024);
  AccountShares(const AccountShares &) = delete;
  AccountShares &operator=(const AccountShares &) = delete;

  /// A request of \p account begins to wait.
  /// \param share weight relative to other accounts; a change applies to later
  /// service only.
  Activity enter(const AccountName &account, std::uint32_t share);
  /// The engine starts work of \p tokens for the account.
  void charge(Id account, std::uint64_t tokens);
  /// \returns the service that the account has received, in tokens per unit of
  /// its share. Only differences between accounts have a meaning.
  double served(Id account) const { return Accounts[account].Served; }
  double share(Id account) const { return Accounts[account].Share; }
  /// \returns the number of accounts whose counters are kept.
  std::size_t size() const { return Ids.size(); }

private:
  struct Account {
    AccountName Name;
    double Share = 1;
    double Served = 0;
    std::uint32_t Waiting = 0;
  };
  /// All accounts beyond the maximum number.
  static constexpr Id Overflow = 1;

  Id find(const AccountName &name);
  Id add(const AccountName &name);
  /// \returns the lowest counter of the active accounts; if there are none, the
  /// counter of the account that was active last.
  double lowestServed() const;
  void leave(Id id);

  std::size_t MaxAccounts;
  std::vector<Account> Accounts;
  std::unordered_map<AccountName, Id> Ids;
  double LastServed = 0;
};

} // namespace pimentofront

#endif
