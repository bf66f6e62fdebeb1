#ifndef PIMENTOFRONT_STATE_MEMBER_TABLE_H
#define PIMENTOFRONT_STATE_MEMBER_TABLE_H

#include "pimentofront/Wire.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace pimentofront {

/// \class MemberTableOptions
/// \ingroup State
struct MemberTableOptions {
  /// A host that isn't heard of for so long is gone.
  Duration Lease = std::chrono::seconds(6);
  /// Changes kept for those who missed a few.
  std::size_t ChangesKept = 1024;
  /// How long a goodbye is remembered, against announcements that come late.
  Duration GoodbyeKept = std::chrono::seconds(60);
  /// A process whose address another one has taken gets it back when it has
  /// announced itself twice, so far apart, and the other one is silent: late
  /// announcements come together.
  Duration TakeBackAfter = std::chrono::milliseconds(500);
};

/// \class MemberTable
/// \ingroup State
/// \brief The hosts that have announced themselves to the leader, and the
/// stream of changes. Soft state: a new leader starts with an empty table, and
/// calls it complete when it has led for a whole lease.
///
/// An address belongs to one process that registers itself, the one that was
/// heard of first last: a former one that is heard of once more is late.
///
/// Also the copy of it that followers and entries keep: apply() takes changes.
class MemberTable {
public:
  explicit MemberTable(const MemberTableOptions &options = {})
      : Options(options) {}

  /// This process became the leader: all must announce themselves anew.
  void beginTerm(TimePoint now, std::uint64_t term);
  /// \param sequence grows with each announcement of one process, where its
  /// announcements may overtake one another; 0 where they can't.
  /// \returns false for an announcement that came late: a newer one is known,
  /// or the process has said goodbye. It changes nothing.
  bool announce(TimePoint now, const MemberRecord &member,
                std::uint64_t sequence = 0);
  /// \returns whether the host is known under this incarnation.
  bool renew(TimePoint now, const HostName &host, std::uint64_t incarnation);
  /// \returns hosts whose lease ran out just now.
  std::vector<HostName> expire(TimePoint now);

  /// \returns what a holder of \p known lacks; nothing if it lacks nothing.
  std::optional<MemberUpdate> updateSince(const MemberVersion &known) const;
  /// Takes an update from the leader.
  /// \returns false when something is missing before it.
  bool apply(const MemberUpdate &update);

  MemberVersion version() const { return Version; }
  bool complete() const { return Complete; }
  const std::map<HostName, MemberRecord> &members() const { return Members; }

private:
  struct Goodbye {
    std::uint64_t Incarnation = 0;
    TimePoint At;
  };
  /// A process whose address another one has taken.
  struct Displaced {
    HostName By;
    TimePoint At;
    /// Its first announcement since then.
    std::optional<TimePoint> CalledAt;
  };
  void change(const MemberRecord &member);
  /// \returns whether another process took the address of \p member, and this
  /// announcement doesn't prove that it is the one that lives.
  bool isDisplaced(TimePoint now, const MemberRecord &member);
  /// Whoever had the address of \p member before has ended.
  void displaceOthers(TimePoint now, const MemberRecord &member);
  bool cameLate(TimePoint now, const MemberRecord &member,
                std::uint64_t sequence);

  MemberTableOptions Options;
  MemberVersion Version;
  bool Complete = false;
  TimePoint TermBegan;
  std::map<HostName, MemberRecord> Members;
  std::map<HostName, TimePoint> HeardAt;
  std::map<HostName, std::uint64_t> Sequences;
  std::map<HostName, Goodbye> Goodbyes;
  std::map<HostName, Displaced> DisplacedMembers;
  /// The last changes; the newest has the sequence of `Version`.
  std::deque<MemberRecord> Changes;
};

} // namespace pimentofront

#endif
