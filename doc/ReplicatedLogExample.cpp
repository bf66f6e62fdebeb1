//===- ReplicatedLogExample.cpp - Embedding the replicated log --*- C++ -*-===//
///
/// A minimal program around a ReplicatedLog: a group of one replica that stores
/// its log in a folder. The order of the steps matters: write and sync, report
/// the sync, send messages, and only then apply committed entries.
///
//===----------------------------------------------------------------------===//

#include "pimentofront/Consensus.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>

using namespace pimentofront;

int main() {
  const std::string folder = std::filesystem::temp_directory_path().string() +
                             "/pimentofront-example-log";
  std::filesystem::remove_all(folder);
  constexpr ReplicaId NewIdentity = 42; // Use a random number here.
  auto store = FileLogStore::open(folder, NewIdentity);
  if (!store)
    return EXIT_FAILURE;

  TimePoint now{std::chrono::seconds(1)}; // Read the boot clock here.
  ReplicatedLog log(now, {.Host = HostName("host-1"), .Address = "10.0.0.1:1"},
                    (*store)->takeStored());
  log.bootstrap(now, /*wallMilliseconds=*/0);
  log.propose(now, 0, "the first command");

  std::size_t applied = 0;
  for (int turn = 0; turn < 3; ++turn) {
    const LogActions actions = log.takeActions();
    if (!(*store)->write(actions.Write))
      return EXIT_FAILURE; // Nothing of this batch may be acknowledged.
    log.synced(now);
    // Here actions.Messages would be sent to the other replicas.
    for (const LogEntry &it : actions.Committed) {
      std::printf("entry %llu: %s\n", static_cast<unsigned long long>(it.Index),
                  it.Data.c_str());
      ++applied;
    }
  }
  std::filesystem::remove_all(folder);
  return applied == 1 ? EXIT_SUCCESS : EXIT_FAILURE;
}
