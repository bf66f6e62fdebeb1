#ifndef PIMENTOFRONT_FORWARD_QUARANTINE_SET_H
#define PIMENTOFRONT_FORWARD_QUARANTINE_SET_H

#include "pimentofront/Wire.h"

#include <optional>
#include <unordered_map>

namespace pimentofront {

/// \class QuarantineSet
/// \ingroup Forward
/// \brief What an entry knows of requests that end backend servers: the word of
/// the replicas, and before it has come, what the entry has seen itself.
class QuarantineSet {
public:
  QuarantineState stateOf(const ContentHash &content) const;
  void apply(const QuarantineUpdate &update);
  /// This entry has seen a server end under the request, and reports it.
  void watch(const ContentHash &content) { Own[content] = std::nullopt; }
  /// The ledger has taken the report in, at this version.
  void onReported(const ContentHash &content, std::uint64_t version);
  /// The ledger says what the request is.
  void put(const ContentHash &content, QuarantineState state);

private:
  std::unordered_map<ContentHash, QuarantineState> Known;
  /// Watched by this entry's own word until the ledger's comes, which has this
  /// version or a later one; nothing while the report is on its way.
  std::unordered_map<ContentHash, std::optional<std::uint64_t>> Own;
};

} // namespace pimentofront

#endif
