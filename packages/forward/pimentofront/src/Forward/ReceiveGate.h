#ifndef PIMENTOFRONT_FORWARD_RECEIVE_GATE_H
#define PIMENTOFRONT_FORWARD_RECEIVE_GATE_H

#include "pimentofront/Base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pimentofront {

/// \class ReceiveGateOptions
/// \ingroup Forward
struct ReceiveGateOptions {
  /// Bytes of unfinished requests; 0 sets no bound.
  std::size_t Limit = 0;
  /// The most that one read adds to a request.
  std::size_t ReadBytes = std::size_t(16) << 10;
  /// A request that gets fewer bytes in this time has stalled.
  std::size_t MinProgressBytes = std::size_t(4) << 10;
  Duration StallTime = std::chrono::seconds(1);
  /// A request that is still held up this long after it was for the first time
  /// is given up. Callers look for another entry sooner.
  Duration MaxWait = std::chrono::seconds(2);
};

/// \class ReceiveGate
/// \ingroup Forward
/// \brief Bounds the bytes of requests that are still arriving.
///
/// A request is read while the rest of the limit leaves enough headroom for
/// smaller ones; otherwise its sender waits. The oldest request is always read,
/// so that one of them completes. While any is held up, requests are given up
/// that make no progress, or that have waited too long, until half of the limit
/// is free, those that hold most first: so clients that stop before the end of
/// what they send can't keep the room. No request is given up while there is
/// room for all.
class ReceiveGate {
public:
  using Id = std::uint64_t;

  explicit ReceiveGate(const ReceiveGateOptions &options) : Options(options) {}

  /// \p bytes of the unfinished request \p id are held now. Ids increase with
  /// the age of the connection.
  /// \returns whether more of it may be read.
  bool record(TimePoint now, Id id, std::size_t bytes);
  /// The request is complete, or its connection has ended.
  void remove(Id id);
  /// \returns the ids that record() has stopped and that may be read again.
  std::vector<Id> takeResumed(TimePoint now);
  /// \returns the requests that have to be given up.
  std::vector<Id> findSurplus(TimePoint now) const;

  std::size_t total() const { return Total; }
  std::size_t stopped() const { return Stopped.size(); }

private:
  struct Request {
    std::size_t Bytes = 0;
    /// Bytes at the last time when it had made progress.
    std::size_t ProgressBytes = 0;
    TimePoint ProgressAt;
    /// When it was held up first.
    std::optional<TimePoint> StoppedAt;
  };
  /// \returns whether a request may be given up while others wait.
  bool isSurplus(TimePoint now, Id id, const Request &request) const;
  /// \param total bytes of all requests.
  bool mayRead(Id id, std::size_t bytes, std::size_t total) const;

  ReceiveGateOptions Options;
  std::map<Id, Request> Unfinished;
  std::set<Id> Stopped;
  std::size_t Total = 0;
};

} // namespace pimentofront

#endif
