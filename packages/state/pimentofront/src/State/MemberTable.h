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
  /// The same for a backend server that registers itself, which announces
  /// itself in a time of its own; zero: the same as for hosts.
  Duration ServerLease = Duration::zero();
  /// Changes kept for those who missed a few.
  std::size_t ChangesKept = 1024;
  /// How long a goodbye is remembered, against announcements that come late.
  Duration GoodbyeKept = std::chrono::seconds(60);
  /// The same for a goodbye that names no process, only a name: it may have
  /// been a former one's, and then the one that lives is out of use for so
  /// long. Announcements come seconds late, not tens of seconds.
  Duration NamelessGoodbyeKept = std::chrono::seconds(15);
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
/// heard of first last: a former one that is heard of once more is late. So
/// does a name: a process that started later, by its own word, takes it over at
/// once, with nothing of the former one's, and one that started earlier is
/// late. Either is believed only when it goes on announcing itself while the
/// other one is silent, as it happens when a host's clock was set back between
/// two starts, or when the announcements come to a new leader in the wrong
/// order. Where no start is told, a process that starts again under its name
/// counts anew and is late until the lease of the former one has run out: an
/// older word, taken for a newer one, could bring back a server that leaves.
/// Whoever doesn't tell its start under a name whose process does is another
/// writer, and changes nothing.
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
    /// Of the process that left; 0 when none was known and none named.
    std::uint64_t Incarnation = 0;
    /// The process was named, not only its host.
    bool Named = false;
    TimePoint At;
  };
  /// A process whose address or name another one has taken.
  struct Displaced {
    ServerProcess By;
    TimePoint At;
    /// Its first announcement since then.
    std::optional<TimePoint> CalledAt;
  };
  Duration leaseOf(const MemberRecord &member) const;
  void change(const MemberRecord &member);
  /// A host, or a process of it, says that it leaves.
  void leave(TimePoint now, const MemberRecord &member);
  /// \returns whether the name of \p member belongs to a process that started
  /// later, by its word.
  bool hasLaterNamesake(const MemberRecord &member) const;
  /// \returns whether the process of \p member said goodbye.
  bool hasLeft(TimePoint now, const MemberRecord &member) const;
  /// \returns whether an announcement counted \p sequence is an old one.
  bool isOldCount(const ServerProcess &process, std::uint64_t sequence);
  /// \returns when \p process was heard of last, if it is in use.
  std::optional<TimePoint> heardOf(const ServerProcess &process) const;
  /// \returns whether another process took the address or name of \p member,
  /// and this announcement doesn't prove that it is the one that lives.
  bool isDisplaced(TimePoint now, const MemberRecord &member);
  /// Whoever had the name or the address of \p member before has ended.
  void displaceOthers(TimePoint now, const MemberRecord &member);

  MemberTableOptions Options;
  MemberVersion Version;
  bool Complete = false;
  TimePoint TermBegan;
  std::map<HostName, MemberRecord> Members;
  std::map<HostName, TimePoint> HeardAt;
  /// How far each process has counted its announcements.
  std::map<ServerProcess, std::uint64_t> Counts;
  std::map<HostName, Goodbye> Goodbyes;
  std::map<ServerProcess, Displaced> DisplacedMembers;
  /// The last changes; the newest has the sequence of `Version`.
  std::deque<MemberRecord> Changes;
};

} // namespace pimentofront

#endif
