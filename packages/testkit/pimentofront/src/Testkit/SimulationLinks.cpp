#include "pimentofront/Testkit.h"

#include <algorithm>

namespace pimentofront::testkit {
namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds(2);

} // namespace

bool Simulation::isCut(const HostName &from, const HostName &to) const {
  const auto isDark = [&](const HostName &host) {
    const auto it = Processes.find(host);
    return it != Processes.end() && it->second->Dark;
  };
  return Cuts.contains({from, to}) || isDark(from) || isDark(to);
}

Duration Simulation::delayBetween(const HostName &from,
                                  const HostName &to) const {
  const auto slow = LinkDelays.find({from, to});
  if (slow != LinkDelays.end())
    return slow->second;
  const bool same =
      Processes.at(from)->Spec.Zone == Processes.at(to)->Spec.Zone;
  return same ? Options.InZone : Options.BetweenZones;
}

LinkId Simulation::openLink(SimulatedProcess &from, const std::string &address,
                            LinkPurpose purpose) {
  // In the simulation a host's address is its name.
  const LinkId id = ++LastLink;
  LinkEnds[id] = {.Host = from.Spec.Host,
                  .Incarnation = from.Incarnation,
                  .PeerHost = HostName(address),
                  .Purpose = purpose};
  connect(id);
  return id;
}

void Simulation::connect(LinkId ours) {
  const LinkEnd end = LinkEnds.at(ours);
  const auto peer = Processes.find(end.PeerHost);
  const bool reachable = peer != Processes.end() &&
                         !isCut(end.Host, end.PeerHost) &&
                         !isCut(end.PeerHost, end.Host);
  if (!reachable)
    return after(ConnectTimeout, [=, this] { notifyClosed(ours); });
  const Duration delay = delayBetween(end.Host, end.PeerHost);
  if (!peer->second->Alive)
    return after(2 * delay, [=, this] { notifyClosed(ours); });
  const LinkId theirs = ++LastLink;
  LinkEnds[theirs] = {.Host = end.PeerHost,
                      .Incarnation = peer->second->Incarnation,
                      .PeerHost = end.Host,
                      .Peer = ours,
                      .Known = true,
                      .LastArrival = Now + delay};
  LinkEnds[ours].Peer = theirs;
  LinkEnds[ours].Known = true;
  const auto hello = [this](const HostName &host, bool accepted,
                            LinkPurpose purpose) {
    const SimulatedProcess &it = *Processes.at(host);
    const bool named = accepted || purpose == LinkPurpose::Replication;
    return Hello{.Protocol = ProtocolVersion,
                 .Host = host,
                 .Replica = named ? it.AnnouncedReplica : 0,
                 .Accepted = accepted};
  };
  LinkEnds[ours].LastArrival = Now + 2 * delay;
  after(delay, [=, this] {
    const auto it = LinkEnds.find(theirs);
    if (it == LinkEnds.end())
      return;
    notifyOpen(theirs, hello(end.Host, false, end.Purpose));
    // The kernel accepts connections for a frozen process, but the process
    // doesn't send its greeting.
    atProcess(end.PeerHost, it->second.Incarnation, [=](SimulatedProcess &p) {
      Simulation &simulation = p.Owner;
      const Hello greeting = hello(end.PeerHost, true, end.Purpose);
      simulation.after(
          delay, [=, &simulation] { simulation.notifyOpen(ours, greeting); });
    });
  });
}

void Simulation::notifyOpen(LinkId link, const Hello &hello) {
  const auto it = LinkEnds.find(link);
  if (it == LinkEnds.end())
    return;
  atProcess(it->second.Host, it->second.Incarnation, [=](SimulatedProcess &p) {
    const auto end = p.Owner.LinkEnds.find(link);
    if (end == p.Owner.LinkEnds.end())
      return;
    // Links are opened to a host for its replica only. While that has no store,
    // what arrives would be dropped, so the link is refused.
    const bool refused =
        p.Spec.IsReplica && !p.Replica && !p.Agent && !hello.Accepted;
    if (refused)
      return p.Owner.closeLink(link);
    end->second.Open = true;
    p.Owner.sendUnsent(link);
    for (Node *node : {static_cast<Node *>(p.Replica.get()),
                       static_cast<Node *>(p.Agent.get()),
                       static_cast<Node *>(p.Entry.get()),
                       static_cast<Node *>(p.Forward.get())})
      if (node)
        node->onLinkOpen(p.Owner.now(), link, hello);
  });
}

void Simulation::sendUnsent(LinkId link) {
  const std::vector<Message> unsent =
      std::exchange(LinkEnds.at(link).Unsent, {});
  for (const Message &it : unsent)
    sendOn(link, it);
}

void Simulation::sendOn(LinkId link, const Message &message) {
  const auto it = LinkEnds.find(link);
  if (it == LinkEnds.end())
    return;
  LinkEnd &end = it->second;
  if (!end.Open || isCut(end.Host, end.PeerHost) || !end.Unsent.empty()) {
    if (end.Unsent.empty())
      end.UnsentSince = Now;
    end.Unsent.push_back(message);
    return;
  }
  const auto peer = LinkEnds.find(end.Peer);
  if (peer == LinkEnds.end())
    return;
  const TimePoint arrival = std::max(Now + delayBetween(end.Host, end.PeerHost),
                                     peer->second.LastArrival);
  peer->second.LastArrival = arrival;
  after(arrival - Now,
        [this, to = end.Peer, message] { deliver(to, message); });
}

void Simulation::deliver(LinkId to, const Message &message) {
  const auto it = LinkEnds.find(to);
  if (it == LinkEnds.end())
    return;
  atProcess(it->second.Host, it->second.Incarnation, [=](SimulatedProcess &p) {
    if (!p.Owner.LinkEnds.contains(to))
      return;
    const TimePoint now = p.Owner.now();
    if (p.Replica) {
      p.Replica->onMessage(now, to, message);
      p.Replica->flush(now);
    }
    if (p.Agent)
      p.Agent->onMessage(now, to, message);
    if (p.Entry)
      p.Entry->onMessage(now, to, message);
    if (p.Forward)
      p.Forward->onMessage(now, to, message);
  });
}

void Simulation::notifyClosed(LinkId link) {
  const auto it = LinkEnds.find(link);
  if (it == LinkEnds.end())
    return;
  const LinkEnd end = it->second;
  atProcess(end.Host, end.Incarnation, [=](SimulatedProcess &p) {
    if (p.Owner.LinkEnds.erase(link) != 0)
      p.Owner.notifyNodesClosed(p, link);
  });
}

void Simulation::notifyNodesClosed(SimulatedProcess &process, LinkId link) {
  for (Node *node : {static_cast<Node *>(process.Replica.get()),
                     static_cast<Node *>(process.Agent.get()),
                     static_cast<Node *>(process.Entry.get()),
                     static_cast<Node *>(process.Forward.get())})
    if (node)
      node->onLinkClosed(Now, link);
}

void Simulation::closeLink(LinkId link) {
  const auto it = LinkEnds.find(link);
  if (it == LinkEnds.end())
    return;
  const LinkEnd end = it->second;
  LinkEnds.erase(it);
  if (end.Peer == 0)
    return;
  // Across a cut the peer only notices by its timeout.
  const bool cut = isCut(end.Host, end.PeerHost);
  const Duration delay =
      cut ? Options.UserTimeout : delayBetween(end.Host, end.PeerHost);
  after(delay, [this, peer = end.Peer] { notifyClosed(peer); });
}

void Simulation::dropLinksOf(const HostName &host) {
  std::vector<LinkId> links;
  for (const auto &[link, end] : LinkEnds)
    if (end.Host == host)
      links.push_back(link);
  for (const LinkId it : links)
    closeLink(it);
}

void Simulation::expireUnsent() {
  std::vector<LinkId> expired;
  for (const auto &[link, end] : LinkEnds)
    if (!end.Unsent.empty() && end.UnsentSince + Options.UserTimeout < Now)
      expired.push_back(link);
  for (const LinkId it : expired) {
    LinkEnds.at(it).Unsent.clear();
    notifyClosed(it);
  }
}

void Simulation::cut(const HostName &from, const HostName &to) {
  Cuts.insert({from, to});
}

void Simulation::heal(const HostName &from, const HostName &to) {
  const auto it = Cuts.find({from, to});
  if (it != Cuts.end())
    Cuts.erase(it);
  if (isCut(from, to))
    return;
  std::vector<LinkId> links;
  for (const auto &[link, end] : LinkEnds)
    if (end.Host == from && end.PeerHost == to && end.Open &&
        !end.Unsent.empty())
      links.push_back(link);
  for (const LinkId it : links)
    sendUnsent(it);
  if (isCut(to, from))
    return;
  resetStaleLinks(from, to);
  resetStaleLinks(to, from);
}

void Simulation::resetStaleLinks(const HostName &host, const HostName &peer) {
  for (const auto &[link, end] : LinkEnds) {
    const bool stale = end.Host == host && end.PeerHost == peer &&
                       end.Peer != 0 && !LinkEnds.contains(end.Peer);
    if (stale)
      after(2 * delayBetween(host, peer),
            [this, it = link] { notifyClosed(it); });
  }
}

void Simulation::healAll() {
  Cuts.clear();
  std::vector<LinkId> links;
  for (const auto &[link, end] : LinkEnds)
    if (!end.Unsent.empty())
      links.push_back(link);
  for (const LinkId it : links)
    if (LinkEnds.at(it).Open)
      sendUnsent(it);
}

void Simulation::slow(const HostName &from, const HostName &to,
                      Duration delay) {
  LinkDelays[{from, to}] = delay;
}

} // namespace pimentofront::testkit
