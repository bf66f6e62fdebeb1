#include "pimentofront/Node.h"

namespace pimentofront {

std::vector<LinkId> LinkWatch::takeSilent(TimePoint now) {
  std::vector<LinkId> silent;
  for (const auto &[link, since] : AwaitingReply)
    if (now - since >= Limit)
      silent.push_back(link);
  for (const LinkId it : silent)
    AwaitingReply.erase(it);
  return silent;
}

} // namespace pimentofront
