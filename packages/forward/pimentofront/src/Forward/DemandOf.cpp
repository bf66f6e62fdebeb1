#include "pimentofront/Forward.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {
namespace {

std::uint32_t accountShareOf(const ClientAccount &account) {
  constexpr double MaxShare = 1e9;
  return static_cast<std::uint32_t>(
      std::clamp(account.Limit.PerSecond, 1.0, MaxShare));
}

/// Sums up the parts if the request doesn't state its number of prompt tokens.
std::uint32_t promptTokensOf(const RequestTraits &traits) {
  if (traits.HasTokenCounts)
    return traits.PromptTokens;
  return totalTokens(traits.Parts);
}

} // namespace

RequestDemand demandOf(const ForwardRequest &request) {
  assert(request.Route && "the demand of a request depends on its route");
  const RequestTraits &traits = request.Traits;
  RequestDemand demand{
      .Urgency = request.priority(),
      .PromptTokens = promptTokensOf(traits),
      .OutputTokens = traits.ExpectedOutputTokens > 0
                          ? traits.ExpectedOutputTokens
                          : traits.MaxOutputTokens,
      .PauseTarget = request.Route->PauseTarget.value_or(Duration::zero())};
  if (request.Account) {
    demand.Account = request.Account->Name;
    demand.AccountShare = accountShareOf(*request.Account);
  }
  return demand;
}

} // namespace pimentofront
