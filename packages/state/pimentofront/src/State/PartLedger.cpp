#include "pimentofront/State.h"

#include <algorithm>

namespace pimentofront {
namespace {

bool contains(const std::vector<ContentHash> &parts, const ContentHash &id) {
  return std::ranges::find(parts, id) != parts.end();
}

bool contains(const std::vector<SharedPart> &parts, const ContentHash &id) {
  return std::ranges::find(parts, id, &SharedPart::Id) != parts.end();
}

/// \returns the last exit that may be that of \p server: processes that keep
/// their names may exit again.
const PartExit *findExit(const PartRecord &record,
                         const ServerProcess &server) {
  const auto it = std::find_if(record.Exits.rbegin(), record.Exits.rend(),
                               [&](const PartExit &exit) {
                                 return mayBeSameProcess(exit.Server, server);
                               });
  return it == record.Exits.rend() ? nullptr : &*it;
}

std::size_t commonExits(const PartRecord &a, const PartRecord &b) {
  return static_cast<std::size_t>(
      std::ranges::count_if(a.Exits, [&](const PartExit &it) {
        return findExit(b, it.Server) != nullptr;
      }));
}

/// Compares Ochiai's coefficients, without division and roots.
bool explainsMore(const PartRecord &a, const PartRecord &b) {
  const std::uint64_t exitsOfA = a.Exits.size();
  const std::uint64_t exitsOfB = b.Exits.size();
  return exitsOfA * exitsOfA * b.Requests > exitsOfB * exitsOfB * a.Requests;
}

bool servedBy(const PartRecord &record, const ServiceName &service) {
  return std::ranges::find(record.Services, service) != record.Services.end();
}

void subtract(std::uint32_t &score, std::uint32_t n) {
  score -= std::min(score, n);
}

} // namespace

const PartRecord *PartLedger::find(const ContentHash &id) const {
  const auto it = Records.find(id);
  return it == Records.end() ? nullptr : &it->second;
}

bool PartLedger::remove(const ContentHash &id) {
  if (Records.erase(id) == 0)
    return false;
  Removed.push_back(id);
  return true;
}

std::vector<ContentHash> PartLedger::takeRemoved() {
  return std::exchange(Removed, {});
}

/// At full capacity, removes the record with the least evidence.
void PartLedger::evictWeakest() {
  if (Records.size() < Options.Capacity)
    return;
  const auto rank = [](const auto &it) {
    return std::tuple(it.second.State != PartState::Accused, it.second.Score,
                      it.second.ChangedAt);
  };
  const auto it = std::ranges::min_element(Records, {}, rank);
  remove(ContentHash(it->first));
}

//===----------------------------------------------------------------------===//
// Server exits
//===----------------------------------------------------------------------===//

void PartLedger::report(std::uint64_t version, const ReportServerExit &crash) {
  for (const InFlightRequest &request : crash.RequestsInFlight) {
    if (request.Answering)
      continue;
    for (const SharedPart &it : request.Shared.Parts)
      addExit(version, crash.Server, request, it);
  }
  if (isExplained(crash.Server))
    markExplained(crash.Server);
}

/// Narrows down which parts all accused requests with this one have in common.
PartRecord &PartLedger::accuse(std::uint64_t version,
                               const InFlightRequest &request,
                               const SharedPart &part) {
  const bool isNew = !Records.contains(part.Id);
  if (isNew)
    evictWeakest();
  PartRecord &record = Records[part.Id];
  const auto isOther = [&](const SharedPart &it) {
    return !contains(request.Shared.Parts, it.Id);
  };
  if (isNew) {
    record = {.Part = part,
              .Account = request.Shared.Account,
              .With = request.Shared.Parts,
              .ChangedAt = version};
    std::erase(record.With, part);
  } else if (std::erase_if(record.With, isOther) > 0) {
    record.ChangedAt = version;
  }
  ++record.Requests;
  if (!servedBy(record, request.Shared.Service))
    record.Services.push_back(request.Shared.Service);
  return record;
}

void PartLedger::addExit(std::uint64_t version, const ServerProcess &server,
                         const InFlightRequest &request,
                         const SharedPart &part) {
  const std::uint64_t known = request.Shared.KnownVersion;
  PartRecord &record = accuse(version, request, part);
  // A request that was sent when the exit was known ran on a later process of
  // the same name.
  const PartExit *exit = findExit(record, server);
  if (exit && known < exit->ReportedAt)
    return;
  if (record.Exits.size() < Options.MaxStoredExits)
    record.Exits.push_back({.Server = server, .ReportedAt = version});
  record.ChangedAt = version;
  if (known >= record.CountedAt) {
    ++record.Score;
    record.CountedAt = version;
  }
  if (record.State == PartState::OnTrial)
    putInQuarantine(version, record);
}

bool PartLedger::isExplained(const ServerProcess &server) const {
  return std::ranges::any_of(Records, [&](const auto &it) {
    return it.second.State != PartState::Accused && findExit(it.second, server);
  });
}

void PartLedger::markExplained(const ServerProcess &server) {
  for (auto &[id, it] : Records)
    if (it.State == PartState::Accused)
      for (PartExit &exit : it.Exits)
        exit.Explained =
            exit.Explained || mayBeSameProcess(exit.Server, server);
}

//===----------------------------------------------------------------------===//
// Survivors
//===----------------------------------------------------------------------===//

void PartLedger::recordSurvivors(std::uint64_t version,
                                 const ReportSurvivors &report) {
  for (const SurvivedRequest &request : report.Requests) {
    std::vector<ContentHash> ids;
    for (const auto &[id, it] : Records)
      if (servedBy(it, request.Service))
        ids.push_back(id);
    for (const ContentHash &it : ids)
      recordSurvivor(version, Records.at(it), request.Parts);
  }
}

void PartLedger::recordSurvivor(std::uint64_t version, PartRecord &record,
                                const std::vector<ContentHash> &survived) {
  const auto hasSurvived = [&](const SharedPart &it) {
    return contains(survived, it.Id);
  };
  const bool hasPart = contains(survived, record.Part.Id);
  const bool hasAll = hasPart && std::ranges::all_of(record.With, hasSurvived);
  if (hasAll || (hasPart && record.State == PartState::Accused))
    return lowerScore(record);
  if (std::erase_if(record.With, hasSurvived) > 0)
    record.ChangedAt = version;
  if (hasPart)
    moveToCompanion(version, record);
}

void PartLedger::lowerScore(PartRecord &record) {
  subtract(record.Score, Options.SurvivorWeight);
  if (record.Score == 0)
    remove(ContentHash(record.Part.Id));
}

/// A request with the part, but without some of its companions, has survived:
/// the companions alone explain the exits.
void PartLedger::moveToCompanion(std::uint64_t version,
                                 const PartRecord &record) {
  PartRecord moved = record;
  remove(ContentHash(record.Part.Id));
  moved.Part = moved.With.front();
  moved.With.erase(moved.With.begin());
  moved.ChangedAt = version;
  Records[moved.Part.Id] = std::move(moved);
}

//===----------------------------------------------------------------------===//
// Quarantine
//===----------------------------------------------------------------------===//

bool PartLedger::mayDecideOn(const PartRecord &record) const {
  const auto unexplained =
      std::ranges::count(record.Exits, false, &PartExit::Explained);
  return record.State == PartState::Accused &&
         record.Exits.size() >= Options.QuarantineExits &&
         unexplained >= Options.UnexplainedExits &&
         record.Score >= Options.QuarantineScore;
}

bool PartLedger::decide(std::uint64_t version,
                        const std::vector<ContentHash> &candidates) {
  const PartRecord *best = bestCandidate(candidates);
  if (!best)
    return false;
  putInQuarantine(version, Records.at(best->Part.Id));
  return true;
}

const PartRecord *
PartLedger::bestCandidate(const std::vector<ContentHash> &candidates) const {
  const PartRecord *best = nullptr;
  for (const ContentHash &id : candidates) {
    const PartRecord *it = find(id);
    if (!it || !mayDecideOn(*it) || isDominated(*it))
      continue;
    if (!best || explainsMore(*it, *best))
      best = it;
  }
  return best;
}

bool PartLedger::isDominated(const PartRecord &record) const {
  const bool mayTie = record.Exits.size() >= Options.TiedExits;
  return std::ranges::any_of(Records, [&](const auto &it) {
    const PartRecord &other = it.second;
    if (it.first == record.Part.Id || other.State != PartState::Accused ||
        2 * commonExits(record, other) <= record.Exits.size())
      return false;
    const bool tied = other.Score >= record.Score &&
                      !explainsMore(record, other) &&
                      !contains(record.With, other.Part.Id);
    return explainsMore(other, record) || (tied && !mayTie);
  });
}

void PartLedger::putInQuarantine(std::uint64_t version, PartRecord &record) {
  record.State = PartState::Quarantined;
  record.Holder = AttemptId();
  ++record.Quarantines;
  record.ChangedAt = version;
  for (const PartExit &it : record.Exits)
    markExplained(it.Server);
}

//===----------------------------------------------------------------------===//
// Trials
//===----------------------------------------------------------------------===//

CommandResult PartLedger::claim(const ClaimTrial &trial) {
  const auto it = Records.find(trial.Content);
  if (it == Records.end() || it->second.State == PartState::Accused)
    return CommandResult::NotFound;
  PartRecord &record = it->second;
  if (record.State == PartState::Quarantined)
    return CommandResult::Quarantined;
  if (record.Holder != AttemptId() && record.Holder != trial.Holder)
    return CommandResult::InProgress;
  record.Holder = trial.Holder;
  record.MaxTrialDuration = trial.MaxTrialDuration;
  return CommandResult::Accepted;
}

void PartLedger::end(std::uint64_t version, const EndTrial &trial) {
  const auto it = Records.find(trial.Content);
  if (it == Records.end() || it->second.State != PartState::OnTrial ||
      it->second.Holder != trial.Holder)
    return;
  switch (trial.Ending) {
  case TrialEnding::Survived:
    remove(trial.Content);
    break;
  case TrialEnding::Unclear:
    putInQuarantine(version, it->second);
    break;
  case TrialEnding::NotRun:
    it->second.Holder = AttemptId();
    break;
  }
}

void PartLedger::expire(std::uint64_t version, const DueRecord &due) {
  const auto it = Records.find(due.Content);
  if (it == Records.end() || it->second.ChangedAt != due.ChangedAt ||
      it->second.Holder != due.Holder)
    return;
  PartRecord &record = it->second;
  if (record.Holder != AttemptId())
    return putInQuarantine(version, record);
  if (record.State != PartState::Quarantined)
    return void(remove(due.Content));
  // The servers may have been repaired: allows one trial.
  record.State = PartState::OnTrial;
  record.ChangedAt = version;
}

} // namespace pimentofront
