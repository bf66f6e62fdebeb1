#include "pimentofront/Node.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Probe periods without a message after which another replica is tried. A
/// change must be in force everywhere within a few probe periods, even if the
/// replica that a process subscribes to stalled just before it.
constexpr double MissedProbes = 1.5;
/// Lower bound of the silence after which a replica counts as unreachable.
/// After a power failure, a replica that accepts the connections of all
/// processes answers none of them for most of a second.
constexpr Duration MinSilenceTimeout = std::chrono::seconds(1);

Duration silenceTimeout(Duration probePeriod) {
  return std::max(fromSeconds(toSeconds(probePeriod) * MissedProbes),
                  MinSilenceTimeout);
}

} // namespace

ReplicaFeed::ReplicaFeed(const ReplicaFeedOptions &options,
                         Transport &transport)
    : Options(options), Network(transport), Copy(options.Configuration),
      Replica(transport, options.Replicas, options.Incarnation,
              silenceTimeout(options.ProbePeriod)) {}

void ReplicaFeed::onLinkOpen(TimePoint now) {
  Replica.onReceived(now);
  subscribe(now);
}

void ReplicaFeed::onLinkClosed(TimePoint now) {
  Replica.onClosed(now);
  Subscribed = false;
}

void ReplicaFeed::subscribe(TimePoint now) {
  const auto link = Replica.link(now);
  if (!link)
    return;
  Network.send(*link, Subscribe{.Host = Options.Host,
                                .Known = Copy.revision(),
                                .KnownMembers = Members.version(),
                                .WantsMembers = true,
                                .WantsQuarantine = Options.WantsQuarantine,
                                .KnownQuarantine = Quarantine});
  Subscribed = true;
  probe(now);
}

void ReplicaFeed::probe(TimePoint now) {
  NextProbe = now + Options.ProbePeriod;
  const auto link = Replica.link(now);
  if (!link || !Subscribed)
    return;
  LastProbe = {.Nonce = Copy.beginProbe(now), .SentAt = now};
  Network.send(*link, ProbeRevision{.Host = Options.Host,
                                    .Nonce = LastProbe.Nonce,
                                    .InForce = Copy.revision()});
}

void ReplicaFeed::updateQuarantineKnownAsOf() {
  if (LastProbe.RepliedVersion && *LastProbe.RepliedVersion <= Quarantine)
    QuarantineKnownAsOf = LastProbe.SentAt;
}

FeedUpdate ReplicaFeed::onMessage(TimePoint now, const Message &message) {
  Replica.onReceived(now);
  FeedUpdate update;
  if (const auto *it = std::get_if<ConfigurationUpdate>(&message)) {
    update.AvailabilityChanged = Copy.apply(*it);
    // The update is complete: reports the revision in force at once and has it
    // confirmed.
    if (!it->Partial) {
      update.Configuration = true;
      probe(now);
    }
  } else if (const auto *reply = std::get_if<ProbeReply>(&message)) {
    Copy.onProbeReply(*reply);
    update.Subscribers = reply->Subscribers;
    if (reply->Nonce == LastProbe.Nonce)
      LastProbe.RepliedVersion = reply->Quarantine;
    updateQuarantineKnownAsOf();
  } else if (const auto *members = std::get_if<MemberUpdate>(&message)) {
    if (Members.apply(*members))
      update.Members = *members;
    else
      subscribe(now);
  } else if (const auto *quarantine = std::get_if<QuarantineUpdate>(&message)) {
    Quarantine = std::max(Quarantine, quarantine->To);
    update.Quarantine = *quarantine;
    updateQuarantineKnownAsOf();
  } else if (const auto *replicas = std::get_if<ReplicaAddresses>(&message)) {
    Replica.setAddresses(replicas->Peers);
  }
  return update;
}

void ReplicaFeed::tick(TimePoint now) {
  Replica.tick(now);
  if (!Replica.link(now))
    Subscribed = false;
  if (now >= NextProbe)
    probe(now);
}

} // namespace pimentofront
