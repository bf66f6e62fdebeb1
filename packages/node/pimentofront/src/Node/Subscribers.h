#ifndef PIMENTOFRONT_NODE_SUBSCRIBERS_H
#define PIMENTOFRONT_NODE_SUBSCRIBERS_H

#include "Transport.h"
#include "pimentofront/State.h"

namespace pimentofront {

/// Known revision of a subscriber that wants members but no configuration.
constexpr Revision MembersOnly = ~Revision(0);

/// \class Subscribers
/// \ingroup Node
/// \brief The processes that a replica keeps current: it sends each what
/// changed since what it has, not the state.
class Subscribers {
public:
  explicit Subscribers(Transport &transport) : Network(transport) {}

  void add(LinkId link, const Subscribe &subscribe);
  void remove(LinkId link);
  void noteInForce(LinkId link, Revision revision);
  /// Sends what each one lacks.
  void push(const Configuration &configuration, const MemberTable &members,
            const QuarantineLedger &quarantine);
  /// Sends all that follow the configuration the same.
  void sendAll(const Message &message);
  std::vector<RevisionInForce> inForce() const;
  /// \returns how many follow the configuration, not only the members.
  std::uint32_t followingConfiguration() const;
  std::size_t size() const { return All.size(); }

private:
  struct Subscriber {
    HostName Host;
    Revision Known = 0;
    MemberVersion KnownMembers;
    bool WantsMembers = false;
    bool WantsQuarantine = false;
    std::uint64_t KnownQuarantine = 0;
    Revision InForce = 0;
  };
  void pushConfiguration(LinkId link, Subscriber &subscriber,
                         const Configuration &configuration);

  Transport &Network;
  std::map<LinkId, Subscriber> All;
  /// The difference that was sent last; subscribers mostly lack the same.
  Revision CachedSince = 0;
  std::optional<ConfigurationUpdate> Cached;
};

} // namespace pimentofront

#endif
