#include "pimentofront/Serving.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {
namespace {

bool contains(const std::vector<Demand> &demands, const AdapterKey &key) {
  return std::ranges::find(demands, key, &Demand::Key) != demands.end();
}

/// A demand is sent again when its weight has grown by half or dropped by half,
/// or after this time in case a new scheduler has taken over.
constexpr Duration DemandResendPeriod = std::chrono::seconds(1);
bool changedSignificantly(const Demand &before, const Demand &now) {
  return 2 * now.Weight > 3 * before.Weight || 2 * now.Weight < before.Weight;
}

} // namespace

const Demand *highestUtilityDemand(const std::vector<Demand> &demands) {
  const auto before = [](const Demand &a, const Demand &b) {
    if (a.Utility != b.Utility)
      return a.Utility > b.Utility;
    if (a.Weight != b.Weight)
      return a.Weight > b.Weight;
    return a.Slack < b.Slack;
  };
  const auto it = std::ranges::min_element(demands, before);
  return it == demands.end() ? nullptr : &*it;
}

std::optional<AdapterKey>
UncoordinatedLoads::next(TimePoint, AgentBoard &,
                         const std::vector<Demand> &demands) {
  const Demand *it = highestUtilityDemand(demands);
  return it ? std::optional(it->Key) : std::nullopt;
}

StaticShare::StaticShare(double loadsPerSecond, std::uint32_t members)
    : LoadsPerSecond(loadsPerSecond), Members(std::max(members, 1U)) {
  assert(loadsPerSecond > 0 && "loadsPerSecond is positive");
}

std::optional<AdapterKey>
StaticShare::next(TimePoint now, AgentBoard &,
                  const std::vector<Demand> &demands) {
  if (Busy || now < NextAllowed)
    return std::nullopt;
  const Demand *it = highestUtilityDemand(demands);
  if (!it)
    return std::nullopt;
  Busy = true;
  NextAllowed = now + fromSeconds(Members / LoadsPerSecond);
  return it->Key;
}

void StaticShare::onMembers(std::uint32_t members) {
  Members = std::max(members, 1U);
}

void StaticShare::onLoadEnded(TimePoint, AgentBoard &, const AdapterKey &,
                              Duration) {
  Busy = false;
}

ScheduledLoads::ScheduledLoads(double loadsPerSecond, std::uint32_t members,
                               Duration schedulerTimeout)
    : Share(std::in_place, loadsPerSecond, members),
      SchedulerTimeout(schedulerTimeout) {}

ScheduledLoads::ScheduledLoads(LoadGate &fallback, Duration schedulerTimeout)
    : GivenFallback(&fallback), SchedulerTimeout(schedulerTimeout) {}

bool ScheduledLoads::schedulerUnavailable(TimePoint now) const {
  return UnansweredSince && now - *UnansweredSince >= SchedulerTimeout;
}

std::optional<AdapterKey>
ScheduledLoads::next(TimePoint now, AgentBoard &board,
                     const std::vector<Demand> &demands) {
  sendDemands(now, board, demands);
  while (!Tickets.empty()) {
    const LoadTicket ticket = Tickets.front();
    Tickets.erase(Tickets.begin());
    if (contains(demands, ticket.Key)) {
      SentDemands.erase(ticket.Key);
      InUse.emplace(ticket.Key, ticket);
      return ticket.Key;
    }
    returnTicket(board, ticket);
  }
  if (schedulerUnavailable(now))
    return fallback().next(now, board, demands);
  return std::nullopt;
}

void ScheduledLoads::sendDemands(TimePoint now, AgentBoard &board,
                                 const std::vector<Demand> &demands) {
  const auto send = [&](const Demand &it) {
    board.Commands.push_back(SendToScheduler{LoadDemand{
        .Host = board.Options.Host,
        .Incarnation = board.Options.Incarnation,
        .Key = it.Key,
        .WaitingWeight = it.Weight,
        .Slack = it.Slack,
    }});
  };
  for (const Demand &it : demands) {
    const auto sent = SentDemands.find(it.Key);
    const bool isNew = sent == SentDemands.end();
    if (!isNew && !changedSignificantly(sent->second.Last, it) &&
        now - sent->second.At < DemandResendPeriod)
      continue;
    send(it);
    SentDemands[it.Key] = {it, now};
    if (!UnansweredSince)
      UnansweredSince = now;
  }
  std::erase_if(SentDemands, [&](const auto &it) {
    if (contains(demands, it.first))
      return false;
    send(Demand{.Key = it.first});
    return true;
  });
  if (SentDemands.empty())
    UnansweredSince.reset();
}

void ScheduledLoads::returnTicket(AgentBoard &board, const LoadTicket &ticket) {
  board.Commands.push_back(SendToScheduler{
      LoadDone{.Host = board.Options.Host, .Ticket = ticket.Ticket}});
}

void ScheduledLoads::onTicket(TimePoint, AgentBoard &,
                              const LoadTicket &ticket) {
  UnansweredSince.reset();
  Tickets.push_back(ticket);
}

void ScheduledLoads::onStatus(TimePoint now, AgentBoard &board,
                              const LoadQueueStatus &status) {
  UnansweredSince.reset();
  board.LoadBacklog = status.Backlog;
  board.LoadBacklogAt = now;
}

void ScheduledLoads::onMembers(std::uint32_t members) {
  fallback().onMembers(members);
}

void ScheduledLoads::onLoadEnded(TimePoint now, AgentBoard &board,
                                 const AdapterKey &key, Duration took) {
  const auto it = InUse.find(key);
  if (it == InUse.end())
    return fallback().onLoadEnded(now, board, key, took);
  board.Commands.push_back(SendToScheduler{LoadDone{.Host = board.Options.Host,
                                                    .Ticket = it->second.Ticket,
                                                    .Started = true,
                                                    .Took = took}});
  InUse.erase(it);
}

} // namespace pimentofront
