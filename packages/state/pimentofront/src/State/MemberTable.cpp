#include "pimentofront/State.h"

#include <algorithm>
#include <utility>

namespace pimentofront {

void MemberTable::beginTerm(TimePoint now, std::uint64_t term) {
  Version = {.Term = term, .Sequence = 0};
  Complete = false;
  TermStartedAt = now;
  Former = std::exchange(Members, {});
  LastAnnouncedAt.clear();
  LatestSequences.clear();
  DisplacedMembers.clear();
  Changes.clear();
  Departed.clear();
}

void MemberTable::recordChange(const MemberRecord &member) {
  Members[member.Host] = member;
  if (member.Gone)
    Members.erase(member.Host);
  recordDeparted(member);
  ++Version.Sequence;
  Changes.push_back(member);
  if (Changes.size() > Options.MaxChanges)
    Changes.pop_front();
}

void MemberTable::recordDeparted(const MemberRecord &member) {
  if (!member.Registered)
    return;
  if (member.Gone && !Complete)
    Departed[member.process()] = member;
  else
    Departed.erase(member.process());
}

Duration MemberTable::retentionOf(const DepartureRecord &departure) const {
  // A process without a start time counts its announcements anew when it
  // restarts, so that the departure of one that was leaving must not reject
  // them for long.
  const bool wasUnnamed = departure.Gone && departure.Server.StartedAt == 0;
  return departure.NamesProcess || wasUnnamed
             ? Options.DeregistrationRetention
             : Options.AnonymousDeregistrationRetention;
}

bool MemberTable::isDeparted(TimePoint now, const MemberRecord &member,
                             std::uint64_t sequence) const {
  const auto it = Departures.find(member.process());
  if (it == Departures.end())
    return false;
  const DepartureRecord &record = it->second.Record;
  if (now >= it->second.At + retentionOf(record))
    return false;
  return record.Gone ||
         (!member.Leaving && sequence != 0 && sequence <= record.Sequence);
}

bool MemberTable::isStaleSequence(const ServerProcess &process,
                                  std::uint64_t sequence) {
  if (sequence == 0)
    return false;
  std::uint64_t &newest = LatestSequences[process];
  const bool stale = sequence <= newest;
  newest = std::max(newest, sequence);
  return stale;
}

std::optional<TimePoint>
MemberTable::lastAnnouncedAt(const ServerProcess &process) const {
  const auto member = Members.find(process.Name);
  const auto announcedAt = LastAnnouncedAt.find(process.Name);
  if (member == Members.end() || announcedAt == LastAnnouncedAt.end() ||
      member->second.process() != process)
    return std::nullopt;
  return announcedAt->second;
}

bool MemberTable::hasNewerOwner(const MemberRecord &member) const {
  const auto it = Members.find(member.Host);
  return member.Registered && it != Members.end() &&
         member.process().StartedAt < it->second.process().StartedAt;
}

bool MemberTable::isDisplaced(TimePoint now, const MemberRecord &member) {
  auto it = DisplacedMembers.find(member.process());
  if (it == DisplacedMembers.end() && hasNewerOwner(member)) {
    // Without a start time, it comes from another writer under that name.
    if (member.process().StartedAt == 0)
      return true;
    const ServerProcess later = Members.at(member.Host).process();
    it =
        DisplacedMembers.emplace(member.process(), Displaced{later, now}).first;
  }
  if (it == DisplacedMembers.end())
    return false;
  Displaced &former = it->second;
  const std::optional<TimePoint> other = lastAnnouncedAt(former.DisplacedBy);
  const bool alive =
      !other || (former.FirstAnnouncedAt &&
                 now >= *former.FirstAnnouncedAt + Options.ReclaimDelay &&
                 *other < *former.FirstAnnouncedAt);
  if (alive) {
    DisplacedMembers.erase(it);
    return false;
  }
  if (!former.FirstAnnouncedAt || *other >= *former.FirstAnnouncedAt)
    former.FirstAnnouncedAt = now;
  return true;
}

void MemberTable::displaceFormerOwners(TimePoint now,
                                       const MemberRecord &member) {
  if (!member.Registered)
    return;
  const ServerProcess process = member.process();
  const auto former = Members.find(member.Host);
  if (former != Members.end() && former->second.process() != process)
    DisplacedMembers[former->second.process()] = {.DisplacedBy = process,
                                                  .At = now};
  std::vector<MemberRecord> others;
  for (const auto &[host, it] : Members)
    if (it.Registered && host != member.Host && it.Address == member.Address)
      others.push_back(it);
  for (MemberRecord &it : others) {
    DisplacedMembers[it.process()] = {.DisplacedBy = process, .At = now};
    LastAnnouncedAt.erase(it.Host);
    it.Gone = true;
    recordChange(it);
  }
}

DepartureRecord MemberTable::departureOf(const MemberRecord &member,
                                         std::uint64_t sequence) const {
  DepartureRecord departure{.Server = member.process(),
                            .Gone = member.Gone,
                            .NamesProcess =
                                !member.Registered || member.Incarnation != 0,
                            .Sequence = sequence};
  if (departure.NamesProcess || !member.Gone)
    return departure;
  auto owner = Members.find(member.Host);
  if (owner == Members.end()) {
    owner = Former.find(member.Host);
    if (owner == Former.end())
      return departure;
  }
  departure.Server = owner->second.process();
  return departure;
}

void MemberTable::recordDeparture(TimePoint now,
                                  const DepartureRecord &departure) {
  const auto it = Departures.find(departure.Server);
  if (it == Departures.end())
    Departures[departure.Server] = {departure, now};
  else
    it->second = {merged(it->second.Record, departure), now};
}

void MemberTable::removeDeparted(const MemberRecord &member) {
  const auto it = Members.find(member.Host);
  const bool known = it != Members.end();
  // The departure of an earlier process of this host changes nothing.
  if (known && it->second.process() != member.process())
    return;
  // Receivers may still know a server from the previous leader.
  if (!known && (Complete || !member.Registered))
    return;
  LastAnnouncedAt.erase(member.Host);
  LatestSequences.erase(member.process());
  recordChange(member);
}

void MemberTable::deregister(TimePoint now, const MemberRecord &member) {
  const DepartureRecord departure = departureOf(member, /*sequence=*/0);
  recordDeparture(now, departure);
  MemberRecord record = member;
  record.Incarnation = departure.Server.StartedAt;
  removeDeparted(record);
}

void MemberTable::restoreDeparture(TimePoint now,
                                   const DepartureRecord &departure) {
  const auto known = Departures.find(departure.Server);
  if (known == Departures.end() ||
      merged(known->second.Record, departure) != known->second.Record)
    recordDeparture(now, departure);
  const auto it = Members.find(departure.Server.Name);
  const bool listed =
      it != Members.end() && it->second.process() == departure.Server;
  if (listed && !departure.Gone) {
    MemberRecord leaving = it->second;
    leaving.Leaving = true;
    if (leaving != it->second)
      recordChange(leaving);
    return;
  }
  if (!listed && Departed.contains(departure.Server))
    return;
  // One that is leaving is listed again with its next announcement. Until then
  // it must not get requests either.
  removeDeparted({.Host = departure.Server.Name,
                  .Incarnation = departure.Server.StartedAt,
                  .Gone = true,
                  .Registered = true});
}

bool MemberTable::announce(TimePoint now, const MemberRecord &member,
                           std::uint64_t sequence) {
  if (member.Gone) {
    deregister(now, member);
    return true;
  }
  if (isDeparted(now, member, sequence) ||
      isStaleSequence(member.process(), sequence) || isDisplaced(now, member))
    return false;
  if (member.Leaving)
    recordDeparture(now, departureOf(member, sequence));
  else
    Departures.erase(member.process()); // It takes requests again.
  LastAnnouncedAt[member.Host] = now;
  const auto it = Members.find(member.Host);
  if (it != Members.end() && it->second == member)
    return true;
  displaceFormerOwners(now, member);
  recordChange(member);
  return true;
}

bool MemberTable::renew(TimePoint now, const HostName &host,
                        std::uint64_t incarnation) {
  const auto it = Members.find(host);
  if (it == Members.end() || it->second.Incarnation != incarnation)
    return false;
  LastAnnouncedAt[host] = now;
  return true;
}

Duration MemberTable::leaseOf(const MemberRecord &member) const {
  const bool hasOwnLease =
      member.Registered && Options.ServerLease > Duration::zero();
  return hasOwnLease ? Options.ServerLease : Options.Lease;
}

std::vector<HostName> MemberTable::expire(TimePoint now) {
  std::vector<HostName> expired;
  for (const auto &[host, announcedAt] : LastAnnouncedAt)
    if (announcedAt + leaseOf(Members.at(host)) < now)
      expired.push_back(host);
  for (const HostName &it : expired) {
    LastAnnouncedAt.erase(it);
    MemberRecord record = Members.at(it);
    record.Gone = true;
    recordChange(record);
  }
  const auto isExpired = [&](const auto &it) {
    return it.second.At + Options.DeregistrationRetention < now;
  };
  std::erase_if(Departures, isExpired);
  std::erase_if(DisplacedMembers, isExpired);
  // Drop the sequences of processes that neither are in the table nor may get
  // their address or name back.
  std::erase_if(LatestSequences, [&](const auto &it) {
    return !lastAnnouncedAt(it.first) && !DisplacedMembers.contains(it.first);
  });
  const Duration maxLease = std::max(Options.Lease, Options.ServerLease);
  if (!Complete && now >= TermStartedAt + maxLease) {
    Complete = true;
    Departed.clear();
    Former.clear();
    ++Version.Sequence; // Sends `Complete` to all receivers, without a record.
    Changes.clear();
  }
  return expired;
}

std::optional<MemberUpdate>
MemberTable::updateSince(const MemberVersion &known) const {
  if (known == Version)
    return std::nullopt;
  MemberUpdate update{.Complete = Complete, .From = known, .To = Version};
  const std::uint64_t missing = Version.Sequence - known.Sequence;
  if (known.Term == Version.Term && known.Sequence < Version.Sequence &&
      missing <= Changes.size()) {
    const auto first = Changes.end() - static_cast<std::ptrdiff_t>(missing);
    update.Members.assign(first, Changes.end());
    return update;
  }
  update.Full = true;
  for (const auto &[process, it] : Departed)
    update.Members.push_back(it);
  for (const auto &[host, it] : Members)
    update.Members.push_back(it);
  return update;
}

MemberUpdateResult MemberTable::apply(const MemberUpdate &update) {
  if (update.To < Version)
    return MemberUpdateResult::Outdated;
  if (!update.Full && update.From != Version)
    return MemberUpdateResult::Gap;
  if (update.Full) {
    Members.clear();
    Changes.clear();
    Departed.clear();
  }
  Complete = update.Complete;
  for (const MemberRecord &it : update.Members) {
    if (it.Gone)
      Members.erase(it.Host);
    else
      Members[it.Host] = it;
    recordDeparted(it);
    if (!update.Full)
      Changes.push_back(it);
  }
  if (Complete)
    Departed.clear();
  if (update.To.Sequence - update.From.Sequence != update.Members.size())
    Changes.clear();
  while (Changes.size() > Options.MaxChanges)
    Changes.pop_front();
  Version = update.To;
  return MemberUpdateResult::Applied;
}

} // namespace pimentofront
