#ifndef PIMENTOFRONT_NODE_LINK_WATCH_H
#define PIMENTOFRONT_NODE_LINK_WATCH_H

#include "Transport.h"

#include <map>

namespace pimentofront {

/// \class LinkWatch
/// \ingroup Node
/// \brief Notices links that carry nothing any more without having ended: a
/// question was sent on one, and for too long nothing at all has come back.
///
/// Such a link looks open to the system: what it sends may even be
/// acknowledged, by whatever stands between. Only the silence shows it. Use it
/// where each question is answered at once by whoever is alive; not for links
/// on which one side only listens.
class LinkWatch {
public:
  /// \param limit longer than a living process takes to answer.
  explicit LinkWatch(Duration limit) : Limit(limit) {}

  /// Something was sent that has to be answered.
  void noteAsked(TimePoint now, LinkId link) { Asked.emplace(link, now); }
  /// Something has come, an answer or not.
  void noteHeard(LinkId link) { Asked.erase(link); }
  void forget(LinkId link) { Asked.erase(link); }
  /// \returns the links that have been silent for too long, and forgets them.
  std::vector<LinkId> takeSilent(TimePoint now);

private:
  Duration Limit;
  /// When the first question was sent that nothing has come after.
  std::map<LinkId, TimePoint> Asked;
};

} // namespace pimentofront

#endif
