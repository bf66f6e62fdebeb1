#ifndef PIMENTOFRONT_SERVING_ENTRY_CONTROLLER_H
#define PIMENTOFRONT_SERVING_ENTRY_CONTROLLER_H

#include "EntryBoard.h"

namespace pimentofront {

/// \class EntryController
/// \ingroup Serving
/// \brief Makes all decisions of the process that accepted a caller's request:
/// limits, claims, routing, retries and the single final answer.
///
/// Each request ends in exactly one DeliverFinal, unless its caller
/// disconnected.
class EntryController {
public:
  /// \param configuration and \p routing must outlive the controller.
  EntryController(const EntryOptions &options,
                  const ConfigurationView &configuration,
                  RoutingPolicy &routing);

  void onRequest(TimePoint now, CallerRequest request);
  void onCallerDisconnected(TimePoint now, RequestKey key);

  void onAdmitted(TimePoint now, const HostName &host,
                  const AttemptAdmitted &message);
  void onRefused(TimePoint now, const HostName &host,
                 const AttemptRefused &message);
  void onChunk(TimePoint now, const HostName &host,
               const AttemptChunk &message);
  void onFinished(TimePoint now, const HostName &host,
                  const AttemptFinished &message);
  void onAgentLeaving(const AgentLeaving &message);
  /// The link to an agent ended. If \p wasOpen is false, no message was ever
  /// delivered over it.
  void onLinkLost(TimePoint now, const HostName &host, bool wasOpen);
  /// \p outcome is empty if the command wasn't decided by its `ProposeUntil`.
  void onDecision(TimePoint now, std::uint64_t nonce,
                  const std::optional<CommandOutcome> &outcome);

  /// Updates the members; attempts on hosts that are gone count as lost.
  void onMembers(TimePoint now, const MemberUpdate &update);
  void onAvailabilityChanged();

  /// Refuses every new request from now on; those in progress continue.
  void stop() { Board.Stopping = true; }
  bool idle() const { return Board.Requests.empty(); }
  /// Handles expired time limits. Call it every few milliseconds.
  void tick(TimePoint now);

  std::vector<EntryCommand> takeCommands();
  const EntryBoard &board() const { return Board; }

private:
  /// \returns whether an operator has drained the host or evacuated its zone.
  bool isDrainedOrEvacuated(const MemberRecord &member) const;
  RefusalReason resolve(EntryRequest &request, std::string &detail) const;
  /// Replaces the version of a request that selected none by the live one.
  void useLiveVersion(EntryRequest &request) const;
  void refuseNew(const CallerRequest &request, RefusalReason reason,
                 Duration retryAfter, std::string detail);
  void claim(TimePoint now, EntryRequest &request);
  void nextAttempt(TimePoint now, EntryRequest &request);
  void send(TimePoint now, EntryRequest &request, const Route &route);
  void finishUnroutable(EntryRequest &request);
  /// \returns the request whose current attempt this is; null for a late
  /// answer.
  EntryRequest *find(const AttemptId &attempt, const HostName &host);
  /// \returns whether a retry after a failure is allowed, and counts it.
  bool takeRetry(EntryRequest &request);
  void recordLoad(const HostName &host, const AgentLoad &load);
  void dropAttempt(EntryRequest &request);
  void cancelAttempt(EntryRequest &request);
  /// The current attempt ended early and may have begun.
  void onAttemptLost(TimePoint now, EntryRequest &request,
                     const std::string &why);
  void eject(TimePoint now, const HostName &host);
  void onHostFailed(TimePoint now, const HostName &host, bool mayHaveRun);
  void finish(EntryRequest &request, FinalAnswer answer);
  void endClaim(const EntryRequest &request, const FinalAnswer &answer);
  void expire(TimePoint now, EntryRequest &request);
  FinalAnswer unknown(const std::string &why) const;

  EntryBoard Board;
  RoutingPolicy &Routing;
  LeastLoaded ServiceRouting;
};

} // namespace pimentofront

#endif
