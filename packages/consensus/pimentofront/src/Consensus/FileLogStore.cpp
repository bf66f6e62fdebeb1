#include "pimentofront/Consensus.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <optional>
#include <sys/stat.h>
#include <unistd.h>

namespace pimentofront {
namespace {

/// Header of each record, with the payload's length in bytes and its checksum.
struct RecordHeader {
  std::uint32_t Size = 0;
  std::uint32_t Reserved = 0;
  std::uint64_t Checksum = 0;
};
constexpr std::uint64_t ChecksumSeed = 0x70696d656e746fULL;
constexpr std::uint32_t MaxRecordBytes = 64U << 20;

std::uint64_t checksum(std::string_view payload) {
  return stableHash(payload, ChecksumSeed ^ payload.size());
}

std::string frameRecord(std::string_view payload) {
  const RecordHeader header{static_cast<std::uint32_t>(payload.size()), 0,
                            checksum(payload)};
  std::string record(reinterpret_cast<const char *>(&header), sizeof(header));
  record += payload;
  return record;
}

/// \returns the payload of the record at offset \p at, if the record is
/// complete and its checksum matches.
std::optional<std::string_view> readRecord(std::string_view bytes,
                                           std::size_t at) {
  RecordHeader header;
  if (at + sizeof(header) > bytes.size())
    return std::nullopt;
  std::memcpy(&header, bytes.data() + at, sizeof(header));
  const std::size_t begin = at + sizeof(header);
  if (header.Size == 0 || header.Size > MaxRecordBytes ||
      begin + header.Size > bytes.size())
    return std::nullopt;
  const std::string_view payload = bytes.substr(begin, header.Size);
  if (checksum(payload) != header.Checksum)
    return std::nullopt;
  return payload;
}

/// \returns whether a valid record begins anywhere after offset \p at.
bool hasRecordAfter(std::string_view bytes, std::size_t at) {
  for (std::size_t i = at + 1; i + sizeof(RecordHeader) < bytes.size(); ++i)
    if (readRecord(bytes, i))
      return true;
  return false;
}

LogStoreError unwritable(const std::string &what) {
  return {LogStoreError::Kind::Unwritable, what + ": " + std::strerror(errno)};
}

/// \returns the contents of a file, or nothing if it doesn't exist. A file that
/// can't be read is an error: taken for a missing one, it would be replaced.
tl::expected<std::optional<std::string>, LogStoreError>
readFile(const std::string &path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0 && errno == ENOENT)
    return std::nullopt;
  if (fd < 0)
    return tl::unexpected(unwritable(path));
  std::string bytes;
  char buf[65536];
  ssize_t n = 0;
  while ((n = ::read(fd, buf, sizeof(buf))) > 0 || (n < 0 && errno == EINTR))
    bytes.append(buf, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
  const LogStoreError error = unwritable(path);
  ::close(fd);
  if (n < 0)
    return tl::unexpected(error);
  return bytes;
}

bool writeAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::write(fd, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool syncFolder(const std::string &folder) {
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool ok = fd >= 0 && ::fsync(fd) == 0;
  if (fd >= 0)
    ::close(fd);
  return ok;
}

std::string encodeNumber(std::uint64_t n) {
  return {reinterpret_cast<const char *>(&n), sizeof(n)};
}

std::uint64_t decodeNumber(std::string_view bytes, std::size_t at) {
  std::uint64_t n = 0;
  std::memcpy(&n, bytes.data() + at, sizeof(n));
  return n;
}

LogStoreError corrupt(const std::string &what) {
  return {LogStoreError::Kind::Corrupt,
          what + " is damaged: empty the folder and let the replica rejoin"};
}

} // namespace

FileLogStore::~FileLogStore() {
  if (LogFd >= 0)
    ::close(LogFd);
}

tl::expected<std::unique_ptr<FileLogStore>, LogStoreError>
FileLogStore::open(const std::string &folder, ReplicaId newId) {
  if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST)
    return tl::unexpected(unwritable(folder));
  std::unique_ptr<FileLogStore> store(new FileLogStore(folder));
  if (const Result loaded = store->load(newId); !loaded)
    return tl::unexpected(loaded.error());
  return store;
}

FileLogStore::Result FileLogStore::replaceFile(const std::string &name,
                                               const std::string &bytes) {
  const std::string newPath = path(name) + ".new";
  const int fd =
      ::open(newPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0)
    return tl::unexpected(unwritable(newPath));
  const bool ok = writeAll(fd, bytes) && ::fsync(fd) == 0;
  const LogStoreError error = unwritable(newPath);
  ::close(fd);
  if (!ok)
    return tl::unexpected(error);
  if (::rename(newPath.c_str(), path(name).c_str()) != 0 || !syncFolder(Folder))
    return tl::unexpected(unwritable(path(name)));
  return {};
}

FileLogStore::Result FileLogStore::load(ReplicaId newId) {
  const auto storedIdentity = readFile(path("identity"));
  const auto ballot = readFile(path("ballot"));
  const auto snapshot = readFile(path("snapshot"));
  for (const auto *it : {&storedIdentity, &ballot, &snapshot})
    if (!*it)
      return tl::unexpected(it->error());
  const std::string identity =
      storedIdentity->value_or(frameRecord(encodeNumber(newId)));
  if (!*storedIdentity)
    if (const Result r = replaceFile("identity", identity); !r)
      return r;
  const auto id = readRecord(identity, 0);
  if (!id)
    return tl::unexpected(corrupt("identity"));
  Stored.Id = decodeNumber(*id, 0);
  if (*ballot) {
    const auto payload = readRecord(**ballot, 0);
    if (!payload)
      return tl::unexpected(corrupt("ballot"));
    Stored.Vote = {decodeNumber(*payload, 0), decodeNumber(*payload, 8)};
  }
  if (*snapshot) {
    const auto head = readRecord(**snapshot, 0);
    const std::size_t next = head ? sizeof(RecordHeader) + head->size() : 0;
    const auto state = head ? readRecord(**snapshot, next) : std::nullopt;
    const auto entry =
        head ? decodeEntry(*head)
             : tl::expected<LogEntry, DecodeError>(tl::unexpect, DecodeError{});
    const auto group = entry ? decodeGroup(entry->Data)
                             : tl::expected<ReplicaGroup, DecodeError>(
                                   tl::unexpect, DecodeError{});
    if (!state || !group)
      return tl::unexpected(corrupt("snapshot"));
    Stored.Snapshot = LogSnapshot::make(entry->Index, entry->EntryTerm, *group,
                                        std::string(state->substr(1)));
  }
  return loadLog();
}

FileLogStore::Result FileLogStore::loadLog() {
  const auto stored = readFile(path("log"));
  if (!stored)
    return tl::unexpected(stored.error());
  const std::string bytes = stored->value_or("");
  FirstIndex = Stored.Snapshot.LastIndex + 1;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto payload = readRecord(bytes, at);
    if (!payload && hasRecordAfter(bytes, at))
      return tl::unexpected(corrupt("log"));
    if (!payload)
      break; // A torn write at the end.
    const auto entry = decodeEntry(*payload);
    if (!entry)
      return tl::unexpected(LogStoreError{LogStoreError::Kind::TooNew,
                                          "log: " + entry.error().Reason});
    // After a crash between writing the snapshot and rewriting the log, the
    // file still has the entries that the snapshot covers.
    if (entry->Index >= FirstIndex) {
      if (entry->Index != FirstIndex + Stored.Entries.size())
        return tl::unexpected(corrupt("log"));
      Stored.Entries.push_back(*entry);
      Offsets.push_back(at);
    }
    at += sizeof(RecordHeader) + payload->size();
  }
  LogFd = ::open(path("log").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (LogFd < 0)
    return tl::unexpected(unwritable(path("log")));
  if (at < bytes.size() &&
      (::ftruncate(LogFd, static_cast<off_t>(at)) != 0 || ::fsync(LogFd) != 0))
    return tl::unexpected(unwritable(path("log")));
  LogSize = at;
  ::lseek(LogFd, 0, SEEK_END);
  if (!syncFolder(Folder))
    return tl::unexpected(unwritable(Folder));
  return {};
}

FileLogStore::Result FileLogStore::writeSnapshot(const LogSnapshot &snapshot) {
  const LogEntry head{.EntryTerm = snapshot.LastTerm,
                      .Index = snapshot.LastIndex,
                      .Kind = EntryKind::Group,
                      .Data = encodeGroup(snapshot.Group)};
  // The state may be empty, but a record may not, so one byte precedes it.
  constexpr char StateMark = 1;
  return replaceFile("snapshot", frameRecord(encodeEntry(head)) +
                                     frameRecord(StateMark + snapshot.state()));
}

FileLogStore::Result
FileLogStore::rewriteLog(const std::vector<LogEntry> &entries) {
  std::string bytes;
  Offsets.clear();
  for (const LogEntry &it : entries) {
    Offsets.push_back(bytes.size());
    bytes += frameRecord(encodeEntry(it));
  }
  if (const Result r = replaceFile("log", bytes); !r)
    return r;
  ::close(LogFd);
  LogFd = ::open(path("log").c_str(), O_RDWR | O_CLOEXEC);
  if (LogFd < 0)
    return tl::unexpected(unwritable(path("log")));
  LogSize = bytes.size();
  ::lseek(LogFd, 0, SEEK_END);
  return {};
}

FileLogStore::Result
FileLogStore::appendEntries(const std::vector<LogEntry> &entries) {
  const LogIndex first = entries.front().Index;
  const std::size_t keptCount = first - FirstIndex;
  if (keptCount < Offsets.size()) {
    LogSize = Offsets[keptCount];
    Offsets.resize(keptCount);
    if (::ftruncate(LogFd, static_cast<off_t>(LogSize)) != 0)
      return tl::unexpected(unwritable(path("log")));
    ::lseek(LogFd, 0, SEEK_END);
  }
  std::string bytes;
  for (const LogEntry &it : entries) {
    Offsets.push_back(LogSize + bytes.size());
    bytes += frameRecord(encodeEntry(it));
  }
  if (!writeAll(LogFd, bytes) || ::fdatasync(LogFd) != 0)
    return tl::unexpected(unwritable(path("log")));
  LogSize += bytes.size();
  return {};
}

FileLogStore::Result FileLogStore::write(const LogWrite &write) {
  if (WriteFailed)
    return tl::unexpected(LogStoreError{LogStoreError::Kind::Unwritable,
                                        "an earlier write failed"});
  Result result;
  if (write.Vote)
    result =
        replaceFile("ballot", frameRecord(encodeNumber(write.Vote->Current) +
                                          encodeNumber(write.Vote->VotedFor)));
  if (result && write.Snapshot) {
    result = writeSnapshot(*write.Snapshot);
    FirstIndex = write.Snapshot->LastIndex + 1;
    if (result)
      result = rewriteLog({});
  }
  if (result && !write.Entries.empty())
    result = appendEntries(write.Entries);
  WriteFailed = !result;
  return result;
}

FileLogStore::Result FileLogStore::compact(const LogSnapshot &snapshot,
                                           const std::vector<LogEntry> &rest) {
  if (WriteFailed)
    return tl::unexpected(LogStoreError{LogStoreError::Kind::Unwritable,
                                        "an earlier write failed"});
  Result result = writeSnapshot(snapshot);
  FirstIndex = snapshot.LastIndex + 1;
  if (result)
    result = rewriteLog(rest);
  WriteFailed = !result;
  return result;
}

} // namespace pimentofront
