#ifndef PIMENTOFRONT_CONSENSUS_FILE_LOG_STORE_H
#define PIMENTOFRONT_CONSENSUS_FILE_LOG_STORE_H

#include "LogStore.h"

#include <memory>

namespace pimentofront {

/// \class FileLogStore
/// \ingroup Consensus
/// \brief A log store in one data folder with the files `identity`, `ballot`
/// and `snapshot`, each of which is replaced atomically, and `log`, which is
/// appended to.
///
/// Each record has its length and a checksum. An invalid record without a valid
/// one after it is a write that a crash interrupted: it was never acknowledged,
/// and is truncated. An invalid record with a valid one after it is corruption:
/// the store doesn't open, and the replica must rejoin with an empty folder.
class FileLogStore : public LogStore {
public:
  /// Opens \p folder. Creates it if it doesn't exist, and gives it the identity
  /// \p newId if it has none.
  static tl::expected<std::unique_ptr<FileLogStore>, LogStoreError>
  open(const std::string &folder, ReplicaId newId);
  ~FileLogStore() override;

  /// \returns the contents of the folder when it was opened. Moves them out, so
  /// it can be called once.
  StoredLog takeStored() { return std::move(Stored); }
  tl::expected<void, LogStoreError> write(const LogWrite &write) override;
  tl::expected<void, LogStoreError>
  compact(const LogSnapshot &snapshot,
          const std::vector<LogEntry> &rest) override;

private:
  explicit FileLogStore(std::string folder) : Folder(std::move(folder)) {}
  using Result = tl::expected<void, LogStoreError>;
  Result load(ReplicaId newId);
  Result loadLog();
  Result writeSnapshot(const LogSnapshot &snapshot);
  Result rewriteLog(const std::vector<LogEntry> &entries);
  Result appendEntries(const std::vector<LogEntry> &entries);
  Result replaceFile(const std::string &name, const std::string &bytes);
  std::string path(const std::string &name) const {
    return Folder + "/" + name;
  }

  std::string Folder;
  int LogFd = -1;
  std::uint64_t LogSize = 0;
  /// Offset in the log file of each entry's record, to truncate the file there.
  std::vector<std::uint64_t> Offsets;
  LogIndex FirstIndex = 1;
  /// A write has failed, maybe half way: all further writes are refused.
  bool WriteFailed = false;
  StoredLog Stored;
};

} // namespace pimentofront

#endif
