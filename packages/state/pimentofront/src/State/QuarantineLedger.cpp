#include "pimentofront/State.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Server crashes stored per request: those that decide on the quarantine, and
/// a few whose reports were under way at that time.
constexpr std::size_t MaxStoredExits = 8;

const ServerExit *findExit(const QuarantineRecord &record,
                           const ServerProcess &server) {
  const auto it =
      std::ranges::find_if(record.Exits, [&](const ServerExit &crash) {
        return mayBeSameProcess(crash.Server, server);
      });
  return it == record.Exits.end() ? nullptr : &*it;
}

} // namespace

QuarantineState stateOf(const QuarantineRecord &record) {
  return record.Quarantined ? QuarantineState::Quarantined
                            : QuarantineState::Watched;
}

PartNotice noticeOf(const PartRecord &record) {
  return {.Part = record.Part,
          .State = record.State,
          .With = record.With,
          .Exits = static_cast<std::uint32_t>(record.Exits.size())};
}

const QuarantineRecord *
QuarantineLedger::find(const ContentHash &content) const {
  const auto it = Records.find(content);
  return it == Records.end() ? nullptr : &it->second;
}

void QuarantineLedger::markChanged(QuarantineRecord &record) {
  record.ChangedAt = ++Version;
}

void QuarantineLedger::remove(const ContentHash &content) {
  if (Records.erase(content) > 0)
    addRemoval(content);
}

void QuarantineLedger::addRemoval(const ContentHash &content) {
  Removals.push_back({content, ++Version});
  if (Removals.size() <= Options.MaxRemovals)
    return;
  DroppedRemovalsVersion = Removals.front().At;
  Removals.pop_front();
}

void QuarantineLedger::addPartRemovals() {
  for (const ContentHash &it : PartRecords.takeRemoved())
    addRemoval(it);
}

/// At full capacity, removes the watched request whose last change is the
/// oldest, or a quarantined one if there is no watched one.
void QuarantineLedger::evictOldest() {
  if (Records.size() < Options.Capacity)
    return;
  const auto rank = [](const auto &it) {
    return std::pair(it.second.Quarantined, it.second.ChangedAt);
  };
  const auto it = std::ranges::min_element(Records, {}, rank);
  remove(it->first);
}

//===----------------------------------------------------------------------===//
// Server crashes
//===----------------------------------------------------------------------===//

CommandOutcome QuarantineLedger::report(const ReportServerExit &crash) {
  for (const InFlightRequest &it : crash.RequestsInFlight)
    addExit(crash.Server, it);
  PartRecords.report(++Version, crash);
  addPartRemovals();
  return {.At = Version};
}

CommandOutcome
QuarantineLedger::recordSurvivors(const ReportSurvivors &survivors) {
  PartRecords.recordSurvivors(++Version, survivors);
  addPartRemovals();
  return {.At = Version};
}

/// \returns whether the crash of \p server is already counted in \p record.
///
/// A process that had crashed before a trial was granted can't have crashed by
/// that trial: the report is about a later process of the same name, of which
/// the entry didn't know yet, so it counts as another crash. Before this rule,
/// twelve servers crashed in place of five where processes keep their names and
/// restart within some hundred milliseconds.
bool QuarantineLedger::isKnownExit(const QuarantineRecord &record,
                                   const ServerProcess &server,
                                   bool duringTrial) {
  const ServerExit *crash = findExit(record, server);
  const bool beforeTrial =
      crash && crash - record.Exits.data() <
                   static_cast<std::ptrdiff_t>(record.ExitsAtGrant);
  return crash && !(duringTrial && beforeTrial);
}

void QuarantineLedger::addExit(const ServerProcess &server,
                               const InFlightRequest &request) {
  if (!Records.contains(request.Content))
    evictOldest();
  QuarantineRecord &record = Records[request.Content];
  record.Content = request.Content;
  const bool duringTrial =
      request.Holder != AttemptId() && record.Holder == request.Holder;
  const bool isNew = !isKnownExit(record, server, duringTrial);
  if (duringTrial)
    record.Holder = AttemptId();
  if (isNew && record.Exits.size() < MaxStoredExits)
    record.Exits.push_back({server, request.Answering});
  // It was released from quarantine for a trial and has crashed another server.
  if (isNew && record.Quarantines > 0 && !record.Quarantined)
    return putInQuarantine(record);
  markChanged(record);
}

bool QuarantineLedger::isSoleSuspect(const QuarantineRecord &record,
                                     const ServerExit &crash) const {
  if (crash.Answering)
    return false;
  return std::ranges::none_of(Records, [&](const auto &it) {
    const ServerExit *other = findExit(it.second, crash.Server);
    return it.first != record.Content && other && !other->Answering;
  });
}

bool QuarantineLedger::shouldQuarantine(const QuarantineRecord &record) const {
  if (record.TrialsAfterThreshold >= Options.MaxTrialsAfterThreshold)
    return true;
  if (record.Quarantines > 0 || record.Exits.size() < Options.ExitsToQuarantine)
    return false;
  if (record.Exits.size() >= Options.MaxExits)
    return true;
  return std::ranges::any_of(record.Exits, [&](const ServerExit &it) {
    return isSoleSuspect(record, it);
  });
}

void QuarantineLedger::putInQuarantine(QuarantineRecord &record) {
  record.Quarantined = true;
  record.Holder = AttemptId();
  ++record.Quarantines;
  markChanged(record);
}

//===----------------------------------------------------------------------===//
// Trials
//===----------------------------------------------------------------------===//

CommandOutcome QuarantineLedger::claim(const ClaimTrial &trial) {
  const auto it = Records.find(trial.Content);
  if (it == Records.end())
    return {.Result = PartRecords.claim(trial), .At = Version};
  QuarantineRecord &record = it->second;
  if (record.Holder != AttemptId() && record.Holder != trial.Holder)
    return {.Result = CommandResult::InProgress, .At = Version};
  if (!record.Quarantined && shouldQuarantine(record))
    putInQuarantine(record);
  if (record.Quarantined)
    return {.Result = CommandResult::Quarantined, .At = Version};
  // When the same attempt asks again because the reply was lost, it is still
  // one trial.
  const bool isNew = record.Holder != trial.Holder;
  record.Holder = trial.Holder;
  record.MaxTrialDuration = trial.MaxTrialDuration;
  record.ExitsAtGrant = static_cast<std::uint32_t>(record.Exits.size());
  const bool afterThreshold = record.Exits.size() >= Options.ExitsToQuarantine;
  if (isNew && afterThreshold)
    ++record.TrialsAfterThreshold;
  return {.At = Version};
}

CommandOutcome QuarantineLedger::end(const EndTrial &trial) {
  const auto it = Records.find(trial.Content);
  if (it == Records.end() && PartRecords.find(trial.Content)) {
    PartRecords.end(++Version, trial);
    addPartRemovals();
    return {.At = Version};
  }
  if (it == Records.end())
    return {.Result = CommandResult::NotFound, .At = Version};
  if (trial.Ending == TrialEnding::Survived) {
    remove(trial.Content);
    return {.At = Version};
  }
  QuarantineRecord &record = it->second;
  if (record.Holder != trial.Holder)
    return {.Result = CommandResult::Conflict, .At = Version};
  record.Holder = AttemptId();
  if (trial.Ending == TrialEnding::NotRun && record.TrialsAfterThreshold > 0)
    --record.TrialsAfterThreshold;
  return {.At = Version};
}

//===----------------------------------------------------------------------===//
// Review of unchanged records
//===----------------------------------------------------------------------===//

CommandOutcome QuarantineLedger::review(const ReviewQuarantine &review) {
  for (const DueRecord &due : review.Due) {
    if (PartRecords.find(due.Content))
      PartRecords.expire(++Version, due);
    else
      reviewRequest(due);
  }
  if (PartRecords.decide(Version + 1, review.PartCandidates))
    ++Version;
  addPartRemovals();
  return {.At = Version};
}

void QuarantineLedger::reviewRequest(const DueRecord &due) {
  const auto it = Records.find(due.Content);
  if (it == Records.end() || it->second.ChangedAt != due.ChangedAt ||
      it->second.Holder != due.Holder)
    return;
  QuarantineRecord &record = it->second;
  if (record.Holder != AttemptId()) {
    record.Holder = AttemptId();
  } else if (record.Quarantined) {
    // The servers may have been repaired: allow one trial.
    record.Quarantined = false;
    record.TrialsAfterThreshold = 0;
    markChanged(record);
  } else {
    remove(due.Content);
  }
}

CommandOutcome QuarantineLedger::release(const ReleaseQuarantine &release) {
  if (PartRecords.remove(release.Content)) {
    addPartRemovals();
    return {.At = Version};
  }
  if (!Records.contains(release.Content))
    return {.Result = CommandResult::NotFound,
            .At = Version,
            .Detail = "no such request or prompt part is suspected or in "
                      "quarantine"};
  remove(release.Content);
  return {.At = Version};
}

//===----------------------------------------------------------------------===//
// Updates for entries, and snapshots
//===----------------------------------------------------------------------===//

std::optional<QuarantineUpdate>
QuarantineLedger::updateSince(std::uint64_t known) const {
  if (known >= Version)
    return std::nullopt;
  QuarantineUpdate update{.Full = known < DroppedRemovalsVersion,
                          .To = Version};
  for (const auto &[content, it] : Records)
    if (update.Full || it.ChangedAt > known)
      update.Notices.push_back({content, stateOf(it)});
  for (const auto &[id, it] : PartRecords.records())
    if (update.Full || it.ChangedAt > known)
      update.Parts.push_back(noticeOf(it));
  if (update.Full)
    return update;
  for (const Removal &it : Removals)
    if (it.At > known && !Records.contains(it.Content) &&
        !PartRecords.find(it.Content))
      update.Notices.push_back({it.Content, QuarantineState::Clear});
  return update;
}

void QuarantineLedger::restore(const QuarantineRecord &record) {
  Records[record.Content] = record;
}

void QuarantineLedger::restoreVersion(std::uint64_t version) {
  Version = version;
  DroppedRemovalsVersion = version;
}

} // namespace pimentofront
