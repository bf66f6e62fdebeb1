#ifndef PIMENTOFRONT_FORWARD_ATTEMPT_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_ATTEMPT_CONTROLLER_H

#include "AccountController.h"
#include "HoldController.h"
#include "QuarantineController.h"

namespace pimentofront {

/// \class AttemptController
/// \ingroup Forward
/// \brief Which backend server gets a request, and whether another one does
/// when that one didn't answer it.
class AttemptController {
public:
  /// \param routing chooses among agents; outlives the controller.
  AttemptController(ForwardBoard &board, AccountController &accounts,
                    HoldController &holds, QuarantineController &quarantine,
                    RoutingPolicy &routing)
      : Board(board), Accounts(accounts), Holds(holds), Quarantine(quarantine),
        Routing(routing) {}

  /// Starts the first or another attempt, or gives the request up.
  void next(TimePoint now, ForwardRequest &request);
  /// Goes on by what was decided on the request's leave to be sent.
  void goOn(TimePoint now, ForwardRequest &request, SendLeave leave);
  void onAdmitted(TimePoint now, const HostName &agent,
                  const AttemptAdmitted &message);
  void onPermit(TimePoint now, const HostName &agent,
                const AttemptPermit &message);
  void onRefused(TimePoint now, const HostName &agent,
                 const AttemptRefused &message);
  void onAgentLost(TimePoint now, const HostName &agent);
  void onAgentLeaving(const AgentLeaving &message);
  /// Other processes have registered under the names of some servers: what was
  /// sent to the former ones may be lost.
  void suspectFormerProcesses(TimePoint now);
  /// The process has stood still for \p gap: permits may have come long ago.
  void onStop(Duration gap);
  /// Other zones are evacuated now: requests that wait at agents there go
  /// elsewhere.
  void onZonesChanged(TimePoint now);
  /// The agent of an attempt has said nothing in time.
  void passBySilentAgent(TimePoint now, ForwardRequest &request);

  /// The server didn't run the request; \p outcome says why.
  void notRun(TimePoint now, ForwardRequest &request, ServerOutcome outcome,
              ReleaseKind release);
  /// Ends an attempt that failed, after which the request may have run.
  void endBroken(TimePoint now, ForwardRequest &request);
  /// Sends a request whose attempt has failed to another server, or gives it
  /// up.
  void tryAgain(TimePoint now, ForwardRequest &request);
  /// \returns whether the request may go to a further server, by its route and
  /// its state.
  bool mayRepeat(TimePoint now, const ForwardRequest &request) const;
  /// The first event has come: the agent learns of it.
  void noteBegan(const ForwardRequest &request);
  /// Ends the attempt: the agent and the counters learn of it.
  void endAttempt(TimePoint now, ForwardRequest &request, ServerOutcome outcome,
                  ReleaseKind release);
  /// Takes back whatever is under way for the request.
  void cancel(TimePoint now, ForwardRequest &request);

  /// Keeps the request for a while, or gives it up.
  void holdOrGiveUp(TimePoint now, ForwardRequest &request, ForwardFailure why);
  /// Answers with a refusal that promises that the request did not run, or
  /// with a failure where it may have run, and forgets the request.
  void giveUp(TimePoint now, ForwardRequest &request, ForwardFailure why);
  void finish(TimePoint now, ForwardRequest &request);
  void note(TimePoint now, const char *name, const ForwardRequest &request,
            std::string detail = {}, int status = 0, bool lost = false);
  /// Keeps what the server asks for with its answer, and tells its agent.
  void noteFeedback(TimePoint now, const ForwardRequest &request,
                    const AnswerFeedback &feedback);
  /// The server has run the request, or may have.
  void noteMayHaveRun(ForwardRequest &request) {
    Accounts.onMayHaveRun(request);
  }

private:
  /// Asks an agent, or sends to a plain server.
  void choose(TimePoint now, ForwardRequest &request);
  void choosePlain(TimePoint now, ForwardRequest &request);
  void chooseEngine(TimePoint now, ForwardRequest &request);
  /// No server takes the request now.
  void noneTakes(TimePoint now, ForwardRequest &request);
  /// Only servers take it to which this entry has no permit to send: the
  /// request waits for one, or is refused.
  void awaitPermit(TimePoint now, ForwardRequest &request,
                   const std::vector<ServerProcess> &paced);
  /// \returns whether a zone may have been evacuated of which this entry hasn't
  /// heard.
  bool mayMissEvacuation(TimePoint now) const;
  /// The host of an agent may be gone, and the engine with it.
  void suspect(TimePoint now, const HostName &agent);
  void askAgent(TimePoint now, ForwardRequest &request, const Route &route);
  void send(TimePoint now, ForwardRequest &request, ServerView &server);
  /// Plain services have no agent, and one that has gone needs no word.
  void tellAgent(const HostName &agent, Message message);
  void release(const ForwardAttempt &attempt, ReleaseKind kind);
  /// \returns when a caller that is refused is to come back; nothing if that is
  /// no use.
  std::optional<Duration> comeBackOf(const ForwardRequest &request,
                                     ForwardFailure why);
  void noteLoad(const HostName &agent, const LoadFigures &load);
  ForwardRequest *find(const AttemptId &attempt, const HostName &agent);
  /// \returns whether its route allows it a further server.
  static bool hasServersLeft(const ForwardRequest &request);
  /// \returns whether whoever was asked is out of service, not overloaded.
  bool isOutage(const ForwardRequest &request) const;

  ForwardBoard &Board;
  AccountController &Accounts;
  HoldController &Holds;
  QuarantineController &Quarantine;
  RoutingPolicy &Routing;
};

} // namespace pimentofront

#endif
