#ifndef PIMENTOFRONT_FORWARD_CONNECTION_SHARE_H
#define PIMENTOFRONT_FORWARD_CONNECTION_SHARE_H

#include "pimentofront/Base.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace pimentofront {

/// \class ConnectionLimits
/// \ingroup Forward
/// \brief How many connections one entry may have to one backend server.
struct ConnectionLimits {
  /// Maximum of open connections, whether in use or idle.
  std::uint32_t MaxOpen = std::numeric_limits<std::uint32_t>::max();
  /// Maximum of idle connections that are kept for reuse. Lower than MaxOpen if
  /// the entry's share is less than the minimum that it needs; the connections
  /// beyond it are then closed after their answers.
  std::uint32_t MaxIdle = std::numeric_limits<std::uint32_t>::max();
  friend auto operator<=>(const ConnectionLimits &,
                          const ConnectionLimits &) = default;
};

/// \class ConnectionShareOptions
/// \ingroup Forward
struct ConnectionShareOptions {
  /// Fraction of a server's cap that all entries together use. The rest allows
  /// for connections whose close hasn't reached the server yet, and for entries
  /// that have started and aren't counted yet.
  double UsableShare = 0.75;
  /// Minimum of connections that each entry may open, whatever its share. With
  /// fewer, one long answer would keep an entry from using the server.
  std::uint32_t MinOpen = 2;
  /// Factor to which the share is cut when the server rejects a connection, and
  /// the time in which the share grows back to its full size. A server accepts
  /// fewer connections while its queue is long, and works a queue off within
  /// about a second.
  double CutFactor = 0.5;
  Duration RecoveryTime = std::chrono::seconds(2);
};

/// \class ConnectionShare
/// \ingroup Forward
/// \brief How many connections this entry may have open to one backend server,
/// whose cap applies to the connections of all entries together.
///
/// Entries don't exchange their connection counts. Each takes an equal share of
/// the cap, computed from the number of entries that follow the replicas. A
/// rejected connection shows that the share is too large at present: either
/// entries that are cut off from the replicas still hold connections but are no
/// longer counted, or the server accepts fewer. The share is then cut and grows
/// back over time.
class ConnectionShare {
public:
  /// \param cap connections that the server accepts; 0 if unknown, which sets
  /// no limit.
  /// \returns the share of this entry, one of \p entries.
  ConnectionLimits limitsFor(TimePoint now, std::uint32_t cap,
                             std::uint32_t entries,
                             const ConnectionShareOptions &options) const;
  /// Records that the server rejected a connection, and cuts the share.
  void recordRejection(TimePoint now, const ConnectionShareOptions &options);

private:
  /// Factor on the share at the time CutAt; it grows linearly from then on.
  double ScaleAtCut = 1;
  TimePoint CutAt;
};

/// \class EntryCount
/// \ingroup Forward
/// \brief The number of entries that share the connections of a server.
///
/// An increase takes effect at once, a decrease only after a delay: an entry
/// that has lost its link to the replicas still serves requests and still holds
/// its connections.
class EntryCount {
public:
  /// \param presumed number of entries to assume until the first report.
  explicit EntryCount(std::uint32_t presumed) : Value(presumed) {}
  void recordCount(TimePoint now, std::uint32_t entries);
  std::uint32_t value() const { return Value; }

private:
  std::uint32_t Value;
  bool Known = false;
  /// Since when the reported number has been below Value.
  std::optional<TimePoint> FewerSince;
};

} // namespace pimentofront

#endif
