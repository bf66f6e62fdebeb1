#ifndef PIMENTOFRONT_STATE_MEMBER_TABLE_H
#define PIMENTOFRONT_STATE_MEMBER_TABLE_H

#include "DepartureLedger.h"
#include "pimentofront/Wire.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace pimentofront {

/// \class MemberTableOptions
/// \ingroup State
struct MemberTableOptions {
  /// A host that hasn't announced itself for this time is removed.
  Duration Lease = std::chrono::seconds(6);
  /// The lease of a backend server that registers itself, since it announces
  /// itself at an interval of its own. Zero: the same lease as for hosts.
  Duration ServerLease = Duration::zero();
  /// Recent changes stored, to send differences to receivers that missed some.
  std::size_t MaxChanges = 1024;
  /// How long a departure is stored, to reject late announcements of the
  /// process.
  Duration DeregistrationRetention = std::chrono::seconds(60);
  /// The same for a deregistration that contains only the name, not the
  /// process. It may come from a former process of that name, in which case the
  /// running one is out of use for this time. Shorter, since announcements
  /// arrive seconds late, not tens of seconds.
  Duration AnonymousDeregistrationRetention = std::chrono::seconds(15);
  /// A displaced process gets its address or name back when it announces itself
  /// twice, at least this far apart, and the other process doesn't announce
  /// itself in between. The minimum distance excludes late announcements, which
  /// arrive close together.
  Duration ReclaimDelay = std::chrono::milliseconds(500);
};

/// What became of an update to a copy of the member table.
enum class MemberUpdateResult : std::uint8_t {
  Applied,
  /// The copy is newer. Whatever else is derived from the updates must ignore
  /// this one, too.
  Outdated,
  /// Updates before it are missing; it has had no effect.
  Gap,
};

/// \class MemberTable
/// \ingroup State
/// \brief The hosts and self-registered backend servers that have announced
/// themselves to the leader, and the stream of changes. Soft state: a new
/// leader starts with an empty table, and marks it complete once it has led for
/// the longest lease. Until then receivers keep the servers that its list
/// doesn't name, so the list also names those that have left.
///
/// Departures of registered servers are acknowledged, and a server may not
/// repeat them. The replicated state holds them (DepartureLedger), and a new
/// leader takes them over.
///
/// Of the processes that register themselves, only one owns an address: the one
/// whose first announcement came last. A later announcement of a former owner
/// is taken for a late one. A name has one owner, too: the process with the
/// latest reported start time takes it over at once, without any state of the
/// former owner, and announcements of a process that started earlier are taken
/// for late ones. In both cases the rejected process is accepted after all if
/// it goes on announcing itself while the owner is silent, or once the owner
/// has left the table. That happens when a host's clock was set back between
/// two starts, or when a new leader receives the announcements in the wrong
/// order.
///
/// Without reported start times, a process that restarts under its name counts
/// its announcements anew, and they are rejected until the lease of the former
/// process has expired: if an old announcement were taken for a new one, it
/// could bring back a server that is leaving. An announcement without a start
/// time, under a name whose owner reports one, comes from another writer and
/// changes nothing.
///
/// Followers and entries hold copies of the table, which apply() updates.
class MemberTable {
public:
  explicit MemberTable(const MemberTableOptions &options = {})
      : Options(options) {}

  /// This process became the leader. Clears the table: all members have to
  /// announce themselves anew.
  void beginTerm(TimePoint now, std::uint64_t term);
  /// Takes over a departure that the replicated state holds. Its retention
  /// begins anew, unless it is known already.
  void restoreDeparture(TimePoint now, const DepartureRecord &departure);
  /// \returns the departure that the announcement of a process that is leaving
  /// or gone stands for. One that names only the server is taken for one of the
  /// process that has the name, in this term or the previous one.
  DepartureRecord departureOf(const MemberRecord &member,
                              std::uint64_t sequence) const;
  /// \returns whether announcements of this process may still be rejected
  /// because of its departure.
  bool remembersDeparture(const ServerProcess &process) const {
    return Departures.contains(process);
  }
  /// Records an announcement or, if \p member is gone, a deregistration.
  /// \param sequence increases with each announcement of one process, where its
  /// announcements may overtake one another; 0 where they can't.
  /// \returns false for a stale announcement, which changes nothing: a newer
  /// one is known, the process has deregistered, or it has been displaced.
  bool announce(TimePoint now, const MemberRecord &member,
                std::uint64_t sequence = 0);
  /// Extends the lease of a host.
  /// \returns false, without effect, if the host isn't known under this
  /// incarnation.
  bool renew(TimePoint now, const HostName &host, std::uint64_t incarnation);
  /// Removes the hosts whose lease has expired.
  /// \returns the removed hosts.
  std::vector<HostName> expire(TimePoint now);

  /// \returns the changes since version \p known, or the whole table if they
  /// aren't stored any more; nothing if \p known is current.
  std::optional<MemberUpdate> updateSince(const MemberVersion &known) const;
  /// Applies an update from the leader, unless it is older than this copy or
  /// updates before it are missing.
  MemberUpdateResult apply(const MemberUpdate &update);

  MemberVersion version() const { return Version; }
  bool complete() const { return Complete; }
  const std::map<HostName, MemberRecord> &members() const { return Members; }

private:
  /// The departure of a host's or server's process, and when it was recorded.
  struct Departure {
    DepartureRecord Record;
    TimePoint At;
  };
  /// A process whose address or name another process has taken over.
  struct Displaced {
    ServerProcess DisplacedBy;
    TimePoint At;
    /// Its first announcement since the other process last announced itself.
    std::optional<TimePoint> FirstAnnouncedAt;
  };
  Duration leaseOf(const MemberRecord &member) const;
  void recordChange(const MemberRecord &member);
  /// Keeps track of the servers that an incomplete list has to name as gone.
  void recordDeparted(const MemberRecord &member);
  void recordDeparture(TimePoint now, const DepartureRecord &departure);
  /// Records the deregistration of a host or of a process.
  void deregister(TimePoint now, const MemberRecord &member);
  /// Removes the process from the table, and tells receivers, also if they may
  /// know it from a previous leader.
  void removeDeparted(const MemberRecord &member);
  Duration retentionOf(const DepartureRecord &departure) const;
  /// \returns whether the name of \p member belongs to a process that reports a
  /// later start.
  bool hasNewerOwner(const MemberRecord &member) const;
  /// \returns whether the process of \p member has left recently, or whether
  /// the announcement is from before it said that it is leaving.
  bool isDeparted(TimePoint now, const MemberRecord &member,
                  std::uint64_t sequence) const;
  /// Updates the latest sequence of \p process.
  /// \returns whether an announcement with \p sequence is stale.
  bool isStaleSequence(const ServerProcess &process, std::uint64_t sequence);
  /// \returns when \p process last announced itself; nothing if it isn't in the
  /// table.
  std::optional<TimePoint> lastAnnouncedAt(const ServerProcess &process) const;
  /// \returns whether another process has taken over the address or name of
  /// \p member, and this announcement doesn't prove that \p member is the
  /// running process of the two.
  bool isDisplaced(TimePoint now, const MemberRecord &member);
  /// Marks the former owners of the name and the address of \p member as
  /// displaced, and removes those with another name.
  void displaceFormerOwners(TimePoint now, const MemberRecord &member);

  MemberTableOptions Options;
  MemberVersion Version;
  bool Complete = false;
  TimePoint TermStartedAt;
  std::map<HostName, MemberRecord> Members;
  std::map<HostName, TimePoint> LastAnnouncedAt;
  /// The highest sequence that each process has announced.
  std::map<ServerProcess, std::uint64_t> LatestSequences;
  std::map<ServerProcess, Departure> Departures;
  /// While the table isn't complete: servers that have left.
  std::map<ServerProcess, MemberRecord> Departed;
  /// While the table isn't complete: the members in the previous term, as far
  /// as this process knew them.
  std::map<HostName, MemberRecord> Former;
  std::map<ServerProcess, Displaced> DisplacedMembers;
  /// The most recent changes; the newest has the sequence of `Version`.
  std::deque<MemberRecord> Changes;
};

} // namespace pimentofront

#endif
