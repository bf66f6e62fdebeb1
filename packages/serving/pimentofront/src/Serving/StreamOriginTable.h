#ifndef PIMENTOFRONT_SERVING_STREAM_ORIGIN_TABLE_H
#define PIMENTOFRONT_SERVING_STREAM_ORIGIN_TABLE_H

#include "pimentofront/Wire.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace pimentofront {

/// \class StreamOriginTableOptions
/// \ingroup Serving
struct StreamOriginTableOptions {
  /// Maximum number of streams; the oldest ones are dropped first.
  std::size_t Capacity = 20'000;
  /// Maximum time for which a stream is remembered, whatever lifetime it has.
  Duration MaxLifetime = std::chrono::seconds(60);
};

/// \class StreamOriginTable
/// \ingroup Serving
/// \brief Remembers at which software version streams began, until their
/// callers can't resume them any more.
///
/// Entries keep one for the streams that they began, agents one for the streams
/// of other processes. It isn't durable: what a process forgets when it exits,
/// others have to know.
class StreamOriginTable {
public:
  explicit StreamOriginTable(const StreamOriginTableOptions &options = {})
      : Options(options) {}

  /// Remembers \p origin; replaces what was known of the stream.
  void record(TimePoint now, const StreamOrigin &origin);
  /// \returns the software version at which the stream began, if it is known.
  std::optional<std::string> find(TimePoint now, const RequestId &stream) const;
  /// Drops the streams that can't be resumed any more.
  void expire(TimePoint now);
  std::size_t size() const { return Streams.size(); }

private:
  struct Entry {
    std::string Software;
    TimePoint Until;
  };

  StreamOriginTableOptions Options;
  std::unordered_map<RequestId, Entry> Streams;
  /// In the order in which they were recorded.
  std::deque<RequestId> Order;
};

} // namespace pimentofront

#endif
