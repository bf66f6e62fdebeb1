#include "pimentofront/Serving.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Reported eviction cost when there is no slot to evict.
constexpr double MaxVictimValue = 1e6;

/// Adds jitter to a retry-after, so that refused callers do not return at the
/// same time.
Duration withJitter(Random &random, Duration d) {
  constexpr Duration Shortest = std::chrono::milliseconds(50);
  return random.jitter(std::max(d, Shortest));
}

} // namespace

Duration AdmissionController::queueWait(TimePoint now) const {
  const Duration pacerWait = Board.Pacer.wait(now, Board.WaitingCount);
  const std::uint32_t capacity = std::max(Board.BatchCapacity, 1U);
  const std::size_t ahead = Board.runningOnEngine() + Board.WaitingCount;
  if (ahead < capacity)
    return pacerWait;
  const auto excess = static_cast<std::int64_t>(ahead - capacity + 1);
  return std::max(pacerWait, Board.ServiceTime * excess / capacity);
}

bool AdmissionController::exceedsRateLimit(TimePoint now, std::size_t ahead,
                                           Duration remaining) const {
  const Duration longest =
      fromSeconds(toSeconds(remaining) * Board.Options.StallShare);
  return Board.Pacer.wait(now, ahead) > longest;
}

void AdmissionController::refuseBeyondRateLimit(TimePoint now) {
  if (!Board.Pacer.isPacing(now))
    return;
  std::vector<const WaitingAttempt *> waiting;
  for (const auto &[key, queue] : Board.Waiting)
    for (const WaitingAttempt &it : queue)
      waiting.push_back(&it);
  std::ranges::sort(waiting, {}, &WaitingAttempt::ArrivedAt);
  std::vector<const WaitingAttempt *> refused;
  std::size_t ahead = 0;
  for (const WaitingAttempt *it : waiting) {
    if (exceedsRateLimit(now, ahead, it->Deadline - now))
      refused.push_back(it);
    else
      ++ahead;
  }
  if (refused.empty())
    return;
  const AgentLoad load = currentLoad(now);
  std::vector<AttemptId> attempts;
  for (const WaitingAttempt *it : refused) {
    refuse(now, *it, {RefusalReason::RateLimited, Board.Pacer.wait(now, ahead)},
           load);
    attempts.push_back(it->Request.Attempt);
  }
  for (const AttemptId &it : attempts)
    removeWaiting(it);
}

AgentLoad AdmissionController::currentLoad(TimePoint now) const {
  // Without a slot to evict, a load would have to wait for one.
  double victim = Board.Slots.hasEmpty() ? 0 : MaxVictimValue;
  for (const Slot &it : Board.Slots.all())
    if (mayEvict(it, Board.Waiting))
      victim = std::min(victim, Board.Popularity.valueOf(now, it.Key));
  constexpr double Thousand = 1000;
  return {.Running = Board.runningOnEngine(),
          .Queued = static_cast<std::uint32_t>(Board.WaitingCount),
          .BatchCapacity = Board.BatchCapacity,
          .LoadWait = loadBacklog(now),
          .VictimValue = static_cast<std::uint32_t>(victim * Thousand),
          .PrefillWait = Board.Prefill.wait(now) + engineDelay(now) +
                         Board.Slowness.expectedRest(now) +
                         Board.Pacer.wait(now, Board.WaitingCount),
          .PromptRate = Board.Prefill.measuredRate(),
          .AdapterSlots = static_cast<std::uint32_t>(Board.Slots.all().size())};
}

AdmissionController::Decision
AdmissionController::evaluateService(const ExecuteRequest &request) const {
  const auto &services = Board.Options.Services;
  if (std::ranges::find(services, request.Service) == services.end())
    return {RefusalReason::NoSuchBackend};
  if (Board.RunningServices >= Board.Options.ServiceLimit)
    return {RefusalReason::QueueFull, Board.ServiceTime};
  return {};
}

AdmissionController::Decision
AdmissionController::evaluateResident(TimePoint now,
                                      const ExecuteRequest &request) const {
  const Duration wait = queueWait(now);
  if (request.OnlyIfResident && wait > Board.Options.SpillDelay)
    return {RefusalReason::QueueFull, wait};
  // The entry of a delegated request decides how long its answer may take.
  const Duration service =
      request.Delegated ? Duration::zero() : Board.ServiceTime;
  if (Board.Options.RefusesEarly && wait + service > request.Remaining)
    return {RefusalReason::QueueFull, wait};
  return {};
}

AdmissionController::Decision AdmissionController::evaluateMissing(
    TimePoint now, const ExecuteRequest &request, Duration firstEvent) const {
  const auto backoff = Board.LoadBackoffs.find(request.Key);
  if (backoff != Board.LoadBackoffs.end() && backoff->second.Until > now)
    return {RefusalReason::LoadFailed, backoff->second.Until - now};
  const bool demanded = Board.Waiting.contains(request.Key);
  if (demanded)
    return {};
  if (request.OnlyIfResident)
    return {RefusalReason::NotResident, firstEvent};
  // Only the scheduler knows the queue position of this load. It answers a
  // demand within a round trip, and requests that it would delay too long are
  // then refused.
  return {};
}

Duration AdmissionController::loadBacklog(TimePoint now) const {
  return std::max(Board.LoadBacklog - (now - Board.LoadBacklogAt),
                  Duration::zero());
}

void AdmissionController::onLoadWait(TimePoint now, const AdapterKey &key,
                                     Duration wait) {
  const auto it = Board.Waiting.find(key);
  if (it == Board.Waiting.end() || !Board.Options.RefusesEarly)
    return;
  const TimePoint ready = now + wait;
  std::erase_if(it->second, [&](const WaitingAttempt &attempt) {
    // The entry of a delegated request decides how long its answer may take.
    if (attempt.Request.Delegated)
      return false;
    if (ready <= stallLimit(attempt, Board.Options.StallShare) &&
        ready + Board.ServiceTime <= attempt.Deadline)
      return false;
    refuse(now, attempt, {RefusalReason::LoadBacklog, wait}, currentLoad(now));
    --Board.WaitingCount;
    return true;
  });
  if (it->second.empty())
    Board.Waiting.erase(it);
}

Duration AdmissionController::slotWait(const AdapterKey &key) const {
  std::int64_t free = 0;
  std::int64_t pinned = 0;
  for (const Slot &it : Board.Slots.all()) {
    if (it.State == SlotState::Empty || mayEvict(it, Board.Waiting))
      ++free;
    else if (it.State == SlotState::Ready)
      ++pinned;
  }
  std::int64_t ahead = 0;
  for (const auto &[waiting, queue] : Board.Waiting)
    if (waiting != key && !Board.Slots.isReady(waiting) &&
        !Board.Slots.isLoading(waiting))
      ++ahead;
  if (ahead < free)
    return Duration::zero();
  // The slots in use are released one after another, at even intervals within
  // the time that a request takes.
  return Board.ServiceTime * (ahead - free + 1) /
         std::max<std::int64_t>(pinned, 1);
}

Duration
AdmissionController::expectedFirstEvent(TimePoint now,
                                        const ExecuteRequest &request) const {
  const AdapterKey &key = request.Key;
  const bool ready = Board.Slots.isReady(key);
  const bool loading = Board.Slots.isLoading(key);
  // Requests that end release both their place in the batch and their slot.
  const Duration releaseWait = ready || loading
                                   ? queueWait(now)
                                   : std::max(queueWait(now), slotWait(key));
  const Duration reading =
      Board.Prefill.wait(now) +
      Board.Prefill.prefillTime(Board.promptOwner(key), request.Parts);
  return releaseWait +
         (ready ? Duration::zero() : Board.LoadTimes.expected(key)) +
         ReadingPause(Board).expectedWait(now, request) +
         fromSeconds(toSeconds(reading) * Board.Slowness.factor(now)) +
         engineDelay(now);
}

Duration AdmissionController::engineDelay(TimePoint now) const {
  Duration longest = Duration::zero();
  for (const auto &[attempt, it] : Board.Running) {
    if (!it.Delegated || it.BegunAt)
      continue;
    // A stalled entry does not report that its requests have begun.
    const auto lastMessage = Board.LastMessageAt.find(it.Entry);
    if (lastMessage != Board.LastMessageAt.end())
      longest =
          std::max(longest, std::min(now, lastMessage->second) - it.ExpectedAt);
  }
  return longest;
}

AdmissionController::Decision
AdmissionController::evaluate(TimePoint now, const ExecuteRequest &request,
                              bool hasRoom) const {
  if (Board.Leaving)
    return {RefusalReason::Leaving};
  if (!request.Service.empty())
    return evaluateService(request);
  if (!Board.EngineReady)
    return {RefusalReason::BackendDown, Board.LoadTimes.fromStore()};
  if (request.BaseModel != Board.Options.BaseModel)
    return {RefusalReason::NoSuchBackend};
  if (!hasRoom && Board.WaitingCount >= Board.Options.QueueLimit)
    return {RefusalReason::QueueFull, queueWait(now)};
  const Duration wait = expectedFirstEvent(now, request);
  const bool holds =
      Board.Slots.isReady(request.Key) || Board.Slots.isLoading(request.Key);
  if (request.FirstEventWithin > Duration::zero() &&
      wait > request.FirstEventWithin)
    return {RefusalReason::Busy, wait, holds};
  if (exceedsRateLimit(now, Board.WaitingCount, request.Remaining))
    return {RefusalReason::RateLimited,
            Board.Pacer.wait(now, Board.WaitingCount)};
  return holds ? evaluateResident(now, request)
               : evaluateMissing(now, request, wait);
}

void AdmissionController::sendRefusal(EntryLink entry, const AttemptId &attempt,
                                      Decision decision,
                                      const AgentLoad &agentLoad) {
  // An entry compares these waits between hosts, so they get no jitter.
  const Duration retryAfter =
      isConditionalRefusal(decision.Reason)
          ? decision.RetryAfter
          : withJitter(Board.Jitter, decision.RetryAfter);
  Board.Commands.push_back(
      SendToEntry{entry, AttemptRefused{
                             .Attempt = attempt,
                             .Reason = decision.Reason,
                             .RetryAfter = retryAfter,
                             .Load = agentLoad,
                             .HoldsAdapter = decision.HoldsAdapter,
                             .CachedTokens = decision.CachedTokens,
                             .Weights = decision.Weights,
                         }});
}

std::string
AdmissionController::describeQueue(TimePoint now,
                                   const WaitingAttempt &attempt) const {
  const auto millis = [](Duration d) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
  };
  return "waiting " + std::to_string(Board.WaitingCount) + " of " +
         std::to_string(Board.Options.QueueLimit) + ", running " +
         std::to_string(Board.runningOnEngine()) + ", prompt wait " +
         millis(Board.Prefill.wait(now)) + " ms, own prompt " +
         millis(Board.readingTime(attempt)) + " ms, " +
         millis(attempt.Deadline - now) + " ms left, account served " +
         std::to_string(static_cast<std::uint64_t>(
             Board.Accounts.served(attempt.Account.id()))) +
         " tokens per share";
}

void AdmissionController::refuse(TimePoint now, const WaitingAttempt &attempt,
                                 Decision decision,
                                 const AgentLoad &agentLoad) {
  const bool displaced = decision.Reason == RefusalReason::Displaced;
  Board.record(now, attempt,
               {.Result = displaced ? AgentEvent::Outcome::Displaced
                                    : AgentEvent::Outcome::Refused,
                .Reason = decision.Reason,
                .RetryAfter = decision.RetryAfter,
                .Detail = isConditionalRefusal(decision.Reason)
                              ? std::string()
                              : describeQueue(now, attempt)});
  sendRefusal(attempt.Entry, attempt.Request.Attempt, decision, agentLoad);
}

WaitingAttempt
AdmissionController::waitingAttempt(TimePoint now, EntryLink entry,
                                    const ExecuteRequest &request) {
  const RequestDemand &demand = request.Demand;
  WaitingAttempt attempt{
      .Request = request,
      .Entry = entry,
      .ArrivedAt = now - request.Waited,
      .Deadline = now + request.Remaining,
      .NeededLoad = !Board.Slots.isReady(request.Key),
      .ReadingTokens = request.Parts.empty()
                           ? demand.PromptTokens
                           : Board.Prefill.uncachedTokens(
                                 Board.promptOwner(request.Key), request.Parts),
      .Account = Board.Accounts.enter(demand.Account, demand.AccountShare)};
  if (request.FirstEventDue != NoTarget)
    attempt.OnTimeUntil = now + request.FirstEventDue;
  return attempt;
}

DisplacementPolicy::Decision
AdmissionController::decideRoom(TimePoint now,
                                const WaitingAttempt &arrival) const {
  QueueState queue{.Limit = Board.Options.QueueLimit,
                   .EngineWait = Board.Prefill.wait(now),
                   .TokensPerSecond = Board.Prefill.tokensPerSecond()};
  queue.Waiting.reserve(Board.WaitingCount);
  for (const auto &[key, attempts] : Board.Waiting)
    for (const WaitingAttempt &it : attempts)
      queue.Waiting.push_back(&it);
  return Displacement.decide(now, arrival, queue);
}

void AdmissionController::displace(TimePoint now,
                                   const DisplacementPolicy::Decision &room) {
  if (room.Displaced.empty())
    return;
  const AgentLoad load = currentLoad(now);
  std::vector<AttemptId> attempts;
  for (const WaitingAttempt *it : room.Displaced) {
    refuse(now, *it, {RefusalReason::Displaced, room.Wait}, load);
    attempts.push_back(it->Request.Attempt);
  }
  for (const AttemptId &it : attempts)
    removeWaiting(it);
}

void AdmissionController::onExecute(TimePoint now, EntryLink entry,
                                    const ExecuteRequest &request) {
  if (request.Service.empty())
    enqueue(now, entry, request);
  else
    startService(now, entry, request);
}

void AdmissionController::startService(TimePoint now, EntryLink entry,
                                       const ExecuteRequest &request) {
  const Decision decision = evaluate(now, request, /*hasRoom=*/false);
  if (decision.Reason != RefusalReason::None)
    return sendRefusal(entry, request.Attempt, decision, currentLoad(now));
  Board.Running.emplace(request.Attempt,
                        RunningAttempt{.Entry = entry,
                                       .IsService = true,
                                       .StartedAt = now,
                                       .Deadline = now + request.Remaining});
  ++Board.RunningServices;
  Board.Commands.push_back(
      SendToEntry{entry, AttemptAdmitted{.Attempt = request.Attempt,
                                         .Load = currentLoad(now)}});
  Board.Commands.push_back(StartServiceCall{request});
}

void AdmissionController::enqueue(TimePoint now, EntryLink entry,
                                  const ExecuteRequest &request) {
  WaitingAttempt arrival = waitingAttempt(now, entry, request);
  const DisplacementPolicy::Decision room = decideRoom(now, arrival);
  Decision decision = evaluate(now, request, !room.Displaced.empty());
  if (decision.Reason == RefusalReason::None && !room.Admits)
    decision = {RefusalReason::QueueFull, room.Wait};
  // After a conditional refusal (`Busy` or `NotResident`) another host may
  // serve the request, so it is not yet demand for this host.
  if (!isConditionalRefusal(decision.Reason))
    Board.Popularity.recordRequest(now, request.Key);
  if (decision.Reason != RefusalReason::None) {
    if (Board.EngineReady) {
      decision.CachedTokens = Board.Prefill.cachedTokens(
          Board.promptOwner(request.Key), request.Parts);
      decision.Weights = Board.weightsOf(request.Key);
    }
    return refuse(now, arrival, decision, currentLoad(now));
  }
  displace(now, room);
  Board.Waiting[request.Key].push_back(std::move(arrival));
  ++Board.WaitingCount;
  Board.Commands.push_back(
      SendToEntry{entry, AttemptAdmitted{.Attempt = request.Attempt,
                                         .Load = currentLoad(now)}});
}

bool AdmissionController::ordersByDemand() const {
  const WaitingAttempt *first = nullptr;
  for (const auto &[key, attempts] : Board.Waiting)
    for (const WaitingAttempt &it : attempts) {
      if (!first)
        first = &it;
      if (differInDemand(it, *first))
        return true;
    }
  return false;
}

void AdmissionController::refuseInfeasible(TimePoint now) {
  refuseBeyondRateLimit(now);
  const bool byDemand = ordersByDemand();
  std::optional<AgentLoad> reportedLoad;
  for (auto it = Board.Waiting.begin(); it != Board.Waiting.end();) {
    auto &[key, queue] = *it;
    const bool ready = Board.Slots.isReady(key);
    const bool loading = Board.Slots.isLoading(key);
    const Duration load = ready || loading || !Board.Options.RefusesEarly
                              ? Duration::zero()
                              : Board.LoadTimes.expected(key);
    const RefusalReason reason =
        ready ? RefusalReason::QueueFull : RefusalReason::LoadBacklog;
    std::erase_if(queue, [&](const WaitingAttempt &attempt) {
      const Duration reading =
          byDemand ? Board.readingTime(attempt) : Duration::zero();
      if (now + load + reading <= attempt.Deadline)
        return false;
      if (!reportedLoad)
        reportedLoad = currentLoad(now);
      const Duration wait = ready ? queueWait(now) : loadBacklog(now);
      refuse(now, attempt, {reason, wait}, *reportedLoad);
      --Board.WaitingCount;
      return true;
    });
    it = queue.empty() ? Board.Waiting.erase(it) : std::next(it);
  }
}

void AdmissionController::refuseWaiting(TimePoint now, const AdapterKey &key,
                                        RefusalReason reason,
                                        Duration retryAfter) {
  const auto it = Board.Waiting.find(key);
  if (it == Board.Waiting.end())
    return;
  for (const WaitingAttempt &attempt : it->second)
    refuse(now, attempt, {reason, retryAfter}, {});
  Board.WaitingCount -= it->second.size();
  Board.Waiting.erase(it);
}

void AdmissionController::refuseAllWaiting(TimePoint now, RefusalReason reason,
                                           Duration retryAfter) {
  while (!Board.Waiting.empty())
    refuseWaiting(now, AdapterKey(Board.Waiting.begin()->first), reason,
                  retryAfter);
}

bool AdmissionController::removeWaiting(const AttemptId &attempt) {
  for (auto it = Board.Waiting.begin(); it != Board.Waiting.end(); ++it) {
    const auto erased = std::erase_if(it->second, [&](const auto &waiting) {
      return waiting.Request.Attempt == attempt;
    });
    if (erased == 0)
      continue;
    Board.WaitingCount -= erased;
    if (it->second.empty())
      Board.Waiting.erase(it);
    return true;
  }
  return false;
}

} // namespace pimentofront
