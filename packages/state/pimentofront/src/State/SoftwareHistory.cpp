#include "pimentofront/State.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Services with a record, which is never deleted.
constexpr std::size_t MaxServices = 4096;
constexpr std::size_t MaxSoftwareBytes = 256;

bool isRecorded(const Configuration &current, const RecordSoftware &command) {
  const SoftwareRecord *record = current.findSoftware(command.Service);
  return record && std::ranges::find(record->Versions, command.Software) !=
                       record->Versions.end();
}

bool isFull(const Configuration &current, const ServiceName &service) {
  const SoftwareRecord *record = current.findSoftware(service);
  return record && record->Versions.size() >= MaxSoftwareVersions;
}

std::set<RecordSoftware> statedBy(const MemberTable &members) {
  std::set<RecordSoftware> stated;
  for (const auto &[host, it] : members.members())
    if (it.Registered)
      for (const ServiceName &service : it.Services)
        stated.insert({.Service = service, .Software = it.Software});
  return stated;
}

/// A version that is added to a full record takes the place of another one,
/// which would be added again if it had servers.
bool isAllStated(const SoftwareRecord &record,
                 const std::set<RecordSoftware> &stated) {
  return std::ranges::all_of(record.Versions, [&](const std::string &it) {
    return stated.contains({.Service = record.Service, .Software = it});
  });
}

} // namespace

bool mayRecordSoftware(const Configuration &current,
                       const RecordSoftware &command) {
  return isValidName(command.Service.str()) &&
         command.Software.size() <= MaxSoftwareBytes &&
         (current.findSoftware(command.Service) || command.Retired ||
          current.software().size() < MaxServices);
}

void SoftwareHistory::reset() {
  Proposed.clear();
  LastSeenAt.clear();
  Reviewed = {};
  NextAt = {};
}

bool SoftwareHistory::mustAdd(const RecordSoftware &command,
                              const Configuration &current) const {
  RecordSoftware retirement = command;
  retirement.Retired = true;
  const bool stays =
      isRecorded(current, command) && !Proposed.contains(retirement);
  return !stays && !Proposed.contains(command) &&
         mayRecordSoftware(current, command);
}

std::vector<RecordSoftware>
SoftwareHistory::additions(const MemberRecord &member,
                           const Configuration &current) const {
  std::vector<RecordSoftware> commands;
  if (!member.Registered || member.Gone)
    return commands;
  for (const ServiceName &it : member.Services) {
    const RecordSoftware command{.Service = it, .Software = member.Software};
    if (!isFull(current, it) && mustAdd(command, current))
      commands.push_back(command);
  }
  return commands;
}

bool SoftwareHistory::isBeingAdded(const MemberRecord &member) const {
  return std::ranges::any_of(member.Services, [&](const ServiceName &it) {
    return Proposed.contains({.Service = it, .Software = member.Software});
  });
}

std::vector<RecordSoftware>
SoftwareHistory::review(TimePoint now, const MemberTable &members,
                        const Configuration &current) {
  if (members.version() == Reviewed && now < NextAt)
    return {};
  Reviewed = members.version();
  NextAt = now + Options.Period;
  const std::set<RecordSoftware> stated = statedBy(members);
  std::vector<RecordSoftware> commands =
      retirements(now, members.complete(), stated, current);
  for (const RecordSoftware &it : stated)
    if (mustAdd(it, current) &&
        (!isFull(current, it.Service) ||
         !isAllStated(*current.findSoftware(it.Service), stated)))
      commands.push_back(it);
  return commands;
}

std::vector<RecordSoftware>
SoftwareHistory::retirements(TimePoint now, bool complete,
                             const std::set<RecordSoftware> &stated,
                             const Configuration &current) {
  std::vector<RecordSoftware> commands;
  std::map<RecordSoftware, TimePoint> lastSeenAt;
  for (const auto &[service, record] : current.software())
    for (const std::string &it : record.Versions) {
      RecordSoftware command{.Service = service, .Software = it};
      const auto known = LastSeenAt.find(command);
      const bool seen =
          !complete || known == LastSeenAt.end() || stated.contains(command);
      const TimePoint at = seen ? now : known->second;
      lastSeenAt.emplace(command, at);
      command.Retired = true;
      // It may have left up to a period after it was last seen.
      if (now >= at + Options.Period + Options.Retention &&
          !Proposed.contains(command))
        commands.push_back(std::move(command));
    }
  LastSeenAt = std::move(lastSeenAt);
  return commands;
}

} // namespace pimentofront
