#ifndef PIMENTOFRONT_SOAK_STREAM_RECORD_H
#define PIMENTOFRONT_SOAK_STREAM_RECORD_H

#include "pimentofront/Base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimentofront::soak {

/// One event as a caller received it, with the attempt that brought it. The
/// server wrote its software version and its id into the data.
struct StreamEvent {
  std::string Attempt;
  std::uint64_t Id = 0;
  std::string Version;
  std::string Server;
};

/// One attempt of a caller at a stream.
struct StreamAttempt {
  std::string Id;
  std::string Entry;
  TimePoint SentAt;
  /// How it ended, and the disturbances of its entry and of the replicas; for
  /// the report.
  std::string Course;
  bool IsComplete = false;
};

/// A caller's return to a stream that had broken off after its first event.
struct Resumption {
  TimePoint StartedAt;
  /// The attempts that it took so far.
  std::vector<std::string> Attempts;
  /// Whether two servers of the stream's version served all the time until it
  /// went on or was given up.
  bool HadTwoServers = true;
  /// Whether one of its attempts went to an entry in touch. Not part of the
  /// check.
  bool HadEntryInTouch = false;
  bool WentOn = false;
};

/// \class StreamRecord
/// \brief What a caller saw of one stream, over all its attempts.
struct StreamRecord {
  /// Number of events of the whole stream.
  std::uint64_t Length = 0;
  TimePoint StartedAt;
  std::vector<StreamAttempt> Attempts;
  std::vector<StreamEvent> Events;
  std::vector<Resumption> Resumptions;
  /// Whole events that have another form than the server gives them.
  std::vector<std::string> Malformed;

  std::uint64_t lastEvent() const {
    return Events.empty() ? 0 : Events.back().Id;
  }
  bool isWhole() const { return Length > 0 && lastEvent() == Length; }
};

} // namespace pimentofront::soak

#endif
