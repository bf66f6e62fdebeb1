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
  /// The process wants to know of requests that end backend servers.
  bool WantsQuarantine = false;
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
  std::optional<QuarantineUpdate> Quarantine;
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
  /// \returns a time since when everything is known here that was decided on
  /// the quarantine of requests before it.
  std::optional<TimePoint> quarantineKnownAt() const { return KnownAt; }
  /// Asks at once whether everything is current.
  void askNow(TimePoint now) { probe(now); }
  /// \returns the replicas known now.
  const std::vector<std::string> &replicas() const {
    return Replica.addresses();
  }

private:
  void subscribe(TimePoint now);
  void probe(TimePoint now);
  void noteQuarantineKnown();

  ReplicaFeedOptions Options;
  Transport &Network;
  ConfigurationCopy Copy;
  MemberTable Members;
  LeaderLink Replica;
  bool Subscribed = false;
  TimePoint NextProbe;
  /// Version of the quarantine ledger that is known.
  std::uint64_t Quarantine = 0;
  /// The last question, and the version of which its answer told.
  struct Question {
    std::uint64_t Nonce = 0;
    TimePoint AskedAt;
    std::optional<std::uint64_t> Answer;
  };
  Question Asked;
  std::optional<TimePoint> KnownAt;
};

} // namespace pimentofront

#endif
