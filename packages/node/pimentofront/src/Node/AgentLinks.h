#ifndef PIMENTOFRONT_NODE_AGENT_LINKS_H
#define PIMENTOFRONT_NODE_AGENT_LINKS_H

#include "LinkWatch.h"
#include "pimentofront/Serving.h"

namespace pimentofront {

/// \class AgentLink
/// \ingroup Node
/// \brief A link to an agent, opened when there is something to send.
struct AgentLink {
  HostName Host;
  std::string Address;
  bool Open = false;
};

/// \class AgentLinks
/// \ingroup Node
/// \brief An entry's links to agents.
class AgentLinks {
public:
  explicit AgentLinks(Transport &transport)
      : Network(transport), Watch(SilenceLimit) {}

  /// Sends, and opens a link if there is none; what only takes something back
  /// has no use on a new link.
  /// \returns whether a link was opened.
  bool send(TimePoint now, const SendToAgent &message);
  /// \returns the link, or null if it isn't one to an agent.
  const AgentLink *find(LinkId link) const;
  void onOpen(LinkId link);
  void onReceived(LinkId link) { Watch.noteHeard(link); }
  /// \returns what the link was.
  AgentLink onClosed(LinkId link);
  /// \returns links to hosts that are gone, or at another address now.
  std::vector<LinkId> staleLinks(const MemberViews &members) const;
  /// \returns links that carry nothing any more.
  std::vector<LinkId> takeSilent(TimePoint now) {
    return Watch.takeSilent(now);
  }
  void close(LinkId link) { Network.close(link); }

private:
  /// An agent says at once that it has taken a request in, or not. Long enough
  /// for one that gets no processor for a while: ending its link takes back all
  /// that it does for this entry.
  static constexpr Duration SilenceLimit = std::chrono::milliseconds(1500);

  Transport &Network;
  LinkWatch Watch;
  std::map<LinkId, AgentLink> Links;
  std::map<HostName, LinkId> ByHost;
};

} // namespace pimentofront

#endif
