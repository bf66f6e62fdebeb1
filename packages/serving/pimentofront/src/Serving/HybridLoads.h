#ifndef PIMENTOFRONT_SERVING_HYBRID_LOADS_H
#define PIMENTOFRONT_SERVING_HYBRID_LOADS_H

#include "AdaptiveLoads.h"

namespace pimentofront {

/// \class HybridLoadsOptions
/// \ingroup Serving
struct HybridLoadsOptions {
  AdaptiveLoadsOptions Adaptive;
  /// How long the store counts as congested after an engine has started. After
  /// a loss of power, loading what all engines lack takes about four seconds.
  Duration CongestedAfterStart = std::chrono::seconds(5);
  /// How long the store counts as congested after a load had to wait for its
  /// ticket.
  Duration CongestedWhileWaiting = std::chrono::seconds(1);
  /// The store counts as congested for at most this long after the engine has
  /// started. Where demand exceeds the store's capacity for good, adapters for
  /// which few requests wait would otherwise never be loaded.
  Duration MaxCongested = std::chrono::seconds(8);
  /// A scheduler that has not answered for this time is unavailable. That is
  /// hundreds of round trips within a region, and less than the time of one
  /// load.
  Duration SchedulerTimeout = std::chrono::milliseconds(150);
  /// Maximum number of concurrent loads of adapters that the engine has a copy
  /// of; these don't use the store.
  std::size_t MaxCopyLoads = 4;
};

/// \class HybridLoads
/// \ingroup Serving
/// \brief Loads by the scheduler's tickets while the adapters of an engine that
/// has just started are loaded, and without tickets afterwards.
///
/// An agent can't begin fewer than one load at a time. With more agents than
/// the store serves at full speed, limiting each agent does not help, and
/// popular adapters are loaded as late as rare ones: with 117 agents and a
/// store that serves 40 loads at full speed, loads took four to five times as
/// long for four seconds after a loss of power. The scheduler orders the loads
/// of all agents by how many callers wait, and learns how many the store
/// serves.
///
/// Afterwards tickets would cost messages, and when the store was at its limit
/// for a whole day, requests for adapters that few waited for were delayed
/// until their callers gave up. While the scheduler is unavailable, each agent
/// limits its loads by its own measurements. Loads of copies that the engine
/// has are neither requested from the scheduler nor counted.
class HybridLoads : public LoadGate {
public:
  explicit HybridLoads(const HybridLoadsOptions &options);

  std::optional<AdapterKey> next(TimePoint now, AgentBoard &board,
                                 const std::vector<Demand> &demands) override;
  void onEngineReady(TimePoint now) override;
  void onTicket(TimePoint now, AgentBoard &board,
                const LoadTicket &ticket) override;
  void onStatus(TimePoint now, AgentBoard &board,
                const LoadQueueStatus &status) override;
  void onLoadEnded(TimePoint now, AgentBoard &board, const AdapterKey &key,
                   Duration took) override;
  bool isCongested(TimePoint now) const { return now < CongestedUntil; }

private:
  /// \returns which of \p copies, adapters that the engine has a copy of, may
  /// be loaded now.
  std::optional<AdapterKey> nextCopy(const std::vector<Demand> &copies);

  HybridLoadsOptions Options;
  AdaptiveLoads Adaptive;
  ScheduledLoads Scheduled;
  TimePoint CongestedUntil;
  /// Latest time until which the store counts as congested.
  TimePoint MaxCongestedUntil;
  /// Adapters that are being loaded from a copy that the engine has.
  std::set<AdapterKey> CopyLoads;
};

} // namespace pimentofront

#endif
