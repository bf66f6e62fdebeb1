#ifndef PIMENTOFRONT_STATE_QUARANTINE_LEDGER_H
#define PIMENTOFRONT_STATE_QUARANTINE_LEDGER_H

#include "PartLedger.h"

#include <deque>
#include <map>
#include <optional>

namespace pimentofront {

/// \class QuarantineLedgerOptions
/// \ingroup State
/// \brief Options of the quarantine ledger. They determine the outcomes of
/// replicated commands, so they must be the same on all replicas.
struct QuarantineLedgerOptions {
  /// Server crashes after which a request may be put in quarantine, provided
  /// that it is the only suspect in one of them.
  std::size_t ExitsToQuarantine = 3;
  /// Server crashes after which a request is put in quarantine regardless of
  /// other suspects. Bounds the crashes per request also where it always ran
  /// together with the same other requests.
  std::size_t MaxExits = 5;
  /// Trials granted after ExitsToQuarantine crashes until a request is put in
  /// quarantine. A trial that is known not to have run doesn't count.
  std::uint32_t MaxTrialsAfterThreshold = 2;
  /// Maximum number of records, of some 200 bytes each. A server crash adds
  /// one for each request of its batch at most; most of these are removed
  /// within a second.
  std::size_t Capacity = 4096;
  /// Recent removals stored; a receiver that missed more gets the whole ledger.
  std::size_t MaxRemovals = 4096;
  PartLedgerOptions Parts;
};

/// \class QuarantineLedger
/// \ingroup State
/// \brief Finds the requests that crash the backend servers that run them
/// (queries of death), across all entries.
///
/// When a server crashes, all requests that were running on it are suspects,
/// although usually one caused the crash. Each of them becomes *watched*: only
/// one attempt at a time may run in the whole fleet, and the first server that
/// survives the request clears it. A request goes into *quarantine* when
/// ExitsToQuarantine processes have crashed while running it and in one of
/// these crashes it is the only suspect: no other request that is still watched
/// or quarantined was waiting there for its first event. Unaffected requests
/// are cleared one by one, until those that remain explain the crashes
/// (adaptive group testing, Dorfman, 1943).
///
/// Invariant: once a request is watched, at most one attempt runs it at a time;
/// after ExitsToQuarantine crashes, at most MaxTrialsAfterThreshold further
/// trials are granted whose outcome stays unclear. The ledger uses no clock:
/// the leader decides when a record has been unchanged for long enough, see
/// QuarantineReview.
///
/// Prompt parts that crash whatever request holds them are found by the
/// PartLedger, which is part of this ledger and shares its versions.
class QuarantineLedger {
public:
  explicit QuarantineLedger(const QuarantineLedgerOptions &options = {})
      : Options(options), PartRecords(options.Parts) {}

  CommandOutcome report(const ReportServerExit &crash);
  CommandOutcome recordSurvivors(const ReportSurvivors &survivors);
  CommandOutcome claim(const ClaimTrial &trial);
  CommandOutcome end(const EndTrial &trial);
  CommandOutcome review(const ReviewQuarantine &review);
  CommandOutcome release(const ReleaseQuarantine &release);

  /// Increases with each change that entries must receive.
  std::uint64_t version() const { return Version; }
  const QuarantineRecord *find(const ContentHash &content) const;
  const std::map<ContentHash, QuarantineRecord> &records() const {
    return Records;
  }
  const PartLedger &parts() const { return PartRecords; }
  /// \returns what changed after version \p known; nothing if \p known is
  /// current.
  std::optional<QuarantineUpdate> updateSince(std::uint64_t known) const;
  /// Inserts a record, or sets the version, from a snapshot.
  void restore(const QuarantineRecord &record);
  void restore(const PartRecord &record) { PartRecords.restore(record); }
  void restoreVersion(std::uint64_t version);

private:
  void addExit(const ServerProcess &server, const InFlightRequest &request);
  /// \param tried whether the request ran there under its current trial grant.
  static bool isKnownExit(const QuarantineRecord &record,
                          const ServerProcess &server, bool duringTrial);
  void markChanged(QuarantineRecord &record);
  void remove(const ContentHash &content);
  void addRemoval(const ContentHash &content);
  /// Reports the parts that the part ledger has removed to the entries.
  void addPartRemovals();
  void reviewRequest(const DueRecord &due);
  void evictOldest();
  void putInQuarantine(QuarantineRecord &record);
  bool shouldQuarantine(const QuarantineRecord &record) const;
  /// \returns whether \p record is the only suspect in \p crash: it was
  /// waiting for its first event then, and no other recorded request was.
  bool isSoleSuspect(const QuarantineRecord &record,
                     const ServerExit &crash) const;

  QuarantineLedgerOptions Options;
  std::map<ContentHash, QuarantineRecord> Records;
  PartLedger PartRecords;
  std::uint64_t Version = 0;
  struct Removal {
    ContentHash Content;
    std::uint64_t At = 0;
  };
  std::deque<Removal> Removals;
  /// Removals up to this version aren't stored any more.
  std::uint64_t DroppedRemovalsVersion = 0;
};

/// \returns the state of \p record that entries receive.
QuarantineState stateOf(const QuarantineRecord &record);
/// \returns the notice about \p record that entries receive.
PartNotice noticeOf(const PartRecord &record);

} // namespace pimentofront

#endif
