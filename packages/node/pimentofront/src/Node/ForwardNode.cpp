#include "pimentofront/Node.h"

namespace pimentofront {
namespace {

/// A leader answers a command within a few syncs of its disk. One that sends
/// nothing for this time may be cut off, so another leader is looked for.
constexpr Duration LeaderSilenceTimeout = std::chrono::milliseconds(500);
/// A process that was not called for this time was suspended: the daemon
/// calls it every 20 ms, and a busy host delays a call by some hundred
/// milliseconds.
constexpr Duration SuspendGap = std::chrono::seconds(1);
/// Shorter gaps between calls are normal and not reported as a stall.
constexpr Duration StallGap = std::chrono::milliseconds(50);

/// The ledger answers each report, and a report is sent every second while
/// accounts are in use. A link on which nothing arrived for this time is dead.
constexpr Duration LedgerSilenceTimeout = std::chrono::seconds(3);

/// An entry isn't ready if its copies haven't been known to be current for this
/// number of confirmation leases. An election takes less than one lease, and
/// replicas that restart all at once mostly less than two.
constexpr int ReadyLeases = 2;

ReplicaFeedOptions withQuarantine(ReplicaFeedOptions feed) {
  feed.WantsQuarantine = true;
  return feed;
}

} // namespace

ForwardNode::ForwardNode(TimePoint now, const ForwardNodeOptions &options,
                         const HeaderCodec &headers,
                         const DocumentCodec &documents, RoutingPolicy &routing,
                         Transport &transport, ForwardSink &sink)
    : Documents(documents), Network(transport), Sink(sink),
      Feed(withQuarantine(options.Feed), transport),
      Leader(transport, options.Feed.Replicas, options.Feed.Incarnation + 1,
             LeaderSilenceTimeout),
      Proposals(transport, Leader),
      Ledger(transport, options.Feed.Replicas, options.Feed.Incarnation + 2,
             LedgerSilenceTimeout),
      Agents(transport), Keepers(transport, options.Feed.Replicas),
      Controller(options.Forward, Feed.configuration(), headers, routing),
      ReadyAge(ReadyLeases * options.Feed.Configuration.Lease) {
  tick(now);
}

//===----------------------------------------------------------------------===//
// Links and messages
//===----------------------------------------------------------------------===//

void ForwardNode::onLinkOpen(TimePoint now, LinkId link, const Hello &) {
  if (Feed.owns(link))
    Feed.onLinkOpen(now);
  else if (Leader.owns(link))
    Leader.onReceived(now);
  else if (Ledger.owns(link))
    Ledger.onReceived(now);
  else if (Keepers.owns(link))
    Keepers.onOpen(now, link,
                   Controller.needsOriginKeepers(now)
                       ? Controller.board().Origins.all(now)
                       : std::vector<StreamOrigin>());
  else
    Agents.onOpen(link);
}

void ForwardNode::onLinkClosed(TimePoint now, LinkId link) {
  if (Feed.owns(link))
    return Feed.onLinkClosed(now);
  if (Leader.owns(link))
    return Leader.onClosed(now);
  if (Ledger.owns(link)) {
    Ledger.onClosed(now);
    return Controller.onLedgerLinkLost(now);
  }
  if (Keepers.owns(link)) {
    Keepers.onClosed(now, link);
    updateKeepers(now);
    return flush(now);
  }
  if (!Agents.find(link))
    return;
  const AgentLink agent = Agents.onClosed(link);
  Controller.onAgentLost(now, agent.Host);
  flush(now);
}

void ForwardNode::onMessage(TimePoint now, LinkId link,
                            const Message &message) {
  detectPause(now);
  if (Feed.owns(link)) {
    onFeedMessage(now, message);
  } else if (Leader.owns(link)) {
    onLeaderMessage(now, message);
  } else if (Ledger.owns(link)) {
    onLedgerMessage(now, message);
  } else if (Keepers.owns(link)) {
    onKeeperMessage(now, link, message);
  } else if (const AgentLink *agent = Agents.find(link)) {
    Agents.onReceived(link);
    onAgentMessage(now, HostName(agent->Host), message);
  }
  flush(now);
}

void ForwardNode::onFeedMessage(TimePoint now, const Message &message) {
  const FeedUpdate update = Feed.onMessage(now, message);
  if (update.Quarantine)
    Controller.onQuarantineUpdate(now, *update.Quarantine);
  if (Feed.quarantineKnownAsOf())
    Controller.quarantine().onCaughtUp(*Feed.quarantineKnownAsOf());
  if (update.Members) {
    Controller.onMembers(now, *update.Members);
    dropLinks(now, Agents.staleLinks(Controller.board().Servers.agents()));
  }
  if (update.AvailabilityChanged)
    Controller.onEvacuatedZones(now, evacuatedZones());
  if (update.Subscribers)
    Controller.onEntryCount(now, *update.Subscribers);
  if (std::holds_alternative<ReplicaAddresses>(message)) {
    Leader.setAddresses(Feed.replicas());
    Ledger.setAddresses(Feed.replicas());
    Keepers.setAddresses(Feed.replicas());
    updateKeepers(now);
  }
  useDocument(now);
}

bool ForwardNode::follows(TimePoint now) const {
  const std::optional<Duration> age = Feed.age(now);
  return age && *age < ReadyAge;
}

void ForwardNode::reportFeed(TimePoint now) {
  for (const FeedEvent &it : Feed.takeEvents())
    Sink.onEvent({.Name = it.Name, .Detail = it.Why});
  const bool isReady = ready(now);
  if (isReady != WasReady)
    Sink.onEvent({.Name = isReady ? "entry_ready" : "entry_not_ready",
                  .Detail = follows(now) ? "" : "follows no replica"});
  WasReady = isReady;
}

std::set<ZoneName> ForwardNode::evacuatedZones() const {
  std::set<ZoneName> zones;
  for (const auto &[zone, it] : Feed.configuration().records().zones())
    if (it.Evacuated)
      zones.insert(zone);
  return zones;
}

void ForwardNode::onLeaderMessage(TimePoint now, const Message &message) {
  Leader.onReceived(now);
  if (const auto *decided = std::get_if<ProposeReply>(&message))
    Proposals.onReply(now, *decided);
  else if (const auto *redirect = std::get_if<NotLeader>(&message))
    Proposals.onRedirect(now, *redirect);
}

void ForwardNode::onLedgerMessage(TimePoint now, const Message &message) {
  Ledger.onReceived(now);
  if (const auto *grants = std::get_if<AllotmentGrants>(&message)) {
    Controller.onAllotmentGrants(now, *grants);
  } else if (const auto *permit = std::get_if<SendPermitReply>(&message)) {
    Controller.onSendPermit(now, *permit);
  } else if (const auto *redirect = std::get_if<NotLeader>(&message)) {
    Ledger.onRedirect(now, redirect->LeaderAddress);
    Controller.onLedgerLinkLost(now);
  }
}

void ForwardNode::watchLedger(TimePoint now) {
  const bool unanswered = Controller.hasOverdueLedgerQuery(now);
  if (unanswered)
    Ledger.onRedirect(now, /*address=*/std::string());
  if (unanswered || Ledger.tick(now))
    Controller.onLedgerLinkLost(now);
}

void ForwardNode::sendLedgerRequests(TimePoint now) {
  if (!Controller.isAllotmentReportDue(now) && !Controller.hasPermitQueries())
    return;
  const auto link = Ledger.link(now);
  if (!link)
    return;
  for (const SendPermitQuery &it : Controller.takePermitQueries())
    Network.send(*link, it);
  if (const auto report = Controller.takeAllotmentReport(now))
    Network.send(*link, *report);
}

void ForwardNode::proposeToReplicas(TimePoint now,
                                    const ProposeToReplicas &proposal) {
  Proposals.add(
      Command{.Body = proposal.Proposal}, now + proposal.DecisionTimeout,
      [this, nonce = proposal.Nonce](TimePoint at, const auto &outcome) {
        Controller.onDecision(at, nonce, outcome);
      });
  Proposals.send(now);
}

void ForwardNode::detectPause(TimePoint now) {
  if (LastCall && now >= *LastCall + StallGap)
    Controller.attempts().onStall(now - *LastCall);
  if (LastCall && now >= *LastCall + SuspendGap) {
    Controller.quarantine().onResume(now);
    Feed.probeNow(now);
  }
  LastCall = now;
}

void ForwardNode::onAgentMessage(TimePoint now, const HostName &host,
                                 const Message &message) {
  AttemptController &attempts = Controller.attempts();
  if (const auto *permit = std::get_if<AttemptPermit>(&message))
    attempts.onPermit(now, host, *permit);
  else if (const auto *admitted = std::get_if<AttemptAdmitted>(&message))
    attempts.onAdmitted(now, host, *admitted);
  else if (const auto *refused = std::get_if<AttemptRefused>(&message))
    attempts.onRefused(now, host, *refused);
  else if (const auto *leaving = std::get_if<AgentLeaving>(&message))
    attempts.onAgentLeaving(*leaving);
  else if (const auto *origin = std::get_if<StreamOriginReply>(&message))
    Controller.onStreamOrigin(now, host, *origin);
}

void ForwardNode::sendOrigins(TimePoint now) {
  const std::vector<StreamOrigin> origins = Controller.takeOriginsToKeep();
  if (!origins.empty())
    Keepers.tell(now, origins);
  for (const RequestId &it : Controller.takeOriginsToAsk())
    Keepers.ask(now, it);
}

void ForwardNode::onKeeperMessage(TimePoint now, LinkId link,
                                  const Message &message) {
  const std::string address = Keepers.onReceived(link);
  updateKeepers(now);
  if (const auto *origin = std::get_if<StreamOriginReply>(&message))
    Controller.onReplicaOrigin(now, address, *origin);
}

void ForwardNode::updateKeepers(TimePoint now) {
  Controller.setOriginKeepers(Keepers.answering());
  for (const std::string &it : Keepers.takeLost()) {
    Sink.onEvent({.Name = "origin_keeper_lost", .Detail = it});
    Controller.onReplicaLost(now, it);
  }
}

void ForwardNode::dropLinks(TimePoint now, const std::vector<LinkId> &links) {
  for (const LinkId it : links) {
    Agents.close(it);
    onLinkClosed(now, it);
  }
}

//===----------------------------------------------------------------------===//
// The routing document
//===----------------------------------------------------------------------===//

void ForwardNode::useDocument(TimePoint now) {
  Confirmed = Confirmed || Feed.configuration().isConfirmed(now);
  const DocumentRecord *record = Feed.configuration().document();
  if (!record || !Confirmed || record->ChangedAt <= DocumentRevision)
    return;
  DocumentRevision = record->ChangedAt;
  Findings findings;
  const std::string text = unpackText(record->Packed);
  RoutingDocument document = Documents.decode(text, findings);
  document.check(findings);
  // The document was checked before it was accepted, but an entry of an older
  // release may still not understand it. It then continues to serve with the
  // previous document.
  if (!findings.empty()) {
    Controller.setTableOutdated();
    return Sink.onEvent({.Name = "document_not_understood",
                         .Detail = findings.toText(),
                         .Lost = true});
  }
  const auto table = std::make_shared<const RoutingTable>(
      DocumentRevision, std::move(document), Controller.board().Table.get());
  Controller.setTable(table);
  Sink.onTable(*table);
  for (const auto &[host, it] : Controller.board().Servers.agents())
    sendProfile(now, host, it.Record.Address);
}

/// Sends an agent the profile that the routing document has for its engine.
void ForwardNode::sendProfile(TimePoint now, const HostName &host,
                              const std::string &address) {
  const ForwardBoard &board = Controller.board();
  const auto agent = board.Servers.agents().find(host);
  if (!board.Table || agent == board.Servers.agents().end())
    return;
  const ServiceSpec *service =
      board.Table->findService(ServiceName(agent->second.Record.BaseModel));
  if (!service || !service->Engine || service->Engine->Models.empty())
    return;
  const EngineSpec &engine = *service->Engine;
  Agents.send(now,
              {host, address,
               EngineProfile{.At = board.Table->revision(),
                             .BaseModel = engine.Models.front().Name,
                             .AdapterSlots = engine.AdapterSlots,
                             .BatchCapacity = engine.BatchCapacity,
                             .CacheTokens = engine.CacheTokens,
                             .Cold = service->coldStartFor(service->ColdTime),
                             .HealthPath = service->HealthPath}});
}

void ForwardNode::sendToAgent(TimePoint now, const SendToAgent &message) {
  if (Agents.send(now, message))
    sendProfile(now, message.Host, message.Address);
}

//===----------------------------------------------------------------------===//
// Callers, backend servers and time
//===----------------------------------------------------------------------===//

void ForwardNode::request(TimePoint now, std::uint64_t key, RequestHead head,
                          std::string body, const ContentHash &bodyHash) {
  detectPause(now);
  Controller.onRequest(now, key, std::move(head), std::move(body), bodyHash);
  flush(now);
}

void ForwardNode::callerDisconnected(TimePoint now, std::uint64_t key) {
  detectPause(now);
  Controller.onCallerDisconnected(now, key);
  flush(now);
}

void ForwardNode::callerUnsent(TimePoint now, std::uint64_t key,
                               std::size_t bytes) {
  if (Controller.onUnsent(now, key, bytes))
    flush(now);
}

HeadDecision ForwardNode::upstreamHead(TimePoint now, const AttemptId &attempt,
                                       ResponseHead head) {
  detectPause(now);
  const HeadDecision verdict =
      Controller.answers().onHead(now, attempt, std::move(head));
  flush(now);
  return verdict;
}

void ForwardNode::upstreamBody(TimePoint now, const AttemptId &attempt,
                               std::string_view bytes) {
  Controller.answers().onBody(now, attempt, bytes);
  flush(now);
}

void ForwardNode::upstreamEnd(TimePoint now, const AttemptId &attempt,
                              UpstreamEnding ending) {
  detectPause(now);
  Controller.answers().onEnd(now, attempt, ending);
  flush(now);
}

void ForwardNode::serverChecked(TimePoint now, const ServerProcess &server,
                                ServerCheckResult result) {
  detectPause(now);
  Controller.onServerChecked(now, server, result);
  flush(now);
}

void ForwardNode::tick(TimePoint now) {
  detectPause(now);
  Feed.tick(now);
  Leader.tick(now);
  Proposals.tick(now);
  watchLedger(now);
  dropLinks(now, Agents.takeSilent(now));
  Keepers.tick(now, Controller.needsOriginKeepers(now));
  updateKeepers(now);
  Controller.tick(now);
  flush(now);
  reportFeed(now);
}

void ForwardNode::flush(TimePoint now) {
  // Before the commands, which pass on events: the replicas whose links are
  // open are told of a stream before its caller has an event.
  sendOrigins(now);
  for (ForwardCommand &command : Controller.takeCommands()) {
    if (const auto *it = std::get_if<SendToAgent>(&command))
      sendToAgent(now, *it);
    else if (const auto *proposal = std::get_if<ProposeToReplicas>(&command))
      proposeToReplicas(now, *proposal);
    else
      Sink.onCommand(std::move(command));
  }
  for (const ForwardEvent &it : Controller.takeEvents())
    Sink.onEvent(it);
  sendLedgerRequests(now);
}

} // namespace pimentofront
