#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// \returns a number from [0, 1) that depends on the id only, so that a request
/// sent again goes to the same service.
double uniformFromId(const std::string &id) {
  constexpr unsigned UnusedBits = 11;
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(stableHash(id) >> UnusedBits) * Scale;
}

/// \returns a hash that identifies the request across attempts with different
/// ids: of its method, host, target, client account and body.
ContentHash contentOf(ContentHasher &hasher, const ForwardRequest &request) {
  const ContentHash &bodyHash = request.BodyHash;
  const std::string *host = findHeader(request.Head.Headers, "host");
  return hasher.addField(request.Head.Method)
      .addField(host ? *host : std::string())
      .addField(request.Head.Target)
      .addField(request.Account ? request.Account->Name.str() : std::string())
      .addField({reinterpret_cast<const char *>(&bodyHash), sizeof(bodyHash)})
      .finish();
}

} // namespace

ForwardController::ForwardController(const ForwardOptions &options,
                                     const ConfigurationView &configuration,
                                     const HeaderCodec &codec,
                                     RoutingPolicy &routing)
    : Board(options, configuration, codec), Accounts(Board), Deferrals(Board),
      Quarantine(Board), Origins(Board),
      Attempts(Board, Accounts, Deferrals, Quarantine, Origins, routing),
      Answers(Board, Attempts, Quarantine) {}

void ForwardController::setTable(std::shared_ptr<const RoutingTable> table) {
  Board.Table = std::move(table);
  Board.TableOutdated = false;
  if (!Board.Table)
    return;
  Board.Servers.useDocument(Board.Table->document());
  Board.Budgets.useDocument(Board.Table->document());
}

void ForwardController::onMembers(TimePoint now, const MemberUpdate &update) {
  Board.Servers.apply(now, update);
  Attempts.suspectFormerProcesses(now);
  Origins.onServersChanged(now);
}

void ForwardController::onStreamOrigin(TimePoint now, const HostName &agent,
                                       const StreamOriginReply &reply) {
  resume(now, Origins.onReply(now, agent, reply));
}

void ForwardController::onReplicaOrigin(TimePoint now,
                                        const std::string &address,
                                        const StreamOriginReply &reply) {
  resume(now, Origins.onReplicaReply(now, address, reply));
}

void ForwardController::onReplicaLost(TimePoint now,
                                      const std::string &address) {
  resume(now, Origins.onReplicaLost(address));
}

void ForwardController::onAgentLost(TimePoint now, const HostName &agent) {
  Attempts.onAgentLost(now, agent);
  resume(now, Origins.onAgentLost(agent));
}

void ForwardController::resume(TimePoint now,
                               const std::vector<std::uint64_t> &keys) {
  for (const std::uint64_t key : keys)
    if (const auto it = Board.Requests.find(key); it != Board.Requests.end())
      Attempts.next(now, it->second);
}

void ForwardController::onEvacuatedZones(TimePoint now,
                                         std::set<ZoneName> zones) {
  const std::set<ZoneName> before = Board.Servers.evacuatedZones();
  if (zones == before)
    return;
  const auto record = [&](const char *name, const ZoneName &zone) {
    Board.Events.push_back({.Name = name, .Detail = zone.str()});
  };
  for (const ZoneName &it : zones)
    if (!before.contains(it))
      record("zone_evacuated", it);
  for (const ZoneName &it : before)
    if (!zones.contains(it))
      record("zone_restored", it);
  Board.Servers.setEvacuated(now, std::move(zones));
  Attempts.onZonesChanged(now);
}

bool ForwardController::knowsZones(TimePoint now) const {
  const Duration bound = Board.Options.EvacuationBound;
  return bound == Duration::zero() || Board.confirmedWellWithin(now, bound);
}

void ForwardController::onEntryCount(TimePoint now, std::uint32_t entries) {
  Board.Servers.onEntryCount(now, entries);
  // Entries that a new leader hasn't counted yet still use their parts.
  const std::uint32_t sharing = std::max(Board.Servers.entries(), 1U);
  Board.Budgets.setReserve(Board.Options.RetryReserve / sharing);
}

void ForwardController::onRequest(TimePoint now, std::uint64_t key,
                                  RequestHead head, std::string body,
                                  const ContentHash &bodyHash) {
  ForwardRequest &request =
      Board.Requests
          .emplace(key,
                   ForwardRequest{.Key = key,
                                  .Head = std::move(head),
                                  .Body = std::make_shared<const std::string>(
                                      std::move(body)),
                                  .BodyHash = bodyHash,
                                  .ArrivedAt = now})
          .first->second;
  request.Traits = Board.Codec.decodeRequest(request.Head);
  request.Events = EventStream(request.Traits.LastEventId);
  resolve(now, request);
}

void ForwardController::resolve(TimePoint now, ForwardRequest &request) {
  request.Table = Board.Table;
  if (!request.Table) {
    request.RetryAfter = Board.Options.UnreadyRetryAfter;
    return deferUnresolved(now, request);
  }
  request.RetryAfter = Duration::zero();
  if (request.Traits.Id.empty() || !request.Traits.MalformedHeader.empty())
    return Attempts.giveUp(now, request, ForwardFailure::Malformed);
  const std::string *host = findHeader(request.Head.Headers, "host");
  request.Route =
      request.Table->findRoute(host ? *host : "", request.Head.Target);
  if (!request.Route) {
    // Only an entry that knows the newest configuration may answer that no such
    // route exists.
    if (!Accounts.knowsNewest(now))
      return deferUnresolved(now, request);
    return Attempts.giveUp(now, request, ForwardFailure::NoRoute);
  }
  admit(now, request);
}

void ForwardController::admit(TimePoint now, ForwardRequest &request) {
  switch (Accounts.identify(now, request)) {
  case KeyStatus::Unknown:
    return Attempts.giveUp(now, request, ForwardFailure::UnknownKey);
  case KeyStatus::Undecided:
    request.Route = nullptr;
    return deferUnresolved(now, request);
  case KeyStatus::Outdated:
    return Attempts.giveUp(now, request, ForwardFailure::KeysOutdated);
  case KeyStatus::Known:
    break;
  }
  request.Zones = AllowedZones(Board.Options.Regions, request.Route->Regions,
                               request.Account ? request.Account->Regions
                                               : std::vector<RegionName>());
  request.Content = contentOf(Hasher, request);
  request.Parts = sharedParts(
      Hasher, request.Account ? request.Account->Name : AccountName(),
      request.Traits.Parts);
  const Duration timeLeft =
      request.Traits.TimeLeft.value_or(request.Route->Timeout);
  request.Deadline = request.ArrivedAt +
                     std::min(timeLeft, request.Route->Timeout) -
                     Board.Options.AnswerReserve;
  request.Service = RoutingTable::chooseService(
      *request.Route, uniformFromId(request.Traits.Id));
  const ServiceSpec *service = request.Table->findService(request.Service);
  request.ToEngine = service && service->Engine;
  if (request.ToEngine && !request.Traits.Adapter.empty()) {
    const AdapterName name(request.Traits.BaseModel + "/" +
                           request.Traits.Adapter);
    request.Adapter = {name, Board.liveVersion(name)};
  }
  if (!makeRoom(now, request))
    return;
  Board.Budgets.recordRequest(request.Service);
  if (Accounts.charge(now, request))
    Attempts.next(now, request);
}

bool ForwardController::makeRoom(TimePoint now, ForwardRequest &request) {
  const auto urgencyOf = [](const ForwardRequest &it) {
    return it.Route ? it.priority() : ByteBudget::LeastUrgent;
  };
  const auto sizeOf = [](const ForwardRequest &it) {
    return it.Body->size() + memoryOf(it.Head);
  };
  const auto refuse = [&](ForwardRequest &it, const std::string &why) {
    it.RetryAfter = Board.Bytes.timeUntilRoom(now, sizeOf(it));
    it.RefusalDetail = "; " + why + ", has " + std::to_string(sizeOf(it)) +
                       " bytes, held " + std::to_string(Board.Bytes.held()) +
                       " of " + std::to_string(Board.Bytes.limit()) +
                       ", urgency " + std::to_string(urgencyOf(it));
    Attempts.giveUp(now, it, ForwardFailure::NoRoom);
  };
  const ByteBudget::Admission admission =
      Board.Bytes.admit(now, request.Key, urgencyOf(request), sizeOf(request));
  for (const ByteBudget::Key it : admission.Displaced)
    refuse(Board.Requests.at(it), "displaced by a more urgent one");
  if (!admission.Admitted)
    refuse(request, "no room on its arrival");
  return admission.Admitted;
}

bool ForwardController::onUnsent(TimePoint now, std::uint64_t key,
                                 std::size_t unsent) {
  const auto it = Board.Requests.find(key);
  if (it == Board.Requests.end() || !it->second.Attempt)
    return false;
  ForwardAttempt &attempt = *it->second.Attempt;
  const bool paused = Board.Bytes.pauses(unsent, attempt.Paused);
  if (!attempt.Sent || paused == attempt.Paused)
    return false;
  attempt.Paused = paused;
  attempt.Gaps.recordPause(now, paused);
  // The server's silence while it isn't read tells nothing about it.
  attempt.LastReceivedAt = now;
  Board.Commands.push_back(PauseUpstream{attempt.Id, paused});
  Attempts.recordEvent(
      now, paused ? "stream_paused" : "stream_resumed", it->second,
      "unread bytes " + std::to_string(unsent) + ", held in all " +
          std::to_string(Board.Bytes.held()) + ", allowed " +
          std::to_string(Board.Bytes.limit()));
  return true;
}

void ForwardController::onAllotmentGrants(TimePoint now,
                                          const AllotmentGrants &grants) {
  for (const AllotmentDecision &it : Accounts.onGrants(now, grants)) {
    ForwardRequest &request = Board.Requests.at(it.Key);
    if (it.granted()) {
      Attempts.next(now, request);
      continue;
    }
    request.RetryAfter = it.RetryAfter;
    request.RefusalDetail = "; account's level " + std::to_string(it.Level) +
                            ", asked " + std::to_string(it.Age.count() / 1000) +
                            " ms ago";
    Attempts.giveUp(now, request, ForwardFailure::OverAllotment);
  }
}

void ForwardController::onSendPermit(TimePoint now,
                                     const SendPermitReply &reply) {
  Board.Permits.onReply(now, reply);
  // Requests that wait for a permit are tried again: each is sent, deferred
  // again, or refused.
  for (const std::uint64_t key : Board.Deferred) {
    ForwardRequest &request = Board.Requests.at(key);
    if (request.Route && !request.ToEngine)
      request.NextTryAt = now;
  }
  retryDeferred(now);
}

bool ForwardController::isChargeOverdue(TimePoint now,
                                        const ForwardRequest &request) const {
  return request.Charge.CurrentState == AllotmentCharge::State::Pending &&
         now >= Deferrals.deferLimit(request);
}

void ForwardController::deferUnresolved(TimePoint now,
                                        ForwardRequest &request) {
  request.Deadline =
      request.ArrivedAt + request.Traits.TimeLeft.value_or(Duration::zero());
  if (!makeRoom(now, request))
    return;
  Attempts.deferOrGiveUp(now, request, ForwardFailure::NotReady);
}

void ForwardController::onDecision(
    TimePoint now, std::uint64_t nonce,
    const std::optional<CommandOutcome> &outcome) {
  const auto decision = Quarantine.onDecision(nonce, outcome);
  if (!decision)
    return;
  ForwardRequest &request = Board.Requests.at(decision->Key);
  if (now >= request.Deadline)
    return Attempts.giveUp(now, request, ForwardFailure::TimedOut);
  Attempts.proceed(now, request, decision->Decision);
}

void ForwardController::onQuarantineUpdate(TimePoint now,
                                           const QuarantineUpdate &update) {
  Quarantine.onUpdate(update);
  for (const std::uint64_t key : Quarantine.refusedForPart())
    if (const auto it = Board.Requests.find(key); it != Board.Requests.end())
      Attempts.refuseForPart(now, it->second);
}

void ForwardController::onServerChecked(TimePoint now,
                                        const ServerProcess &server,
                                        ServerCheckResult checkResult) {
  const CheckedRequests checked =
      Quarantine.onServerChecked(now, server, checkResult);
  for (const std::uint64_t key : checked.Keys) {
    const auto it = Board.Requests.find(key);
    if (it == Board.Requests.end())
      continue;
    ForwardRequest &request = it->second;
    if (awaitsCheck(request))
      Answers.onServerChecked(now, request, checked.Result);
    else
      Attempts.retryOrGiveUp(now, request);
  }
}

void ForwardController::onCallerDisconnected(TimePoint now, std::uint64_t key) {
  const auto it = Board.Requests.find(key);
  if (it == Board.Requests.end())
    return;
  Attempts.recordEvent(now, "caller_gone", it->second);
  if (it->second.Route)
    Board.Events.back().Outcome = RequestOutcome::Abandoned;
  Attempts.cancel(now, it->second);
  Attempts.finish(now, it->second);
}

void ForwardController::retryDeferred(TimePoint now) {
  for (const std::uint64_t key : Deferrals.takeDue(now)) {
    ForwardRequest &request = Board.Requests.at(key);
    if (request.Route)
      Attempts.next(now, request);
    else
      resolve(now, request);
  }
}

void ForwardController::tick(TimePoint now) {
  std::vector<std::uint64_t> late;
  std::vector<std::uint64_t> silent;
  std::vector<std::uint64_t> lost;
  std::vector<std::uint64_t> unanswered;
  for (const auto &[key, it] : Board.Requests) {
    if (awaitsCheck(it))
      continue;
    if (now >= it.Deadline)
      late.push_back(key);
    else if (isAgentOverdue(now, it))
      silent.push_back(key);
    else if (isServerLost(now, it))
      lost.push_back(key);
    else if (isChargeOverdue(now, it))
      unanswered.push_back(key);
  }
  for (const std::uint64_t key : late)
    Attempts.giveUp(now, Board.Requests.at(key), ForwardFailure::TimedOut);
  for (const std::uint64_t key : silent)
    Attempts.skipAgent(now, Board.Requests.at(key));
  for (const std::uint64_t key : lost)
    Answers.onServerLost(now, Board.Requests.at(key));
  for (const std::uint64_t key : unanswered)
    Attempts.giveUp(now, Board.Requests.at(key),
                    ForwardFailure::AllotmentUndecided);
  if (std::exchange(KnownRevision, Board.Configuration.revision()) !=
      Board.Configuration.revision())
    Attempts.onVersionsChanged(now);
  resume(now, Origins.takeOverdue(now));
  retryDeferred(now);
  Attempts.serveWaiting(now);
  for (const std::uint64_t key : Quarantine.takeSettled(now))
    Attempts.next(now, Board.Requests.at(key));
  Quarantine.reportSurvivors(now);
}

bool ForwardController::awaitsCheck(const ForwardRequest &request) {
  return request.Attempt && request.Attempt->ClosedAt;
}

bool ForwardController::isAgentOverdue(TimePoint now,
                                       const ForwardRequest &request) const {
  const auto &attempt = request.Attempt;
  return attempt && !attempt->Sent && !attempt->AgentAnswered &&
         now >= attempt->StartedAt + Board.Options.PermitTimeout;
}

bool ForwardController::isServerLost(TimePoint now,
                                     const ForwardRequest &request) const {
  if (!request.Attempt || !request.Attempt->Sent || request.Attempt->Paused ||
      !request.Route->mayRepeat())
    return false;
  const ForwardAttempt &attempt = *request.Attempt;
  const TimePoint lastReceivedAt =
      std::max(attempt.SentAt, attempt.LastReceivedAt);
  const bool suspected = attempt.SuspectedAt > lastReceivedAt;
  return suspected &&
         now >= lastReceivedAt + Board.Options.SuspectSilenceTimeout &&
         now >= attempt.SuspectedAt + Board.Options.SuspectGracePeriod;
}

std::vector<ForwardCommand> ForwardController::takeCommands() {
  return std::exchange(Board.Commands, {});
}

std::vector<ForwardEvent> ForwardController::takeEvents() {
  return std::exchange(Board.Events, {});
}

} // namespace pimentofront
