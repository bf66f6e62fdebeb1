#ifndef PIMENTOFRONT_FORWARD_CONNECTION_SHARE_H
#define PIMENTOFRONT_FORWARD_CONNECTION_SHARE_H

#include "pimentofront/Base.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace pimentofront {

/// \class ConnectionPart
/// \ingroup Forward
/// \brief The connections to one backend server that one entry may have.
struct ConnectionPart {
  /// In use or not.
  std::uint32_t Open = std::numeric_limits<std::uint32_t>::max();
  /// Kept although no request uses them. Fewer where an entry's part is less
  /// than the least that it needs: then each is given up after its answer.
  std::uint32_t Kept = std::numeric_limits<std::uint32_t>::max();
  friend auto operator<=>(const ConnectionPart &,
                          const ConnectionPart &) = default;
};

/// \class ConnectionShareOptions
/// \ingroup Forward
struct ConnectionShareOptions {
  /// Part of a server's cap that all entries use together. The rest is for
  /// connections whose end is still on its way to the server, and for entries
  /// that have started and aren't counted yet.
  double UsedShare = 0.75;
  /// An entry may have so many in any case: with fewer, one long answer would
  /// keep it away from a server.
  std::uint32_t Least = 2;
  /// What is left of the share when the server has turned one away, and the
  /// time after which it is whole again: a server accepts fewer while its
  /// queue is long, and a queue is worked off within about a second.
  double CutTo = 0.5;
  Duration Recovery = std::chrono::seconds(2);
};

/// \class ConnectionShare
/// \ingroup Forward
/// \brief How many connections this entry may have open to one backend server,
/// whose cap is for the connections of all entries together.
///
/// Entries don't tell each other how many they have: each takes the same part
/// of the cap, by the number of entries that follow the replicas. A connection
/// that the server turns away says that the part is too large just now, since
/// entries are cut off and count no more, or since the server accepts fewer; it
/// is cut then and grows back.
class ConnectionShare {
public:
  /// \param cap connections that the server accepts; 0 when that isn't known.
  /// \returns what this entry may have, as one of \p entries.
  ConnectionPart part(TimePoint now, std::uint32_t cap, std::uint32_t entries,
                      const ConnectionShareOptions &options) const;
  /// The server turned a connection away.
  void noteTurnedAway(TimePoint now, const ConnectionShareOptions &options);

private:
  /// What was left of the part at CutAt, and since when it grows.
  double Rest = 1;
  TimePoint CutAt;
};

/// \class EntryCount
/// \ingroup Forward
/// \brief Among how many entries the connections of a server are shared.
///
/// More entries count at once. Fewer count only after a while: an entry that
/// has lost the replicas still serves, and still has its connections.
class EntryCount {
public:
  /// \param presumed entries until their number is known.
  explicit EntryCount(std::uint32_t presumed) : Value(presumed) {}
  void note(TimePoint now, std::uint32_t entries);
  std::uint32_t value() const { return Value; }

private:
  std::uint32_t Value;
  bool Known = false;
  /// Since when fewer are named than Value.
  std::optional<TimePoint> FewerSince;
};

} // namespace pimentofront

#endif
