#ifndef PIMENTOFRONT_NODE_TRANSPORT_H
#define PIMENTOFRONT_NODE_TRANSPORT_H

#include "pimentofront/Wire.h"

namespace pimentofront {

/// Names one link between two processes, on this side; never used again.
using LinkId = std::uint64_t;

/// What a link is opened for.
enum class LinkPurpose : std::uint8_t {
  General,
  /// Between two replicas: the greeting names the identity of the disk.
  Replication,
};

/// \class Transport
/// \ingroup Node
/// \brief Links to other processes. Messages of one link arrive in order, each
/// once, until the link ends; the end may go unnoticed for long.
class Transport {
public:
  virtual ~Transport() = default;
  /// Begins to open a link. Messages that are sent before it is open wait.
  virtual LinkId open(const std::string &address,
                      LinkPurpose purpose = LinkPurpose::General) = 0;
  /// Sends, if the link still exists.
  virtual void send(LinkId link, const Message &message) = 0;
  /// Ends a link; nothing more is heard of it.
  virtual void close(LinkId link) = 0;
};

/// \class PeerHandler
/// \ingroup Node
/// \brief What a process does with links and messages.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  /// The other side said who it is; the first call for a link.
  virtual void onLinkOpen(LinkId link, const Hello &hello) = 0;
  virtual void onMessage(LinkId link, const Message &message) = 0;
  /// The link has ended; the last call. It may never have been open.
  virtual void onLinkClosed(LinkId link) = 0;
};

/// \class Node
/// \ingroup Node
/// \brief One part that a process plays. It ignores links that aren't its own.
class Node {
public:
  virtual ~Node() = default;
  virtual void onLinkOpen(TimePoint now, LinkId link, const Hello &hello) = 0;
  virtual void onMessage(TimePoint now, LinkId link,
                         const Message &message) = 0;
  virtual void onLinkClosed(TimePoint now, LinkId link) = 0;
  /// To be called every ten milliseconds or so.
  virtual void tick(TimePoint now) = 0;
};

/// \class WallClock
/// \ingroup Node
/// \brief Time of day, for what is recorded; decisions don't look at it.
class WallClock {
public:
  virtual ~WallClock() = default;
  /// \returns milliseconds since 1970.
  virtual std::uint64_t milliseconds() const = 0;
};

} // namespace pimentofront

#endif
