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
          .Gone = gone};
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

void AgentNode::onLinkOpen(TimePoint now, LinkId link, const Hello &) {
  if (Leader.owns(link))
    Leader.onHeard(now);
  else
    Entries.insert(link);
}

void AgentNode::onLinkClosed(TimePoint now, LinkId link) {
  if (Leader.owns(link)) {
    Leader.onClosed(now);
    Announced = false;
    NextRenewal = now;
    return;
  }
  if (Entries.erase(link) == 0)
    return;
  Controller.onEntryGone(now, link);
  flush(now);
}

void AgentNode::onMessage(TimePoint now, LinkId link, const Message &message) {
  const bool fromLeader = Leader.owns(link);
  if (fromLeader)
    Leader.onHeard(now);
  if (const auto *it = std::get_if<ExecuteRequest>(&message)) {
    Controller.onExecute(now, link, *it);
  } else if (const auto *cancel = std::get_if<CancelAttempt>(&message)) {
    Controller.onCancel(now, cancel->Attempt);
  } else if (fromLeader) {
    onLeaderMessage(now, message);
  }
  flush(now);
}

void AgentNode::onLeaderMessage(TimePoint now, const Message &message) {
  if (const auto *lease = std::get_if<LeaseReply>(&message)) {
    if (Announced != lease->Known)
      NextRenewal = now;
    Announced = lease->Known;
    LeasedUntil = now + lease->Lease;
    Controller.onMembers(lease->Members);
  } else if (const auto *redirect = std::get_if<NotLeader>(&message)) {
    Leader.onRedirect(now, redirect->LeaderAddress);
    Announced = false;
    NextRenewal = now;
  } else if (const auto *ticket = std::get_if<LoadTicket>(&message)) {
    Controller.onTicket(now, *ticket);
  } else if (const auto *status = std::get_if<LoadQueueStatus>(&message)) {
    Controller.onLoadQueueStatus(now, *status);
  }
}

void AgentNode::tick(TimePoint now) {
  Leader.tick(now);
  if (now >= NextRenewal)
    announce(now, /*gone=*/false);
  Controller.tick(now);
  flush(now);
}

void AgentNode::sendToScheduler(TimePoint now, const Message &message) {
  if (const auto link = Leader.link(now))
    Network.send(*link, message);
}

void AgentNode::flush(TimePoint now) {
  for (const AgentCommand &command : Controller.takeCommands()) {
    if (const auto *it = std::get_if<SendToEntry>(&command))
      Network.send(it->Entry, it->Content);
    else if (const auto *message = std::get_if<SendToScheduler>(&command))
      sendToScheduler(now, message->Content);
    else if (const auto *start = std::get_if<StartGeneration>(&command))
      Driver.generate(start->Request);
    else if (const auto *call = std::get_if<StartServiceCall>(&command))
      Driver.callService(call->Request);
    else if (const auto *cancel = std::get_if<CancelWork>(&command))
      Driver.cancel(cancel->Attempt);
    else if (const auto *load = std::get_if<StartLoad>(&command))
      Driver.load(*load);
  }
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

void AgentNode::sayGoodbye(TimePoint now) { announce(now, /*gone=*/true); }

Duration AgentNode::leaseLeft(TimePoint now) const {
  return std::max(LeasedUntil - now, Duration::zero());
}

} // namespace pimentofront
