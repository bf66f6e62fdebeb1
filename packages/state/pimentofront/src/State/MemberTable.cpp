#include "pimentofront/State.h"

#include <algorithm>

namespace pimentofront {

void MemberTable::beginTerm(TimePoint now, std::uint64_t term) {
  Version = {.Term = term, .Sequence = 0};
  Complete = false;
  TermBegan = now;
  Members.clear();
  HeardAt.clear();
  Counts.clear();
  DisplacedMembers.clear();
  Changes.clear();
}

void MemberTable::change(const MemberRecord &member) {
  Members[member.Host] = member;
  if (member.Gone)
    Members.erase(member.Host);
  ++Version.Sequence;
  Changes.push_back(member);
  if (Changes.size() > Options.ChangesKept)
    Changes.pop_front();
}

bool MemberTable::hasLeft(TimePoint now, const MemberRecord &member) const {
  const auto it = Goodbyes.find(member.Host);
  if (it == Goodbyes.end() || it->second.Incarnation != member.Incarnation)
    return false;
  const Duration kept = it->second.Named || member.Incarnation == 0
                            ? Options.GoodbyeKept
                            : Options.NamelessGoodbyeKept;
  return now < it->second.At + kept;
}

bool MemberTable::isOldCount(const ServerProcess &process,
                             std::uint64_t sequence) {
  if (sequence == 0)
    return false;
  std::uint64_t &newest = Counts[process];
  const bool old = sequence <= newest;
  newest = std::max(newest, sequence);
  return old;
}

std::optional<TimePoint>
MemberTable::heardOf(const ServerProcess &process) const {
  const auto member = Members.find(process.Name);
  const auto heard = HeardAt.find(process.Name);
  if (member == Members.end() || heard == HeardAt.end() ||
      member->second.process() != process)
    return std::nullopt;
  return heard->second;
}

bool MemberTable::hasLaterNamesake(const MemberRecord &member) const {
  const auto it = Members.find(member.Host);
  return member.Registered && it != Members.end() &&
         member.process().StartedAt < it->second.process().StartedAt;
}

bool MemberTable::isDisplaced(TimePoint now, const MemberRecord &member) {
  auto it = DisplacedMembers.find(member.process());
  if (it == DisplacedMembers.end() && hasLaterNamesake(member)) {
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
  const std::optional<TimePoint> other = heardOf(former.By);
  const bool lives =
      !other ||
      (former.CalledAt && now >= *former.CalledAt + Options.TakeBackAfter &&
       *other < *former.CalledAt);
  if (lives) {
    DisplacedMembers.erase(it);
    return false;
  }
  if (!former.CalledAt || *other >= *former.CalledAt)
    former.CalledAt = now;
  return true;
}

void MemberTable::displaceOthers(TimePoint now, const MemberRecord &member) {
  if (!member.Registered)
    return;
  const ServerProcess process = member.process();
  const auto former = Members.find(member.Host);
  if (former != Members.end() && former->second.process() != process)
    DisplacedMembers[former->second.process()] = {.By = process, .At = now};
  std::vector<MemberRecord> others;
  for (const auto &[host, it] : Members)
    if (it.Registered && host != member.Host && it.Address == member.Address)
      others.push_back(it);
  for (MemberRecord &it : others) {
    DisplacedMembers[it.process()] = {.By = process, .At = now};
    HeardAt.erase(it.Host);
    it.Gone = true;
    change(it);
  }
}

void MemberTable::leave(TimePoint now, const MemberRecord &member) {
  const auto it = Members.find(member.Host);
  const bool known = it != Members.end();
  // A deregistration without an incarnation is taken for one of the process
  // that owns the name.
  const bool named = !member.Registered || member.Incarnation != 0;
  const std::uint64_t incarnation =
      named || !known ? member.Incarnation : it->second.Incarnation;
  Goodbyes[member.Host] = {
      .Incarnation = incarnation, .Named = named, .At = now};
  // The deregistration of an earlier process of this host changes nothing.
  if (!known || it->second.Incarnation != incarnation)
    return;
  HeardAt.erase(member.Host);
  Counts.erase(it->second.process());
  MemberRecord record = member;
  record.Incarnation = incarnation;
  change(record);
}

bool MemberTable::announce(TimePoint now, const MemberRecord &member,
                           std::uint64_t sequence) {
  if (member.Gone) {
    leave(now, member);
    return true;
  }
  if (hasLeft(now, member) || isOldCount(member.process(), sequence) ||
      isDisplaced(now, member))
    return false;
  HeardAt[member.Host] = now;
  const auto it = Members.find(member.Host);
  if (it != Members.end() && it->second == member)
    return true;
  displaceOthers(now, member);
  change(member);
  return true;
}

bool MemberTable::renew(TimePoint now, const HostName &host,
                        std::uint64_t incarnation) {
  const auto it = Members.find(host);
  if (it == Members.end() || it->second.Incarnation != incarnation)
    return false;
  HeardAt[host] = now;
  return true;
}

Duration MemberTable::leaseOf(const MemberRecord &member) const {
  const bool own = member.Registered && Options.ServerLease > Duration::zero();
  return own ? Options.ServerLease : Options.Lease;
}

std::vector<HostName> MemberTable::expire(TimePoint now) {
  std::vector<HostName> gone;
  for (const auto &[host, heard] : HeardAt)
    if (heard + leaseOf(Members.at(host)) < now)
      gone.push_back(host);
  for (const HostName &it : gone) {
    HeardAt.erase(it);
    MemberRecord record = Members.at(it);
    record.Gone = true;
    change(record);
  }
  const auto isForgotten = [&](const auto &it) {
    return it.second.At + Options.GoodbyeKept < now;
  };
  std::erase_if(Goodbyes, isForgotten);
  std::erase_if(DisplacedMembers, isForgotten);
  // Drop the sequences of processes that neither are in the table nor may get
  // their address or name back.
  std::erase_if(Counts, [&](const auto &it) {
    return !heardOf(it.first) && !DisplacedMembers.contains(it.first);
  });
  const Duration longest = std::max(Options.Lease, Options.ServerLease);
  if (!Complete && now >= TermBegan + longest) {
    Complete = true;
    ++Version.Sequence; // Sends `Complete` to all receivers, without a record.
    Changes.clear();
  }
  return gone;
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
  for (const auto &[host, it] : Members)
    update.Members.push_back(it);
  return update;
}

bool MemberTable::apply(const MemberUpdate &update) {
  if (update.To < Version)
    return true; // A late update.
  if (!update.Full && update.From != Version)
    return false;
  if (update.Full) {
    Members.clear();
    Changes.clear();
  }
  for (const MemberRecord &it : update.Members) {
    if (it.Gone)
      Members.erase(it.Host);
    else
      Members[it.Host] = it;
    if (!update.Full)
      Changes.push_back(it);
  }
  if (update.To.Sequence - update.From.Sequence != update.Members.size())
    Changes.clear();
  while (Changes.size() > Options.ChangesKept)
    Changes.pop_front();
  Version = update.To;
  Complete = update.Complete;
  return true;
}

} // namespace pimentofront
