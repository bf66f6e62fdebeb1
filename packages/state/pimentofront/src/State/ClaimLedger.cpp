#include "pimentofront/State.h"

namespace pimentofront {

void ClaimLedger::removeExpired(std::uint64_t wallMilliseconds) {
  const std::uint64_t retention =
      Options.RetentionMilliseconds + Options.ClockSkewMilliseconds;
  while (!ByIssueTime.empty() &&
         ByIssueTime.begin()->first + retention < wallMilliseconds) {
    Claims.erase(ByIssueTime.begin()->second);
    ByIssueTime.erase(ByIssueTime.begin());
  }
}

void ClaimLedger::insertClaim(const ClaimKey &key, const ClaimRecord &record) {
  const auto [it, isNew] = Claims.insert_or_assign(key, record);
  if (isNew)
    ByIssueTime.emplace(record.IssuedAtMilliseconds, key);
}

CommandOutcome ClaimLedger::claim(std::uint64_t wallMilliseconds,
                                  const ClaimRequest &request) {
  removeExpired(wallMilliseconds);
  const std::uint64_t issued = request.IssuedAtMilliseconds;
  if (issued + Options.RetentionMilliseconds < wallMilliseconds)
    return {.Result = CommandResult::Invalid,
            .Detail = "issued too long ago to be sent again"};
  if (issued > wallMilliseconds + Options.ClockSkewMilliseconds)
    return {.Result = CommandResult::Invalid,
            .Detail = "issued in the future: check the caller's clock"};
  const ClaimKey key{request.Caller, request.Request};
  const auto it = Claims.find(key);
  if (it != Claims.end()) {
    const CommandOutcome outcome =
        outcomeOfResend(wallMilliseconds, it->second, request);
    const bool released = it->second.Ended &&
                          it->second.Ending == ClaimEnding::NotRun &&
                          it->second.Holder != request.Holder;
    if (!released || outcome.Result != CommandResult::Accepted)
      return outcome;
  }
  insertClaim(key, {.Caller = request.Caller,
                    .Request = request.Request,
                    .ContentHash = request.ContentHash,
                    .Holder = request.Holder,
                    .ClaimedAtMilliseconds = wallMilliseconds,
                    .IssuedAtMilliseconds = issued});
  return {};
}

CommandOutcome ClaimLedger::outcomeOfResend(std::uint64_t wallMilliseconds,
                                            const ClaimRecord &known,
                                            const ClaimRequest &request) const {
  const bool withdrawn = known.Ended && known.Ending == ClaimEnding::NotRun;
  if (withdrawn && known.Holder == request.Holder)
    return {.Result = CommandResult::Invalid,
            .Detail = "this attempt has withdrawn its claim"};
  if (withdrawn)
    return {};
  if (known.ContentHash != request.ContentHash ||
      known.IssuedAtMilliseconds != request.IssuedAtMilliseconds)
    return {.Result = CommandResult::IdReused,
            .Detail = "the request id was used with other contents"};
  if (known.Ended && known.Ending == ClaimEnding::Answered)
    return {.Result = CommandResult::AlreadyAnswered, .Answer = known.Answer};
  if (known.Ended)
    return {.Result = CommandResult::AlreadyUnknown};
  if (known.Holder == request.Holder)
    return {}; // The same attempt asks again because the reply was lost.
  const bool abandoned =
      known.ClaimedAtMilliseconds + Options.AbandonTimeoutMilliseconds <
      wallMilliseconds;
  return {.Result = abandoned ? CommandResult::AlreadyUnknown
                              : CommandResult::InProgress};
}

CommandOutcome ClaimLedger::end(std::uint64_t wallMilliseconds,
                                const RecordEnding &ending) {
  const ClaimKey key{ending.Caller, ending.Request};
  const auto it = Claims.find(key);
  if (it == Claims.end()) {
    // The withdrawal may overtake its claim, which must not be granted when it
    // arrives afterwards.
    if (ending.Ending == ClaimEnding::NotRun)
      insertClaim(key, {.Caller = ending.Caller,
                        .Request = ending.Request,
                        .Holder = ending.Holder,
                        .Ended = true,
                        .Ending = ClaimEnding::NotRun,
                        .ClaimedAtMilliseconds = wallMilliseconds,
                        .IssuedAtMilliseconds = wallMilliseconds});
    return {.Result = CommandResult::NotFound};
  }
  ClaimRecord &claim = it->second;
  if (claim.Holder != ending.Holder || claim.Ended)
    return {.Result = CommandResult::Conflict};
  claim.Ended = true;
  claim.Ending = ending.Ending;
  claim.Answer = ending.Answer;
  return {};
}

void ClaimLedger::restore(const ClaimRecord &record) {
  insertClaim({record.Caller, record.Request}, record);
}

} // namespace pimentofront
