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

/// A replica that sends messages but answers no probe is left after this
/// multiple of the silence that counts as unreachable.
constexpr int UnansweredSilences = 2;

Duration silenceTimeout(Duration probePeriod) {
  return std::max(fromSeconds(toSeconds(probePeriod) * MissedProbes),
                  MinSilenceTimeout);
}

} // namespace

ReplicaFeed::ReplicaFeed(const ReplicaFeedOptions &options,
                         Transport &transport)
    : Options(options), Network(transport), Copy(options.Configuration),
      Replica(transport, options.Replicas, options.Incarnation,
              silenceTimeout(options.ProbePeriod)),
      Watch(UnansweredSilences * silenceTimeout(options.ProbePeriod)) {}

void ReplicaFeed::onLinkOpen(TimePoint now) {
  Replica.onReceived(now);
  Watch.restart(now);
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
                                .KnownQuarantine = Quarantine,
                                .TakesSoftware = true});
  Subscribed = true;
  SubscribedAt = now;
  probe(now);
}

void ReplicaFeed::renew(TimePoint now, const char *why) {
  Events.push_back({"subscription_renewed", why});
  subscribe(now);
}

void ReplicaFeed::leave(TimePoint now, const char *why) {
  Events.push_back({"replica_left", why});
  Replica.leave(now);
  Subscribed = false;
}

FollowedVersions ReplicaFeed::held() const {
  return {.Configuration = Copy.revision(),
          .Members = Members.version(),
          .Quarantine = Quarantine};
}

std::optional<Duration> ReplicaFeed::age(TimePoint now) const {
  if (!Watch.currentAsOf())
    return std::nullopt;
  return now - *Watch.currentAsOf();
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
    Watch.onConfiguration(now);
    // The update is complete: reports the revision in force at once and has it
    // confirmed.
    if (!it->Partial) {
      update.Configuration = true;
      probe(now);
    }
  } else if (const auto *reply = std::get_if<ProbeReply>(&message)) {
    onProbeReply(now, *reply);
    update.Subscribers = reply->Subscribers;
  } else if (const auto *members = std::get_if<MemberUpdate>(&message)) {
    applyMembers(now, *members, update);
  } else if (const auto *quarantine = std::get_if<QuarantineUpdate>(&message)) {
    applyQuarantine(*quarantine, update);
  } else if (const auto *replicas = std::get_if<ReplicaAddresses>(&message)) {
    Replica.setAddresses(replicas->Peers);
  }
  Watch.onHeld(now, held());
  return update;
}

/// A replica that is cut off from the leader sends older lists than the one
/// followed before. They may name servers that have left since.
void ReplicaFeed::applyMembers(TimePoint now, const MemberUpdate &members,
                               FeedUpdate &update) {
  switch (Members.apply(members)) {
  case MemberUpdateResult::Applied:
    update.Members = members;
    return;
  case MemberUpdateResult::Outdated:
    Events.push_back({"update_ignored", "older than the members known"});
    return;
  case MemberUpdateResult::Gap:
    return renew(now, "update_missed");
  }
}

void ReplicaFeed::applyQuarantine(const QuarantineUpdate &quarantine,
                                  FeedUpdate &update) {
  if (quarantine.To < Quarantine) {
    Events.push_back({"update_ignored", "older than the quarantine known"});
    return;
  }
  Quarantine = quarantine.To;
  update.Quarantine = quarantine;
  updateQuarantineKnownAsOf();
}

void ReplicaFeed::onProbeReply(TimePoint now, const ProbeReply &reply) {
  const std::optional<TimePoint> sentAt = Copy.onProbeReply(reply);
  const bool answersLast = reply.Nonce == LastProbe.Nonce;
  if (answersLast)
    LastProbe.RepliedVersion = reply.Quarantine;
  updateQuarantineKnownAsOf();
  if (sentAt)
    Watch.onAnswer(now, *sentAt,
                   {.Configuration = reply.Confirmed,
                    .Members = reply.Members,
                    .Quarantine = Options.WantsQuarantine ? reply.Quarantine
                                                          : Quarantine});
  // An answer to an earlier probe may be from before the last subscription. The
  // probe sent with it doesn't count, so that a replica that keeps saying so is
  // sent one subscription a probe period.
  if (answersLast && !reply.Subscribed && LastProbe.SentAt > SubscribedAt)
    renew(now, "not_subscribed");
}

void ReplicaFeed::checkSubscription(TimePoint now) {
  switch (Watch.check(now)) {
  case FollowWatch::Verdict::Stands:
    return;
  case FollowWatch::Verdict::Renew:
    return renew(now, "behind");
  case FollowWatch::Verdict::LeaveBehind:
    return leave(now, "behind");
  case FollowWatch::Verdict::LeaveUnanswered:
    return leave(now, "unanswered");
  }
}

void ReplicaFeed::tick(TimePoint now) {
  if (Replica.tick(now))
    Events.push_back({"replica_left", "silent"});
  if (Subscribed)
    checkSubscription(now);
  if (!Replica.link(now))
    Subscribed = false;
  if (now >= NextProbe)
    probe(now);
}

} // namespace pimentofront
