#ifndef PIMENTOFRONT_NODE_REPLICA_FEED_H
#define PIMENTOFRONT_NODE_REPLICA_FEED_H

#include "FollowWatch.h"
#include "LeaderLink.h"
#include "pimentofront/State.h"

namespace pimentofront {

/// \class ReplicaFeedOptions
/// \ingroup Node
struct ReplicaFeedOptions {
  HostName Host;
  /// Random number of the process; distributes the processes over the replicas.
  std::uint64_t Incarnation = 0;
  ConfigurationCopyOptions Configuration;
  std::vector<std::string> Replicas;
  /// Whether the process subscribes to the quarantine of requests that crash
  /// backend servers.
  bool WantsQuarantine = false;
  /// Interval at which the process asks whether its configuration is current.
  Duration ProbePeriod = std::chrono::seconds(1);
};

/// \class FeedUpdate
/// \ingroup Node
/// \brief What a message from a replica changed.
struct FeedUpdate {
  bool Configuration = false;
  /// Hosts or zones were taken out of use, or put back into use.
  bool AvailabilityChanged = false;
  std::optional<MemberUpdate> Members;
  std::optional<QuarantineUpdate> Quarantine;
  /// Number of processes that subscribe to the configuration, this one
  /// included.
  std::optional<std::uint32_t> Subscribers;
};

/// \class FeedEvent
/// \ingroup Node
/// \brief The process subscribed again or left a replica, for the log.
struct FeedEvent {
  const char *Name = "";
  const char *Why = "";
};

/// \class ReplicaFeed
/// \ingroup Node
/// \brief Keeps a process's copies of the configuration and the members
/// current, using any replica that answers.
class ReplicaFeed {
public:
  ReplicaFeed(const ReplicaFeedOptions &options, Transport &transport);

  bool owns(LinkId link) const { return Replica.owns(link); }
  void onLinkOpen(TimePoint now);
  void onLinkClosed(TimePoint now);
  FeedUpdate onMessage(TimePoint now, const Message &message);
  void tick(TimePoint now);

  const ConfigurationCopy &configuration() const { return Copy; }
  /// \returns a time such that every decision about the quarantine of requests
  /// made before it is known here; empty until the first such confirmation.
  std::optional<TimePoint> quarantineKnownAsOf() const {
    return QuarantineKnownAsOf;
  }
  /// \returns how long ago all copies were last known to be current; nothing
  /// before the first time.
  std::optional<Duration> age(TimePoint now) const;
  std::vector<FeedEvent> takeEvents() { return std::exchange(Events, {}); }
  /// Probes at once whether the copies are current.
  void probeNow(TimePoint now) { probe(now); }
  /// \returns the addresses of the replicas known now.
  const std::vector<std::string> &replicas() const {
    return Replica.addresses();
  }

private:
  void subscribe(TimePoint now);
  void renew(TimePoint now, const char *why);
  void leave(TimePoint now, const char *why);
  void applyMembers(TimePoint now, const MemberUpdate &members,
                    FeedUpdate &update);
  void applyQuarantine(const QuarantineUpdate &quarantine, FeedUpdate &update);
  void onProbeReply(TimePoint now, const ProbeReply &reply);
  /// Acts if the subscription doesn't stand.
  void checkSubscription(TimePoint now);
  FollowedVersions held() const;
  void probe(TimePoint now);
  void updateQuarantineKnownAsOf();

  ReplicaFeedOptions Options;
  Transport &Network;
  ConfigurationCopy Copy;
  MemberTable Members;
  LeaderLink Replica;
  FollowWatch Watch;
  std::vector<FeedEvent> Events;
  bool Subscribed = false;
  TimePoint SubscribedAt;
  TimePoint NextProbe;
  /// Version of the quarantine ledger that this process has received.
  std::uint64_t Quarantine = 0;
  /// The last probe, and the quarantine version that its reply named.
  struct ProbeState {
    std::uint64_t Nonce = 0;
    TimePoint SentAt;
    std::optional<std::uint64_t> RepliedVersion;
  };
  ProbeState LastProbe;
  std::optional<TimePoint> QuarantineKnownAsOf;
};

} // namespace pimentofront

#endif
