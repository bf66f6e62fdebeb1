#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

PlainDemand plainDemandOf(const ForwardRequest &request) {
  const RequestDemand demand = demandOf(request);
  return {.Key = request.Key,
          .Content = request.Content,
          .Urgency = demand.Urgency,
          .Account = demand.Account,
          .AccountShare = demand.AccountShare,
          .ArrivedAt = request.ArrivedAt,
          .Target = request.Route->LatencyTarget,
          .Deadline = request.Deadline,
          .MayWait = request.Sends == 0};
}

} // namespace

bool PlainController::isAdmitted(TimePoint now, const ForwardRequest &request,
                                 const PlainRoom &room) {
  const Duration target = request.Route->LatencyTarget;
  const AdmissionRequest asked{
      .Route = request.Route->Name,
      .Account = request.Account ? request.Account->Name : AccountName(),
      .Urgency = request.priority(),
      .Target = target > Duration::zero()
                    ? target
                    : request.Deadline - request.ArrivedAt};
  PlainAdmission &admission = Board.PlainAdmissions[request.Service];
  admission.recordArrival(now, asked, room.Reported);
  const double probability = admission.probability(now, asked);
  return probability >= 1 || Board.Jitter.uniform() < probability;
}

PlainDecision PlainController::decide(TimePoint now, ForwardRequest &request,
                                      const std::vector<ServerProcess> &avoid) {
  const PlainDemand demand = plainDemandOf(request);
  PlainQueue &queue = Board.PlainQueues[request.Service];
  const PlainRoom room = roomFor(now, request, avoid);
  if (!request.Admitted && !isAdmitted(now, request, room)) {
    const PlainOutcome outcome{.Verdict = PlainVerdict::Refuse,
                               .RetryAfter =
                                   queue.retryAfter(now, demand, room),
                               .AnswersIn = room.answersIn()};
    queue.recordRefusal(now, demand);
    return {.Choice = PlainChoice::Refuse,
            .Outcome = outcome,
            .Room = room,
            .AdmittedShare = Board.PlainAdmissions[request.Service].share()};
  }
  request.Admitted = true;
  // A request that may have run can't be refused as one that hasn't.
  if (Board.Options.QueuesPlain && !request.MayHaveRun) {
    const PlainOutcome outcome = queue.offer(now, demand, room);
    if (outcome.Verdict == PlainVerdict::Wait)
      return {.Choice = PlainChoice::Wait, .Outcome = outcome, .Room = room};
    if (outcome.Verdict == PlainVerdict::Refuse) {
      queue.recordRefusal(now, demand);
      return {.Choice = PlainChoice::Refuse, .Outcome = outcome, .Room = room};
    }
  }
  if (Board.Options.QueuesPlain && room.ReportedFull) {
    queue.recordSent(now, demand);
    return {.Choice = PlainChoice::Send,
            .Server = Board.Servers.find(room.Best)};
  }
  const auto paced =
      Board.Servers.pacedServers(now, request.Service, avoid, request.Zones);
  const bool canRetry = request.Sends + 1 < request.Route->MaxServers &&
                        Board.Budgets.canRetry(request.Service);
  ServerView *server = Board.Servers.choose(
      now, request.Service, avoid, Board.Permits, request.Zones, canRetry);
  if (server) {
    const ServerProcess process = server->Record.process();
    if (Board.Permits.has(now, process))
      Board.Permits.use(process);
  }
  for (const ServerProcess &it : paced)
    Board.Permits.requestPermit(now, it,
                                Board.Servers.feedbackOf(it).limit(now),
                                Board.Servers.coldStartOf(now, it));
  if (server) {
    queue.recordSent(now, demand);
    return {.Choice = PlainChoice::Send, .Server = server};
  }
  if (paced.empty())
    return {.Choice = PlainChoice::NoServer};
  return decideOnPermit(now, request, paced);
}

std::vector<std::uint64_t> PlainController::takeReady(TimePoint now) {
  std::vector<std::uint64_t> ready;
  for (auto &[service, queue] : Board.PlainQueues) {
    if (queue.empty())
      continue;
    const PlainRoom room = Board.Servers.plainRoom(now, service, {});
    std::ranges::copy(queue.takeReady(now, room), std::back_inserter(ready));
  }
  return ready;
}

std::vector<std::uint64_t> PlainController::takeExpired(TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (auto &[service, queue] : Board.PlainQueues)
    std::ranges::copy(queue.takeExpired(now), std::back_inserter(expired));
  return expired;
}

PlainDecision PlainController::refuse(TimePoint now,
                                      const ForwardRequest &request) {
  const PlainDemand demand = plainDemandOf(request);
  PlainQueue &queue = Board.PlainQueues[request.Service];
  const PlainRoom room = roomFor(now, request, request.Avoid);
  const PlainOutcome outcome = queue.offer(now, demand, room);
  if (outcome.Verdict == PlainVerdict::Send)
    return {.Choice = PlainChoice::Send, .Outcome = outcome, .Room = room};
  queue.remove(demand.Key);
  queue.recordRefusal(now, demand);
  return {.Choice = PlainChoice::Refuse, .Outcome = outcome, .Room = room};
}

PlainDecision
PlainController::decideOnPermit(TimePoint now, const ForwardRequest &request,
                                const std::vector<ServerProcess> &paced) const {
  const auto nextChanceOf = [&](const ServerProcess &it) {
    return Board.Permits.earliestSendTime(now, it);
  };
  const TimePoint earliest =
      nextChanceOf(*std::ranges::min_element(paced, {}, nextChanceOf));
  // The leader grants this entry one permit at a time for each server, so no
  // more requests than servers are deferred for permits.
  const auto deferred =
      std::ranges::count_if(Board.Deferred, [&](const auto key) {
        return Board.Requests.at(key).Service == request.Service;
      });
  const bool mayWait = earliest < Deferrals.deferLimit(request) &&
                       static_cast<std::size_t>(deferred) < paced.size();
  return {.Choice = mayWait ? PlainChoice::AwaitPermit : PlainChoice::NoPermit,
          .At = earliest};
}

} // namespace pimentofront
