#ifndef PIMENTOFRONT_HTTP_RECEIVE_GATE_H
#define PIMENTOFRONT_HTTP_RECEIVE_GATE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace pimentofront {

/// \class ReceiveGate
/// \ingroup Http
/// \brief Bounds the bytes of requests that are still arriving. Above the limit
/// the newest ones aren't read any further, so that their senders wait; the
/// oldest one always is, so that one of them completes.
class ReceiveGate {
public:
  using Id = std::uint64_t;

  /// \param limit 0 sets no bound.
  explicit ReceiveGate(std::size_t limit) : Limit(limit) {}

  /// \p bytes of the unfinished request \p id are held now. Ids increase with
  /// the age of the connection.
  /// \returns whether more of it may be read.
  bool record(Id id, std::size_t bytes);
  /// The request is complete, or its connection has ended.
  void remove(Id id);
  /// \returns the ids that record() has stopped and that may be read again.
  std::vector<Id> takeResumed();

  std::size_t total() const { return Total; }
  std::size_t stopped() const { return Stopped.size(); }

private:
  bool mayRead(Id id) const;

  std::size_t Limit;
  std::map<Id, std::size_t> Unfinished;
  std::set<Id> Stopped;
  std::size_t Total = 0;
};

} // namespace pimentofront

#endif
