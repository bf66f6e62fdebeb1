#include "pimentofront/Node.h"

namespace pimentofront {
namespace {

/// Records in one message of a large difference.
constexpr std::size_t RecordsInPart = 2000;

std::vector<ConfigurationUpdate> difference(const Configuration &configuration,
                                            Revision since) {
  std::vector<ConfigurationUpdate> parts(1);
  for (ConfigurationRecord &it : configuration.changedSince(since)) {
    if (parts.back().Records.size() == RecordsInPart) {
      parts.back().Partial = true;
      parts.emplace_back();
    }
    parts.back().Records.push_back(std::move(it));
  }
  for (ConfigurationUpdate &it : parts)
    it.UpTo = configuration.revision();
  return parts;
}

} // namespace

void Subscribers::add(LinkId link, const Subscribe &subscribe) {
  All[link] = {.Host = subscribe.Host,
               .Known = subscribe.Known,
               .KnownMembers = subscribe.KnownMembers,
               .WantsMembers = subscribe.WantsMembers};
}

void Subscribers::remove(LinkId link) { All.erase(link); }

void Subscribers::noteInForce(LinkId link, Revision revision) {
  const auto it = All.find(link);
  if (it != All.end())
    it->second.InForce = revision;
}

void Subscribers::pushConfiguration(LinkId link, Subscriber &subscriber,
                                    const Configuration &configuration) {
  if (subscriber.Known >= configuration.revision())
    return;
  if (Cached.empty() || CachedSince != subscriber.Known ||
      CachedUpTo != configuration.revision()) {
    CachedSince = subscriber.Known;
    CachedUpTo = configuration.revision();
    Cached = difference(configuration, subscriber.Known);
  }
  for (const ConfigurationUpdate &it : Cached)
    Network.send(link, it);
  subscriber.Known = configuration.revision();
}

void Subscribers::push(const Configuration &configuration,
                       const MemberTable &members) {
  for (auto &[link, subscriber] : All) {
    pushConfiguration(link, subscriber, configuration);
    if (!subscriber.WantsMembers)
      continue;
    if (const auto update = members.updateSince(subscriber.KnownMembers)) {
      Network.send(link, *update);
      subscriber.KnownMembers = update->To;
    }
  }
  // A whole configuration isn't kept for the next one who lacks it.
  if (Cached.size() > 1)
    Cached.clear();
}

std::vector<RevisionInForce> Subscribers::inForce() const {
  std::vector<RevisionInForce> result;
  for (const auto &[link, it] : All)
    if (it.Known != MembersOnly)
      result.push_back({it.Host, it.InForce});
  return result;
}

} // namespace pimentofront
