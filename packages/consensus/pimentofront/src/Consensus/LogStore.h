#ifndef PIMENTOFRONT_CONSENSUS_LOG_STORE_H
#define PIMENTOFRONT_CONSENSUS_LOG_STORE_H

#include "pimentofront/Wire.h"

#include <memory>
#include <optional>
#include <vector>

namespace pimentofront {

/// \class Ballot
/// \ingroup Consensus
/// \brief What a replica must remember so that it never votes twice.
struct Ballot {
  Term Current = 0;
  /// For whom it voted in this term; 0 for nobody.
  ReplicaId VotedFor = 0;
  friend auto operator<=>(const Ballot &, const Ballot &) = default;
};

/// \class LogSnapshot
/// \ingroup Consensus
/// \brief The state after all entries up to one, in their place. Copies share
/// the state's bytes: it is the largest thing that a replica holds.
struct LogSnapshot {
  LogIndex LastIndex = 0;
  Term LastTerm = 0;
  ReplicaGroup Group;
  std::shared_ptr<const std::string> Bytes;

  static LogSnapshot make(LogIndex lastIndex, Term lastTerm,
                          const ReplicaGroup &group, std::string state) {
    return {lastIndex, lastTerm, group,
            std::make_shared<const std::string>(std::move(state))};
  }
  const std::string &state() const {
    static const std::string Empty;
    return Bytes ? *Bytes : Empty;
  }
  friend bool operator==(const LogSnapshot &a, const LogSnapshot &b) {
    return a.LastIndex == b.LastIndex && a.LastTerm == b.LastTerm &&
           a.Group == b.Group && a.state() == b.state();
  }
};

/// \class StoredLog
/// \ingroup Consensus
/// \brief All that a data folder holds.
struct StoredLog {
  /// Identity of the disk; drawn when the folder is created.
  ReplicaId Id = 0;
  Ballot Vote;
  LogSnapshot Snapshot;
  /// Entries after the snapshot, without a gap.
  std::vector<LogEntry> Entries;
};

/// \class LogStoreError
/// \ingroup Consensus
/// \brief Why the store can't be used.
struct LogStoreError {
  enum class Kind : std::uint8_t {
    /// The disk refuses to write; what was written before stands.
    Unwritable,
    /// A record in the middle is damaged: the replica must rejoin empty.
    Corrupt,
    /// Written by a newer release.
    TooNew,
  };
  Kind What = Kind::Unwritable;
  std::string Detail;
};

/// \class LogWrite
/// \ingroup Consensus
/// \brief What must be on the disk before any message of the same batch goes
/// out.
struct LogWrite {
  std::optional<Ballot> Vote;
  /// Replaces all that the store holds.
  std::optional<LogSnapshot> Snapshot;
  /// Entries to append; if the first one's index exists, the log is cut there.
  std::vector<LogEntry> Entries;
  bool empty() const { return !Vote && !Snapshot && Entries.empty(); }
};

/// \class LogStore
/// \ingroup Consensus
/// \brief Where a replica's log survives.
class LogStore {
public:
  virtual ~LogStore() = default;
  /// Writes and syncs all of \p write, as one group commit.
  virtual tl::expected<void, LogStoreError> write(const LogWrite &write) = 0;
  /// Puts a snapshot of our own in place of the entries it covers; entries
  /// after it stay.
  virtual tl::expected<void, LogStoreError>
  compact(const LogSnapshot &snapshot, const std::vector<LogEntry> &rest) = 0;
};

} // namespace pimentofront

#endif
