#include "pimentofront/Node.h"

#include <cassert>

namespace pimentofront {
namespace {

bool isCancellation(const Message &message) {
  return std::holds_alternative<CancelAttempt>(message) ||
         std::holds_alternative<AttemptReleased>(message);
}

} // namespace

bool AgentLinks::send(TimePoint now, const SendToAgent &message) {
  auto it = ByHost.find(message.Host);
  const bool isNew = it == ByHost.end();
  if (isNew) {
    if (isCancellation(message.Content))
      return false;
    const LinkId link = Network.open(message.Address);
    Links[link] = {message.Host, message.Address};
    it = ByHost.emplace(message.Host, link).first;
  }
  if (std::holds_alternative<ExecuteRequest>(message.Content))
    Watch.expectReply(now, it->second);
  Network.send(it->second, message.Content);
  return isNew;
}

const AgentLink *AgentLinks::find(LinkId link) const {
  const auto it = Links.find(link);
  return it == Links.end() ? nullptr : &it->second;
}

void AgentLinks::onOpen(LinkId link) {
  const auto it = Links.find(link);
  if (it != Links.end())
    it->second.Open = true;
}

AgentLink AgentLinks::onClosed(LinkId link) {
  const auto it = Links.find(link);
  assert(it != Links.end() && "call it only for links that find() knows");
  Watch.forget(link);
  AgentLink result = std::move(it->second);
  Links.erase(it);
  ByHost.erase(result.Host);
  return result;
}

std::vector<LinkId> AgentLinks::staleLinks(const MemberViews &members) const {
  std::vector<LinkId> stale;
  for (const auto &[link, agent] : Links) {
    const auto it = members.find(agent.Host);
    if (it == members.end() || it->second.Record.Address != agent.Address)
      stale.push_back(link);
  }
  return stale;
}

} // namespace pimentofront
