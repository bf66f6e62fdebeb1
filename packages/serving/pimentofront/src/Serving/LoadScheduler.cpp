#include "pimentofront/Serving.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numbers>

namespace pimentofront {
namespace {

constexpr Duration ArrivalHalfLife = std::chrono::seconds(20);
/// Bounds the table of arrivals; higher weights count as this one.
constexpr std::uint32_t MaxCountedWeight = 256;

} // namespace

LoadScheduler::LoadScheduler(const LoadSchedulerOptions &options)
    : Options(options), LoadTime(options.LoadTime) {
  assert(options.LoadsPerSecond > 0 && "LoadsPerSecond is positive");
  assert(options.Concurrent > 0 && "Concurrent is at least 1");
}

LoadScheduler::Rank LoadScheduler::rankOf(TimePoint now,
                                          const Waiting &waiting) const {
  return {.Infeasible =
              !Options.MeasuresCapacity && waiting.Deadline < now + LoadTime,
          .NegativeScore = -static_cast<double>(waiting.Weight),
          .Since = waiting.Since};
}

LoadQueueStatus LoadScheduler::onDemand(TimePoint now,
                                        const LoadDemand &demand) {
  const DemandId id{demand.Host, demand.Key};
  if (demand.WaitingWeight == 0) {
    Demands.erase(id);
    return {.Key = demand.Key};
  }
  const auto [it, isNew] = Demands.try_emplace(id);
  Waiting &waiting = it->second;
  if (isNew) {
    waiting.Since = now;
    recordArrival(now, demand.WaitingWeight);
  }
  waiting.Weight = demand.WaitingWeight;
  waiting.Deadline = now + demand.Slack;
  waiting.LastReceivedAt = now;
  // With `MeasuresCapacity` the scheduler only decides the order and reports no
  // wait.
  if (Options.MeasuresCapacity)
    return {.Key = demand.Key};
  const Rank rank = rankOf(now, waiting);
  std::size_t ahead = Issued.size();
  for (const auto &[other, theirs] : Demands)
    // Of equals, the earlier ones go first.
    if (other != id && rankOf(now, theirs) <= rank)
      ++ahead;
  // Demands of a higher weight that arrive later lengthen the wait (formula for
  // a priority queue, Cobham, 1954).
  constexpr double MaxOvertakingShare = 0.95;
  const double overtaking =
      std::min(overtakingShare(now, waiting.Weight), MaxOvertakingShare);
  const double wait = toSeconds(timePerLoad()) * static_cast<double>(ahead);
  return {.Key = demand.Key, .Backlog = fromSeconds(wait / (1 - overtaking))};
}

Duration LoadScheduler::timePerLoad() const {
  return std::max(LoadTime / Options.Concurrent,
                  fromSeconds(1 / Options.LoadsPerSecond));
}

void LoadScheduler::recordArrival(TimePoint now, std::uint32_t weight) {
  Arrivals &arrivals = ArrivalsByWeight[std::min(weight, MaxCountedWeight)];
  const double decay = decayFactor(now - arrivals.At, ArrivalHalfLife);
  arrivals.Count = arrivals.Count * decay + 1;
  arrivals.At = now;
}

double LoadScheduler::overtakingShare(TimePoint now,
                                      std::uint32_t weight) const {
  double perSecond = 0;
  for (auto it = ArrivalsByWeight.upper_bound(weight);
       it != ArrivalsByWeight.end(); ++it)
    perSecond += it->second.Count *
                 decayFactor(now - it->second.At, ArrivalHalfLife) *
                 std::numbers::ln2 / toSeconds(ArrivalHalfLife);
  return perSecond * toSeconds(timePerLoad());
}

void LoadScheduler::onDone(TimePoint now, const LoadDone &done) {
  const auto it = Issued.find(done.Ticket);
  if (it == Issued.end())
    return;
  const Outstanding load = it->second;
  Issued.erase(it);
  if (Options.MeasuresCapacity)
    return updateWindow(now, load, done.Took);
  constexpr int SmoothingDivisor = 8;
  if (done.Started)
    LoadTime += (done.Took - LoadTime) / SmoothingDivisor;
  else
    NextAllowed = now; // The weight store wasn't used.
}

std::size_t LoadScheduler::limit() const {
  if (!Options.MeasuresCapacity)
    return Options.Concurrent;
  if (!SlowStart)
    return static_cast<std::size_t>(Window);
  std::set<HostName> hosts;
  for (const auto &[id, it] : Demands)
    hosts.insert(id.Host);
  for (const auto &[ticket, it] : Issued)
    hosts.insert(it.Host);
  const double share =
      Options.SlowStartHostShare * static_cast<double>(hosts.size());
  const double minimum = std::max<double>(share, Options.Concurrent);
  return static_cast<std::size_t>(std::max(Window, minimum));
}

void LoadScheduler::updateWindow(TimePoint now, const Outstanding &load,
                                 Duration took) {
  const std::optional<double> slowdown = Slowdown.record(took);
  if (!slowdown)
    return;
  Window = std::max(Window, static_cast<double>(limit()));
  if (*slowdown > Options.SlowFactor) {
    if (load.IssuedAt < LastDecreaseAt)
      return;
    SlowStart = false;
    constexpr double Half = 0.5;
    const double factor = std::max(Options.DecreaseHeadroom / *slowdown, Half);
    Window = std::max(Window * factor, 1.0);
    LastDecreaseAt = now;
    return;
  }
  // While no demand waits, a higher limit would not let more loads begin.
  if (Demands.empty())
    return;
  constexpr double GrowthEachRound = 2;
  Window += SlowStart ? Options.SlowStartGrowth : GrowthEachRound / Window;
}

void LoadScheduler::removeHost(const HostName &host) {
  std::erase_if(Demands, [&](const auto &it) { return it.first.Host == host; });
  std::erase_if(Issued, [&](const auto &it) { return it.second.Host == host; });
}

void LoadScheduler::expire(TimePoint now) {
  std::erase_if(Demands, [&](const auto &it) {
    return it.second.LastReceivedAt + Options.DemandLifetime < now;
  });
  std::erase_if(Issued, [&](const auto &it) {
    return it.second.IssuedAt + LoadTime * Options.TicketLifetimeInLoadTimes <
           now;
  });
}

std::vector<IssuedTicket> LoadScheduler::run(TimePoint now) {
  expire(now);
  std::vector<IssuedTicket> result;
  // A ticket moves its host from the demands to the issued tickets, so the
  // number of hosts, and with it the limit, stays the same within this loop.
  const std::size_t maxIssued = limit();
  while (Issued.size() < maxIssued && now >= NextAllowed && !Demands.empty()) {
    const auto best = std::ranges::min_element(
        Demands, {}, [&](const auto &it) { return rankOf(now, it.second); });
    const std::uint64_t number = ++LastTicket;
    Issued.emplace(number, Outstanding{best->first.Host, now});
    result.push_back({best->first.Host, {number, best->first.Key}});
    Demands.erase(best);
    if (!Options.MeasuresCapacity)
      NextAllowed = now + fromSeconds(1 / Options.LoadsPerSecond);
  }
  return result;
}

} // namespace pimentofront
