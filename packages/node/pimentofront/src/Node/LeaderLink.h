#ifndef PIMENTOFRONT_NODE_LEADER_LINK_H
#define PIMENTOFRONT_NODE_LEADER_LINK_H

#include "Transport.h"

#include <optional>

namespace pimentofront {

/// \class LeaderLink
/// \ingroup Node
/// \brief Finds the leader of the replicas, or any replica, and keeps a link.
///
/// The other side must say something at least once a silence limit, or the
/// link counts as cut: TCP alone notices a silent cut only after minutes. A
/// link that doesn't come about is given up much sooner, and the next replica
/// is tried: with two replicas of five without power, and the first packet of a
/// connection to the third dropped, a process followed nobody for four seconds.
class LeaderLink {
public:
  /// \param first index of the replica to try first; spreads the processes.
  LeaderLink(Transport &transport, std::vector<std::string> addresses,
             std::size_t first,
             Duration silenceLimit = std::chrono::seconds(3));

  /// \returns the link to send on, open or opening; opens one if need be.
  std::optional<LinkId> link(TimePoint now);
  /// The replicas are at other addresses now; a link that is there stays.
  void setAddresses(const std::vector<std::string> &addresses);
  const std::vector<std::string> &addresses() const { return Addresses; }
  bool owns(LinkId link) const { return Link && *Link == link; }
  /// The link opened, or anything arrived on it.
  void onReceived(TimePoint now);
  void onClosed(TimePoint now);
  /// The replica there doesn't lead; \p address does, if it is set.
  void onRedirect(TimePoint now, const std::string &address);
  /// Gives up a link that hasn't opened, or on which nothing was heard, for too
  /// long.
  /// \returns whether it did: whatever was said on it has to be said again.
  bool tick(TimePoint now);

private:
  void giveUp(TimePoint now);
  /// \returns how long the link may take to open.
  Duration openLimit() const;
  /// \returns the next address in turn, but not the one that was silent last:
  /// a frozen host still takes connections.
  std::string nextAddress();

  Transport &Network;
  std::vector<std::string> Addresses;
  std::size_t Next;
  Duration SilenceLimit;
  std::string Hint;
  std::optional<LinkId> Link;
  /// The link has opened.
  bool Opened = false;
  /// Links given up in sequence because they didn't open.
  std::uint32_t NeverOpened = 0;
  /// Where the link leads, and which address was given up for its silence.
  std::string Current;
  std::string Silent;
  TimePoint HeardAt;
  TimePoint RetryAt;
};

} // namespace pimentofront

#endif
