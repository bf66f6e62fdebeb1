#include "pimentofront/Forward.h"

namespace pimentofront {

bool AccountController::knowsNewest(TimePoint now) const {
  return Board.Configuration.isConfirmed(now) && !Board.TableOutdated;
}

bool AccountController::mayAcceptKeys(TimePoint now) const {
  return !Board.TableOutdated &&
         Board.confirmedWithin(now, Board.Options.RevocationBound);
}

bool AccountController::ready(TimePoint now) const {
  const bool requiresKey = Board.Table && Board.Table->accounts().requiresKey();
  return !requiresKey ||
         (!Board.TableOutdated &&
          Board.confirmedWellWithin(now, Board.Options.RevocationBound));
}

KeyStatus AccountController::identify(TimePoint now, ForwardRequest &request) {
  const AccountTable &accounts = request.Table->accounts();
  if (!accounts.requiresKey() || request.Route->Public)
    return KeyStatus::Known;
  const auto &key = request.Traits.Key;
  request.Account = key ? accounts.findByKey(*key) : nullptr;
  if (request.Account)
    return mayAcceptKeys(now) ? KeyStatus::Known : KeyStatus::Outdated;
  return knowsNewest(now) ? KeyStatus::Unknown : KeyStatus::Undecided;
}

double AccountController::unitsOf(const ForwardRequest &request) const {
  const RequestTraits &traits = request.Traits;
  const double tokens = static_cast<double>(traits.PromptTokens) +
                        static_cast<double>(traits.MaxOutputTokens);
  return request.Account->Limit.unitsOf(
      traits.HasTokenCounts ? std::optional(tokens) : std::nullopt);
}

bool AccountController::charge(TimePoint now, ForwardRequest &request) {
  if (!request.Account || !request.Account->Limit.limited())
    return true;
  request.Charge = Board.Leases.reserveUnits(now, request.Key, *request.Account,
                                             unitsOf(request));
  return request.Charge.CurrentState == AllotmentCharge::State::Reserved;
}

std::vector<AllotmentDecision>
AccountController::onGrants(TimePoint now, const AllotmentGrants &grants) {
  std::vector<AllotmentDecision> decisions = Board.Leases.onGrants(now, grants);
  for (const AllotmentDecision &it : decisions)
    Board.Requests.at(it.Key).Charge = it.Charge;
  return decisions;
}

void AccountController::onSend(TimePoint now, ForwardRequest &request) {
  if (request.Charged)
    Board.Leases.spendAgain(now, *request.Account, unitsOf(request));
}

void AccountController::onMayHaveRun(ForwardRequest &request) {
  if (request.Charge.CurrentState != AllotmentCharge::State::Reserved)
    return;
  Board.Leases.spend(request.Charge);
  request.Charged = true;
}

void AccountController::onFinished(TimePoint now, ForwardRequest &request) {
  Board.Leases.release(now, request.Key, request.Charge);
}

} // namespace pimentofront
