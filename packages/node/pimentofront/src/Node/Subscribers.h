#ifndef PIMENTOFRONT_NODE_SUBSCRIBERS_H
#define PIMENTOFRONT_NODE_SUBSCRIBERS_H

#include "Transport.h"
#include "pimentofront/State.h"

namespace pimentofront {

/// Value of Subscribe::Known for a subscriber to the members only, without the
/// configuration.
constexpr Revision MembersOnly = ~Revision(0);

/// \class Subscribers
/// \ingroup Node
/// \brief The processes that subscribe to a replica. Each one is sent the
/// changes since its own version rather than the whole state.
class Subscribers {
public:
  explicit Subscribers(Transport &transport) : Network(transport) {}

  void add(LinkId link, const Subscribe &subscribe);
  void remove(LinkId link);
  bool contains(LinkId link) const { return All.contains(link); }
  /// \returns whether the subscriber on \p link decodes SoftwareRecord.
  bool takesSoftware(LinkId link) const;
  /// \returns whether the replica on \p link decodes the commands of
  /// departures.
  bool takesDepartures(LinkId link) const;
  void recordInForce(LinkId link, Revision revision);
  /// Sends each subscriber the changes that it lacks.
  void push(const Configuration &configuration, const MemberTable &members,
            const QuarantineLedger &quarantine);
  /// Sends a message to all subscribers to the configuration.
  void sendAll(const Message &message);
  std::vector<RevisionInForce> inForce() const;
  /// \returns the number of subscribers to the configuration; those to the
  /// members only don't count.
  std::uint32_t configurationSubscribers() const;
  std::size_t size() const { return All.size(); }

private:
  struct Subscriber {
    HostName Host;
    Revision Known = 0;
    MemberVersion KnownMembers;
    bool WantsMembers = false;
    bool WantsQuarantine = false;
    std::uint64_t KnownQuarantine = 0;
    bool TakesSoftware = false;
    bool TakesDepartures = false;
    Revision InForce = 0;
  };
  void pushConfiguration(LinkId link, Subscriber &subscriber,
                         const Configuration &configuration);

  Transport &Network;
  std::map<LinkId, Subscriber> All;
  /// The difference sent last, the revision that it starts from, and whether it
  /// has the records of software; most subscribers lack the same one.
  Revision CachedSince = 0;
  bool CachedWithSoftware = false;
  std::optional<ConfigurationUpdate> Cached;
};

} // namespace pimentofront

#endif
