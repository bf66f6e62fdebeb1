#include "pimentofront/Node.h"

namespace pimentofront {
namespace {

/// A leader answers a command within a few syncs of its disk. One that sends
/// nothing for this time may be cut off, so another leader is looked for.
constexpr Duration LeaderSilenceTimeout = std::chrono::seconds(1);

} // namespace

EntryNode::EntryNode(TimePoint now, const EntryNodeOptions &options,
                     RoutingPolicy &routing, Transport &transport,
                     AnswerSink &sink)
    : Options(options), Network(transport), Sink(sink),
      Feed({.Host = options.Host,
            .Incarnation = options.Entry.Incarnation,
            .Configuration = options.Configuration,
            .Replicas = options.Replicas,
            .ProbePeriod = options.ProbePeriod},
           transport),
      Leader(transport, options.Replicas, options.Entry.Incarnation + 1,
             LeaderSilenceTimeout),
      Controller(options.Entry, Feed.configuration(), routing),
      Agents(transport), Proposals(transport, Leader) {
  tick(now);
}

//===----------------------------------------------------------------------===//
// Links
//===----------------------------------------------------------------------===//

void EntryNode::onLinkOpen(TimePoint now, LinkId link, const Hello &) {
  if (Feed.owns(link))
    Feed.onLinkOpen(now);
  else if (Leader.owns(link))
    Leader.onReceived(now);
  else
    Agents.onOpen(link);
}

void EntryNode::onLinkClosed(TimePoint now, LinkId link) {
  if (Feed.owns(link)) {
    Feed.onLinkClosed(now);
  } else if (Leader.owns(link)) {
    Leader.onClosed(now);
  } else if (Agents.find(link)) {
    const AgentLink agent = Agents.onClosed(link);
    Controller.onLinkLost(now, agent.Host, agent.Open);
    flush(now);
  }
}

/// Closes links to hosts that are gone or have another address now.
void EntryNode::dropStaleAgentLinks(TimePoint now) {
  for (const LinkId it : Agents.staleLinks(Controller.board().Members)) {
    Agents.close(it);
    onLinkClosed(now, it);
  }
}

void EntryNode::onReplicaMessage(TimePoint now, const Message &message) {
  const FeedUpdate update = Feed.onMessage(now, message);
  if (update.AvailabilityChanged)
    Controller.onAvailabilityChanged();
  if (update.Members) {
    Controller.onMembers(now, *update.Members);
    dropStaleAgentLinks(now);
  }
  if (std::holds_alternative<ReplicaAddresses>(message))
    Leader.setAddresses(Feed.replicas());
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
  if (Feed.owns(link)) {
    onReplicaMessage(now, message);
  } else if (Leader.owns(link)) {
    Leader.onReceived(now);
    if (const auto *decided = std::get_if<ProposeReply>(&message))
      Proposals.onReply(now, *decided);
    if (const auto *redirect = std::get_if<NotLeader>(&message))
      Proposals.onRedirect(now, *redirect);
  } else if (const AgentLink *agent = Agents.find(link)) {
    Agents.onReceived(link);
    onAgentMessage(now, HostName(agent->Host), message);
  }
  flush(now);
}

//===----------------------------------------------------------------------===//
// Commands
//===----------------------------------------------------------------------===//

void EntryNode::command(TimePoint now, const Command &command,
                        CommandCallback done) {
  Proposals.add(command, now + Options.CommandTimeout,
                [done = std::move(done)](TimePoint, const auto &outcome) {
                  done(outcome);
                });
  Proposals.send(now);
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
                               .Deadline = now + AdminTimeout,
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

void EntryNode::callerDisconnected(TimePoint now, RequestKey key) {
  Controller.onCallerDisconnected(now, key);
  flush(now);
}

void EntryNode::flush(TimePoint now) {
  for (const EntryCommand &command : Controller.takeCommands()) {
    if (const auto *it = std::get_if<SendToAgent>(&command))
      Agents.send(now, *it);
    else if (const auto *chunk = std::get_if<DeliverChunk>(&command))
      Sink.onChunk(chunk->Key, chunk->Position, chunk->Text);
    else if (const auto *final = std::get_if<DeliverFinal>(&command))
      Sink.onFinal(final->Key, final->Kind, final->Answer);
    else if (const auto *proposal = std::get_if<ProposeCommand>(&command))
      Proposals.add(
          proposal->Proposal, proposal->ProposeUntil,
          [this, nonce = proposal->Nonce](TimePoint at, const auto &outcome) {
            Controller.onDecision(at, nonce, outcome);
          });
  }
  Proposals.send(now);
}

void EntryNode::tick(TimePoint now) {
  Feed.tick(now);
  for (const FeedEvent &it : Feed.takeEvents())
    Sink.onFeedEvent(it);
  Leader.tick(now);
  Proposals.tick(now);
  std::vector<std::uint64_t> expiredCalls;
  for (const auto &[nonce, it] : AdminCalls)
    if (now >= it.Deadline)
      expiredCalls.push_back(nonce);
  for (const std::uint64_t nonce : expiredCalls) {
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
