#ifndef PIMENTOFRONT_STATE_QUARANTINE_REVIEW_H
#define PIMENTOFRONT_STATE_QUARANTINE_REVIEW_H

#include "QuarantineLedger.h"

namespace pimentofront {

/// \class QuarantineReviewOptions
/// \ingroup State
struct QuarantineReviewOptions {
  /// A watched request that nobody sends any more is forgotten after so long:
  /// callers come again within seconds, operators' scripts within a minute.
  Duration WatchedKept = std::chrono::minutes(1);
  /// One in quarantine gets one careful trial after so long, by which a server
  /// is mended or replaced; the time doubles with each further quarantine, up
  /// to sixteenfold.
  Duration QuarantineKept = std::chrono::minutes(10);
  /// Kept back for the way of the word that a trial has ended.
  Duration TrialGrace = std::chrono::seconds(1);
  /// How often the records are looked at.
  Duration Period = std::chrono::seconds(1);
};

/// \class QuarantineReview
/// \ingroup State
/// \brief Tells the leader which records of the quarantine ledger have stood
/// unchanged for their time.
///
/// Kept by the leader alone, by its own boot clock: a new leader counts anew,
/// so a jump of the time of day or a suspended host makes a time longer, never
/// shorter.
class QuarantineReview {
public:
  explicit QuarantineReview(const QuarantineReviewOptions &options = {})
      : Options(options) {}

  /// \returns what is due; nothing between two periods.
  ReviewQuarantine take(TimePoint now, const QuarantineLedger &ledger);
  /// Another leader has counted meanwhile.
  void reset() { Seen.clear(); }

private:
  struct Sight {
    DueRecord Record;
    TimePoint Since;
  };
  Duration limitOf(const QuarantineRecord &record) const;

  QuarantineReviewOptions Options;
  TimePoint NextAt;
  std::map<ContentHash, Sight> Seen;
};

} // namespace pimentofront

#endif
