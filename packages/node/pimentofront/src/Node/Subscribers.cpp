#include "pimentofront/Node.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Maximum number of records in one message; a larger difference is sent in
/// parts.
constexpr std::size_t MaxRecordsPerPart = 2000;

/// Sends the difference since \p since in parts, so that it never has to be in
/// memory as a whole.
/// \param withSoftware whether the receiver decodes SoftwareRecord.
/// \returns the number of parts.
std::size_t
sendDifference(const Configuration &configuration, Revision since,
               bool withSoftware,
               const std::function<void(ConfigurationUpdate)> &send) {
  std::size_t parts = 0;
  ConfigurationUpdate part{.UpTo = configuration.revision()};
  configuration.forEachChanged(since, [&](const ConfigurationRecord &it) {
    if (!withSoftware && std::holds_alternative<SoftwareRecord>(it))
      return;
    if (part.Records.size() == MaxRecordsPerPart) {
      part.Partial = true;
      send(std::exchange(part, {.UpTo = configuration.revision()}));
      ++parts;
    }
    part.Records.push_back(it);
  });
  send(std::move(part));
  return parts + 1;
}

} // namespace

void Subscribers::add(LinkId link, const Subscribe &subscribe) {
  All[link] = {.Host = subscribe.Host,
               .Known = subscribe.Known,
               .KnownMembers = subscribe.KnownMembers,
               .WantsMembers = subscribe.WantsMembers,
               .WantsQuarantine = subscribe.WantsQuarantine,
               .KnownQuarantine = subscribe.KnownQuarantine,
               .TakesSoftware = subscribe.TakesSoftware,
               .TakesDepartures = subscribe.TakesDepartures};
}

void Subscribers::remove(LinkId link) { All.erase(link); }

bool Subscribers::takesSoftware(LinkId link) const {
  const auto it = All.find(link);
  return it != All.end() && it->second.TakesSoftware;
}

bool Subscribers::takesDepartures(LinkId link) const {
  const auto it = All.find(link);
  return it != All.end() && it->second.TakesDepartures;
}

void Subscribers::recordInForce(LinkId link, Revision revision) {
  const auto it = All.find(link);
  if (it != All.end())
    it->second.InForce = revision;
}

void Subscribers::pushConfiguration(LinkId link, Subscriber &subscriber,
                                    const Configuration &configuration) {
  const bool cached = Cached && CachedSince == subscriber.Known &&
                      CachedWithSoftware == subscriber.TakesSoftware &&
                      Cached->UpTo == configuration.revision();
  if (cached) {
    Network.send(link, *Cached);
  } else {
    Cached.reset();
    const std::size_t parts =
        sendDifference(configuration, subscriber.Known,
                       subscriber.TakesSoftware, [&](ConfigurationUpdate part) {
                         Network.send(link, part);
                         if (!part.Partial)
                           Cached = std::move(part);
                       });
    CachedSince = subscriber.Known;
    CachedWithSoftware = subscriber.TakesSoftware;
    // Most subscribers lack the same small difference. A large one isn't
    // cached.
    if (parts > 1)
      Cached.reset();
  }
  subscriber.Known = configuration.revision();
}

void Subscribers::push(const Configuration &configuration,
                       const MemberTable &members,
                       const QuarantineLedger &quarantine) {
  bool sentLarge = false;
  for (auto &[link, subscriber] : All) {
    // The quarantine goes first: a process that learns that its configuration
    // is current relies on knowing the quarantine, too.
    if (subscriber.WantsQuarantine)
      if (const auto update =
              quarantine.updateSince(subscriber.KnownQuarantine)) {
        Network.send(link, *update);
        subscriber.KnownQuarantine = update->To;
      }
    // At most one large difference is sent per call, since each needs the
    // memory of a whole configuration while it is being sent.
    const Revision missing = configuration.revision() - subscriber.Known;
    const bool lacks = subscriber.Known < configuration.revision();
    const bool large = lacks && missing > MaxRecordsPerPart;
    if (lacks && !(large && sentLarge)) {
      pushConfiguration(link, subscriber, configuration);
      sentLarge = sentLarge || large;
    }
    if (!subscriber.WantsMembers)
      continue;
    if (const auto update = members.updateSince(subscriber.KnownMembers)) {
      Network.send(link, *update);
      subscriber.KnownMembers = update->To;
    }
  }
}

void Subscribers::sendAll(const Message &message) {
  for (const auto &[link, it] : All)
    if (it.Known != MembersOnly)
      Network.send(link, message);
}

std::uint32_t Subscribers::configurationSubscribers() const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      All, [](const auto &it) { return it.second.Known != MembersOnly; }));
}

std::vector<RevisionInForce> Subscribers::inForce() const {
  std::vector<RevisionInForce> result;
  for (const auto &[link, it] : All)
    if (it.Known != MembersOnly)
      result.push_back({it.Host, it.InForce});
  return result;
}

} // namespace pimentofront
