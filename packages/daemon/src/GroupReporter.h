#ifndef PIMENTOFRONT_DAEMON_GROUP_REPORTER_H
#define PIMENTOFRONT_DAEMON_GROUP_REPORTER_H

#include "EventLog.h"
#include "pimentofront/Node.h"

namespace pimentofront {

/// \class GroupReporter
/// \brief Logs what a replica knows of its group whenever that changes: who
/// votes, which members are silent, whether another loss could be borne, and
/// why there is no leader.
class GroupReporter {
public:
  explicit GroupReporter(EventLog &log) : Log(log) {}

  void report(TimePoint now, const ReplicaNode &replica);
  /// Forgets what was logged, when the replica is closed.
  void reset() { Logged = {}; }

private:
  /// A line is logged when one of these differs from the last line's.
  struct GroupState {
    LogRole Role = LogRole::Follower;
    pimentofront::Term Term = 0;
    HostName Leader;
    std::string Group;
    std::string Silent;
    std::optional<int> SpareVoters;
    friend bool operator==(const GroupState &, const GroupState &) = default;
  };
  /// What was logged last.
  struct LoggedLines {
    GroupState Group;
    bool Leads = false;
    /// The answers in the last line about a missing leader, and when the next
    /// one is due.
    std::string Answers;
    TimePoint NextMissingLeaderLine;
  };
  void reportState(const ReplicatedLog &log, const GroupStatus &status);
  void reportLeadership(TimePoint now, const ReplicatedLog &log);
  void reportMissingLeader(TimePoint now, const ReplicatedLog &log,
                           const GroupStatus &status);

  EventLog &Log;
  LoggedLines Logged;
};

} // namespace pimentofront

#endif
