#ifndef PIMENTOFRONT_SERVING_STREAM_ORIGIN_TABLE_H
#define PIMENTOFRONT_SERVING_STREAM_ORIGIN_TABLE_H

#include "pimentofront/Wire.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace pimentofront {

/// \class StreamOriginTableOptions
/// \ingroup Serving
struct StreamOriginTableOptions {
  /// Maximum number of streams; the oldest ones are dropped first.
  std::size_t Capacity = 20'000;
  /// Maximum time for which a stream is remembered, whatever lifetime it has.
  Duration MaxLifetime = std::chrono::seconds(60);
  /// A stream that is recorded with a second version counts as unknown. For
  /// tables that several processes fill, whose messages arrive in any order;
  /// otherwise the later version replaces the earlier one.
  bool RejectsConflicts = false;
};

/// \class StreamOriginTable
/// \ingroup Serving
/// \brief Remembers at which software version streams began, until their
/// callers can't resume them any more.
///
/// Entries keep one for the streams that they began, agents and replicas one
/// for the streams of other processes. It isn't durable: what a process forgets
/// when it exits, others have to know.
class StreamOriginTable {
public:
  explicit StreamOriginTable(const StreamOriginTableOptions &options = {})
      : Options(options) {}
  StreamOriginTable(const StreamOriginTable &) = delete;
  StreamOriginTable &operator=(const StreamOriginTable &) = delete;

  /// Remembers \p origin; see StreamOriginTableOptions::RejectsConflicts.
  void record(TimePoint now, const StreamOrigin &origin);
  /// \returns the software version at which the stream began, if it is known.
  std::optional<std::string> find(TimePoint now, const RequestId &stream) const;
  /// \returns all streams that can still be resumed, with the lifetimes that
  /// they have left.
  std::vector<StreamOrigin> all(TimePoint now) const;
  /// Drops the streams that can't be resumed any more.
  void expire(TimePoint now);
  std::size_t size() const { return Streams.size(); }

private:
  struct Entry {
    /// One of Versions; null if the stream was recorded with two of them.
    const std::string *Software = nullptr;
    TimePoint Until;
  };

  bool isFull() const;
  void dropOldest();

  StreamOriginTableOptions Options;
  /// The versions of all streams, stored once each.
  std::set<std::string> Versions;
  std::unordered_map<RequestId, Entry> Streams;
  /// The keys of Streams, in the order in which they were recorded.
  std::deque<const RequestId *> Order;
  /// Length of all keys.
  std::size_t IdBytes = 0;
};

} // namespace pimentofront

#endif
