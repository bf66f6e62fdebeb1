#include "pimentofront/Testkit.h"

#include <algorithm>

namespace pimentofront::testkit {

tl::expected<void, LogStoreError> MemoryLogStore::write(const LogWrite &write) {
  if (Full)
    return tl::unexpected(
        LogStoreError{LogStoreError::Kind::Unwritable, "no space left"});
  ++Syncs;
  if (write.Vote)
    Stored.Vote = *write.Vote;
  if (write.Snapshot) {
    Stored.Snapshot = *write.Snapshot;
    Stored.Entries.clear();
  }
  if (write.Entries.empty())
    return {};
  const LogIndex first = write.Entries.front().Index;
  std::erase_if(Stored.Entries,
                [&](const LogEntry &it) { return it.Index >= first; });
  Stored.Entries.insert(Stored.Entries.end(), write.Entries.begin(),
                        write.Entries.end());
  return {};
}

tl::expected<void, LogStoreError>
MemoryLogStore::compact(const LogSnapshot &snapshot,
                        const std::vector<LogEntry> &rest) {
  if (Full)
    return tl::unexpected(
        LogStoreError{LogStoreError::Kind::Unwritable, "no space left"});
  Stored.Snapshot = snapshot;
  Stored.Entries = rest;
  return {};
}

} // namespace pimentofront::testkit
