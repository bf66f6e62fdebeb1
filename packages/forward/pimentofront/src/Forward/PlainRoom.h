#ifndef PIMENTOFRONT_FORWARD_PLAIN_ROOM_H
#define PIMENTOFRONT_FORWARD_PLAIN_ROOM_H

#include "ServerView.h"

#include <optional>
#include <vector>

namespace pimentofront {

/// \class WaitReport
/// \ingroup Forward
/// \brief How long a request waits for a slot at the servers of a plain
/// service, by the latest load reports that one entry has received. Unlike
/// PlainRoom, it is known while some servers haven't reported lately: an entry
/// with few requests hears of each server rarely.
struct WaitReport {
  /// At the server with the shortest wait.
  Duration Wait = Duration::zero();
  /// Expected time of that server for a request itself.
  Duration Pace = Duration::zero();
  /// When the report arrived.
  TimePoint At;
  friend auto operator<=>(const WaitReport &, const WaitReport &) = default;
};

/// \returns the wait by the reports of the servers in \p open; nothing if none
/// of them has a valid report.
std::optional<WaitReport>
waitReportOf(TimePoint now, const ServerSetOptions &options,
             const std::vector<const ServerView *> &open);

/// \class PlainRoom
/// \ingroup Forward
/// \brief How soon the servers of a plain service can take one more request, as
/// far as one entry can tell.
struct PlainRoom {
  /// All slots of all servers are in use. False unless every server has a valid
  /// load report and has answered before.
  bool Full = false;
  /// Every server has recently declined a request at its present load.
  bool WouldDecline = false;
  /// The last reports of all servers show no free slot. The servers are then
  /// compared by what they have completed since.
  bool ReportedFull = false;
  /// The wait by the latest reports; nothing if no server has a valid one.
  std::optional<WaitReport> Reported;
  /// The server that is expected to answer one more request first.
  ServerProcess Best;
  /// Wait of one more request for a slot at that server.
  Duration StartsIn = Duration::zero();
  /// Expected time of that server for the request itself.
  Duration Pace = Duration::zero();
  /// Requests that the servers complete a second while all slots are in use.
  double CompletionsPerSecond = 0;
  std::uint32_t FreeSlots = 0;
  std::uint32_t Slots = 0;
  /// Entries that share the room, by the leader's count.
  std::uint32_t Entries = 1;

  /// \returns the expected time until one more request is answered.
  Duration answersIn() const { return StartsIn + Pace; }
  friend auto operator<=>(const PlainRoom &, const PlainRoom &) = default;
};

/// \returns the room of the servers in \p open, which may all get a request;
/// Entries is left at 1.
PlainRoom plainRoomOf(TimePoint now, const ServerSetOptions &options,
                      const std::vector<const ServerView *> &open);

} // namespace pimentofront

#endif
