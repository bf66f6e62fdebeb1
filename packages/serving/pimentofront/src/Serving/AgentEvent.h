#ifndef PIMENTOFRONT_SERVING_AGENT_EVENT_H
#define PIMENTOFRONT_SERVING_AGENT_EVENT_H

#include "pimentofront/Wire.h"

namespace pimentofront {

/// \class AgentEvent
/// \ingroup Serving
/// \brief A decision of the agent about a request and its inputs, for logs and
/// metrics.
struct AgentEvent {
  enum class Outcome : std::uint8_t { Started, Displaced, Refused };

  Outcome Result = Outcome::Started;
  RequestId Request;
  KindName Kind;
  std::uint32_t Urgency = 0;
  AccountName Account;
  RefusalReason Reason = RefusalReason::None;
  /// Time that it waited at this agent.
  Duration Waited = Duration::zero();
  Duration RetryAfter = Duration::zero();
  /// Inputs of the decision; empty for a start.
  std::string Detail;
};

/// \returns the name of an outcome in metrics and logs.
inline const char *agentOutcomeName(AgentEvent::Outcome outcome) {
  constexpr const char *Names[] = {"started", "displaced", "refused"};
  return Names[static_cast<std::size_t>(outcome)];
}

} // namespace pimentofront

#endif
