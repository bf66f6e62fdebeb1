#ifndef PIMENTOFRONT_SOAK_STREAM_CHECKS_H
#define PIMENTOFRONT_SOAK_STREAM_CHECKS_H

#include "StreamRecord.h"

namespace pimentofront::soak {

/// Streams a run that may hold events of two software versions.
constexpr std::size_t MaxMixedStreams = 2;
/// Resumed streams from which on their share that goes on is checked.
constexpr std::size_t MinResumptions = 12;

/// \returns a line for each stream in which an event is missing, comes twice or
/// has another form, or which ended as complete before its last event.
std::vector<std::string>
checkEventOrder(const std::vector<StreamRecord> &streams);

/// \returns a line for each stream with events of more than one software
/// version, in the order of the streams.
std::vector<std::string>
describeMixedStreams(const std::vector<StreamRecord> &streams);

/// \returns a line for each mixed stream if there are more than
/// MaxMixedStreams.
std::vector<std::string>
checkVersions(const std::vector<StreamRecord> &streams);

/// Share of streams that begin, or of resumptions that go on.
struct StreamShare {
  std::size_t Of = 0;
  std::size_t Good = 0;

  double share() const {
    return Of == 0 ? 1 : static_cast<double>(Good) / static_cast<double>(Of);
  }
};
StreamShare begunStreams(const std::vector<StreamRecord> &streams);
/// \returns the share of resumptions while two servers of the version served.
StreamShare resumedStreams(const std::vector<StreamRecord> &streams);
/// \returns the share of those of which an attempt went to an entry in touch.
/// For the report only: few resumptions are left, so the check counts all.
StreamShare streamsResumedInTouch(const std::vector<StreamRecord> &streams);

/// \returns how many of these resumptions would go on if they did so as often
/// as the new streams of the same time begin. All streams fail while entries
/// know no servers, and most resumptions are at times of faults.
double expectedResumptions(const std::vector<StreamRecord> &streams);

/// \returns lines if streams go on less than half as often as new streams of
/// the same time begin: the first with the numbers, the others for the streams
/// that didn't go on.
std::vector<std::string>
checkResumptions(const std::vector<StreamRecord> &streams);

} // namespace pimentofront::soak

#endif
