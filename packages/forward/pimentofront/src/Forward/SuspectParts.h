#ifndef PIMENTOFRONT_FORWARD_SUSPECT_PARTS_H
#define PIMENTOFRONT_FORWARD_SUSPECT_PARTS_H

#include "pimentofront/Wire.h"

#include <unordered_map>
#include <unordered_set>

namespace pimentofront {

/// \class SuspectParts
/// \ingroup Forward
/// \brief What an entry knows of prompt parts that crash backend servers: the
/// notices of the replicas' PartLedger.
class SuspectParts {
public:
  void apply(const QuarantineUpdate &update);
  /// \returns the version of the last update.
  std::uint64_t version() const { return Version; }
  /// \returns the notice by which a request with these shared parts is refused;
  /// null if it may be sent.
  const PartNotice *refusalOf(const std::vector<SharedPart> &parts) const;
  /// \returns the notice by which a request with these parts needs the trial
  /// grant; null if it needs none.
  const PartNotice *trialOf(const std::vector<SharedPart> &parts) const;
  /// \returns those of \p parts whose survivors the ledger needs to know of.
  std::vector<ContentHash>
  suspectsAmong(const std::vector<SharedPart> &parts) const;
  /// \returns how many parts are in \p state.
  std::size_t count(PartState state) const;

private:
  const PartNotice *find(const std::vector<SharedPart> &parts,
                         PartState state) const;
  void collectListed();

  std::uint64_t Version = 0;
  std::unordered_map<ContentHash, PartNotice> Notices;
  /// All parts that some notice names.
  std::unordered_set<ContentHash> Listed;
};

/// \returns what a notice is about, for logs.
std::string describePart(const PartNotice &notice);

} // namespace pimentofront

#endif
