#ifndef PIMENTOFRONT_NODE_FOLLOW_WATCH_H
#define PIMENTOFRONT_NODE_FOLLOW_WATCH_H

#include "pimentofront/State.h"

namespace pimentofront {

/// The versions of what a process follows.
struct FollowedVersions {
  Revision Configuration = 0;
  MemberVersion Members;
  std::uint64_t Quarantine = 0;

  /// \returns whether nothing up to \p named is missing.
  bool reach(const FollowedVersions &named) const {
    return Configuration >= named.Configuration && Members >= named.Members &&
           Quarantine >= named.Quarantine;
  }
};

/// \class FollowWatch
/// \ingroup Node
/// \brief Decides whether a subscription stands: whether the replica answers
/// probes, and whether what its answers name arrives.
///
/// A replica that answers may still send no updates, because it doesn't know
/// the subscription or because its own copy doesn't move.
class FollowWatch {
public:
  enum class Verdict {
    Stands,
    /// What was named doesn't arrive: subscribe again.
    Renew,
    /// It doesn't arrive after that either: follow another replica.
    LeaveBehind,
    /// The replica doesn't answer.
    LeaveUnanswered,
  };

  /// \param answerTimeout longer than a running replica takes to answer.
  explicit FollowWatch(Duration answerTimeout) : AnswerTimeout(answerTimeout) {}

  /// The process subscribed on a new link.
  void restart(TimePoint now);
  /// A replica answered a probe sent at \p probeSentAt: the newest versions are
  /// \p named.
  void onAnswer(TimePoint now, TimePoint probeSentAt,
                const FollowedVersions &named);
  /// An update of the configuration arrived, perhaps a part of a large one.
  void onConfiguration(TimePoint now);
  /// \p held are the versions that the process has now.
  void onHeld(TimePoint now, const FollowedVersions &held);
  /// Call it at each tick while the process is subscribed.
  Verdict check(TimePoint now);

  /// \returns a time such that every change made before it is known here;
  /// nothing before the first one.
  std::optional<TimePoint> currentAsOf() const { return CurrentAsOf; }

private:
  struct Answer {
    FollowedVersions Named;
    TimePoint ProbeSentAt;
  };
  Duration leaveDelay() const;

  Duration AnswerTimeout;
  /// The answer whose versions are awaited, since AwaitedSince, and the newest
  /// one that arrived after it.
  std::optional<Answer> Awaited;
  std::optional<Answer> Newest;
  TimePoint AwaitedSince;
  TimePoint LastAnsweredAt;
  TimePoint LastCheckedAt;
  bool Renewed = false;
  /// Consecutive replicas that were left because nothing arrived.
  std::uint32_t LeftBehind = 0;
  std::optional<TimePoint> CurrentAsOf;
};

} // namespace pimentofront

#endif
