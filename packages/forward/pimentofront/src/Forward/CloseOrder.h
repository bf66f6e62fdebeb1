#ifndef PIMENTOFRONT_FORWARD_CLOSE_ORDER_H
#define PIMENTOFRONT_FORWARD_CLOSE_ORDER_H

#include "pimentofront/Base.h"

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace pimentofront {

/// What a caller's connection does, in the order in which connections are
/// closed for want of room.
enum class ConnectionUse : std::uint8_t {
  /// It hasn't sent anything.
  Unused,
  /// Its caller has to read the rest of a response; nothing else is pending.
  Unread,
  /// It is sending a request.
  Receiving,
  /// It has had a response and waits for its next request.
  Idle,
  /// A request waits for its response or runs. It isn't closed.
  Busy,
};

/// Why a caller's connection is closed though the caller didn't ask for it.
enum class ShedReason : std::uint8_t {
  /// All connections that are allowed were open; this one was the least used.
  Displaced,
  /// All connections that are allowed were in use, so a new one was closed.
  NoConnection,
  /// The process has no descriptor for a new connection.
  NoDescriptor,
  /// Its request hadn't arrived in whole while others waited for room.
  Unfinished,
  /// It read nothing of its responses, which took too much room.
  Unread,
};
/// \ingroup Forward
/// \returns the name of \p reason in logs and metrics.
const char *shedReasonName(ShedReason reason);

/// \class CloseOrder
/// \ingroup Forward
/// \brief Finds the connection to close when a new one needs its place: one
/// that no request would lose, and that has done nothing for the longest time.
///
/// Each operation takes constant time, since a crowd of clients may connect
/// faster than all connections can be searched.
class CloseOrder {
public:
  using Id = std::uint64_t;

  /// The connection \p id has changed its use, or done something in it.
  void record(TimePoint now, Id id, ConnectionUse use);
  void remove(Id id);
  /// \returns the connection to be closed first; none if all are in use, or
  /// have done something a moment ago.
  std::optional<Id> first(TimePoint now) const;
  std::size_t size() const { return Places.size(); }

private:
  struct Connection {
    Id Name = 0;
    TimePoint ActiveAt;
  };
  using Queue = std::list<Connection>;
  struct Place {
    ConnectionUse Use = ConnectionUse::Unused;
    Queue::iterator At;
  };
  static constexpr std::size_t Uses =
      static_cast<std::size_t>(ConnectionUse::Busy) + 1;
  Queue &queueOf(ConnectionUse use) {
    return Queues[static_cast<std::size_t>(use)];
  }

  /// By use, each in the order of the last activity.
  std::array<Queue, Uses> Queues;
  std::unordered_map<Id, Place> Places;
};

} // namespace pimentofront

#endif
