#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {

HybridLoads::HybridLoads(const HybridLoadsOptions &options)
    : Options(options), Adaptive(options.Adaptive),
      Scheduled(Adaptive, options.SchedulerTimeout) {}

std::optional<AdapterKey>
HybridLoads::nextCopy(const std::vector<Demand> &copies) {
  if (CopyLoads.size() >= Options.MaxCopyLoads)
    return std::nullopt;
  const Demand *it = highestUtilityDemand(copies);
  if (!it)
    return std::nullopt;
  CopyLoads.insert(it->Key);
  return it->Key;
}

std::optional<AdapterKey>
HybridLoads::next(TimePoint now, AgentBoard &board,
                  const std::vector<Demand> &demands) {
  std::vector<Demand> copies;
  std::vector<Demand> others;
  for (const Demand &it : demands) {
    if (!board.LoadTimes.hasCopy(it.Key))
      others.push_back(it);
    else if (!CopyLoads.contains(it.Key))
      copies.push_back(it);
  }
  if (const auto copy = nextCopy(copies))
    return copy;
  if (!isCongested(now)) {
    // Withdraws earlier demands and returns their tickets.
    Scheduled.next(now, board, {});
    return Adaptive.next(now, board, others);
  }
  const std::optional<AdapterKey> ticket = Scheduled.next(now, board, others);
  // The loads of other agents go first: if all began now, all would be slow.
  if (!ticket && !others.empty())
    CongestedUntil =
        std::min(std::max(CongestedUntil, now + Options.CongestedWhileWaiting),
                 MaxCongestedUntil);
  return ticket;
}

void HybridLoads::onEngineReady(TimePoint now) {
  CongestedUntil = now + Options.CongestedAfterStart;
  MaxCongestedUntil = now + Options.MaxCongested;
}

void HybridLoads::onTicket(TimePoint now, AgentBoard &board,
                           const LoadTicket &ticket) {
  Scheduled.onTicket(now, board, ticket);
}

void HybridLoads::onStatus(TimePoint now, AgentBoard &board,
                           const LoadQueueStatus &status) {
  Scheduled.onStatus(now, board, status);
}

void HybridLoads::onLoadEnded(TimePoint now, AgentBoard &board,
                              const AdapterKey &key, Duration took) {
  if (CopyLoads.erase(key) > 0)
    return;
  Scheduled.onLoadEnded(now, board, key, took);
}

} // namespace pimentofront
