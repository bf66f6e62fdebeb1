#ifndef PIMENTOFRONT_STATE_QUARANTINE_LEDGER_H
#define PIMENTOFRONT_STATE_QUARANTINE_LEDGER_H

#include "pimentofront/Wire.h"

#include <deque>
#include <map>
#include <optional>

namespace pimentofront {

/// \class QuarantineLedgerOptions
/// \ingroup State
/// \brief Part of the replicated state's meaning: the same on all replicas.
struct QuarantineLedgerOptions {
  /// Ends of servers that it takes to put a request in quarantine.
  std::size_t EndsToQuarantine = 3;
  /// So many do, whatever else was at work at each of them: what a request may
  /// cost stays bounded also where it can't be told from its neighbours.
  std::size_t MostEnds = 5;
  /// The same for trials without a clear end, after the third one.
  std::uint32_t MostLateTrials = 2;
  /// Requests remembered, of some 200 bytes each. A server that ends leaves up
  /// to a batch of them behind, most for a second.
  std::size_t Capacity = 4096;
  /// Removals remembered; whoever has missed more gets the whole ledger.
  std::size_t RemovalsKept = 4096;
};

/// \class QuarantineLedger
/// \ingroup State
/// \brief Which requests end the backend servers that run them (queries of
/// death), over all entries.
///
/// A server that ends does so under all that it had, and all but one of these
/// are innocent. So each is *watched*: one attempt at a time may be made, over
/// the whole fleet, and the first server that survives it clears it. In
/// *quarantine* goes a request that has seen EndsToQuarantine processes end,
/// when nothing else explains one of these ends: no other request that is still
/// under suspicion was waiting there for its first event. Innocents are cleared
/// one by one, so that what is left explains the ends (adaptive group testing,
/// Dorfman, 1943).
///
/// Invariant: a request is tried by one attempt at a time once it is watched,
/// and is given to at most MostLateTrials further servers without a clear end
/// after EndsToQuarantine have ended. There is no time in here: the leader says
/// when something has lasted long enough (see QuarantineReview).
class QuarantineLedger {
public:
  explicit QuarantineLedger(const QuarantineLedgerOptions &options = {})
      : Options(options) {}

  CommandOutcome report(const ReportServerEnd &end);
  CommandOutcome claim(const ClaimTrial &trial);
  CommandOutcome end(const EndTrial &trial);
  CommandOutcome review(const ReviewQuarantine &review);
  CommandOutcome release(const ReleaseQuarantine &release);

  /// Grows with each change that entries must know of.
  std::uint64_t version() const { return Version; }
  const QuarantineRecord *find(const ContentHash &content) const;
  const std::map<ContentHash, QuarantineRecord> &records() const {
    return Records;
  }
  /// \returns what changed after version \p known; nothing if that is all.
  std::optional<QuarantineUpdate> updateSince(std::uint64_t known) const;
  /// Put in what a snapshot holds.
  void restore(const QuarantineRecord &record);
  void restoreVersion(std::uint64_t version);

private:
  void add(const ServerProcess &server, const RequestAtWork &request);
  static bool isKnownEnd(const QuarantineRecord &record,
                         const ServerProcess &server, bool tried);
  void change(QuarantineRecord &record);
  void remove(const ContentHash &content);
  void makeRoom();
  void putInQuarantine(QuarantineRecord &record);
  bool isGuilty(const QuarantineRecord &record) const;
  /// \returns whether no other request explains that \p end came about.
  bool isAlone(const QuarantineRecord &record, const ServerEnd &end) const;

  QuarantineLedgerOptions Options;
  std::map<ContentHash, QuarantineRecord> Records;
  std::uint64_t Version = 0;
  struct Removal {
    ContentHash Content;
    std::uint64_t At = 0;
  };
  std::deque<Removal> Removals;
  /// Removals up to this version are forgotten.
  std::uint64_t RemovalsForgotten = 0;
};

/// \returns what entries have to know of \p record.
QuarantineState stateOf(const QuarantineRecord &record);

} // namespace pimentofront

#endif
