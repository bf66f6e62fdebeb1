#ifndef PIMENTOFRONT_WIRE_REQUEST_DEMAND_H
#define PIMENTOFRONT_WIRE_REQUEST_DEMAND_H

#include "Fields.h"
#include "pimentofront/Base.h"

namespace pimentofront {

/// \class RequestDemand
/// \ingroup Wire
/// \brief What a request asks of a backend server, for whom, and how urgently.
/// Every decision under load reads this type: who starts next, who is refused,
/// and which requests share an engine.
///
/// The values come from the caller and the routing document. They are hints: a
/// caller may state wrong sizes, so no limit that protects other callers may
/// depend on them alone.
struct RequestDemand {
  /// 0 is the most urgent.
  std::uint32_t Urgency = 0;
  /// Client account that pays for it; empty if requests need no key.
  AccountName Account;
  /// Share of the account relative to the other accounts: its allotment in
  /// units per second, at least 1.
  std::uint32_t AccountShare = 1;
  std::uint32_t PromptTokens = 0;
  /// Expected number of generated tokens.
  std::uint32_t OutputTokens = 0;
  /// Longest time between two events for which a stream counts as on time; zero
  /// if its route sets none.
  Duration PauseTarget = Duration::zero();
  PIMENTOFRONT_FIELDS(RequestDemand, Urgency, Account, AccountShare,
                      PromptTokens, OutputTokens, PauseTarget)
};

} // namespace pimentofront

#endif
