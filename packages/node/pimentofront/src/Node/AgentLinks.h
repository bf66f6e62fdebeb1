#ifndef PIMENTOFRONT_NODE_AGENT_LINKS_H
#define PIMENTOFRONT_NODE_AGENT_LINKS_H

#include "LinkWatch.h"
#include "pimentofront/Serving.h"

namespace pimentofront {

/// \class AgentLink
/// \ingroup Node
/// \brief A link to an agent, opened when the first message is sent.
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
      : Network(transport), Watch(SilenceTimeout) {}

  /// Sends a message, and opens a link to the host if there is none. A message
  /// that only cancels or releases an attempt does not open a link: the agent
  /// drops an attempt when its link closes.
  /// \returns whether a link was opened.
  bool send(TimePoint now, const SendToAgent &message);
  /// \returns the link, or null if it isn't a link to an agent.
  const AgentLink *find(LinkId link) const;
  void onOpen(LinkId link);
  void onReceived(LinkId link) { Watch.recordReceived(link); }
  /// Removes a closed link.
  /// \returns the agent that it led to.
  AgentLink onClosed(LinkId link);
  /// \returns links to hosts that are gone or have another address now.
  std::vector<LinkId> staleLinks(const MemberViews &members) const;
  /// \returns links that no longer deliver messages, and removes them from the
  /// watch.
  std::vector<LinkId> takeSilent(TimePoint now) {
    return Watch.takeSilent(now);
  }
  void close(LinkId link) { Network.close(link); }

private:
  /// An agent admits or refuses a request at once. The limit leaves time for an
  /// agent that gets no processor for a while, because closing the link cancels
  /// all its attempts for this entry.
  static constexpr Duration SilenceTimeout = std::chrono::milliseconds(1500);

  Transport &Network;
  LinkWatch Watch;
  std::map<LinkId, AgentLink> Links;
  std::map<HostName, LinkId> ByHost;
};

} // namespace pimentofront

#endif
