#ifndef PIMENTOFRONT_NODE_LEADER_LINK_H
#define PIMENTOFRONT_NODE_LEADER_LINK_H

#include "Transport.h"

#include <optional>

namespace pimentofront {

/// \class LeaderLink
/// \ingroup Node
/// \brief Finds the leader of the replicas, or any replica, and maintains a
/// link to it.
///
/// The link counts as dead if nothing arrives on it within the silence limit:
/// TCP alone detects a silent cut only after minutes. A link that doesn't open
/// is given up much sooner, and the next replica is tried. Otherwise a process
/// could be without a replica for four seconds when two of five replicas were
/// down and the first packet of the connection to a third was lost.
class LeaderLink {
public:
  /// \param first index of the replica to try first; distributes the processes
  /// over the replicas.
  LeaderLink(Transport &transport, std::vector<std::string> addresses,
             std::size_t first,
             Duration silenceTimeout = std::chrono::seconds(3));

  /// \returns the link to send on, open or still opening. Opens one if there is
  /// none, but returns nothing until the retry delay after a closed link is
  /// over.
  std::optional<LinkId> link(TimePoint now);
  /// Sets the addresses of the replicas' group; an existing link stays. Whoever
  /// tells them may be outside the group without knowing it, so the addresses
  /// of the settings are still tried: one after each round over the group.
  void setAddresses(const std::vector<std::string> &addresses);
  const std::vector<std::string> &addresses() const { return Addresses; }
  bool owns(LinkId link) const { return Link && *Link == link; }
  /// The link opened, or a message arrived on it.
  void onReceived(TimePoint now);
  void onClosed(TimePoint now);
  /// The connected replica is not the leader; \p address is the leader's, if it
  /// isn't empty.
  void onRedirect(TimePoint now, const std::string &address);
  /// The connected replica is of no use; the next one is tried.
  void leave(TimePoint now);
  /// Closes a link that hasn't opened, or on which nothing has arrived, for too
  /// long.
  /// \returns whether the link was closed: what was sent on it has to be sent
  /// again.
  bool tick(TimePoint now);

private:
  void giveUp(TimePoint now);
  /// \returns the time within which the link has to open.
  Duration openTimeout() const;
  /// \returns the next address in turn, skipping the one that timed out last: a
  /// stalled host still accepts connections.
  std::string nextAddress(TimePoint now);
  /// \returns the next address of the settings, if the group has none of these.
  std::optional<std::string> nextConfigured();

  Transport &Network;
  std::vector<std::string> Addresses;
  std::size_t Next;
  /// The addresses of the settings.
  const std::vector<std::string> Configured;
  std::size_t NextConfigured = 0;
  /// Addresses of the group tried in a row, and when the last one was.
  std::size_t Tried = 0;
  TimePoint LastTriedAt;
  Duration SilenceTimeout;
  std::string LeaderHint;
  std::optional<LinkId> Link;
  /// Whether the link has opened.
  bool Opened = false;
  /// Consecutive links that were given up because they didn't open.
  std::uint32_t FailedOpens = 0;
  /// Address of the current link, and the address that timed out last.
  std::string CurrentAddress;
  std::string TimedOutAddress;
  TimePoint LastReceivedAt;
  TimePoint RetryAt;
};

} // namespace pimentofront

#endif
