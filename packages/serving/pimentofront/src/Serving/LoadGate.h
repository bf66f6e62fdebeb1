#ifndef PIMENTOFRONT_SERVING_LOAD_GATE_H
#define PIMENTOFRONT_SERVING_LOAD_GATE_H

#include "AgentBoard.h"

namespace pimentofront {

/// \class Demand
/// \ingroup Serving
/// \brief Requests at this agent that wait for one adapter.
struct Demand {
  AdapterKey Key;
  std::uint32_t Weight = 0;
  /// Time until the first of them misses its first-event target or reaches its
  /// maximum wait for an adapter.
  Duration Slack = Duration::zero();
  /// Utility of a load that begins now: the weight of the requests that it lets
  /// be on time, and a part of the weight of the others.
  double Utility = 0;
  friend auto operator<=>(const Demand &, const Demand &) = default;
};

/// \returns the demand whose load has the highest utility, then the one with
/// the most weight waiting, then the one with the least slack; null when there
/// is none. Ordering by slack alone would, while the store is congested, load
/// each adapter just too late.
const Demand *highestUtilityDemand(const std::vector<Demand> &demands);

/// \class LoadGate
/// \ingroup Serving
/// \brief Decides which adapter this agent may load now: how the agents share
/// the weight store.
class LoadGate {
public:
  virtual ~LoadGate() = default;
  /// \returns a demand whose load may begin now. \p demands are those for which
  /// a slot is available.
  virtual std::optional<AdapterKey>
  next(TimePoint now, AgentBoard &board,
       const std::vector<Demand> &demands) = 0;
  /// The engine has become ready and may still have to load every adapter that
  /// requests need.
  virtual void onEngineReady(TimePoint) {}
  virtual void onTicket(TimePoint, AgentBoard &, const LoadTicket &) {}
  virtual void onStatus(TimePoint, AgentBoard &, const LoadQueueStatus &) {}
  virtual void onMembers(std::uint32_t) {}
  /// A load that next() allowed to begin has ended.
  virtual void onLoadEnded(TimePoint, AgentBoard &, const AdapterKey &,
                           Duration) {}
};

/// \class UncoordinatedLoads
/// \ingroup Serving
/// \brief Begins a load for every demand at once; a baseline.
class UncoordinatedLoads : public LoadGate {
public:
  std::optional<AdapterKey> next(TimePoint now, AgentBoard &board,
                                 const std::vector<Demand> &demands) override;
};

/// \class StaticShare
/// \ingroup Serving
/// \brief Gives each agent a fixed share of the weight store's rate, one load
/// at a time; the default fallback while the scheduler is unavailable.
class StaticShare : public LoadGate {
public:
  /// \param loadsPerSecond total rate that the weight store allows.
  /// \param members number of agents that share it, until onMembers() reports
  /// another one.
  StaticShare(double loadsPerSecond, std::uint32_t members);
  std::optional<AdapterKey> next(TimePoint now, AgentBoard &board,
                                 const std::vector<Demand> &demands) override;
  void onMembers(std::uint32_t members) override;
  void onLoadEnded(TimePoint now, AgentBoard &board, const AdapterKey &key,
                   Duration took) override;

private:
  double LoadsPerSecond;
  std::uint32_t Members;
  bool Busy = false;
  TimePoint NextAllowed;
};

/// \class ScheduledLoads
/// \ingroup Serving
/// \brief Begins a load when the central scheduler issues a ticket for it.
/// Falls back to another gate (a StaticShare if none is given) when the
/// scheduler has not answered for too long.
class ScheduledLoads : public LoadGate {
public:
  /// \param schedulerTimeout time without an answer after which the scheduler
  /// counts as unavailable.
  ScheduledLoads(double loadsPerSecond, std::uint32_t members,
                 Duration schedulerTimeout = std::chrono::seconds(2));
  /// \param fallback decides while the scheduler is unavailable; must outlive
  /// this gate.
  ScheduledLoads(LoadGate &fallback, Duration schedulerTimeout);
  std::optional<AdapterKey> next(TimePoint now, AgentBoard &board,
                                 const std::vector<Demand> &demands) override;
  void onTicket(TimePoint now, AgentBoard &board,
                const LoadTicket &ticket) override;
  void onStatus(TimePoint now, AgentBoard &board,
                const LoadQueueStatus &status) override;
  void onMembers(std::uint32_t members) override;
  void onLoadEnded(TimePoint now, AgentBoard &board, const AdapterKey &key,
                   Duration took) override;

private:
  void sendDemands(TimePoint now, AgentBoard &board,
                   const std::vector<Demand> &demands);
  void returnTicket(AgentBoard &board, const LoadTicket &ticket);
  bool schedulerUnavailable(TimePoint now) const;
  /// \returns the gate that decides while the scheduler is unavailable.
  LoadGate &fallback() { return GivenFallback ? *GivenFallback : *Share; }

  struct SentDemand {
    Demand Last;
    TimePoint At;
  };
  std::optional<StaticShare> Share;
  LoadGate *GivenFallback = nullptr;
  Duration SchedulerTimeout;
  /// When the first demand was sent since the scheduler's last message; empty
  /// if none was sent or no demand is left.
  std::optional<TimePoint> UnansweredSince;
  std::map<AdapterKey, SentDemand> SentDemands;
  std::vector<LoadTicket> Tickets;
  std::map<AdapterKey, LoadTicket> InUse;
};

} // namespace pimentofront

#endif
