#ifndef PIMENTOFRONT_NODE_REPLICA_FEED_H
#define PIMENTOFRONT_NODE_REPLICA_FEED_H

#include "LeaderLink.h"
#include "pimentofront/State.h"

namespace pimentofront {

/// \class ReplicaFeedOptions
/// \ingroup Node
struct ReplicaFeedOptions {
  HostName Host;
  /// Random number of the process; spreads the processes over the replicas.
  std::uint64_t Incarnation = 0;
  ConfigurationCopyOptions Configuration;
  std::vector<std::string> Replicas;
  /// How often the process asks whether its configuration is current.
  Duration ProbePeriod = std::chrono::seconds(1);
};

/// \class FeedNews
/// \ingroup Node
/// \brief What a message of a replica has changed.
struct FeedNews {
  bool Configuration = false;
  /// Hosts were taken out of use, or back.
  bool Drains = false;
  std::optional<MemberUpdate> Members;
  /// Processes that follow the configuration, this one among them.
  std::optional<std::uint32_t> Subscribers;
};

/// \class ReplicaFeed
/// \ingroup Node
/// \brief Keeps a process's copy of the configuration and of the members
/// current, from whichever replica answers.
class ReplicaFeed {
public:
  ReplicaFeed(const ReplicaFeedOptions &options, Transport &transport);

  bool owns(LinkId link) const { return Replica.owns(link); }
  void onLinkOpen(TimePoint now);
  void onLinkClosed(TimePoint now);
  FeedNews onMessage(TimePoint now, const Message &message);
  void tick(TimePoint now);

  const ConfigurationCopy &configuration() const { return Copy; }
  /// \returns the replicas known now.
  const std::vector<std::string> &replicas() const {
    return Replica.addresses();
  }

private:
  void subscribe(TimePoint now);
  void probe(TimePoint now);

  ReplicaFeedOptions Options;
  Transport &Network;
  ConfigurationCopy Copy;
  MemberTable Members;
  LeaderLink Replica;
  bool Subscribed = false;
  TimePoint NextProbe;
};

} // namespace pimentofront

#endif
