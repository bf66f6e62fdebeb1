#ifndef PIMENTOFRONT_FORWARD_ATTEMPT_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_ATTEMPT_CONTROLLER_H

#include "AccountController.h"
#include "DeferController.h"
#include "PlainController.h"
#include "QuarantineController.h"
#include "StreamOriginController.h"

namespace pimentofront {

/// \class AttemptController
/// \ingroup Forward
/// \brief Chooses the backend server for each request, and decides whether
/// another server gets it when an attempt fails.
class AttemptController {
public:
  /// \param routing chooses among agents; outlives the controller.
  AttemptController(ForwardBoard &board, AccountController &accounts,
                    DeferController &deferrals,
                    QuarantineController &quarantine,
                    StreamOriginController &origins, RoutingPolicy &routing)
      : Board(board), Accounts(accounts), Deferrals(deferrals),
        Quarantine(quarantine), Origins(origins), Routing(routing),
        Plain(board, deferrals) {}

  /// Starts the next attempt at the request, or gives the request up.
  void next(TimePoint now, ForwardRequest &request);
  /// Continues according to the decision on whether the request may be sent.
  void proceed(TimePoint now, ForwardRequest &request, SendDecision decision);
  void onAdmitted(TimePoint now, const HostName &agent,
                  const AttemptAdmitted &message);
  void onPermit(TimePoint now, const HostName &agent,
                const AttemptPermit &message);
  void onRefused(TimePoint now, const HostName &agent,
                 const AttemptRefused &message);
  void onAgentLost(TimePoint now, const HostName &agent);
  void onAgentLeaving(const AgentLeaving &message);
  /// Other processes have registered under the names of some servers: requests
  /// sent to the former processes may be lost.
  void suspectFormerProcesses(TimePoint now);
  /// This process was stalled for \p gap: permits may have arrived long ago.
  void onStall(Duration gap);
  /// The set of evacuated zones has changed: requests that wait for agents in
  /// an evacuated zone are sent elsewhere.
  void onZonesChanged(TimePoint now);
  /// The configuration has changed: requests that wait at agents for a
  /// superseded version of their adapter ask again for the live one.
  void onVersionsChanged(TimePoint now);
  /// The agent of the current attempt hasn't answered in time, or the link to
  /// it is lost: tries another one.
  void skipAgent(TimePoint now, ForwardRequest &request);

  /// The server didn't run the request; \p outcome says why.
  void onNotRun(TimePoint now, ForwardRequest &request, ServerOutcome outcome,
                ReleaseKind release);
  /// Ends a failed attempt in which the server may have run the request.
  void endFailedAttempt(TimePoint now, ForwardRequest &request);
  /// Sends a request whose attempt has failed to another server, or gives it
  /// up.
  void retryOrGiveUp(TimePoint now, ForwardRequest &request);
  /// \returns whether its route and its state allow the request to be sent to
  /// another server.
  bool mayRepeat(TimePoint now, const ForwardRequest &request) const;
  /// Sends the requests for plain services that wait at this entry and have
  /// room now, and refuses those that have waited long enough.
  void serveWaiting(TimePoint now);
  /// The first event has arrived: notifies the agent.
  void notifyBegan(const ForwardRequest &request);
  /// The first event of the current attempt has arrived: records its server's
  /// software version for those who may have to resume the stream.
  void recordFirstEvent(TimePoint now, ForwardRequest &request) {
    Origins.recordFirstEvent(now, request);
  }
  /// Ends the current attempt; notifies the agent and updates the server's
  /// counters.
  void endAttempt(TimePoint now, ForwardRequest &request, ServerOutcome outcome,
                  ReleaseKind release);
  /// Cancels the current attempt, if there is one.
  void cancel(TimePoint now, ForwardRequest &request);

  /// Defers the request, or gives it up.
  void deferOrGiveUp(TimePoint now, ForwardRequest &request,
                     ForwardFailure why);
  /// Answers with a refusal that guarantees that the request did not run, or
  /// with a failure where it may have run, and removes the request.
  void giveUp(TimePoint now, ForwardRequest &request, ForwardFailure why);
  /// Gives up a request because of a part of its prompt.
  void refuseForPart(TimePoint now, ForwardRequest &request);
  void finish(TimePoint now, ForwardRequest &request);
  void recordEvent(TimePoint now, const char *name,
                   const ForwardRequest &request, std::string detail = {},
                   int status = 0, bool lost = false);
  /// Records what the server asks for with its answer, and notifies its agent.
  void recordFeedback(TimePoint now, const ForwardRequest &request,
                      const AnswerFeedback &feedback);
  /// The server has run the request, or may have.
  void recordMayHaveRun(ForwardRequest &request) {
    Accounts.onMayHaveRun(request);
  }

private:
  /// The version of its adapter that was live when the request arrived, or
  /// before it waited, may have been superseded since.
  void useLiveVersion(ForwardRequest &request) const;
  /// \returns whether the software version that may run the request is known,
  /// or none is needed. If not, the request waits or is given up.
  bool knowsOrigin(TimePoint now, ForwardRequest &request);
  /// Adds to \p avoid the servers of the request's service whose software
  /// version may not go on with its stream.
  void avoidOtherSoftware(const ForwardRequest &request,
                          std::vector<ServerProcess> &avoid) const;
  /// Asks an agent for a permit, or sends to a plain server.
  void choose(TimePoint now, ForwardRequest &request);
  void choosePlain(TimePoint now, ForwardRequest &request);
  void chooseEngine(TimePoint now, ForwardRequest &request);
  void refuseForRoom(TimePoint now, ForwardRequest &request,
                     const PlainDecision &decision);
  /// No server takes the request now: defers or refuses it.
  void handleNoServer(TimePoint now, ForwardRequest &request);
  /// Adds to \p avoid the servers of the request's service that may not get
  /// its bytes from this entry now.
  /// \returns how many were added.
  std::size_t avoidFullServers(const ForwardRequest &request,
                               std::vector<ServerProcess> &avoid) const;
  bool hasRoom(const ServerProcess &server,
               const ForwardRequest &request) const;
  void refuseForBytes(TimePoint now, ForwardRequest &request, std::size_t full);
  /// \returns whether a zone may have been evacuated without this entry
  /// knowing.
  bool mayMissEvacuation(TimePoint now) const;
  /// The host of an agent may be gone, and the engine with it.
  void markSuspected(TimePoint now, const HostName &agent);
  /// \param waited how long the request has waited at this agent before.
  void askAgent(TimePoint now, ForwardRequest &request, const Route &route,
                Duration waited = Duration::zero());
  /// The version that the request waits for at an agent is superseded: asks the
  /// same agent for the live one if it is waiting there, and any agent if it
  /// isn't.
  void askForLiveVersion(TimePoint now, ForwardRequest &request);
  void send(TimePoint now, ForwardRequest &request, ServerView &server);
  /// \returns the address of the engine from which the request's engine fetches
  /// cached prompt parts; empty for none.
  std::string fetchSource(TimePoint now, const ForwardRequest &request);
  /// Sends the message if the agent is known. Plain services have no agent, and
  /// an agent that has gone needs no message.
  void recordDisplaced(TimePoint now, const ForwardRequest &request,
                       const AttemptRefused &message);
  void notifyAgent(const HostName &agent, Message message);
  void release(const ForwardAttempt &attempt, ReleaseKind kind);
  /// \returns the retry-after time for a refused caller; nothing if a retry is
  /// useless.
  std::optional<Duration> retryAfterOf(const ForwardRequest &request,
                                       ForwardFailure why);
  void recordLoad(const HostName &agent, const AgentLoad &load);
  ForwardRequest *find(const AttemptId &attempt, const HostName &agent);
  void recordNotRun(TimePoint now, const ForwardRequest &request,
                    ServerOutcome outcome);
  /// Takes a retry from the budget of the request's service if \p allowed.
  /// \returns whether the request may be sent to another server. If not, its
  /// Denial holds the reason.
  bool takeRetry(ForwardRequest &request, bool allowed);
  /// \returns whether its route's limit of servers allows another one.
  static bool hasServersLeft(const ForwardRequest &request);
  /// \returns whether the request is for an engine and every agent that has
  /// refused it is out of service (down or leaving). Overload and the other
  /// reasons for a refusal don't count as an outage.
  bool isOutage(const ForwardRequest &request) const;

  ForwardBoard &Board;
  AccountController &Accounts;
  DeferController &Deferrals;
  QuarantineController &Quarantine;
  StreamOriginController &Origins;
  RoutingPolicy &Routing;
  PlainController Plain;
};

} // namespace pimentofront

#endif
