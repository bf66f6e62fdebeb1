#ifndef PIMENTOFRONT_STATE_PART_LEDGER_H
#define PIMENTOFRONT_STATE_PART_LEDGER_H

#include "pimentofront/Wire.h"

#include <map>
#include <optional>

namespace pimentofront {

/// \class PartLedgerOptions
/// \ingroup State
/// \brief Options of the part ledger. They determine the outcomes of replicated
/// commands, so they must be the same on all replicas.
struct PartLedgerOptions {
  /// Server exits, and score, with which a part may be put in quarantine.
  std::size_t QuarantineExits = 4;
  /// How many of these exits no part in quarantine may explain.
  std::ptrdiff_t UnexplainedExits = 2;
  std::uint32_t QuarantineScore = 3;
  /// Exits with which a part may be put in quarantine although another part,
  /// of other requests, explains most of them as well as it does.
  std::size_t TiedExits = 6;
  /// How much of a part's score one survivor takes away.
  std::uint32_t SurvivorWeight = 3;
  /// Server exits stored per part.
  std::size_t MaxStoredExits = 16;
  /// Maximum number of records, of some 600 bytes each. A server exit adds one
  /// for each part that its requests share with others; most of these are
  /// removed within a second.
  std::size_t Capacity = 2048;
};

/// \class PartLedger
/// \ingroup State
/// \brief Finds the parts of prompts that crash the backend servers that begin
/// to answer on them, whatever else the request holds. QuarantineLedger finds
/// single requests; use this class for what different requests have in common.
///
/// A server's exit accuses each part that the requests waiting there for their
/// first event share with others. A request with an accused part that a server
/// begins to answer, and survives, speaks for the part. A part's *score* is a
/// cumulative sum (Page, 1954) of both: exits raise it by one, survivors lower
/// it by SurvivorWeight, and at zero the part is cleared. An exit raises the
/// score only if its request was sent when the last exit that did was known:
/// servers that exit at the same moment, for whatever reason, count once.
///
/// Requests with accused parts run as usual: a part that a third of all
/// requests share is accused by nearly every exit, and its survivors clear it.
/// Only decide() puts parts in quarantine: of those with enough exits and the
/// score for it the one that explains its exits best (Ochiai's coefficient,
/// as in spectrum-based fault localization; Abreu et al., 2007). Another part
/// follows only if enough exits remain that the first one doesn't explain.
///
/// Parts that all accused requests have in common can't be told apart. Their
/// quarantine then holds for requests that have all of them (`With`), until a
/// survivor shows which aren't needed.
///
/// Invariants: a part in quarantine, and one on trial that another attempt
/// holds, is run by no request that was sent after that was known. The ledger
/// uses no clock: the leader decides when a record has been unchanged for long
/// enough, see QuarantineReview.
class PartLedger {
public:
  explicit PartLedger(const PartLedgerOptions &options = {})
      : Options(options) {}

  /// \param version of the quarantine ledger after this change, as for the
  /// following functions.
  void report(std::uint64_t version, const ReportServerExit &crash);
  void recordSurvivors(std::uint64_t version, const ReportSurvivors &report);
  /// Puts the best of \p candidates in quarantine. To be called when all
  /// entries have reported the exits that led to it.
  /// \returns whether there was one.
  bool decide(std::uint64_t version,
              const std::vector<ContentHash> &candidates);
  /// Grants the one attempt that may run a part on trial.
  CommandResult claim(const ClaimTrial &trial);
  /// Ends a trial; ignored if another attempt or none holds the grant.
  void end(std::uint64_t version, const EndTrial &trial);
  /// The record has been unchanged for its retention time.
  void expire(std::uint64_t version, const DueRecord &due);
  /// \returns whether there was a record of this part.
  bool remove(const ContentHash &id);

  const std::map<ContentHash, PartRecord> &records() const { return Records; }
  const PartRecord *find(const ContentHash &id) const;
  /// \returns whether a part has enough exits to be put in quarantine.
  bool mayDecideOn(const PartRecord &record) const;
  /// \returns the parts removed since the last call.
  std::vector<ContentHash> takeRemoved();
  void restore(const PartRecord &record) { Records[record.Part.Id] = record; }

private:
  PartRecord &accuse(std::uint64_t version, const InFlightRequest &request,
                     const SharedPart &part);
  void addExit(std::uint64_t version, const ServerProcess &server,
               const InFlightRequest &request, const SharedPart &part);
  /// \returns whether a part in quarantine explains the exit.
  bool isExplained(const ServerProcess &server) const;
  void markExplained(const ServerProcess &server);
  const PartRecord *
  bestCandidate(const std::vector<ContentHash> &candidates) const;
  /// \returns whether another accused part explains most of the exits of
  /// \p record better, or as well without being a part of the same requests.
  bool isDominated(const PartRecord &record) const;
  void putInQuarantine(std::uint64_t version, PartRecord &record);
  void recordSurvivor(std::uint64_t version, PartRecord &record,
                      const std::vector<ContentHash> &survived);
  void lowerScore(PartRecord &record);
  void moveToCompanion(std::uint64_t version, const PartRecord &record);
  void evictWeakest();

  PartLedgerOptions Options;
  std::map<ContentHash, PartRecord> Records;
  std::vector<ContentHash> Removed;
};

} // namespace pimentofront

#endif
