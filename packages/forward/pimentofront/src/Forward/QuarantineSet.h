#ifndef PIMENTOFRONT_FORWARD_QUARANTINE_SET_H
#define PIMENTOFRONT_FORWARD_QUARANTINE_SET_H

#include "pimentofront/Wire.h"

#include <optional>
#include <unordered_map>

namespace pimentofront {

/// \class QuarantineSet
/// \ingroup Forward
/// \brief What an entry knows of requests that crash backend servers: the state
/// from the replicas' ledger and, until that has arrived, what the entry has
/// observed itself.
class QuarantineSet {
public:
  QuarantineState stateOf(const ContentHash &content) const;
  void apply(const QuarantineUpdate &update);
  /// This entry has observed that a server exited while it had the request, and
  /// reports it.
  void watch(const ContentHash &content) { Observed[content] = std::nullopt; }
  /// The ledger has recorded the report, at this version.
  void onReported(const ContentHash &content, std::uint64_t version);
  /// The ledger has decided on the request's state.
  void put(const ContentHash &content, QuarantineState state);

private:
  std::unordered_map<ContentHash, QuarantineState> Known;
  /// Requests that this entry watches by its own observation, until an update
  /// of at least this version arrives from the ledger. The version is empty
  /// while the report is in flight.
  std::unordered_map<ContentHash, std::optional<std::uint64_t>> Observed;
};

} // namespace pimentofront

#endif
