#ifndef PIMENTOFRONT_CONSENSUS_LOG_STORE_H
#define PIMENTOFRONT_CONSENSUS_LOG_STORE_H

#include "pimentofront/Wire.h"

#include <memory>
#include <optional>
#include <vector>

namespace pimentofront {

/// \class Ballot
/// \ingroup Consensus
/// \brief The term and vote that a replica must persist so that it never votes
/// twice in one term.
struct Ballot {
  Term Current = 0;
  /// The replica it voted for in this term; 0 for none.
  ReplicaId VotedFor = 0;
  friend auto operator<=>(const Ballot &, const Ballot &) = default;
};

/// \class LogSnapshot
/// \ingroup Consensus
/// \brief The state after all entries up to `LastIndex`, which it replaces.
/// Copies share the bytes of the state, since it is the largest object that a
/// replica holds.
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
/// \brief The contents of a data folder.
struct StoredLog {
  /// Identity of the disk, drawn at random when the folder is created.
  ReplicaId Id = 0;
  Ballot Vote;
  LogSnapshot Snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<LogEntry> Entries;
};

/// \class LogStoreError
/// \ingroup Consensus
/// \brief Why the store can't be used or written.
struct LogStoreError {
  enum class Kind : std::uint8_t {
    /// An I/O error; what was written before remains valid.
    Unwritable,
    /// A record other than a torn one at the end of the log is corrupt: the
    /// replica must rejoin with an empty folder.
    Corrupt,
    /// Written by a newer release.
    TooNew,
  };
  Kind What = Kind::Unwritable;
  std::string Detail;
};

/// \class LogWrite
/// \ingroup Consensus
/// \brief Changes that must be durable before any message of the same batch is
/// sent.
struct LogWrite {
  std::optional<Ballot> Vote;
  /// Replaces the stored snapshot and all stored entries.
  std::optional<LogSnapshot> Snapshot;
  /// Entries to append. If an entry with the first one's index exists, the log
  /// is first truncated from that index on.
  std::vector<LogEntry> Entries;
  bool empty() const { return !Vote && !Snapshot && Entries.empty(); }
};

/// \class LogStore
/// \ingroup Consensus
/// \brief Durable storage of a replica's log.
class LogStore {
public:
  virtual ~LogStore() = default;
  /// Writes all of \p write and syncs it to the disk, as one group commit.
  virtual tl::expected<void, LogStoreError> write(const LogWrite &write) = 0;
  /// Replaces the entries that \p snapshot, made by this replica, covers with
  /// the snapshot.
  /// \param rest the entries after the snapshot, which stay.
  virtual tl::expected<void, LogStoreError>
  compact(const LogSnapshot &snapshot, const std::vector<LogEntry> &rest) = 0;
};

} // namespace pimentofront

#endif
