#ifndef PIMENTOFRONT_NODE_LINK_WATCH_H
#define PIMENTOFRONT_NODE_LINK_WATCH_H

#include "Transport.h"

#include <map>

namespace pimentofront {

/// \class LinkWatch
/// \ingroup Node
/// \brief Detects half-open links: a request was sent on the link, and nothing
/// at all has arrived on it within a time limit.
///
/// The operating system reports such a link as open. A middlebox may even
/// acknowledge what is sent, so only the silence shows the failure. Use it
/// where a running peer answers each request at once; not for links on which
/// one side only listens.
class LinkWatch {
public:
  /// \param limit longer than a running process takes to answer.
  explicit LinkWatch(Duration limit) : Limit(limit) {}

  /// A request was sent that has to be answered.
  void expectReply(TimePoint now, LinkId link) {
    AwaitingReply.emplace(link, now);
  }
  /// A message arrived, whether a reply or not.
  void recordReceived(LinkId link) { AwaitingReply.erase(link); }
  void forget(LinkId link) { AwaitingReply.erase(link); }
  /// \returns the links that have been silent for too long, and removes them
  /// from the watch.
  std::vector<LinkId> takeSilent(TimePoint now);

private:
  Duration Limit;
  /// When the first request was sent since a message arrived last.
  std::map<LinkId, TimePoint> AwaitingReply;
};

} // namespace pimentofront

#endif
