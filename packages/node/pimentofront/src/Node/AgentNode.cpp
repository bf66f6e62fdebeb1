#include "pimentofront/Node.h"

namespace pimentofront {

AgentNode::AgentNode(TimePoint now, const AgentNodeOptions &options,
                     const EvictionPolicy &eviction, LoadGate &gate,
                     BackendDriver &driver, Transport &transport)
    : Options(options), Driver(driver), Network(transport),
      Controller(options.Agent, eviction, gate),
      Leader(transport, options.Replicas, options.Agent.Incarnation) {
  tick(now);
}

MemberRecord AgentNode::record(bool gone) const {
  const AgentOptions &agent = Options.Agent;
  const bool hasEngine = !agent.BaseModel.empty();
  return {.Host = agent.Host,
          .Incarnation = agent.Incarnation,
          .Zone = Options.Zone,
          .Address = Options.Address,
          .BaseModel = agent.BaseModel,
          .Services = agent.Services,
          .Slots = hasEngine ? agent.Slots : 0,
          .BatchCapacity = agent.BatchCapacity,
          .Leaving = Controller.board().Leaving,
          .Gone = gone,
          .RemembersStreams = true};
}

void AgentNode::announce(TimePoint now, bool gone) {
  const auto link = Leader.link(now);
  if (!link)
    return;
  NextRenewal = now + Options.RenewPeriod;
  if (Announced && !gone)
    return Network.send(
        *link, RenewLease{Options.Agent.Host, Options.Agent.Incarnation});
  Network.send(*link, Announce{record(gone)});
}

/// Announces this agent in full at the next chance, after the link to the
/// leader was lost or redirected. If it waited for the next renewal instead, an
/// agent whose first packet reached a replica that was not up yet would be
/// silent for a whole renewal period: after a power failure this delayed the
/// loads of the engines' base models by 0.7 s.
void AgentNode::scheduleAnnouncement(TimePoint now) {
  Announced = false;
  NextRenewal = now;
}

void AgentNode::onLinkOpen(TimePoint now, LinkId link, const Hello &) {
  if (Leader.owns(link))
    Leader.onReceived(now);
  else
    Entries.insert(link);
}

void AgentNode::onLinkClosed(TimePoint now, LinkId link) {
  if (Leader.owns(link)) {
    Leader.onClosed(now);
    return scheduleAnnouncement(now);
  }
  if (Entries.erase(link) == 0)
    return;
  Controller.onEntryDisconnected(now, link);
  flush(now);
  std::erase_if(Delegated, [&](const auto &it) { return it.second == link; });
}

void AgentNode::onMessage(TimePoint now, LinkId link, const Message &message) {
  const bool fromLeader = Leader.owns(link);
  if (fromLeader)
    Leader.onReceived(now);
  if (fromLeader)
    onLeaderMessage(now, message);
  else
    onEntryMessage(now, link, message);
  flush(now);
}

void AgentNode::onEntryMessage(TimePoint now, LinkId link,
                               const Message &message) {
  Controller.onReceived(now, link);
  if (const auto *it = std::get_if<ExecuteRequest>(&message)) {
    onExecute(now, link, *it);
  } else if (const auto *cancel = std::get_if<CancelAttempt>(&message)) {
    Controller.onCancel(now, cancel->Attempt);
  } else if (const auto *released = std::get_if<AttemptReleased>(&message)) {
    onReleased(now, *released);
  } else if (const auto *began = std::get_if<AttemptBegan>(&message)) {
    Controller.onBegan(now, *began);
  } else if (const auto *limit = std::get_if<RateLimitReport>(&message)) {
    Controller.onRateLimitReport(now, *limit);
  } else if (const auto *profile = std::get_if<EngineProfile>(&message)) {
    applyProfile(now, *profile);
  } else if (const auto *origins = std::get_if<StreamOrigins>(&message)) {
    for (const StreamOrigin &origin : origins->Origins)
      Origins.record(now, origin);
  } else if (const auto *query = std::get_if<StreamOriginQuery>(&message)) {
    const auto software = Origins.find(now, query->Stream);
    Network.send(link, StreamOriginReply{query->Stream, software.has_value(),
                                         software.value_or("")});
  }
}

void AgentNode::onExecute(TimePoint now, LinkId link,
                          const ExecuteRequest &request) {
  const auto refuse = [&](RefusalReason reason) {
    Network.send(link, AttemptRefused{.Attempt = request.Attempt,
                                      .Reason = reason,
                                      .Load = Controller.currentLoad(now)});
  };
  if (!isPlainText(request.Key.Adapter.str()))
    return refuse(RefusalReason::Invalid);
  if (hasExited(now, request.server()))
    return refuse(RefusalReason::BackendDown);
  if (!request.Server.empty()) {
    // What was learned of a former process doesn't apply to this one.
    if (!Process.empty() && !mayBeSameProcess(Process, request.server()))
      Controller.onProcessChanged();
    Process = request.server();
  }
  if (request.Delegated)
    Delegated[request.Attempt] = link;
  Controller.onExecute(now, link, request);
}

bool AgentNode::hasExited(TimePoint now, const ServerProcess &process) const {
  // If both start times are known, it is certain which process is meant. A
  // request for the next process is also refused while this agent doesn't know
  // that process yet, because the agent's state still describes the former one.
  const ServerProcess current{process.Name, EngineStartedAt};
  if (bothStartsKnown(process, current))
    return !mayBeSameProcess(process, current);
  const auto it = FormerProcesses.find(process);
  return it != FormerProcesses.end() &&
         now < it->second + Options.FormerProcessRetention;
}

void AgentNode::onEngineRestarted(TimePoint now) {
  if (Process.empty())
    return;
  std::erase_if(FormerProcesses, [&](const auto &it) {
    return now >= it.second + Options.FormerProcessRetention;
  });
  FormerProcesses[Process] = now;
  Process = ServerProcess();
}

void AgentNode::onReleased(TimePoint now, const AttemptReleased &message) {
  Delegated.erase(message.Attempt);
  Controller.onReleased(now, message);
}

void AgentNode::applyProfile(TimePoint now, const EngineProfile &profile) {
  if (profile.At <= Profile.At)
    return;
  Profile = profile;
  Controller.onProfile(now, profile);
  if (ProfileAction)
    ProfileAction(profile);
}

/// An entry that sends an attempt to the engine itself only needs the permit.
void AgentNode::start(TimePoint now, const StartGeneration &command) {
  const ExecuteRequest &request = command.Request;
  const auto it = Delegated.find(request.Attempt);
  if (it == Delegated.end())
    return Driver.generate(request);
  Network.send(
      it->second,
      AttemptPermit{request.Attempt, Controller.currentLoad(now),
                    Controller.rateLimit(now), Controller.requestInterval(now),
                    command.UncachedTokens, Controller.weightsOf(request.Key)});
}

void AgentNode::cancelWork(TimePoint now, const AttemptId &attempt) {
  if (Delegated.erase(attempt) == 0)
    return Driver.cancel(attempt);
  // The entry closes its own connection to the engine.
  Controller.onReleased(now, {attempt, ReleaseKind::BrokeOff});
}

void AgentNode::onLeaderMessage(TimePoint now, const Message &message) {
  if (const auto *lease = std::get_if<LeaseReply>(&message)) {
    if (Announced != lease->Known)
      NextRenewal = now;
    Announced = lease->Known;
    LeasedUntil = now + lease->Lease;
    Fence = std::max(Fence, lease->Fence);
    Controller.onMembers(lease->Members);
  } else if (const auto *redirect = std::get_if<NotLeader>(&message)) {
    Leader.onRedirect(now, redirect->LeaderAddress);
    scheduleAnnouncement(now);
  } else if (const auto *replicas = std::get_if<ReplicaAddresses>(&message)) {
    Leader.setAddresses(replicas->Peers);
  } else if (const auto *ticket = std::get_if<LoadTicket>(&message)) {
    Controller.onTicket(now, *ticket);
  } else if (const auto *status = std::get_if<LoadQueueStatus>(&message)) {
    Controller.onLoadQueueStatus(now, *status);
  }
}

void AgentNode::tick(TimePoint now) {
  if (Leader.tick(now))
    scheduleAnnouncement(now);
  if (now >= NextRenewal)
    announce(now, /*gone=*/false);
  Controller.tick(now);
  Origins.expire(now);
  flush(now);
}

void AgentNode::sendToScheduler(TimePoint now, const Message &message) {
  if (const auto link = Leader.link(now))
    Network.send(*link, message);
}

void AgentNode::flush(TimePoint now) {
  // Cancelling delegated work may lead to further commands.
  for (auto commands = Controller.takeCommands(); !commands.empty();
       commands = Controller.takeCommands())
    for (const AgentCommand &command : commands)
      execute(now, command);
  reportEvents();
}

void AgentNode::reportEvents() {
  const std::vector<AgentEvent> events = Controller.takeEvents();
  if (!EventAction)
    return;
  for (const AgentEvent &it : events)
    EventAction(it);
}

void AgentNode::execute(TimePoint now, const AgentCommand &command) {
  if (const auto *it = std::get_if<SendToEntry>(&command)) {
    if (const auto *refused = std::get_if<AttemptRefused>(&it->Content))
      Delegated.erase(refused->Attempt);
    else if (const auto *ended = std::get_if<AttemptFinished>(&it->Content))
      Delegated.erase(ended->Attempt);
    Network.send(it->Entry, it->Content);
  } else if (const auto *message = std::get_if<SendToScheduler>(&command))
    sendToScheduler(now, message->Content);
  else if (const auto *begin = std::get_if<StartGeneration>(&command))
    start(now, *begin);
  else if (const auto *call = std::get_if<StartServiceCall>(&command))
    Driver.callService(call->Request);
  else if (const auto *cancel = std::get_if<CancelWork>(&command))
    cancelWork(now, cancel->Attempt);
  else if (const auto *load = std::get_if<StartLoad>(&command))
    Driver.load(*load);
}

void AgentNode::leave(TimePoint now) {
  Controller.leave(now);
  for (const LinkId it : Entries)
    Network.send(it,
                 AgentLeaving{Options.Agent.Host, Options.Agent.Incarnation});
  Announced = false;
  announce(now, /*gone=*/false);
  flush(now);
}

void AgentNode::sendLeaveMessage(TimePoint now) {
  announce(now, /*gone=*/true);
}

Duration AgentNode::remainingLease(TimePoint now) const {
  return std::max(LeasedUntil - now, Duration::zero());
}

} // namespace pimentofront
