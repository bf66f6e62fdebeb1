#ifndef PIMENTOFRONT_CONSENSUS_FILE_LOG_STORE_H
#define PIMENTOFRONT_CONSENSUS_FILE_LOG_STORE_H

#include "LogStore.h"

#include <memory>

namespace pimentofront {

/// \class FileLogStore
/// \ingroup Consensus
/// \brief A log in the files of one data folder: `identity`, `ballot`,
/// `snapshot` (each replaced as a whole) and `log` (appended to).
///
/// Each record carries its length and a checksum. A damaged record with
/// nothing sound behind it is a write that the crash tore: it was never
/// acknowledged, and is cut off. One with sound records behind it is damage:
/// the store doesn't open, and the replica must rejoin with an empty folder.
class FileLogStore : public LogStore {
public:
  /// Opens a folder, or makes a new one under \p newId.
  static tl::expected<std::unique_ptr<FileLogStore>, LogStoreError>
  open(const std::string &folder, ReplicaId newId);
  ~FileLogStore() override;

  /// What the folder held when it was opened; handed over once.
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
  /// Where each entry's record begins, for cutting.
  std::vector<std::uint64_t> Offsets;
  LogIndex FirstIndex = 1;
  /// A write failed half way: nothing more is written.
  bool Broken = false;
  StoredLog Stored;
};

} // namespace pimentofront

#endif
