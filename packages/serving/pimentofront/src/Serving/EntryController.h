#ifndef PIMENTOFRONT_SERVING_ENTRY_CONTROLLER_H
#define PIMENTOFRONT_SERVING_ENTRY_CONTROLLER_H

#include "EntryBoard.h"

namespace pimentofront {

/// \class EntryController
/// \ingroup Serving
/// \brief All decisions of the process that took a caller's request: limits,
/// claims, routing, retries, and the one final answer.
///
/// Each request ends in exactly one DeliverFinal, unless its caller went away.
class EntryController {
public:
  /// \param configuration and \p routing outlive the controller.
  EntryController(const EntryOptions &options,
                  const ConfigurationView &configuration,
                  RoutingPolicy &routing);

  void onRequest(TimePoint now, CallerRequest request);
  void onCallerGone(TimePoint now, RequestKey key);

  void onAdmitted(TimePoint now, const HostName &host,
                  const AttemptAdmitted &message);
  void onRefused(TimePoint now, const HostName &host,
                 const AttemptRefused &message);
  void onChunk(TimePoint now, const HostName &host,
               const AttemptChunk &message);
  void onFinished(TimePoint now, const HostName &host,
                  const AttemptFinished &message);
  void onAgentLeaving(const AgentLeaving &message);
  /// The link to an agent ended. \p wasOpen false: nothing ever got through.
  void onLinkLost(TimePoint now, const HostName &host, bool wasOpen);
  /// \p outcome is empty when nothing is known by the time to give up.
  void onDecision(TimePoint now, std::uint64_t nonce,
                  const std::optional<CommandOutcome> &outcome);

  /// Members changed; hosts that are gone lose their attempts.
  void onMembers(TimePoint now, const MemberUpdate &update);
  void onDrains();

  /// From now on every new request is refused; those in progress go on.
  void stop() { Board.Stopping = true; }
  bool idle() const { return Board.Requests.empty(); }
  /// Looks at time limits; to be called every few milliseconds.
  void tick(TimePoint now);

  std::vector<EntryCommand> takeCommands();
  const EntryBoard &board() const { return Board; }

private:
  /// \returns whether an operator has taken the host or its zone out of use.
  bool isOutOfUse(const MemberRecord &member) const;
  RefusalReason resolve(EntryRequest &request, std::string &detail) const;
  void refuseNew(const CallerRequest &request, RefusalReason reason,
                 Duration comeBack, std::string detail);
  void claim(TimePoint now, EntryRequest &request);
  void nextAttempt(TimePoint now, EntryRequest &request);
  void send(TimePoint now, EntryRequest &request, const Route &route);
  void noMoreRoutes(EntryRequest &request);
  /// Takes the attempt off the request. \returns null if it is a late answer.
  EntryRequest *find(const AttemptId &attempt, const HostName &host);
  /// \returns whether one more attempt after a failure is allowed.
  bool takeRetry(EntryRequest &request);
  void noteLoad(const HostName &host, const LoadFigures &load);
  void dropAttempt(EntryRequest &request);
  void cancelAttempt(EntryRequest &request);
  /// The current attempt broke off after it may have begun.
  void attemptLost(TimePoint now, EntryRequest &request,
                   const std::string &why);
  void suspend(TimePoint now, const HostName &host);
  void hostFailed(TimePoint now, const HostName &host, bool mayHaveRun);
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
