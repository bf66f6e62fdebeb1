#ifndef PIMENTOFRONT_STATE_SOFTWARE_HISTORY_H
#define PIMENTOFRONT_STATE_SOFTWARE_HISTORY_H

#include "Configuration.h"
#include "MemberTable.h"

#include <set>

namespace pimentofront {

/// Versions recorded of a service. At least two, so that a service of more
/// versions than that counts as mixed although the oldest ones are dropped.
constexpr std::size_t MaxSoftwareVersions = 16;

/// \returns whether the command is valid and within the bounds of the record.
bool mayRecordSoftware(const Configuration &current,
                       const RecordSoftware &command);

/// \class SoftwareHistoryOptions
/// \ingroup State
struct SoftwareHistoryOptions {
  /// How long a version stays recorded after its last server has left: callers
  /// may come back long after their streams broke off.
  Duration Retention = std::chrono::minutes(10);
  /// Longest time between two reviews of the members.
  Duration Period = std::chrono::seconds(1);
};

/// \class SoftwareHistory
/// \ingroup State
/// \brief Finds out which software versions of the services have to be added
/// to the replicated record, and which ones have had no server for so long that
/// they are retired.
///
/// Used by the leader alone, on its own boot clock. A new leader starts to
/// count anew, and counts only while its table of members is complete. So a
/// version may stay recorded longer than the retention, never for a shorter
/// time. A command isn't returned again until recordEnded().
class SoftwareHistory {
public:
  explicit SoftwareHistory(const SoftwareHistoryOptions &options = {})
      : Options(options) {}

  /// \returns the commands that add what \p member states.
  std::vector<RecordSoftware> additions(const MemberRecord &member,
                                        const Configuration &current) const;
  /// \returns the commands that add and retire versions; none if the members
  /// haven't changed and less than a period has passed since the last review.
  std::vector<RecordSoftware> review(TimePoint now, const MemberTable &members,
                                     const Configuration &current);
  /// The command was proposed to the log.
  void recordProposed(const RecordSoftware &command) {
    Proposed.insert(command);
  }
  /// The command was applied, or couldn't be proposed.
  void recordEnded(const RecordSoftware &command) { Proposed.erase(command); }
  /// \returns whether a version that \p member states is being added.
  bool isBeingAdded(const MemberRecord &member) const;
  /// Forgets what was proposed and seen, after another replica has led.
  void reset();

private:
  bool mustAdd(const RecordSoftware &command,
               const Configuration &current) const;
  /// \param complete whether each server is in the table of members.
  std::vector<RecordSoftware>
  retirements(TimePoint now, bool complete,
              const std::set<RecordSoftware> &stated,
              const Configuration &current);

  SoftwareHistoryOptions Options;
  std::set<RecordSoftware> Proposed;
  /// When a recorded version last had a server, or may have had one.
  std::map<RecordSoftware, TimePoint> LastSeenAt;
  MemberVersion Reviewed;
  TimePoint NextAt;
};

} // namespace pimentofront

#endif
