#ifndef PIMENTOFRONT_NODE_TRANSPORT_H
#define PIMENTOFRONT_NODE_TRANSPORT_H

#include "pimentofront/Wire.h"

namespace pimentofront {

/// Identifies a link between two processes on this side; never reused.
using LinkId = std::uint64_t;

/// Purpose for which a link is opened.
enum class LinkPurpose : std::uint8_t {
  General,
  /// Between two replicas: the Hello message carries the replica's id, which is
  /// that of its disk.
  Replication,
};

/// \class Transport
/// \ingroup Node
/// \brief Links to other processes. The messages of a link arrive in order and
/// once each until the link ends. The end may go unnoticed for a long time.
class Transport {
public:
  virtual ~Transport() = default;
  /// Starts to open a link. Messages sent before it is open are queued.
  virtual LinkId open(const std::string &address,
                      LinkPurpose purpose = LinkPurpose::General) = 0;
  /// Sends a message; does nothing if the link no longer exists.
  virtual void send(LinkId link, const Message &message) = 0;
  /// Closes a link. No further callback is made for it.
  virtual void close(LinkId link) = 0;
};

/// \class PeerHandler
/// \ingroup Node
/// \brief Callbacks of a process for links and messages.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  /// The peer identified itself. This is the first call for a link.
  virtual void onLinkOpen(LinkId link, const Hello &hello) = 0;
  virtual void onMessage(LinkId link, const Message &message) = 0;
  /// The link has ended. This is the last call for it; it may never have been
  /// open.
  virtual void onLinkClosed(LinkId link) = 0;
};

/// \class Node
/// \ingroup Node
/// \brief A role of a process. It ignores links that belong to other roles.
class Node {
public:
  virtual ~Node() = default;
  virtual void onLinkOpen(TimePoint now, LinkId link, const Hello &hello) = 0;
  virtual void onMessage(TimePoint now, LinkId link,
                         const Message &message) = 0;
  virtual void onLinkClosed(TimePoint now, LinkId link) = 0;
  /// Call it every few tens of milliseconds; the daemon does every 20 ms.
  virtual void tick(TimePoint now) = 0;
};

/// \class WallClock
/// \ingroup Node
/// \brief Time of day for records. Decisions don't depend on it.
class WallClock {
public:
  virtual ~WallClock() = default;
  /// \returns milliseconds since 1970.
  virtual std::uint64_t milliseconds() const = 0;
};

} // namespace pimentofront

#endif
