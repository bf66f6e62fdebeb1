#include "pimentofront/Node.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Time within which a change that an answer names reaches every subscriber: a
/// few push periods at the leader and at a follower, and the delay of a busy
/// host.
constexpr Duration UpdateDelay = std::chrono::milliseconds(800);
/// Time after which another replica is followed, if subscribing again didn't
/// help.
constexpr Duration LeaveDelay = std::chrono::seconds(2);
/// The delay doubles with each replica that was left, up to this often: while
/// all replicas are sending large configurations, changing doesn't help.
constexpr std::uint32_t MaxLeaveDoublings = 2;
/// A process that wasn't called for this time was suspended, and what is under
/// way to it has not been read yet.
constexpr Duration SuspendGap = std::chrono::milliseconds(500);

} // namespace

void FollowWatch::restart(TimePoint now) {
  Awaited.reset();
  Newest.reset();
  Renewed = false;
  LastAnsweredAt = now;
  LastCheckedAt = now;
}

void FollowWatch::onAnswer(TimePoint now, TimePoint probeSentAt,
                           const FollowedVersions &named) {
  LastAnsweredAt = now;
  Newest = {named, probeSentAt};
  if (Awaited)
    return;
  Awaited = Newest;
  AwaitedSince = now;
}

void FollowWatch::onConfiguration(TimePoint now) {
  LastAnsweredAt = now;
  AwaitedSince = now;
}

void FollowWatch::onHeld(TimePoint now, const FollowedVersions &held) {
  if (!Awaited || !held.reach(Awaited->Named))
    return;
  const bool all = held.reach(Newest->Named);
  const TimePoint asOf = all ? Newest->ProbeSentAt : Awaited->ProbeSentAt;
  CurrentAsOf = CurrentAsOf ? std::max(*CurrentAsOf, asOf) : asOf;
  Renewed = false;
  LeftBehind = 0;
  AwaitedSince = now;
  Awaited = Newest;
  if (all)
    Awaited.reset();
}

Duration FollowWatch::leaveDelay() const {
  return LeaveDelay * (1U << std::min(LeftBehind, MaxLeaveDoublings));
}

FollowWatch::Verdict FollowWatch::check(TimePoint now) {
  if (now >= LastCheckedAt + SuspendGap) {
    AwaitedSince = now;
    LastAnsweredAt = now;
  }
  LastCheckedAt = now;
  if (now >= LastAnsweredAt + AnswerTimeout)
    return Verdict::LeaveUnanswered;
  if (!Awaited || now < AwaitedSince + UpdateDelay)
    return Verdict::Stands;
  if (now >= AwaitedSince + leaveDelay()) {
    ++LeftBehind;
    return Verdict::LeaveBehind;
  }
  if (Renewed)
    return Verdict::Stands;
  Renewed = true;
  return Verdict::Renew;
}

} // namespace pimentofront
