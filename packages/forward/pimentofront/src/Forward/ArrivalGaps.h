#ifndef PIMENTOFRONT_FORWARD_ARRIVAL_GAPS_H
#define PIMENTOFRONT_FORWARD_ARRIVAL_GAPS_H

#include "pimentofront/Wire.h"

#include <optional>

namespace pimentofront {

/// \class ArrivalGaps
/// \ingroup Forward
/// \brief Records when parts of an answer arrived, to bound how late the end of
/// its connection is.
///
/// What a cut link, a suspended process or a paused reader holds back arrives
/// after a gap, so that the longest gap bounds the delay of all that follows.
/// Don't use it for a link whose delay grows slowly: that shows no gap.
class ArrivalGaps {
public:
  /// The head of the answer or a part of its body has arrived.
  void recordArrival(TimePoint now);
  /// The connection isn't read any more, or is read again.
  void recordPause(TimePoint now, bool paused);

  /// \returns how long ago the server may have sent what arrives at \p now;
  /// zero if nothing has arrived before, so that no gap is known.
  Duration delayBound(TimePoint now) const;

private:
  std::optional<TimePoint> LastArrivalAt;
  std::optional<TimePoint> PausedAt;
  Duration LongestGap = Duration::zero();
  /// Time for which the connection wasn't read.
  Duration Unread = Duration::zero();
};

} // namespace pimentofront

#endif
