#include "pimentofront/State.h"

#include <algorithm>

namespace pimentofront {

void MemberTable::beginTerm(TimePoint now, std::uint64_t term) {
  Version = {.Term = term, .Sequence = 0};
  Complete = false;
  TermBegan = now;
  Members.clear();
  HeardAt.clear();
  Sequences.clear();
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

bool MemberTable::cameLate(TimePoint now, const MemberRecord &member,
                           std::uint64_t sequence) {
  const auto goodbye = Goodbyes.find(member.Host);
  if (goodbye != Goodbyes.end() &&
      goodbye->second.Incarnation == member.Incarnation &&
      now < goodbye->second.At + Options.GoodbyeKept)
    return true;
  if (sequence == 0)
    return false;
  std::uint64_t &newest = Sequences[member.Host];
  const bool late = sequence <= newest;
  newest = std::max(newest, sequence);
  return late;
}

bool MemberTable::isDisplaced(TimePoint now, const MemberRecord &member) {
  const auto it = DisplacedMembers.find(member.Host);
  if (it == DisplacedMembers.end())
    return false;
  Displaced &former = it->second;
  const auto other = HeardAt.find(former.By);
  const bool lives =
      other == HeardAt.end() ||
      (former.CalledAt && now >= *former.CalledAt + Options.TakeBackAfter &&
       other->second < *former.CalledAt);
  if (lives) {
    DisplacedMembers.erase(it);
    return false;
  }
  if (!former.CalledAt || other->second >= *former.CalledAt)
    former.CalledAt = now;
  return true;
}

void MemberTable::displaceOthers(TimePoint now, const MemberRecord &member) {
  if (!member.Registered)
    return;
  std::vector<MemberRecord> others;
  for (const auto &[host, it] : Members)
    if (it.Registered && host != member.Host && it.Address == member.Address)
      others.push_back(it);
  for (MemberRecord &it : others) {
    DisplacedMembers[it.Host] = {.By = member.Host, .At = now};
    HeardAt.erase(it.Host);
    it.Gone = true;
    change(it);
  }
}

bool MemberTable::announce(TimePoint now, const MemberRecord &member,
                           std::uint64_t sequence) {
  if (member.Gone) {
    const auto it = Members.find(member.Host);
    Goodbyes[member.Host] = {member.Incarnation, now};
    HeardAt.erase(member.Host);
    Sequences.erase(member.Host);
    // One of an earlier process of this host means nothing.
    if (it != Members.end() && it->second.Incarnation == member.Incarnation)
      change(member);
    return true;
  }
  if (cameLate(now, member, sequence) || isDisplaced(now, member))
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

std::vector<HostName> MemberTable::expire(TimePoint now) {
  std::vector<HostName> gone;
  for (const auto &[host, heard] : HeardAt)
    if (heard + Options.Lease < now)
      gone.push_back(host);
  for (const HostName &it : gone) {
    HeardAt.erase(it);
    Sequences.erase(it);
    MemberRecord record = Members.at(it);
    record.Gone = true;
    change(record);
  }
  const auto isForgotten = [&](const auto &it) {
    return it.second.At + Options.GoodbyeKept < now;
  };
  std::erase_if(Goodbyes, isForgotten);
  std::erase_if(DisplacedMembers, isForgotten);
  if (!Complete && now >= TermBegan + Options.Lease) {
    Complete = true;
    ++Version.Sequence; // Tells everybody, without a record.
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
    return true; // An earlier one that arrives late.
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
