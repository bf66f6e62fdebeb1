#include "pimentofront/Node.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {
namespace {

constexpr Duration JoinPeriod = std::chrono::seconds(1);
/// Interval at which changes are pushed to subscribers, so that several changes
/// of members share a message.
constexpr Duration PushPeriod = std::chrono::milliseconds(50);
/// A read-index request to the leader is repeated if it has not been answered
/// within this time.
constexpr Duration ReadTimeout = std::chrono::milliseconds(500);

/// Time within which a change of the leader's members reaches its followers: a
/// few push periods and the delay of a slow link.
constexpr Duration MemberDelay = std::chrono::milliseconds(800);

/// Interval at which the leader looks for departures that are no longer needed.
constexpr Duration DepartureReviewPeriod = std::chrono::seconds(1);

/// Number of election timeouts after which a link between replicas is closed if
/// nothing has arrived on it since a request. Two replicas that kept such a
/// dead link could not elect a leader while it lasted.
constexpr int SilentElectionTimeouts = 3;

/// Streams that a replica remembers: about 14 MB.
constexpr std::size_t OriginCapacity = 100'000;

/// \returns whether \p message is a request that a running replica answers at
/// once.
bool isRequest(const Message &message) {
  return std::holds_alternative<VoteRequest>(message) ||
         std::holds_alternative<AppendRequest>(message) ||
         std::holds_alternative<SnapshotPart>(message) ||
         std::holds_alternative<ReadIndexRequest>(message);
}

} // namespace

ReplicaNode::ReplicaNode(TimePoint now, const ReplicaNodeOptions &options,
                         const StoredLog &stored, LogStore &store,
                         Transport &transport, const WallClock &wall)
    : Options(options), Store(store), Network(transport), Wall(wall),
      Log(now, options.Log, stored), State(options.Claims),
      Review(options.Quarantine), History(options.History),
      Evacuations(options.OrderResendWindow), Members(options.Members),
      Loads(options.Loads), Allotments(options.Allotments, options.Documents),
      Listeners(transport),
      Origins({.Capacity = OriginCapacity, .RejectsConflicts = true}),
      Watch(SilentElectionTimeouts * options.Log.ElectionTimeout) {
  flush(now);
}

//===----------------------------------------------------------------------===//
// Links
//===----------------------------------------------------------------------===//

void ReplicaNode::onLinkOpen(TimePoint now, LinkId link, const Hello &hello) {
  // Only links opened for replication are used. Links that other nodes of
  // either process opened are closed when those nodes no longer need them.
  const bool ours = std::ranges::any_of(
      LinksByAddress, [&](const auto &it) { return it.second == link; });
  // A process whose store isn't open yet has no replica. On this link it would
  // be taken to be still opening.
  if (hello.Replica == 0 && ours) {
    Network.close(link);
    return onLinkClosed(now, link);
  }
  if (hello.Replica == 0 || (hello.Accepted && !ours))
    return;
  ReplicaLinks[hello.Replica] = link;
  ReplicaOfLink[link] = hello.Replica;
}

void ReplicaNode::onLinkClosed(TimePoint now, LinkId link) {
  Watch.forget(link);
  Listeners.remove(link);
  Fences.erase(link);
  std::erase_if(Probes, [&](const auto &it) { return it.Link == link; });
  std::erase_if(AgentLinks, [&](const auto &it) { return it.second == link; });
  std::erase_if(LinksByAddress,
                [&](const auto &it) { return it.second == link; });
  const auto it = ReplicaOfLink.find(link);
  if (it == ReplicaOfLink.end())
    return;
  const ReplicaId replica = it->second;
  ReplicaOfLink.erase(it);
  if (SubscribedLeader == replica)
    SubscribedLeader = 0;
  if (ReplicaLinks[replica] == link)
    useOtherLink(replica);
  ReadInFlight = false;
  requestReadIndex(now);
}

/// Two replicas that connect to each other at the same time have two links.
/// When one of them closes, the other one is used.
void ReplicaNode::useOtherLink(ReplicaId replica) {
  ReplicaLinks.erase(replica);
  const auto other = std::ranges::find_if(
      ReplicaOfLink, [&](const auto &it) { return it.second == replica; });
  if (other != ReplicaOfLink.end())
    ReplicaLinks[replica] = other->first;
}

void ReplicaNode::closeSilentLinks(TimePoint now) {
  for (const LinkId it : Watch.takeSilent(now)) {
    Network.close(it);
    onLinkClosed(now, it);
  }
}

void ReplicaNode::sendToReplica(TimePoint now, const ReplicaDescriptor &to,
                                const Message &message) {
  const auto known = ReplicaLinks.find(to.Id);
  if (known != ReplicaLinks.end()) {
    if (isRequest(message))
      Watch.expectReply(now, known->second);
    return Network.send(known->second, message);
  }
  if (to.Address.empty())
    return;
  const auto opened = LinksByAddress.find(to.Address);
  if (opened != LinksByAddress.end())
    return; // Still opening: the message is dropped, and the log repeats it.
  const LinkId link = Network.open(to.Address, LinkPurpose::Replication);
  LinksByAddress[to.Address] = link;
  Network.send(link, message);
}

void ReplicaNode::redirect(LinkId link) {
  const ReplicaDescriptor *leader = Log.leader();
  const bool other = leader && leader->Id != Log.id();
  Network.send(link, NotLeader{other ? leader->Address : std::string()});
}

//===----------------------------------------------------------------------===//
// Messages
//===----------------------------------------------------------------------===//

void ReplicaNode::onMessage(TimePoint now, LinkId link,
                            const Message &message) {
  Watch.recordReceived(link);
  if (onLogMessage(now, link, message) || onLeaderMessage(now, link, message))
    return;
  if (const auto *it = std::get_if<Subscribe>(&message)) {
    Listeners.add(link, *it);
    if (it->Known != MembersOnly)
      Network.send(link, ReplicaAddresses{groupAddresses()});
  } else if (const auto *probe = std::get_if<ProbeRevision>(&message))
    onProbe(now, link, *probe);
  else if (const auto *read = std::get_if<ReadIndexRequest>(&message))
    onReadIndex(now, link, *read);
  else if (const auto *reply = std::get_if<ReadIndexReply>(&message))
    onReadIndexReply(now, *reply);
  else if (const auto *update = std::get_if<MemberUpdate>(&message)) {
    const auto sender = ReplicaOfLink.find(link);
    const bool current = sender != ReplicaOfLink.end() &&
                         SubscribedLeader != 0 &&
                         sender->second == SubscribedLeader;
    if (current && Members.apply(*update) == MemberUpdateResult::Gap)
      SubscribedLeader = 0; // An update was missed: subscribe again.
  } else
    onStreamMessage(now, link, message);
}

void ReplicaNode::onStreamMessage(TimePoint now, LinkId link,
                                  const Message &message) {
  if (const auto *origins = std::get_if<StreamOrigins>(&message)) {
    for (const StreamOrigin &it : origins->Origins)
      Origins.record(now, it);
  } else if (const auto *query = std::get_if<StreamOriginQuery>(&message)) {
    const auto software = Origins.find(now, query->Stream);
    Network.send(link, StreamOriginReply{query->Stream, software.has_value(),
                                         software.value_or("")});
  }
}

bool ReplicaNode::onLogMessage(TimePoint now, LinkId link,
                               const Message &message) {
  const bool isLog = std::holds_alternative<VoteRequest>(message) ||
                     std::holds_alternative<VoteReply>(message) ||
                     std::holds_alternative<AppendRequest>(message) ||
                     std::holds_alternative<AppendReply>(message) ||
                     std::holds_alternative<SnapshotPart>(message) ||
                     std::holds_alternative<SnapshotReply>(message) ||
                     std::holds_alternative<JoinRequest>(message);
  // Log messages are accepted only from peers that identified themselves as
  // replicas.
  if (isLog && ReplicaOfLink.contains(link) && !Failure)
    Log.onMessage(now, Wall.milliseconds(), message);
  return isLog;
}

bool ReplicaNode::onLeaderMessage(TimePoint now, LinkId link,
                                  const Message &message) {
  const auto *announce = std::get_if<Announce>(&message);
  const auto *renew = std::get_if<RenewLease>(&message);
  const auto *demand = std::get_if<LoadDemand>(&message);
  const auto *done = std::get_if<LoadDone>(&message);
  const auto *proposal = std::get_if<Propose>(&message);
  const auto *allotments = std::get_if<AllotmentReport>(&message);
  const auto *permit = std::get_if<SendPermitQuery>(&message);
  const auto *admin = std::get_if<AdminRequest>(&message);
  if (admin) {
    onAdmin(now, link, *admin);
    return true;
  }
  if (!announce && !renew && !demand && !done && !proposal && !allotments &&
      !permit)
    return false;
  if (!leads(now)) {
    redirect(link);
    return true;
  }
  ensureTermStarted(now);
  if (announce) {
    Members.announce(now, announce->Member);
    answerLease(now, link, announce->Member.Host, true);
    Network.send(link, ReplicaAddresses{groupAddresses()});
  } else if (renew) {
    const bool known = Members.renew(now, renew->Host, renew->Incarnation);
    answerLease(now, link, renew->Host, known);
  } else if (demand) {
    AgentLinks[demand->Host] = link;
    Network.send(link, Loads.onDemand(now, *demand));
    issueTickets(now);
  } else if (done) {
    Loads.onDone(now, *done);
    issueTickets(now);
  } else if (allotments) {
    Network.send(link,
                 Allotments.onReport(now, State.configuration(), *allotments));
  } else if (permit) {
    SendPermits.startLeading(Log.term());
    Network.send(link, SendPermits.onQuery(now, *permit));
  } else {
    onPropose(now, link, *proposal);
  }
  return true;
}

void ReplicaNode::answerLease(TimePoint, LinkId link, const HostName &host,
                              bool known) {
  AgentLinks[host] = link;
  const auto engines =
      std::ranges::count_if(Members.members(), [](const auto &it) {
        return it.second.Slots > 0 && !it.second.Registered;
      });
  // A token consists of the term and a counter. The term survives every failure
  // that the group survives, so no token is issued twice, and a later leader
  // issues higher ones.
  constexpr unsigned FencesPerTermBits = 24;
  constexpr std::uint64_t LastFence =
      (std::uint64_t(1) << FencesPerTermBits) - 1;
  // A link keeps its token, so that renewals use up none. After the last one,
  // and for a process that isn't a member any more, 0 names no token.
  std::uint64_t fence = 0;
  if (!known)
    Fences.erase(link);
  else if (const auto it = Fences.find(link); it != Fences.end())
    fence = it->second;
  else if (FencesIssued < LastFence)
    fence = Fences[link] = Log.term() << FencesPerTermBits | ++FencesIssued;
  Network.send(link, LeaseReply{.Known = known,
                                .Lease = Options.Members.Lease,
                                .Members = static_cast<std::uint32_t>(engines),
                                .Fence = fence});
}

std::string ReplicaNode::leaderAddress() const {
  const ReplicaDescriptor *leader = Log.leader();
  return leader && leader->Id != Log.id() ? leader->Address : std::string();
}

void ReplicaNode::announce(TimePoint now, const MemberRecord &member,
                           std::uint64_t sequence) {
  assert(leads(now) && "only the leader maintains the member table");
  ensureTermStarted(now);
  if (!awaitsSoftwareRecord(now, member)) {
    Members.announce(now, member, sequence);
    return;
  }
  const auto held =
      std::ranges::find_if(HeldAnnouncements, [&](const HeldAnnouncement &it) {
        return it.Member.process() == member.process();
      });
  if (held == HeldAnnouncements.end())
    HeldAnnouncements.push_back(
        {.ArrivedAt = now, .Member = member, .Sequence = sequence});
  else if (sequence >= held->Sequence)
    *held = {.ArrivedAt = now, .Member = member, .Sequence = sequence};
  flush(now);
}

bool ReplicaNode::allReplicas(
    const std::function<bool(LinkId)> &accepts) const {
  return std::ranges::all_of(
      Log.group().Replicas, [&](const ReplicaDescriptor &replica) {
        return replica.Id == Log.id() ||
               std::ranges::any_of(ReplicaOfLink, [&](const auto &it) {
                 return it.second == replica.Id && accepts(it.first);
               });
      });
}

bool ReplicaNode::recordsSoftware() const {
  // The first record was proposed when all replicas had said so.
  return !State.configuration().software().empty() ||
         allReplicas([&](LinkId it) { return Listeners.takesSoftware(it); });
}

bool ReplicaNode::recordsDepartures() const {
  // The same holds for the first command.
  return State.departures().version() > 0 ||
         allReplicas([&](LinkId it) { return Listeners.takesDepartures(it); });
}

bool ReplicaNode::isRecordedAsLeaving(const MemberRecord &member) const {
  const auto it = Members.members().find(member.Host);
  return member.Leaving && it != Members.members().end() &&
         it->second.Leaving && it->second.process() == member.process() &&
         State.departures().records().contains(member.process());
}

bool ReplicaNode::announceDeparture(TimePoint now, const MemberRecord &member,
                                    std::uint64_t sequence,
                                    DecisionCallback done) {
  assert((member.Leaving || member.Gone) && "only a departure is recorded");
  const bool recorded = isRecordedAsLeaving(member);
  ensureTermStarted(now);
  const DepartureRecord departure = Members.departureOf(member, sequence);
  // Entries stop sending requests to the server even if the acknowledgement
  // fails and the server has to repeat the announcement.
  announce(now, member, sequence);
  if (recorded || !recordsDepartures() ||
      State.departures().covers(departure)) {
    done(CommandOutcome{});
    return true;
  }
  return propose(now, Command{.Body = RecordDeparture{departure}},
                 std::move(done));
}

void ReplicaNode::reviewDepartures(TimePoint now) {
  if (now < NextDepartureReview || !acceptsCommands() || !recordsDepartures())
    return;
  NextDepartureReview = now + DepartureReviewPeriod;
  ForgetDepartures old;
  for (const auto &[process, it] : State.departures().records())
    if (!Members.remembersDeparture(process))
      old.Departures.push_back(it);
  // The first command marks that all replicas decode the later ones, so that a
  // departure is recorded even while one of them is away.
  if (State.departures().version() == 0 || !old.Departures.empty())
    Log.propose(now, Wall.milliseconds(),
                encodeCommand(Command{.Body = std::move(old)}));
}

bool ReplicaNode::awaitsSoftwareRecord(TimePoint now,
                                       const MemberRecord &member) {
  if (!member.Registered || member.Gone || !acceptsCommands() ||
      !recordsSoftware())
    return false;
  proposeSoftware(now, History.additions(member, State.configuration()));
  return History.isBeingAdded(member);
}

void ReplicaNode::proposeSoftware(TimePoint now,
                                  const std::vector<RecordSoftware> &commands) {
  for (const RecordSoftware &it : commands)
    if (Log.propose(now, Wall.milliseconds(),
                    encodeCommand(Command{.Body = it})))
      History.recordProposed(it);
}

void ReplicaNode::reviewSoftware(TimePoint now) {
  if (acceptsCommands() && recordsSoftware())
    proposeSoftware(now, History.review(now, Members, State.configuration()));
  releaseAnnouncements();
}

void ReplicaNode::releaseAnnouncements() {
  std::erase_if(HeldAnnouncements, [&](const HeldAnnouncement &it) {
    if (History.isBeingAdded(it.Member))
      return false;
    Members.announce(it.ArrivedAt, it.Member, it.Sequence);
    return true;
  });
}

bool ReplicaNode::acceptsCommands() const {
  const auto voters = std::ranges::count(Log.group().Replicas, false,
                                         &ReplicaDescriptor::Learner);
  return !Failure && (State.configuration().revision() > 0 ||
                      voters >= Options.InitialVoters);
}

bool ReplicaNode::propose(TimePoint now, const Command &command,
                          DecisionCallback done) {
  if (!leads(now) || !acceptsCommands())
    return false;
  const auto index =
      Log.propose(now, Wall.milliseconds(), encodeCommand(command));
  if (!index)
    return false;
  Proposals[*index] = {.AtTerm = Log.term(), .Done = std::move(done)};
  flush(now);
  return true;
}

bool ReplicaNode::orderEvacuation(TimePoint now, const EvacuateZone &order,
                                  DecisionCallback done) {
  const Configuration *current = currentConfiguration(now);
  if (!current || !acceptsCommands())
    return false;
  ensureTermStarted(now);
  if (!isValidName(order.Zone.str())) {
    done(CommandOutcome{.Result = CommandResult::Invalid});
    return true;
  }
  switch (Evacuations.evaluate(now, *current, order.Zone, order.Evacuated)) {
  case EvacuationDecision::InForce:
    Evacuations.recordAcknowledged(now, order.Zone, order.Evacuated);
    done(CommandOutcome{.At = current->revision()});
    return true;
  case EvacuationDecision::Undecided:
    done(std::nullopt);
    return true;
  case EvacuationDecision::New:
    break;
  }
  // Recorded before the proposal, because a group of one replica applies it at
  // once.
  Evacuations.recordProposed(order.Zone);
  const bool proposed = propose(now, Command{.Body = order}, std::move(done));
  if (!proposed)
    Evacuations.recordProposalFailed(order.Zone);
  return proposed;
}

const Configuration *ReplicaNode::currentConfiguration(TimePoint now) const {
  const auto index = Log.readIndex(now);
  return index && *index <= AppliedIndex ? &State.configuration() : nullptr;
}

std::vector<std::string> ReplicaNode::groupAddresses() const {
  std::vector<std::string> result;
  for (const ReplicaDescriptor &it : Log.group().Replicas)
    result.push_back(it.Address);
  return result;
}

/// Informs processes of replicas that joined after they started, so that they
/// can still reach the group when the replicas known to them before are gone.
void ReplicaNode::pushAddresses() {
  const std::vector<std::string> addresses = groupAddresses();
  if (addresses == PushedAddresses)
    return;
  PushedAddresses = addresses;
  Listeners.sendAll(ReplicaAddresses{addresses});
  for (const auto &[host, link] : AgentLinks)
    Network.send(link, ReplicaAddresses{addresses});
}

void ReplicaNode::onPropose(TimePoint now, LinkId link,
                            const Propose &message) {
  const auto index =
      Log.propose(now, Wall.milliseconds(), encodeCommand(message.Proposal));
  if (!index)
    return redirect(link);
  Proposals[*index] = {
      .Link = link, .Nonce = message.Nonce, .AtTerm = Log.term()};
}

void ReplicaNode::onAdmin(TimePoint now, LinkId link,
                          const AdminRequest &message) {
  AdminReply reply{.Nonce = message.Nonce, .Done = true};
  if (message.Action == AdminAction::RemoveReplica) {
    if (!leads(now))
      return redirect(link);
    reply.Done = Log.removeReplica(now, Wall.milliseconds(), message.Host);
  }
  reply.Status = status(now);
  if (leads(now)) {
    ensureTermStarted(now);
    reply.Status.Accounts = Allotments.status(now, State.configuration());
  }
  Network.send(link, reply);
}

ReplicaStatus ReplicaNode::status(TimePoint now) const {
  ReplicaStatus result{
      .Host = Options.Log.Host,
      .Identity = Log.id(),
      .Leads = leads(now),
      .Term = Log.term(),
      .CommitIndex = Log.commitIndex(),
      .Current = State.configuration().revision(),
      .Adapters =
          static_cast<std::uint32_t>(State.configuration().adapterCount()),
      .Claims = static_cast<std::uint32_t>(State.claims().size()),
      .Group = Log.group().Replicas,
      .InForce = Listeners.inForce()};
  for (const auto &[host, it] : Members.members())
    result.Members.push_back(it);
  for (const auto &[content, it] : State.quarantine().records())
    result.Quarantine.push_back(it);
  for (const auto &[id, it] : State.quarantine().parts().records())
    result.Parts.push_back(it);
  return result;
}

//===----------------------------------------------------------------------===//
// Which revision is current
//===----------------------------------------------------------------------===//

void ReplicaNode::onProbe(TimePoint now, LinkId link,
                          const ProbeRevision &message) {
  Listeners.recordInForce(link, message.InForce);
  // Only a read index that is requested after the probe arrived can confirm it.
  Probes.push_back({link, message.Nonce, ReadRound + 1});
  requestReadIndex(now);
}

/// One read-index request to the leader serves all probes that arrived before
/// it.
void ReplicaNode::requestReadIndex(TimePoint now) {
  const bool waiting = std::ranges::any_of(
      Probes, [&](const auto &it) { return it.Round > ReadRound; });
  if (ReadInFlight && ReadSentAt + ReadTimeout < now)
    ReadInFlight = false;
  if (!waiting || ReadInFlight)
    return;
  if (const auto index = Log.readIndex(now)) {
    Reads.push_back(
        {++ReadRound, *index, Members.version(), allSubscribers(now)});
    return answerProbes();
  }
  const ReplicaDescriptor *leader = Log.leader();
  if (!leader || leader->Id == Log.id() || !ReplicaLinks.contains(leader->Id))
    return;
  ReadInFlight = true;
  ReadSentAt = now;
  sendToReplica(now, *leader,
                ReadIndexRequest{Log.id(), ++ReadRound,
                                 Listeners.configurationSubscribers()});
}

void ReplicaNode::onReadIndex(TimePoint now, LinkId link,
                              const ReadIndexRequest &message) {
  SubscribersByFollower[message.From] = {message.Subscribers, now};
  // Without a leader lease there is no answer, and the probes that the follower
  // has received time out.
  if (const auto index = Log.readIndex(now))
    Network.send(link,
                 ReadIndexReply{.Nonce = message.Nonce,
                                .Index = *index,
                                .Members = Members.version(),
                                .Subscribers = allSubscribers(now),
                                .Subscribed = isSubscribed(message.From)});
}

bool ReplicaNode::isSubscribed(ReplicaId follower) const {
  return std::ranges::any_of(ReplicaOfLink, [&](const auto &it) {
    return it.second == follower && Listeners.contains(it.first);
  });
}

/// Followers with subscribers send a read-index request about once a second.
/// The count of one that has been silent for longer than ReportLifetime is
/// ignored.
std::uint32_t ReplicaNode::allSubscribers(TimePoint now) const {
  constexpr Duration ReportLifetime = std::chrono::seconds(5);
  std::uint32_t sum = Listeners.configurationSubscribers();
  for (const auto &[replica, it] : SubscribersByFollower)
    if (now < it.LastReceivedAt + ReportLifetime)
      sum += it.Count;
  return sum;
}

/// The leader drops a subscription when it closes the link, and this follower
/// may not see the link close, while messages of the log arrive on another one.
void ReplicaNode::checkMembers(TimePoint now, const ReadIndexReply &reply) {
  // The answer may be from before the last subscription.
  if (!reply.Subscribed && now >= SubscribedAt + MemberDelay)
    SubscribedLeader = 0;
  if (Members.version() >= AwaitedMembers) {
    AwaitedMembers = reply.Members;
    AwaitedSince = now;
  } else if (now >= AwaitedSince + MemberDelay) {
    SubscribedLeader = 0;
    AwaitedSince = now;
  }
}

void ReplicaNode::onReadIndexReply(TimePoint now,
                                   const ReadIndexReply &message) {
  if (message.Nonce == ReadRound)
    ReadInFlight = false;
  checkMembers(now, message);
  Reads.push_back(
      {message.Nonce, message.Index, message.Members, message.Subscribers});
  answerProbes();
}

void ReplicaNode::answerProbes() {
  for (const PendingRead &read : Reads) {
    if (read.Index > AppliedIndex)
      continue;
    std::erase_if(Probes, [&](const PendingProbe &it) {
      if (it.Round > read.Round)
        return false;
      Network.send(it.Link,
                   ProbeReply{.Nonce = it.Nonce,
                              .Confirmed = State.configuration().revision(),
                              .Members = read.Members,
                              .Subscribers = read.Subscribers,
                              .Quarantine = State.quarantine().version(),
                              .Subscribed = Listeners.contains(it.Link)});
      return true;
    });
  }
  std::erase_if(
      Reads, [&](const PendingRead &it) { return it.Index <= AppliedIndex; });
}

//===----------------------------------------------------------------------===//
// Time, writing and applying
//===----------------------------------------------------------------------===//

bool ReplicaNode::bootstrap(TimePoint now) {
  const bool done = Log.bootstrap(now, Wall.milliseconds());
  flush(now);
  return done;
}

void ReplicaNode::ensureTermStarted(TimePoint now) {
  Allotments.startLeading(now, Log.term());
  if (LedTerm == Log.term())
    return;
  LedTerm = Log.term();
  FencesIssued = 0;
  Fences.clear();
  Members.beginTerm(now, LedTerm);
  for (const auto &[process, it] : State.departures().records())
    Members.restoreDeparture(now, it);
  Evacuations.startLeading(now, LedTerm);
  Loads = LoadScheduler(Options.Loads);
  Review.reset();
  History.reset();
  HeldAnnouncements.clear();
}

void ReplicaNode::join(TimePoint now) {
  if (!Log.needsToJoin(now) || now < NextJoin)
    return;
  NextJoin = now + JoinPeriod;
  const JoinRequest request{Log.self()};
  for (const std::string &it : Options.PeerAddresses)
    sendToReplica(now, {.Address = it}, request);
  // The settings may name only hosts that are gone since.
  for (const ReplicaDescriptor &it : Log.group().Replicas)
    if (it.Id != Log.id() && !ReplicaLinks.contains(it.Id))
      sendToReplica(now, it, request);
  for (const auto &[replica, link] : ReplicaLinks)
    Network.send(link, request);
}

/// A follower subscribes to the leader's members as other processes subscribe
/// to a replica's.
void ReplicaNode::subscribeToLeader(TimePoint now) {
  const ReplicaDescriptor *leader = Log.leader();
  if (!leader || leader->Id == Log.id())
    return;
  if (SubscribedLeader == leader->Id && SubscribedTerm == Log.term())
    return;
  const auto link = ReplicaLinks.find(leader->Id);
  if (link == ReplicaLinks.end())
    return;
  SubscribedLeader = leader->Id;
  SubscribedTerm = Log.term();
  SubscribedAt = now;
  Network.send(link->second, Subscribe{.Host = Options.Log.Host,
                                       .Known = MembersOnly,
                                       .KnownMembers = Members.version(),
                                       .WantsMembers = true,
                                       .TakesSoftware = true,
                                       .TakesDepartures = true});
}

void ReplicaNode::issueTickets(TimePoint now) {
  for (const IssuedTicket &it : Loads.run(now)) {
    const auto link = AgentLinks.find(it.Host);
    if (link != AgentLinks.end())
      Network.send(link->second, it.Ticket);
  }
}

void ReplicaNode::tick(TimePoint now) {
  if (!Failure)
    Log.tick(now, Wall.milliseconds());
  Allotments.recordTerm(now, Log.term());
  closeSilentLinks(now);
  join(now);
  subscribeToLeader(now);
  if (leads(now)) {
    ensureTermStarted(now);
    for (const HostName &it : Members.expire(now))
      Loads.removeHost(it);
    issueTickets(now);
    reviewQuarantine(now);
    reviewSoftware(now);
    reviewDepartures(now);
  }
  requestReadIndex(now);
  Origins.expire(now);
  flush(now);
}

void ReplicaNode::reviewQuarantine(TimePoint now) {
  ReviewQuarantine review = Review.take(now, State.quarantine());
  if (!review.Due.empty() || !review.PartCandidates.empty())
    Log.propose(now, Wall.milliseconds(),
                encodeCommand(Command{.Body = std::move(review)}));
}

void ReplicaNode::applyEntry(TimePoint now, const LogEntry &entry) {
  BytesSinceSnapshot += entry.Data.size();
  const auto command = decodeCommand(entry.Data);
  CommandOutcome outcome{.Result = CommandResult::Invalid};
  if (command)
    outcome = State.apply(entry.WallMilliseconds, *command);
  if (outcome.Result == CommandResult::Accepted)
    if (const auto *it = std::get_if<EvacuateZone>(&command->Body))
      Evacuations.recordAcknowledged(now, it->Zone, it->Evacuated);
  if (command)
    if (const auto *it = std::get_if<RecordSoftware>(&command->Body)) {
      History.recordEnded(*it);
      if (LedTerm == Log.term() && leads(now))
        releaseAnnouncements();
    }
  // This replica may lead before it has applied all entries of earlier terms.
  if (command && LedTerm == Log.term() && leads(now))
    if (const auto *it = std::get_if<RecordDeparture>(&command->Body))
      Members.restoreDeparture(now, it->Departure);
  const auto it = Proposals.find(entry.Index);
  if (it == Proposals.end())
    return;
  // Another leader's entry may have been committed at this index instead of the
  // one that this replica proposed.
  const bool ours = it->second.AtTerm == entry.EntryTerm;
  const PendingProposal proposal = std::move(it->second);
  Proposals.erase(it);
  decide(proposal, ours, outcome);
}

void ReplicaNode::decide(const PendingProposal &proposal, bool ours,
                         const CommandOutcome &outcome) {
  if (proposal.Done)
    return proposal.Done(ours ? std::optional(outcome) : std::nullopt);
  Network.send(proposal.Link, ProposeReply{.Nonce = proposal.Nonce,
                                           .Decided = ours,
                                           .Outcome = outcome});
}

void ReplicaNode::flush(TimePoint now) {
  while (true) {
    const LogActions actions = Log.takeActions();
    const bool noActions = actions.Write.empty() && actions.Messages.empty() &&
                           !actions.Restore && actions.Committed.empty();
    if (noActions || Failure)
      break;
    if (!actions.Write.empty()) {
      const auto written = Store.write(actions.Write);
      if (!written) {
        // No message of this batch may be sent, since it could acknowledge
        // entries that are not stored.
        Failure = written.error();
        break;
      }
      Log.synced(now);
    }
    for (const OutgoingLogMessage &it : actions.Messages)
      sendToReplica(now, it.To, it.Content);
    if (actions.Restore) {
      if (!actions.Restore->state().empty() &&
          !State.decode(actions.Restore->state()))
        Failure = LogStoreError{LogStoreError::Kind::Corrupt, "snapshot"};
      AppliedIndex = actions.Restore->LastIndex;
    }
    for (const LogEntry &it : actions.Committed)
      applyEntry(now, it);
    AppliedIndex = std::max(AppliedIndex, Log.commitIndex());
  }
  answerProbes();
  compactIfDue();
  if (now < NextPush)
    return;
  NextPush = now + PushPeriod;
  pushAddresses();
  Listeners.push(State.configuration(), Members, State.quarantine());
}

void ReplicaNode::compactIfDue() {
  const bool due = Log.entryCount() >= Options.CompactAfterEntries ||
                   BytesSinceSnapshot >= Options.CompactAfterBytes;
  if (!due || Failure)
    return;
  BytesSinceSnapshot = 0;
  const auto snapshot = Log.snapshotAt(AppliedIndex, State.encode());
  const auto done = Store.compact(snapshot, Log.entriesAfter(AppliedIndex));
  if (!done) {
    Failure = done.error();
    return;
  }
  Log.compacted(snapshot);
}

} // namespace pimentofront
