#ifndef PIMENTOFRONT_CONSENSUS_GROUP_STATUS_H
#define PIMENTOFRONT_CONSENSUS_GROUP_STATUS_H

#include "pimentofront/Wire.h"

#include <optional>
#include <vector>

namespace pimentofront {

/// \class MemberStatus
/// \ingroup Consensus
/// \brief A member of the replica group, as another one sees it.
struct MemberStatus {
  ReplicaDescriptor Replica;
  /// Index up to which its log is known to be the leader's. Known to the leader
  /// only; 0 elsewhere.
  LogIndex Match = 0;
  /// The leader has had a reply within an election timeout. Always true
  /// elsewhere.
  bool Replies = true;
  /// Its answer to the election that this replica holds.
  VoteAnswer Answer = VoteAnswer::None;
  friend auto operator<=>(const MemberStatus &, const MemberStatus &) = default;
};

/// \class GroupStatus
/// \ingroup Consensus
/// \brief What one replica knows of its group, for operators: who votes, who is
/// counted on, whether a loss could be borne, and why there is no leader.
struct GroupStatus {
  /// By the log of this replica, which the group's later changes may be missing
  /// from.
  std::vector<MemberStatus> Members;
  std::uint32_t Voters = 0;
  std::uint32_t Learners = 0;
  /// Members that don't reply to the leader.
  std::uint32_t Silent = 0;
  /// Number of voters that may be lost with a majority left; negative if there
  /// is none. Known to the leader only.
  std::optional<int> SpareVoters;
  bool IsMember = false;
  bool IsVoter = false;
  /// How long this replica has known no leader; zero if it knows one.
  Duration WithoutLeader = Duration::zero();
  friend auto operator<=>(const GroupStatus &, const GroupStatus &) = default;
};

} // namespace pimentofront

#endif
