#include "GroupReporter.h"

namespace pimentofront {
namespace {

/// An election usually ends before this time; a later one is reported.
constexpr Duration ExpectedElection = std::chrono::seconds(1);
/// Interval of the lines about a missing leader while the answers stay the
/// same. Changed answers are logged at least `MinLineInterval` apart.
constexpr Duration LineInterval = std::chrono::seconds(10);
constexpr Duration MinLineInterval = std::chrono::seconds(1);

const char *roleName(LogRole role) {
  constexpr const char *Names[] = {"follower", "candidate", "leader"};
  return Names[static_cast<std::size_t>(role)];
}

const char *answerName(VoteAnswer answer) {
  constexpr const char *Names[] = {"no answer",    "granted",
                                   "leader known", "started recently",
                                   "log behind",   "other term or vote"};
  const auto i = static_cast<std::size_t>(answer);
  return i < std::size(Names) ? Names[i] : "unknown";
}

void appendWord(std::string &text, const std::string &word) {
  text += (text.empty() ? "" : " ") + word;
}

/// \returns the hosts of the group, each with whether it only learns.
std::string groupText(const GroupStatus &status) {
  std::string text;
  for (const MemberStatus &it : status.Members)
    appendWord(text, it.Replica.Host.str() +
                         (it.Replica.Learner ? " (learner)" : ""));
  return text;
}

std::string silentText(const GroupStatus &status) {
  std::string text;
  for (const MemberStatus &it : status.Members)
    if (!it.Replies)
      appendWord(text, it.Replica.Host.str());
  return text;
}

std::string matchText(const GroupStatus &status) {
  std::string text;
  for (const MemberStatus &it : status.Members)
    appendWord(text, it.Replica.Host.str() + "=" + std::to_string(it.Match));
  return text;
}

std::string answersText(const GroupStatus &status, ReplicaId self) {
  std::string text;
  for (const MemberStatus &it : status.Members)
    if (!it.Replica.Learner && it.Replica.Id != self)
      text += (text.empty() ? "" : ", ") + it.Replica.Host.str() + ": " +
              answerName(it.Answer);
  return text;
}

const char *partName(const GroupStatus &status) {
  if (!status.IsMember)
    return "none";
  return status.IsVoter ? "voter" : "learner";
}

} // namespace

void GroupReporter::report(TimePoint now, const ReplicaNode &replica) {
  const ReplicatedLog &log = replica.log();
  const GroupStatus status = log.status(now);
  reportState(log, status);
  reportLeadership(now, log);
  reportMissingLeader(now, log, status);
}

void GroupReporter::reportState(const ReplicatedLog &log,
                                const GroupStatus &status) {
  const ReplicaDescriptor *leader = log.leader();
  const GroupState state{.Role = log.role(),
                         .Term = log.term(),
                         .Leader = leader ? leader->Host : HostName(),
                         .Group = groupText(status),
                         .Silent = silentText(status),
                         .SpareVoters = status.SpareVoters};
  if (state == Logged.Group)
    return;
  Logged.Group = state;
  const std::string spare =
      state.SpareVoters ? std::to_string(*state.SpareVoters) : "unknown";
  Log.write(LogLevel::Info, "replica_state",
            {{"role", roleName(state.Role)},
             {"part", partName(status)},
             {"term", state.Term},
             {"leader", state.Leader.str()},
             {"group", state.Group},
             {"silent", state.Silent},
             {"spare_voters", spare},
             {"matched", matchText(status)},
             {"committed", log.commitIndex()},
             {"last", log.lastIndex()}});
}

void GroupReporter::reportLeadership(TimePoint now, const ReplicatedLog &log) {
  const bool leads = log.holdsLease(now);
  if (leads != Logged.Leads)
    Log.write(LogLevel::Info, leads ? "leader_began" : "leader_ended",
              {{"term", log.term()}});
  Logged.Leads = leads;
}

/// Logs while there is no leader, with the answers to the current election.
void GroupReporter::reportMissingLeader(TimePoint now, const ReplicatedLog &log,
                                        const GroupStatus &status) {
  if (status.WithoutLeader < ExpectedElection) {
    Logged.Answers.clear();
    Logged.NextMissingLeaderLine = TimePoint();
    return;
  }
  const std::string answers = answersText(status, log.id());
  const bool changed = answers != Logged.Answers;
  const bool due =
      now >= Logged.NextMissingLeaderLine ||
      (changed &&
       now + LineInterval >= Logged.NextMissingLeaderLine + MinLineInterval);
  if (!due)
    return;
  Logged.Answers = answers;
  Logged.NextMissingLeaderLine = now + LineInterval;
  Log.write(LogLevel::Warn, "no_leader",
            {{"without_leader_ms", toSeconds(status.WithoutLeader) * 1000},
             {"part", partName(status)},
             {"term", log.term()},
             {"group", groupText(status)},
             {"answers", answers},
             {"committed", log.commitIndex()},
             {"last", log.lastIndex()}});
}

} // namespace pimentofront
