#ifndef PIMENTOFRONT_STATE_QUARANTINE_REVIEW_H
#define PIMENTOFRONT_STATE_QUARANTINE_REVIEW_H

#include "QuarantineLedger.h"

namespace pimentofront {

/// \class QuarantineReviewOptions
/// \ingroup State
struct QuarantineReviewOptions {
  /// How long the record of a watched request is stored without a change.
  /// Callers retry within seconds, operators' scripts within a minute.
  Duration WatchRetention = std::chrono::minutes(1);
  /// The same for an accused prompt part, whose requests may come minutes
  /// apart.
  Duration AccusationRetention = std::chrono::minutes(10);
  /// How long a request or a part stays in quarantine before it gets one trial;
  /// by then the servers may have been repaired or replaced. Doubles with each
  /// further quarantine, to at most 16 times this value.
  Duration QuarantineDuration = std::chrono::minutes(10);
  /// Added to the duration of a trial for the delay of the report that it has
  /// ended.
  Duration TrialGrace = std::chrono::seconds(1);
  /// Interval between two reviews of the records.
  Duration Period = std::chrono::seconds(1);
  /// Time from a part's score being high enough for a quarantine to the
  /// decision. Until then, all entries have reported the server exits that they
  /// saw: otherwise the part that explains them best may not be known yet.
  Duration DecisionDelay = std::chrono::milliseconds(100);
};

/// \class QuarantineReview
/// \ingroup State
/// \brief Finds the records of the quarantine ledger that haven't changed for
/// their retention time and are due for review, and the prompt parts on whose
/// quarantine the ledger has to decide.
///
/// Used by the leader alone, on its own boot clock, which also counts the time
/// that the host is suspended. A new leader starts to count anew. So a jump of
/// the time of day or a suspended host may make these times longer, never
/// shorter.
class QuarantineReview {
public:
  explicit QuarantineReview(const QuarantineReviewOptions &options = {})
      : Options(options) {}

  /// \returns the parts on which to decide, and the records that are due. The
  /// latter are none when less than a period has passed since the last review.
  ReviewQuarantine take(TimePoint now, const QuarantineLedger &ledger);
  /// Starts all times anew, after another replica has led.
  void reset() {
    Observations.clear();
    Candidates.clear();
  }

private:
  struct Observation {
    DueRecord Record;
    TimePoint Since;
  };
  Duration quarantineDuration(std::uint32_t quarantines) const;
  Duration retentionOf(const QuarantineRecord &record) const;
  Duration retentionOf(const PartRecord &record) const;
  std::vector<ContentHash> takeCandidates(TimePoint now,
                                          const PartLedger &parts);
  /// Adds \p current to \p due if it hasn't changed for \p retention.
  void observe(TimePoint now, const DueRecord &current, Duration retention,
               std::vector<DueRecord> &due);

  QuarantineReviewOptions Options;
  TimePoint NextAt;
  std::map<ContentHash, Observation> Observations;
  /// When the decision on a part is due.
  std::map<ContentHash, TimePoint> Candidates;
};

} // namespace pimentofront

#endif
