#include "pimentofront/Node.h"

namespace pimentofront {
namespace {

/// Operators' commands have nonces of their own, apart from the controller's.
constexpr std::uint64_t OwnNonces = std::uint64_t(1) << 63;
/// A proposal without an answer is sent again.
constexpr Duration ResendPeriod = std::chrono::milliseconds(500);
/// A leader answers a command within a few syncs of its disk; one that says
/// nothing for so long may be cut off, and another one is looked for.
constexpr Duration LeaderSilence = std::chrono::seconds(1);

} // namespace

EntryNode::EntryNode(TimePoint now, const EntryNodeOptions &options,
                     RoutingPolicy &routing, Transport &transport,
                     AnswerSink &sink)
    : Options(options), Network(transport), Sink(sink),
      Copy(options.Configuration), Controller(options.Entry, Copy, routing),
      Replica(transport, options.Replicas, options.Entry.Incarnation),
      Leader(transport, options.Replicas, options.Entry.Incarnation + 1,
             LeaderSilence),
      LastNonce(OwnNonces) {
  tick(now);
}

//===----------------------------------------------------------------------===//
// Links
//===----------------------------------------------------------------------===//

void EntryNode::onLinkOpen(TimePoint now, LinkId link, const Hello &) {
  if (Replica.owns(link)) {
    Replica.onHeard(now);
    subscribe(now);
  } else if (Leader.owns(link)) {
    Leader.onHeard(now);
  } else if (const auto it = Agents.find(link); it != Agents.end()) {
    it->second.Open = true;
  }
}

void EntryNode::onLinkClosed(TimePoint now, LinkId link) {
  if (Replica.owns(link)) {
    Replica.onClosed(now);
    Subscribed = false;
  } else if (Leader.owns(link)) {
    Leader.onClosed(now);
  } else if (const auto it = Agents.find(link); it != Agents.end()) {
    const Agent agent = it->second;
    Agents.erase(it);
    AgentLinks.erase(agent.Host);
    Controller.onLinkLost(now, agent.Host, agent.Open);
    flush(now);
  }
}

void EntryNode::sendToAgent(const SendToAgent &message) {
  auto it = AgentLinks.find(message.Host);
  if (it == AgentLinks.end()) {
    // Nothing can be cancelled on a link that has ended.
    if (std::holds_alternative<CancelAttempt>(message.Content))
      return;
    const LinkId link = Network.open(message.Address);
    Agents[link] = {message.Host, message.Address};
    it = AgentLinks.emplace(message.Host, link).first;
  }
  Network.send(it->second, message.Content);
}

/// A host that came back at another address, or is gone, has a link that leads
/// nowhere.
void EntryNode::dropStaleAgentLinks(TimePoint now) {
  std::vector<LinkId> stale;
  for (const auto &[link, agent] : Agents) {
    const auto it = Controller.board().Members.find(agent.Host);
    if (it == Controller.board().Members.end() ||
        it->second.Record.Address != agent.Address)
      stale.push_back(link);
  }
  for (const LinkId it : stale) {
    Network.close(it);
    onLinkClosed(now, it);
  }
}

//===----------------------------------------------------------------------===//
// Configuration and members
//===----------------------------------------------------------------------===//

void EntryNode::subscribe(TimePoint now) {
  const auto link = Replica.link(now);
  if (!link)
    return;
  Network.send(*link, Subscribe{.Host = Options.Host,
                                .Known = Copy.revision(),
                                .KnownMembers = Members.version(),
                                .WantsMembers = true});
  Subscribed = true;
  probe(now);
}

void EntryNode::probe(TimePoint now) {
  NextProbe = now + Options.ProbePeriod;
  const auto link = Replica.link(now);
  if (link && Subscribed)
    Network.send(*link, ProbeRevision{.Host = Options.Host,
                                      .Nonce = Copy.beginProbe(now),
                                      .InForce = Copy.revision()});
}

void EntryNode::onReplicaMessage(TimePoint now, const Message &message) {
  if (const auto *it = std::get_if<ConfigurationUpdate>(&message)) {
    const bool drains = Copy.apply(*it);
    if (drains)
      Controller.onDrains();
    // Reports at once what is in force, and has it confirmed.
    if (!it->Partial)
      probe(now);
  } else if (const auto *reply = std::get_if<ProbeReply>(&message)) {
    Copy.onProbeReply(*reply);
  } else if (const auto *members = std::get_if<MemberUpdate>(&message)) {
    if (!Members.apply(*members))
      return subscribe(now);
    Controller.onMembers(now, *members);
    dropStaleAgentLinks(now);
  }
}

//===----------------------------------------------------------------------===//
// Messages
//===----------------------------------------------------------------------===//

void EntryNode::onAgentMessage(TimePoint now, const HostName &host,
                               const Message &message) {
  if (const auto *it = std::get_if<AttemptChunk>(&message))
    Controller.onChunk(now, host, *it);
  else if (const auto *admitted = std::get_if<AttemptAdmitted>(&message))
    Controller.onAdmitted(now, host, *admitted);
  else if (const auto *finished = std::get_if<AttemptFinished>(&message))
    Controller.onFinished(now, host, *finished);
  else if (const auto *refused = std::get_if<AttemptRefused>(&message))
    Controller.onRefused(now, host, *refused);
  else if (const auto *leaving = std::get_if<AgentLeaving>(&message))
    Controller.onAgentLeaving(*leaving);
}

void EntryNode::onMessage(TimePoint now, LinkId link, const Message &message) {
  if (const auto *reply = std::get_if<AdminReply>(&message))
    onAdminReply(*reply);
  if (Replica.owns(link)) {
    Replica.onHeard(now);
    onReplicaMessage(now, message);
  } else if (Leader.owns(link)) {
    Leader.onHeard(now);
    if (const auto *decided = std::get_if<ProposeReply>(&message))
      onDecision(now, *decided);
    if (const auto *redirect = std::get_if<NotLeader>(&message)) {
      Leader.onRedirect(now, redirect->LeaderAddress);
      sendProposals(now);
    }
  } else if (const auto it = Agents.find(link); it != Agents.end()) {
    onAgentMessage(now, HostName(it->second.Host), message);
  }
  flush(now);
}

//===----------------------------------------------------------------------===//
// Commands
//===----------------------------------------------------------------------===//

void EntryNode::command(TimePoint now, const Command &command,
                        CommandCallback done) {
  Proposals[++LastNonce] = {.Content = command,
                            .GiveUpAt = now + Options.CommandTimeout,
                            .Done = std::move(done)};
  sendProposals(now);
}

void EntryNode::sendProposals(TimePoint now) {
  if (Proposals.empty())
    return;
  const auto link = Leader.link(now);
  if (!link)
    return;
  for (auto &[nonce, it] : Proposals) {
    if (it.SentOn == *link && now < it.SentAt + ResendPeriod)
      continue;
    it.SentOn = *link;
    it.SentAt = now;
    Network.send(*link, Propose{nonce, it.Content});
  }
}

void EntryNode::onDecision(TimePoint now, const ProposeReply &reply) {
  const auto it = Proposals.find(reply.Nonce);
  if (it == Proposals.end() || !reply.Decided)
    return; // Undecided ones are sent again.
  const CommandCallback done = std::move(it->second.Done);
  Proposals.erase(it);
  if (done)
    done(reply.Outcome);
  else
    Controller.onDecision(now, reply.Nonce, reply.Outcome);
}

void EntryNode::admin(TimePoint now, AdminRequest request,
                      const std::string &replica, StatusCallback done) {
  request.Nonce = ++LastNonce;
  std::optional<LinkId> link;
  if (replica.empty())
    link = Leader.link(now);
  else
    link = Network.open(replica);
  if (!link)
    return done(std::nullopt);
  constexpr Duration AdminTimeout = std::chrono::seconds(2);
  AdminCalls[request.Nonce] = {.Request = request,
                               .Link = replica.empty() ? 0 : *link,
                               .GiveUpAt = now + AdminTimeout,
                               .Done = std::move(done)};
  Network.send(*link, request);
}

void EntryNode::onAdminReply(const AdminReply &reply) {
  const auto it = AdminCalls.find(reply.Nonce);
  if (it == AdminCalls.end())
    return;
  const AdminCall call = std::move(it->second);
  AdminCalls.erase(it);
  if (call.Link != 0)
    Network.close(call.Link);
  call.Done(reply);
}

//===----------------------------------------------------------------------===//
// Callers and time
//===----------------------------------------------------------------------===//

void EntryNode::request(TimePoint now, CallerRequest request) {
  Controller.onRequest(now, std::move(request));
  flush(now);
}

void EntryNode::callerGone(TimePoint now, RequestKey key) {
  Controller.onCallerGone(now, key);
  flush(now);
}

void EntryNode::flush(TimePoint now) {
  for (const EntryCommand &command : Controller.takeCommands()) {
    if (const auto *it = std::get_if<SendToAgent>(&command))
      sendToAgent(*it);
    else if (const auto *chunk = std::get_if<DeliverChunk>(&command))
      Sink.onChunk(chunk->Key, chunk->Position, chunk->Text);
    else if (const auto *final = std::get_if<DeliverFinal>(&command))
      Sink.onFinal(final->Key, final->Kind, final->Answer);
    else if (const auto *proposal = std::get_if<ProposeCommand>(&command))
      Proposals[proposal->Nonce] = {.Content = proposal->Proposal,
                                    .GiveUpAt = proposal->GiveUpAt};
  }
  sendProposals(now);
}

void EntryNode::tick(TimePoint now) {
  Replica.tick(now);
  if (!Replica.link(now))
    Subscribed = false;
  if (now >= NextProbe)
    probe(now);
  Leader.tick(now);
  std::vector<std::uint64_t> late;
  for (const auto &[nonce, it] : Proposals)
    if (now >= it.GiveUpAt)
      late.push_back(nonce);
  for (const std::uint64_t nonce : late) {
    const CommandCallback done = std::move(Proposals.at(nonce).Done);
    Proposals.erase(nonce);
    if (done)
      done(std::nullopt);
    else
      Controller.onDecision(now, nonce, std::nullopt);
  }
  std::vector<std::uint64_t> lateCalls;
  for (const auto &[nonce, it] : AdminCalls)
    if (now >= it.GiveUpAt)
      lateCalls.push_back(nonce);
  for (const std::uint64_t nonce : lateCalls) {
    const AdminCall call = std::move(AdminCalls.at(nonce));
    AdminCalls.erase(nonce);
    if (call.Link != 0)
      Network.close(call.Link);
    call.Done(std::nullopt);
  }
  Controller.tick(now);
  flush(now);
}

} // namespace pimentofront
