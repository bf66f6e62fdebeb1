#include "pimentofront/Consensus.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace pimentofront;
namespace fs = std::filesystem;

namespace {

/// A temporary folder, removed at the end of the test.
struct Folder {
  Folder() {
    char name[] = "/tmp/pimentofront-store-XXXXXX";
    Path = ::mkdtemp(name);
  }
  ~Folder() { fs::remove_all(Path); }
  std::string Path;
};

LogEntry entry(LogIndex index, const std::string &data, Term term = 1) {
  return {term, index, EntryKind::Command, 0, data};
}

std::unique_ptr<FileLogStore> mustOpen(const std::string &folder) {
  auto store = FileLogStore::open(folder, 11);
  REQUIRE(store);
  return std::move(*store);
}

void writeThree(const std::string &folder) {
  auto store = mustOpen(folder);
  REQUIRE(store->write(
      {.Vote = Ballot{3, 2},
       .Entries = {entry(1, "one"), entry(2, "two"), entry(3, "three")}}));
}

} // namespace

TEST_CASE(
    "a reopened store has what was written and keeps its first identity") {
  const Folder folder;
  writeThree(folder.Path);
  auto store = FileLogStore::open(folder.Path, 99);
  REQUIRE(store);
  const StoredLog stored = (*store)->takeStored();
  CHECK(stored.Id == 11);
  CHECK(stored.Vote == Ballot{3, 2});
  REQUIRE(stored.Entries.size() == 3);
  CHECK(stored.Entries[2].Data == "three");
}

TEST_CASE("an entry that replaces an old one truncates the log after it") {
  const Folder folder;
  writeThree(folder.Path);
  REQUIRE(mustOpen(folder.Path)->write({.Entries = {entry(2, "new", 2)}}));
  const StoredLog stored = mustOpen(folder.Path)->takeStored();
  REQUIRE(stored.Entries.size() == 2);
  CHECK(stored.Entries[1].Data == "new");
}

TEST_CASE("a torn write at the end is truncated at any byte") {
  const Folder folder;
  writeThree(folder.Path);
  const std::string log = folder.Path + "/log";
  const auto whole = fs::file_size(log);
  const auto third = whole - whole / 3 + 5;
  for (auto n = whole - 1; n > third; --n) {
    fs::resize_file(log, n);
    const StoredLog stored = mustOpen(folder.Path)->takeStored();
    CHECK(stored.Entries.size() == 2);
    // Later entries are written at the position of the torn one.
    REQUIRE(mustOpen(folder.Path)->write({.Entries = {entry(3, "again")}}));
    CHECK(mustOpen(folder.Path)->takeStored().Entries.size() == 3);
  }
}

TEST_CASE("a corrupt record in the middle isn't taken for a torn write") {
  const Folder folder;
  writeThree(folder.Path);
  std::fstream log(folder.Path + "/log",
                   std::ios::in | std::ios::out | std::ios::binary);
  log.seekp(20);
  log.put('\x55');
  log.close();
  const auto store = FileLogStore::open(folder.Path, 11);
  REQUIRE_FALSE(store);
  CHECK(store.error().What == LogStoreError::Kind::Corrupt);
}

TEST_CASE("a snapshot replaces the entries that it covers") {
  const Folder folder;
  writeThree(folder.Path);
  const LogSnapshot snapshot = LogSnapshot::make(2, 1, {}, "state");
  REQUIRE(mustOpen(folder.Path)->compact(snapshot, {entry(3, "three")}));
  const StoredLog stored = mustOpen(folder.Path)->takeStored();
  CHECK(stored.Snapshot == snapshot);
  REQUIRE(stored.Entries.size() == 1);
  CHECK(stored.Entries[0].Index == 3);
}

TEST_CASE("a crash between writing the snapshot and the log loses nothing") {
  const Folder folder;
  writeThree(folder.Path);
  const std::string log = folder.Path + "/log";
  fs::copy_file(log, log + ".before");
  const LogSnapshot snapshot = LogSnapshot::make(2, 1, {}, "state");
  REQUIRE(mustOpen(folder.Path)->compact(snapshot, {entry(3, "three")}));
  fs::rename(log + ".before", log);
  const StoredLog stored = mustOpen(folder.Path)->takeStored();
  REQUIRE(stored.Entries.size() == 1);
  CHECK(stored.Entries[0].Data == "three");
}

TEST_CASE("a folder that was lost gets another identity") {
  const Folder folder;
  writeThree(folder.Path);
  fs::remove_all(folder.Path);
  auto store = FileLogStore::open(folder.Path, 99);
  REQUIRE(store);
  CHECK((*store)->takeStored().Id == 99);
}

TEST_CASE("a store refuses all writes after a failed one") {
  const Folder folder;
  auto store = mustOpen(folder.Path);
  fs::remove_all(folder.Path);
  CHECK_FALSE(store->write({.Vote = Ballot{4, 1}}));
  fs::create_directory(folder.Path);
  CHECK_FALSE(store->write({.Vote = Ballot{4, 1}}));
}

// A file that couldn't be read for a moment was taken for a missing one: the
// replica drew a new identity, forgot its vote or cut its log, as if its disk
// had been lost.
TEST_CASE("a store doesn't open while one of its files can't be read") {
  const std::string name = GENERATE("identity", "ballot", "snapshot", "log");
  const Folder folder;
  writeThree(folder.Path);
  REQUIRE(mustOpen(folder.Path)
              ->compact(LogSnapshot::make(1, 1, {}, "state"),
                        {entry(2, "two"), entry(3, "three")}));
  const StoredLog before = mustOpen(folder.Path)->takeStored();
  // A folder in its place can be opened, but not read.
  fs::rename(folder.Path + "/" + name, folder.Path + "/aside");
  fs::create_directory(folder.Path + "/" + name);
  const auto unreadable = FileLogStore::open(folder.Path, 12);
  REQUIRE_FALSE(unreadable);
  CHECK(unreadable.error().What == LogStoreError::Kind::Unwritable);
  fs::remove(folder.Path + "/" + name);
  fs::rename(folder.Path + "/aside", folder.Path + "/" + name);
  const StoredLog after = mustOpen(folder.Path)->takeStored();
  CHECK(after.Id == before.Id);
  CHECK(after.Vote == before.Vote);
  CHECK(after.Snapshot == before.Snapshot);
  CHECK(after.Entries == before.Entries);
}
