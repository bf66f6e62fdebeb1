#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

double StrideOrder::passOf(const KindName &kind) const {
  const auto it = Passes.find(kind);
  return it == Passes.end() ? CurrentPass : std::max(it->second, CurrentPass);
}

RequestOrder::Choice
StrideOrder::choose(std::span<const OrderCandidate> candidates) const {
  std::size_t best = 0;
  double lowest = passOf(candidates[0].Attempt->Request.Kind);
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const double pass = passOf(candidates[i].Attempt->Request.Kind);
    if (pass > lowest ||
        (pass == lowest &&
         candidates[i].Attempt->Deadline >= candidates[best].Attempt->Deadline))
      continue;
    best = i;
    lowest = pass;
  }
  return {.Position = best};
}

void StrideOrder::onStarted(const OrderCandidate &started, Turn) {
  const ExecuteRequest &request = started.Attempt->Request;
  CurrentPass = passOf(request.Kind);
  Passes[request.Kind] = CurrentPass + 1.0 / std::max(request.Weight, 1U);
}

} // namespace pimentofront
