#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

/// \returns a hash of all parts but the last, which is specific to the request.
std::uint64_t hashPrefix(const std::vector<PromptPart> &parts) {
  std::uint64_t prefix = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    prefix = stableHash(
        {reinterpret_cast<const char *>(&parts[i].Id), sizeof(parts[i].Id)},
        prefix);
  return prefix;
}

/// \returns the time left until the route's latency target for the first event;
/// NoTarget if the route has none.
Duration firstEventDue(TimePoint now, const ForwardRequest &request) {
  const Duration target = request.Route->LatencyTarget;
  if (target <= Duration::zero())
    return NoTarget;
  return target - (now - request.ArrivedAt);
}

bool wasDisplaced(const ForwardRequest &request) {
  return std::ranges::find(request.Tried, RefusalReason::Displaced,
                           &TriedHost::Reason) != request.Tried.end();
}

/// \returns the data behind a request's refusal or failure, for the log.
std::string describeState(TimePoint now, const ForwardRequest &request) {
  if (!request.Route)
    return {};
  const auto left = (request.Deadline - now).count() / 1000;
  return "; servers sent to " + std::to_string(request.Sends) +
         ", agents that declined " + std::to_string(request.Tried.size()) +
         ", unreachable " + std::to_string(request.Unreachable) + ", " +
         std::to_string(left) + " ms left, table of revision " +
         std::to_string(request.Table->revision()) +
         ", further server: " + retryDenialName(request.Denial) +
         request.RefusalDetail;
}

/// \returns the inputs of a decision to queue or refuse a request, for the log.
std::string describeRoom(const PlainDecision &decision) {
  const auto milliseconds = [](Duration it) {
    return std::to_string(it.count() / 1000) + " ms";
  };
  const PlainRoom &room = decision.Room;
  return "answer expected in " + milliseconds(decision.Outcome.AnswersIn) +
         ", allowed " + milliseconds(decision.Outcome.Allowed) + ", slots " +
         std::to_string(room.Slots) + ", free " +
         std::to_string(room.FreeSlots) + ", wait at servers " +
         milliseconds(room.StartsIn) + ", by their last report " +
         milliseconds(room.Reported ? room.Reported->Wait : Duration::zero()) +
         ", admitted share " + std::to_string(decision.AdmittedShare);
}

/// \returns which stream the request resumes, for the log.
std::string describeResume(const ForwardRequest &request) {
  const RequestTraits &traits = request.Traits;
  std::string first = traits.Resumes;
  if (first.empty() && !traits.LastEventId)
    first = traits.Id;
  const std::optional<std::uint64_t> last = request.Events.lastId();
  return "stream of attempt " + (first.empty() ? "unknown" : first) +
         ", after event " + (last ? std::to_string(*last) : "unknown");
}

/// \returns the HTTP status for a request without an answer. 503 guarantees
/// that the request has not run and never will.
int statusOf(ForwardFailure why, bool mayHaveRun) {
  switch (why) {
  case ForwardFailure::NoRoute:
    return StatusNotFound;
  case ForwardFailure::UnknownKey:
    return StatusUnauthorized;
  case ForwardFailure::OverAllotment:
    return StatusTooManyRequests;
  case ForwardFailure::Malformed:
    return StatusBadRequest;
  case ForwardFailure::Quarantined:
  case ForwardFailure::PartQuarantined:
    // It has run, under an earlier id, or may not run while it has this part.
    return StatusBadGateway;
  case ForwardFailure::TimedOut:
    return mayHaveRun ? StatusGatewayTimeout : StatusUnavailable;
  default:
    return mayHaveRun ? StatusBadGateway : StatusUnavailable;
  }
}

} // namespace

const char *forwardFailureName(ForwardFailure failure) {
  constexpr const char *Names[] = {
      "not_ready",      "no_route",         "malformed",       "no_server",
      "declined",       "timed_out",        "broke_off",       "caller_gone",
      "quarantined",    "on_trial",         "no_leave",        "unknown_key",
      "keys_outdated",  "over_allotment",   "no_allotment",    "servers_rest",
      "zones_outdated", "no_region",        "no_room",         "service_full",
      "origin_unknown", "no_such_software", "part_quarantined"};
  return Names[static_cast<std::size_t>(failure)];
}

const char *requestOutcomeName(RequestOutcome outcome) {
  constexpr const char *Names[] = {"answered", "failed", "refused",
                                   "abandoned"};
  return Names[static_cast<std::size_t>(outcome)];
}

const char *retryDenialName(RetryDenial denial) {
  constexpr const char *Names[] = {"none", "route_limit", "budget",
                                   "no_server"};
  return Names[static_cast<std::size_t>(denial)];
}

void AttemptController::recordEvent(TimePoint now, const char *name,
                                    const ForwardRequest &request,
                                    std::string detail, int status, bool lost) {
  Board.Events.push_back(
      {.Name = name,
       .Request = request.Traits.Id,
       .Route = request.Route ? request.Route->Name : std::string(),
       .RouteAdded = request.Route && request.Table->isAdded(*request.Route),
       .Service = request.Service,
       .Account = request.Account ? request.Account->Name : AccountName(),
       .Server = request.Attempt ? request.Attempt->Server.Name : HostName(),
       .Content = request.Content,
       .Detail = std::move(detail),
       .Took = now - request.ArrivedAt,
       .Status = status,
       .Lost = lost,
       .Ending = request.Attempt ? request.Attempt->Ending : std::nullopt});
}

//===----------------------------------------------------------------------===//
// Server selection
//===----------------------------------------------------------------------===//

void AttemptController::next(TimePoint now, ForwardRequest &request) {
  if (now >= request.Deadline)
    return giveUp(now, request, ForwardFailure::TimedOut);
  if (knowsOrigin(now, request))
    proceed(now, request, Quarantine.decideSend(now, request));
}

void AttemptController::useLiveVersion(ForwardRequest &request) const {
  if (!request.Adapter.Adapter.empty())
    request.Adapter.Version = Board.liveVersion(request.Adapter.Adapter);
}

bool AttemptController::knowsOrigin(TimePoint now, ForwardRequest &request) {
  switch (Origins.decide(now, request)) {
  case OriginDecision::Decided:
    return true;
  case OriginDecision::Asked:
    return false;
  case OriginDecision::NoServer:
    handleNoServer(now, request);
    return false;
  case OriginDecision::AwaitsRecord:
    // Links may only have been opening when the question was sent.
    request.Origin.reset();
    deferOrGiveUp(now, request, ForwardFailure::OriginUnknown);
    return false;
  case OriginDecision::Unknown:
    break;
  }
  if (Board.Servers.isComplete()) {
    giveUp(now, request, ForwardFailure::OriginUnknown);
    return false;
  }
  // The missing servers and agents may tell.
  request.Origin.reset();
  Board.OriginQueries.erase(request.Key);
  deferOrGiveUp(now, request, ForwardFailure::OriginUnknown);
  return false;
}

void AttemptController::proceed(TimePoint now, ForwardRequest &request,
                                SendDecision decision) {
  switch (decision) {
  case SendDecision::Asked:
    return;
  case SendDecision::Undecided:
    return deferOrGiveUp(now, request, ForwardFailure::TrialUndecided);
  case SendDecision::TrialInProgress:
    return deferOrGiveUp(now, request, ForwardFailure::TrialInProgress);
  case SendDecision::Quarantined:
    return giveUp(now, request, ForwardFailure::Quarantined);
  case SendDecision::PartQuarantined:
    return refuseForPart(now, request);
  case SendDecision::Granted:
    return choose(now, request);
  }
}

bool AttemptController::mayMissEvacuation(TimePoint now) const {
  const Duration bound = Board.Options.EvacuationBound;
  return bound > Duration::zero() && !Board.confirmedWithin(now, bound);
}

void AttemptController::choose(TimePoint now, ForwardRequest &request) {
  if (mayMissEvacuation(now))
    return giveUp(now, request, ForwardFailure::ZonesOutdated);
  if (request.ToEngine)
    chooseEngine(now, request);
  else
    choosePlain(now, request);
}

void AttemptController::choosePlain(TimePoint now, ForwardRequest &request) {
  std::vector<ServerProcess> avoid = request.Avoid;
  avoidOtherSoftware(request, avoid);
  const std::size_t full = avoidFullServers(request, avoid);
  const PlainDecision decision = Plain.decide(now, request, avoid);
  const std::uint64_t key = request.Key;
  switch (decision.Choice) {
  case PlainChoice::Send:
    return send(now, request, *decision.Server);
  case PlainChoice::NoServer:
    if (full > 0)
      return refuseForBytes(now, request, full);
    return handleNoServer(now, request);
  case PlainChoice::Wait:
    return recordEvent(now, "request_queued", request, describeRoom(decision));
  case PlainChoice::Refuse:
    return refuseForRoom(now, request, decision);
  case PlainChoice::AwaitPermit:
    request.LastRefusal = RefusalReason::RateLimited;
    deferOrGiveUp(now, request, ForwardFailure::Declined);
    return Deferrals.retryAt(key, decision.At);
  case PlainChoice::NoPermit:
    request.LastRefusal = RefusalReason::RateLimited;
    request.RetryAfter = std::max(request.RetryAfter, decision.At - now);
    return giveUp(now, request, ForwardFailure::Declined);
  }
}

void AttemptController::refuseForBytes(TimePoint now, ForwardRequest &request,
                                       std::size_t full) {
  request.RefusalDetail = "; servers without room for its " +
                          std::to_string(request.Body->size()) +
                          " bytes: " + std::to_string(full);
  giveUp(now, request, ForwardFailure::NoRoom);
}

std::size_t
AttemptController::avoidFullServers(const ForwardRequest &request,
                                    std::vector<ServerProcess> &avoid) const {
  std::size_t full = 0;
  if (!Board.BytesAtServers.bounded())
    return full;
  for (const auto &[name, it] : Board.Servers.servers()) {
    const ServerProcess process = it.Record.process();
    if (std::ranges::find(it.Record.Services, request.Service) ==
            it.Record.Services.end() ||
        std::ranges::find(avoid, process) != avoid.end() ||
        hasRoom(process, request))
      continue;
    avoid.push_back(process);
    ++full;
  }
  return full;
}

void AttemptController::avoidOtherSoftware(
    const ForwardRequest &request, std::vector<ServerProcess> &avoid) const {
  if (!request.RequiredSoftware)
    return;
  for (const auto &[name, it] : Board.Servers.servers())
    if (belongsTo(it.Record, request.Service) &&
        it.Record.Software != *request.RequiredSoftware)
      avoid.push_back(it.Record.process());
}

bool AttemptController::hasRoom(const ServerProcess &server,
                                const ForwardRequest &request) const {
  return Board.BytesAtServers.hasRoom(server, request.Body->size(),
                                      Board.Servers.entries());
}

void AttemptController::refuseForRoom(TimePoint now, ForwardRequest &request,
                                      const PlainDecision &decision) {
  request.RefusalDetail = "; urgency " + std::to_string(request.priority()) +
                          ", " + describeRoom(decision);
  request.RetryAfter =
      std::max(request.RetryAfter, decision.Outcome.RetryAfter);
  giveUp(now, request, ForwardFailure::ServiceFull);
}

void AttemptController::serveWaiting(TimePoint now) {
  for (const std::uint64_t key : Plain.takeExpired(now)) {
    ForwardRequest &request = Board.Requests.at(key);
    const PlainDecision decision = Plain.refuse(now, request);
    if (decision.Choice == PlainChoice::Send)
      next(now, request);
    else
      refuseForRoom(now, request, decision);
  }
  for (const std::uint64_t key : Plain.takeReady(now)) {
    ForwardRequest &request = Board.Requests.at(key);
    recordEvent(now, "request_unqueued", request);
    next(now, request);
  }
}

void AttemptController::chooseEngine(TimePoint now, ForwardRequest &request) {
  useLiveVersion(request);
  const RouteQuery query{
      .Key = request.Adapter,
      .BaseModel = request.Service.str(),
      .Tried = request.Tried,
      .Prefix = hashPrefix(request.Traits.Parts),
      .Target = firstEventDue(now, request),
      .Zones = request.Zones,
      .Software = request.RequiredSoftware,
      .Kind = request.Route->Name,
      .Demand = demandOf(request),
      .StreamTime = Board.Pauses.meanDuration(request.Route->Name),
      .Disturbed = Board.Pauses.isDisturbed(now, request.Service)};
  const std::optional<Route> route =
      Routing.choose(now, query, Board.Servers.agents());
  if (route)
    return askAgent(now, request, *route);
  handleNoServer(now, request);
}

void AttemptController::handleNoServer(TimePoint now, ForwardRequest &request) {
  if (request.Sends > 0)
    request.Denial = RetryDenial::NoServer;
  if (request.RequiredSoftware && Board.Servers.isComplete() &&
      !Board.Servers.serves(request.Service, request.Zones,
                            *request.RequiredSoftware))
    return giveUp(now, request, ForwardFailure::NoSuchSoftware);
  if (const auto backoffEnd = Board.Servers.earliestBackoffEnd(
          now, request.Service, request.Zones)) {
    request.RetryAfter = std::max(request.RetryAfter, *backoffEnd - now);
    return giveUp(now, request, ForwardFailure::ServersBackingOff);
  }
  const bool hasServers = Board.Servers.serves(request.Service, request.Zones);
  if (!hasServers && request.Zones.isRestricted() &&
      Board.Servers.serves(request.Service))
    return giveUp(now, request, ForwardFailure::NoRegion);
  const ForwardFailure why =
      hasServers ? ForwardFailure::Declined : ForwardFailure::NoServer;
  const bool mayRecover =
      hasServers ? isOutage(request) : !Board.Servers.isComplete();
  if (mayRecover)
    return deferOrGiveUp(now, request, why);
  giveUp(now, request, why);
}

bool AttemptController::isOutage(const ForwardRequest &request) const {
  const auto outOfService = [](const TriedHost &it) {
    return it.Reason == RefusalReason::BackendDown ||
           it.Reason == RefusalReason::Leaving;
  };
  return request.ToEngine && std::ranges::all_of(request.Tried, outOfService);
}

void AttemptController::deferOrGiveUp(TimePoint now, ForwardRequest &request,
                                      ForwardFailure why) {
  if (!Deferrals.defer(now, request))
    return giveUp(now, request, why);
  recordEvent(now, "request_held", request, forwardFailureName(why));
  // Agents and servers that refused it may be available again at the next try.
  request.Tried.clear();
  request.Avoid.clear();
}

void AttemptController::askAgent(TimePoint now, ForwardRequest &request,
                                 const Route &route, Duration waited) {
  const AttemptId id{Board.Options.Incarnation, ++Board.LastSequence};
  const MemberView &agent = Board.Servers.agents().at(route.Host);
  const ServerView *engine = Board.Servers.serverOfAgent(route.Host);
  const ServerProcess server =
      engine ? engine->Record.process() : ServerProcess();
  request.Attempt = ForwardAttempt{.Id = id,
                                   .Agent = route.Host,
                                   .OnlyIfResident = route.OnlyIfResident,
                                   .Engine = server,
                                   .Choice = route.Reason,
                                   .ShapeEngines = route.ShapeEngines,
                                   .Waited = waited,
                                   .StartedAt = now};
  Board.Attempts.emplace(id, request.Key);
  Board.Commands.push_back(SendToAgent{
      route.Host, agent.Record.Address,
      ExecuteRequest{.Attempt = id,
                     .Request = RequestId(request.Traits.Id),
                     .Kind = KindName(request.Route->Name),
                     .Remaining = request.Deadline - now,
                     .Key = request.Adapter,
                     .BaseModel = request.Service.str(),
                     .MaxTokens = request.Traits.MaxOutputTokens,
                     .OnlyIfResident = route.OnlyIfResident,
                     .Delegated = true,
                     .Parts = request.Traits.Parts,
                     .FirstEventWithin = route.FirstEventWithin,
                     .FirstEventDue = firstEventDue(now, request),
                     .Server = server.Name,
                     .ServerStartedAt = server.StartedAt,
                     .Limit = Board.Servers.feedbackOf(server).limit(now),
                     .Cold = Board.Servers.coldStartOf(now, server),
                     .Demand = demandOf(request),
                     .WasDisplaced = wasDisplaced(request),
                     .Waited = waited}});
}

void AttemptController::askForLiveVersion(TimePoint now,
                                          ForwardRequest &request) {
  const ForwardAttempt former = *request.Attempt;
  const VersionNumber version = request.Adapter.Version;
  endAttempt(now, request, ServerOutcome::Declined, ReleaseKind::NotRun);
  useLiveVersion(request);
  recordEvent(now, "version_superseded", request,
              "version " + std::to_string(version) + " by " +
                  std::to_string(request.Adapter.Version) + ", agent " +
                  former.Agent.str());
  // They concern the superseded version.
  std::erase_if(request.Tried, [](const TriedHost &it) {
    return isConditionalRefusal(it.Reason);
  });
  const auto agent = Board.Servers.agents().find(former.Agent);
  const bool waitsThere = former.AgentAnswered &&
                          agent != Board.Servers.agents().end() &&
                          !agent->second.Record.Leaving;
  if (!waitsThere)
    return next(now, request);
  const Route same{.Host = former.Agent,
                   .Reason = former.Choice,
                   .ShapeEngines = former.ShapeEngines};
  askAgent(now, request, same, former.Waited + (now - former.StartedAt));
}

void AttemptController::onVersionsChanged(TimePoint now) {
  std::vector<std::uint64_t> waiting;
  for (const auto &[attempt, key] : Board.Attempts) {
    const ForwardRequest &it = Board.Requests.at(key);
    if (!it.Attempt->Sent && Board.isSuperseded(it))
      waiting.push_back(key);
  }
  // The agents keep those that are equal in the order in which they ask.
  std::ranges::sort(waiting, {}, [&](std::uint64_t key) {
    return Board.Requests.at(key).Attempt->Id.Sequence;
  });
  for (const std::uint64_t key : waiting)
    askForLiveVersion(now, Board.Requests.at(key));
}

std::string AttemptController::fetchSource(TimePoint now,
                                           const ForwardRequest &request) {
  const std::uint32_t cachedTokens = totalTokens(request.Traits.Parts) -
                                     std::min(totalTokens(request.Traits.Parts),
                                              request.Attempt->UncachedTokens);
  const TriedHost *source =
      PromptFetch(Board.Options.Fetch)
          .chooseSource(request.Tried, cachedTokens, request.Attempt->Weights);
  if (!source)
    return {};
  // The engine may have gone, or its zone may have been evacuated, since its
  // agent refused the request. Engines of other software may lay out what they
  // cache in another way.
  const auto agent = Board.Servers.agents().find(source->Host);
  const ServerView *engine = Board.Servers.serverOfAgent(source->Host);
  if (!engine || agent == Board.Servers.agents().end() ||
      !mayBeSameProcess(engine->Record.process(), source->Engine) ||
      engine->Record.Software != request.Attempt->Software ||
      now < agent->second.EjectedUntil ||
      !request.Zones.contains(engine->Record.Zone))
    return {};
  recordEvent(now, "prompt_parts_fetched", request,
              std::to_string(source->CachedTokens) + " tokens of " +
                  describe(source->Weights) + " at " +
                  engine->Record.Host.str() + ", " +
                  std::to_string(cachedTokens) + " of " +
                  describe(request.Attempt->Weights) + " at the chosen engine");
  return engine->Record.Address;
}

void AttemptController::send(TimePoint now, ForwardRequest &request,
                             ServerView &server) {
  if (!request.Attempt) {
    const AttemptId id{Board.Options.Incarnation, ++Board.LastSequence};
    request.Attempt = ForwardAttempt{.Id = id, .StartedAt = now};
    Board.Attempts.emplace(id, request.Key);
  }
  ForwardAttempt &attempt = *request.Attempt;
  attempt.Server = server.Record.process();
  attempt.Address = server.Record.Address;
  attempt.Software = server.Record.Software;
  attempt.Sent = true;
  request.SentOnTrial =
      request.Trial == TrialState::Granted || !request.UndecidedTrials.empty();
  attempt.SentAt = now;
  attempt.KnownQuarantine = Board.Parts.version();
  ++request.Sends;
  request.Avoid.push_back(attempt.Server);
  Board.Servers.recordSent(attempt.Server);
  Board.Bytes.recordSent(request.Key);
  Board.BytesAtServers.recordSent(attempt.Server, request.Body->size());
  Accounts.onSend(now, request);
  if (request.resumesStream())
    recordEvent(now, "resume_sent", request,
                describeResume(request) + ", server software " +
                    softwareName(attempt.Software));
  const ForwardTraits traits{
      .TimeLeft = request.Deadline - now,
      .Server = server.Record.Host,
      .Version = request.Adapter.Version,
      .Priority =
          request.ToEngine ? std::optional(request.priority()) : std::nullopt,
      .LastEventId = request.Events.lastId(),
      .FetchFrom = request.ToEngine ? fetchSource(now, request) : std::string(),
      .Account = request.Account ? request.Account->Name : AccountName()};
  Board.Commands.push_back(
      SendUpstream{.Attempt = attempt.Id,
                   .Server = attempt.Server,
                   .Address = server.Record.Address,
                   .Head = Board.Codec.encodeRequest(request.Head, traits),
                   .Body = request.Body,
                   .Once = !request.Route->mayRepeat(),
                   .Connections = Board.Servers.connections(now, server)});
}

//===----------------------------------------------------------------------===//
// Messages from agents
//===----------------------------------------------------------------------===//

ForwardRequest *AttemptController::find(const AttemptId &attempt,
                                        const HostName &agent) {
  ForwardRequest *request = Board.find(attempt);
  return request && request->Attempt->Agent == agent ? request : nullptr;
}

void AttemptController::recordLoad(const HostName &agent,
                                   const AgentLoad &load) {
  const auto it = Board.Servers.agents().find(agent);
  if (it == Board.Servers.agents().end())
    return;
  it->second.Failures = 0;
  if (load.BatchCapacity > 0)
    it->second.Load = load;
}

void AttemptController::onAdmitted(TimePoint, const HostName &agent,
                                   const AttemptAdmitted &message) {
  recordLoad(agent, message.Load);
  ForwardRequest *request = find(message.Attempt, agent);
  if (!request)
    return;
  request->Attempt->AgentAnswered = true;
  Routing.learn(request->Adapter, agent, true);
}

void AttemptController::onPermit(TimePoint now, const HostName &agent,
                                 const AttemptPermit &message) {
  recordLoad(agent, message.Load);
  ForwardRequest *request = find(message.Attempt, agent);
  if (!request || request->Attempt->Sent) {
    // No request waits for this permit any more: its place must be freed.
    if (!request)
      release({.Id = message.Attempt, .Agent = agent}, ReleaseKind::NotRun);
    return;
  }
  // A process that was suspended may receive permits granted before.
  if (now >= request->Deadline)
    return giveUp(now, *request, ForwardFailure::TimedOut);
  request->Attempt->AgentAnswered = true;
  request->Attempt->UncachedTokens = message.UncachedTokens;
  request->Attempt->Weights = message.Weights;
  Routing.learn(request->Adapter, agent, true);
  if (Board.isSuperseded(*request))
    return askForLiveVersion(now, *request);
  ServerView *server = Board.Servers.serverOfAgent(agent);
  const bool backingOff =
      server &&
      Board.Servers.feedbackOf(server->Record.process()).isBackingOff(now);
  const bool expired = message.SendInterval > Duration::zero() &&
                       request->Attempt->LongestStall > message.SendInterval;
  const bool suits =
      server && (!request->RequiredSoftware ||
                 *request->RequiredSoftware == server->Record.Software);
  const bool room = suits && hasRoom(server->Record.process(), *request);
  if (room && !backingOff && !expired && !mayMissEvacuation(now)) {
    const std::string changes =
        Board.Servers.recordLimit(now, server->Record.process(), message.Limit);
    if (!changes.empty())
      recordEvent(now, "server_feedback", *request,
                  changes + ", reported by agent " + agent.str());
    return send(now, *request, *server);
  }
  onNotRun(now, *request, ServerOutcome::Declined, ReleaseKind::NotRun);
}

void AttemptController::onStall(Duration gap) {
  for (const auto &[attempt, key] : Board.Attempts) {
    Duration &longest = Board.Requests.at(key).Attempt->LongestStall;
    longest = std::max(longest, gap);
  }
}

void AttemptController::onZonesChanged(TimePoint now) {
  std::vector<std::uint64_t> waiting;
  for (const auto &[attempt, key] : Board.Attempts) {
    const ForwardAttempt &it = *Board.Requests.at(key).Attempt;
    const auto agent = Board.Servers.agents().find(it.Agent);
    if (!it.Sent && agent != Board.Servers.agents().end() &&
        Board.Servers.isEvacuated(agent->second.Record.Zone))
      waiting.push_back(key);
  }
  for (const std::uint64_t key : waiting) {
    ForwardRequest &request = Board.Requests.at(key);
    recordEvent(now, "zone_left", request, request.Attempt->Agent.str());
    cancel(now, request);
    next(now, request);
  }
}

/// Nothing was sent to the engine, so that trying another one takes nothing
/// from the retry budget.
void AttemptController::recordDisplaced(TimePoint now,
                                        const ForwardRequest &request,
                                        const AttemptRefused &message) {
  const auto millis = [](Duration d) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
  };
  recordEvent(now, "attempt_displaced", request,
              "by agent " + request.Attempt->Agent.str() + ", urgency " +
                  std::to_string(request.priority()) + ", it has " +
                  std::to_string(message.Load.Queued) + " waiting and " +
                  std::to_string(message.Load.Running) +
                  " running requests, room expected in " +
                  millis(message.RetryAfter) + " ms, " +
                  millis(request.Deadline - now) + " ms left");
}

void AttemptController::onRefused(TimePoint now, const HostName &agent,
                                  const AttemptRefused &message) {
  recordLoad(agent, message.Load);
  ForwardRequest *request = find(message.Attempt, agent);
  if (!request)
    return;
  if (message.Reason == RefusalReason::NotResident)
    Routing.learn(request->Adapter, agent, false);
  if (message.Reason == RefusalReason::BackendDown)
    Board.Servers.ejectAgent(now, agent);
  request->Tried.push_back(
      {agent, message.Reason, message.Load, request->Attempt->OnlyIfResident,
       message.RetryAfter, message.HoldsAdapter, message.CachedTokens,
       message.Weights, request->Attempt->Engine});
  request->LastRefusal = message.Reason;
  if (message.Reason == RefusalReason::Displaced)
    recordDisplaced(now, *request, message);
  if (!isConditionalRefusal(message.Reason))
    request->RetryAfter = std::max(request->RetryAfter, message.RetryAfter);
  Board.Attempts.erase(message.Attempt);
  request->Attempt.reset();
  next(now, *request);
}

void AttemptController::skipAgent(TimePoint now, ForwardRequest &request) {
  const ForwardAttempt &attempt = *request.Attempt;
  recordEvent(now, "agent_silent", request, attempt.Agent.str());
  Board.Servers.ejectAgent(now, attempt.Agent);
  markSuspected(now, attempt.Agent);
  request.Tried.push_back({attempt.Agent,
                           RefusalReason::BackendDown,
                           {},
                           /*OnlyIfResident=*/false});
  cancel(now, request);
  next(now, request);
}

void AttemptController::onAgentLost(TimePoint now, const HostName &agent) {
  markSuspected(now, agent);
  std::vector<std::uint64_t> waiting;
  for (const auto &[attempt, key] : Board.Attempts) {
    const ForwardRequest &request = Board.Requests.at(key);
    if (request.Attempt->Agent == agent && !request.Attempt->Sent)
      waiting.push_back(key);
  }
  for (const std::uint64_t key : waiting)
    skipAgent(now, Board.Requests.at(key));
}

void AttemptController::markSuspected(TimePoint now, const HostName &agent) {
  for (const auto &[attempt, key] : Board.Attempts) {
    ForwardAttempt &it = *Board.Requests.at(key).Attempt;
    if (it.Agent == agent && it.Sent)
      it.SuspectedAt = now;
  }
}

void AttemptController::suspectFormerProcesses(TimePoint now) {
  for (const auto &[id, key] : Board.Attempts) {
    ForwardAttempt &it = *Board.Requests.at(key).Attempt;
    const ServerView *server = Board.Servers.find(it.Server.Name);
    const bool suspected =
        it.SuspectedAt > std::max(it.SentAt, it.LastReceivedAt);
    if (it.Sent && !suspected && server &&
        !mayBeSameProcess(server->Record.process(), it.Server))
      it.SuspectedAt = now;
  }
}

void AttemptController::onAgentLeaving(const AgentLeaving &message) {
  const auto it = Board.Servers.agents().find(message.Host);
  if (it != Board.Servers.agents().end() &&
      it->second.Record.Incarnation == message.Incarnation)
    it->second.Record.Leaving = true;
}

//===----------------------------------------------------------------------===//
// Ends of attempts and requests
//===----------------------------------------------------------------------===//

void AttemptController::notifyAgent(const HostName &agent, Message message) {
  const auto it = Board.Servers.agents().find(agent);
  if (it != Board.Servers.agents().end())
    Board.Commands.push_back(
        SendToAgent{agent, it->second.Record.Address, std::move(message)});
}

void AttemptController::release(const ForwardAttempt &attempt,
                                ReleaseKind kind) {
  const Duration firstEvent = attempt.FirstEventAt
                                  ? *attempt.FirstEventAt - attempt.SentAt
                                  : Duration::zero();
  notifyAgent(attempt.Agent, AttemptReleased{attempt.Id, kind, firstEvent});
}

void AttemptController::recordFeedback(TimePoint now,
                                       const ForwardRequest &request,
                                       const AnswerFeedback &feedback) {
  const ForwardAttempt &attempt = *request.Attempt;
  ServerSet &servers = Board.Servers;
  const bool wasLimited = servers.feedbackOf(attempt.Server).isLimited();
  const std::string changes =
      servers.recordFeedback(now, attempt.Server, feedback, attempt.SentAt);
  if (!changes.empty())
    recordEvent(now, "server_feedback", request, changes);
  const auto limitReport = feedback.impliedLimit(now, attempt.SentAt);
  if (limitReport && (limitReport->Named || wasLimited))
    notifyAgent(attempt.Agent, RateLimitReport{attempt.Id, *limitReport});
}

void AttemptController::notifyBegan(const ForwardRequest &request) {
  const ForwardAttempt &attempt = *request.Attempt;
  notifyAgent(attempt.Agent,
              AttemptBegan{attempt.Id, *attempt.FirstEventAt - attempt.SentAt,
                           attempt.Slowness});
}

void AttemptController::endAttempt(TimePoint now, ForwardRequest &request,
                                   ServerOutcome outcome, ReleaseKind kind) {
  const ForwardAttempt &attempt = *request.Attempt;
  if (attempt.Sent) {
    Board.Servers.recordOutcome(now, attempt.Server, outcome);
    Board.BytesAtServers.recordEnded(attempt.Server, request.Body->size());
  }
  release(attempt, kind);
  Board.Attempts.erase(attempt.Id);
  request.Attempt.reset();
}

void AttemptController::cancel(TimePoint now, ForwardRequest &request) {
  if (!request.Attempt)
    return;
  const ForwardAttempt &attempt = *request.Attempt;
  if (attempt.Sent) {
    Accounts.onMayHaveRun(request);
    Board.Commands.push_back(CancelUpstream{attempt.Id});
    return endAttempt(now, request, ServerOutcome::Declined,
                      ReleaseKind::BrokeOff);
  }
  notifyAgent(attempt.Agent, CancelAttempt{attempt.Id});
  Board.Attempts.erase(attempt.Id);
  request.Attempt.reset();
}

bool AttemptController::hasServersLeft(const ForwardRequest &request) {
  return request.Sends < request.Route->MaxServers;
}

void AttemptController::recordNotRun(TimePoint now,
                                     const ForwardRequest &request,
                                     ServerOutcome outcome) {
  if (outcome == ServerOutcome::Unreachable)
    return recordEvent(now, "attempt_not_run", request, "unreachable");
  const ReportedRoom room =
      Board.Servers.reportedRoom(now, request.Attempt->Server);
  recordEvent(now, "attempt_not_run", request,
              std::string("declined, its slots by its last report: ") +
                  reportedRoomName(room));
  if (request.Attempt->Sent)
    Board.Events.back().RoomAtDecline = room;
}

void AttemptController::onNotRun(TimePoint now, ForwardRequest &request,
                                 ServerOutcome outcome, ReleaseKind kind) {
  recordNotRun(now, request, outcome);
  const HostName agent = request.Attempt->Agent;
  const bool reached =
      request.Attempt->Sent && outcome != ServerOutcome::Unreachable;
  if (request.Attempt->Sent && !reached)
    --request.Sends;
  if (!agent.empty()) {
    request.Tried.push_back({agent,
                             RefusalReason::QueueFull,
                             {},
                             /*OnlyIfResident=*/false});
    if (kind == ReleaseKind::NotResident)
      Routing.learn(request.Adapter, agent, false);
  }
  endAttempt(now, request, outcome, kind);
  if (!reached && ++request.Unreachable > Board.Options.MaxUnreachable)
    return giveUp(now, request, ForwardFailure::NoServer);
  if (reached && !takeRetry(request, hasServersLeft(request)))
    return giveUp(now, request, ForwardFailure::Declined);
  next(now, request);
}

bool AttemptController::takeRetry(ForwardRequest &request, bool allowed) {
  request.Denial = RetryDenial::None;
  if (!allowed)
    request.Denial = RetryDenial::RouteLimit;
  else if (!Board.Budgets.take(request.Service))
    request.Denial = RetryDenial::Budget;
  return request.Denial == RetryDenial::None;
}

bool AttemptController::mayRepeat(TimePoint now,
                                  const ForwardRequest &request) const {
  const bool stream = request.Route->Kind == Repeatability::Stream;
  return request.Route->mayRepeat() && (!request.Answering || stream) &&
         now < request.Deadline && hasServersLeft(request);
}

void AttemptController::retryOrGiveUp(TimePoint now, ForwardRequest &request) {
  if (!takeRetry(request, mayRepeat(now, request)))
    return giveUp(now, request, ForwardFailure::BrokeOff);
  recordEvent(now, "request_sent_again", request);
  next(now, request);
}

void AttemptController::endFailedAttempt(TimePoint now,
                                         ForwardRequest &request) {
  request.MayHaveRun = true;
  Accounts.onMayHaveRun(request);
  request.Events.restart();
  // Another engine must take it: the one that failed may fail again.
  if (!request.Attempt->Agent.empty())
    request.Tried.push_back({request.Attempt->Agent,
                             RefusalReason::BackendDown,
                             {},
                             /*OnlyIfResident=*/false});
  endAttempt(now, request, ServerOutcome::Failed, ReleaseKind::BrokeOff);
}

std::optional<Duration>
AttemptController::retryAfterOf(const ForwardRequest &request,
                                ForwardFailure why) {
  // Coming back is of no use.
  if (why == ForwardFailure::Quarantined ||
      why == ForwardFailure::PartQuarantined ||
      why == ForwardFailure::UnknownKey)
    return std::nullopt;
  // PlainQueue has set the time, which may be shorter than the usual minimum.
  if (why == ForwardFailure::ServiceFull)
    return Board.Jitter.jitter(request.RetryAfter);
  const Duration minDelay =
      std::max(request.RetryAfter, Board.Options.MinRetryAfter);
  // The ledger has already spread the retries of refused callers.
  if (why == ForwardFailure::OverAllotment)
    return minDelay;
  return Board.Jitter.jitter(minDelay);
}

void AttemptController::refuseForPart(TimePoint now, ForwardRequest &request) {
  if (const PartNotice *it = Board.Parts.refusalOf(request.Parts))
    request.RefusalDetail = "; " + describePart(*it);
  giveUp(now, request, ForwardFailure::PartQuarantined);
}

void AttemptController::giveUp(TimePoint now, ForwardRequest &request,
                               ForwardFailure why) {
  const bool mayHaveRun =
      request.MayHaveRun || (request.Attempt && request.Attempt->Sent);
  const int status = statusOf(why, mayHaveRun);
  std::string detail = forwardFailureName(why);
  if (request.LastRefusal != RefusalReason::None)
    detail += std::string(", ") + refusalReasonName(request.LastRefusal);
  detail += describeState(now, request);
  if (request.Route && !request.ToEngine)
    detail += "; " + describe(Board.Servers.countServers(now, request.Service));
  recordEvent(now, "request_lost", request, detail, status, /*lost=*/true);
  ForwardEvent &event = Board.Events.back();
  event.Reason = forwardFailureName(why);
  event.Parts = describeParts(sharedParts(request.Traits.Parts));
  event.Denial = request.Denial;
  if (why == ForwardFailure::NoRoom)
    event.RefusedUrgency = request.priority();
  if (request.Route)
    event.Outcome =
        mayHaveRun ? RequestOutcome::Failed : RequestOutcome::Refused;
  cancel(now, request);
  if (request.Answering) {
    Board.Commands.push_back(ReplyAbort{request.Key});
    return finish(now, request);
  }
  const std::optional<Duration> retryAfter = retryAfterOf(request, why);
  ResponseHead head{.Status = status,
                    .Headers =
                        Board.Codec.refusalHeaders(request.Traits, retryAfter)};
  Board.Commands.push_back(
      ReplyComplete{request.Key, std::move(head),
                    std::string(forwardFailureName(why)) + "\n"});
  finish(now, request);
}

void AttemptController::finish(TimePoint now, ForwardRequest &request) {
  Quarantine.onFinished(request);
  Accounts.onFinished(now, request);
  if (request.Attempt)
    Board.Attempts.erase(request.Attempt->Id);
  Board.Bytes.release(now, request.Key);
  Board.Deferred.erase(request.Key);
  Board.OriginQueries.erase(request.Key);
  if (const auto it = Board.PlainQueues.find(request.Service);
      it != Board.PlainQueues.end())
    it->second.remove(request.Key);
  Board.Requests.erase(request.Key);
}

} // namespace pimentofront
