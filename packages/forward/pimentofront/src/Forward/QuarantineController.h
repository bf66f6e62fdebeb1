#ifndef PIMENTOFRONT_FORWARD_QUARANTINE_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_QUARANTINE_CONTROLLER_H

#include "ForwardBoard.h"

namespace pimentofront {

/// Whether a request may be sent to a backend server.
enum class SendDecision : std::uint8_t {
  Granted,
  /// The replicas are being asked; onDecision() returns their decision.
  Asked,
  /// It isn't known yet what is in quarantine: to be tried again soon.
  Undecided,
  /// Another attempt at the same request is in progress.
  TrialInProgress,
  Quarantined,
  /// A part of its prompt is in quarantine.
  PartQuarantined,
};

/// A request that waited for a decision, and the decision.
struct TrialDecision {
  std::uint64_t Key = 0;
  SendDecision Decision = SendDecision::Granted;
};

/// The requests that waited for a check of their server, and its result.
struct CheckedRequests {
  std::vector<std::uint64_t> Keys;
  ServerCheckResult Result = ServerCheckResult::Unknown;
};

/// \class QuarantineController
/// \ingroup Forward
/// \brief An entry's part in detecting requests that crash backend servers
/// (queries of death), and in keeping them from further servers.
///
/// An answer that breaks off proves little: connections are reset, servers are
/// stopped or lose power. A server counts as crashed only if its process has
/// gone while its host still answers, so that a new connection to its address
/// is refused at once. Servers that announced that they are leaving don't
/// count. All requests that this entry had on the crashed server are reported
/// to the replicas' ledger, which weighs them (QuarantineLedger), and none of
/// them is sent again without a grant from the ledger. This costs a watched
/// request one check of the server and one commit of the replicas.
///
/// Reports also name the parts of the prompts (PartLedger). A request with an
/// accused part is sent without a grant. When a server begins to answer it,
/// this entry reports that; such reports are collected, so that their number
/// doesn't grow with the number of requests.
class QuarantineController {
public:
  explicit QuarantineController(ForwardBoard &board) : Board(board) {}

  /// \returns whether the request may be sent now; asks the replicas if the
  /// decision is theirs.
  SendDecision decideSend(TimePoint now, ForwardRequest &request);
  /// The replicas have decided on a proposal of this entry, or haven't in time.
  /// \returns the request that waited for it, with the decision.
  std::optional<TrialDecision>
  onDecision(std::uint64_t nonce, const std::optional<CommandOutcome> &outcome);
  void onUpdate(const QuarantineUpdate &update);
  /// \returns the keys of the unanswered requests that are refused because of
  /// a part in quarantine.
  std::vector<std::uint64_t> refusedForPart() const;

  /// An attempt broke off: has its server checked.
  /// \returns whether a check is in progress. onServerChecked() then returns
  /// the request's key, unless the request has ended in the meantime.
  bool checkServer(TimePoint now, ForwardRequest &request);
  /// Only its connection ended the answer: has the server checked, also one
  /// that is leaving. onServerChecked() then returns the request's key.
  void checkClosed(TimePoint now, ForwardRequest &request);
  /// \returns the keys of the requests for which this result counts. A check
  /// that began before a connection closed doesn't show that the process ran
  /// after that, unless it shows an exit: further requests get a further check.
  /// Where a connection may have ended so long ago that the server's next
  /// process accepts connections by now, an accepted one doesn't count either:
  /// the process is asked for its identity, and no keys are returned yet.
  CheckedRequests onServerChecked(TimePoint now, const ServerProcess &server,
                                  ServerCheckResult checkResult);
  /// \returns the keys of the requests that may ask the replicas now.
  std::vector<std::uint64_t> takeSettled(TimePoint now);
  /// A server ran the request and its process still runs.
  void onSurvived(ForwardRequest &request);
  /// A server has begun to answer the request.
  void onBegan(const ForwardRequest &request);
  /// Sends the reports on requests that speak for accused parts.
  void reportSurvivors(TimePoint now);
  /// The request ends: releases the trial grants that it holds or has asked
  /// for, also those that the replicas didn't decide on in time.
  void onFinished(const ForwardRequest &request);

  /// The process was suspended or stalled: what it knows of the quarantine may
  /// be outdated.
  void onResume(TimePoint now) { OutdatedSince = now; }
  /// Every decision made before \p at is known.
  void onCaughtUp(TimePoint at);

private:
  struct HeldTrial {
    ContentHash Of;
    AttemptId Holder;
  };
  struct Check {
    std::string Address;
    std::vector<InFlightRequest> RequestsInFlight;
    std::vector<HeldTrial> Trials;
    std::vector<std::uint64_t> Waiting;
    /// When the first of these connections was found to have ended.
    TimePoint EndedAt;
    /// Longest time for which the end of one of them may have been held back,
    /// by the gaps within the answers, and by the waits for their first byte.
    Duration Delay = Duration::zero();
    Duration FirstWait = Duration::zero();
    /// An answer or a trial counts as good if the process still runs.
    bool Decides = false;
    /// Asks the process for its identity; nothing if that can't be known.
    std::optional<RequestHead> Query;
    /// The process has been asked.
    bool Asked = false;
    bool empty() const { return Waiting.empty(); }
    void append(const Check &other);
  };
  /// The check of a process in progress, and the next one.
  struct Checks {
    Check Current;
    Check Next;
  };
  /// Starts a check of the request's server, or joins the next one.
  /// \param mayAccuse an exit would speak against the request.
  /// \param endsAnswer the answer is whole if the server's process still runs.
  void joinCheck(TimePoint now, ForwardRequest &request, bool mayAccuse,
                 bool endsAnswer);
  /// \returns whether another process than the checked one may have accepted
  /// the connection of \p check, and it matters which.
  bool mayBeSuccessor(TimePoint now, const Check &check) const;
  /// Asks the process that accepts connections in place of \p server which one
  /// it is.
  /// \returns whether it can be asked.
  bool askIdentity(const ServerProcess &server, Check &check);
  /// Records what the process that was asked for its identity turned out to be.
  void recordIdentity(const ServerProcess &server,
                      ServerCheckResult checkResult);
  void startSettling(TimePoint now, const ServerProcess &server,
                     const Check &check);
  bool mayBeOutdated(TimePoint now) const;
  /// Asks the replicas for the trial grant of \p suspect.
  SendDecision claim(TimePoint now, ForwardRequest &request,
                     const ContentHash &suspect);
  InFlightParts inFlightParts(const ForwardRequest &request) const;
  std::uint64_t ask(CommandBody body, Duration giveUpAfter);
  void endTrial(const ContentHash &content, const AttemptId &holder,
                TrialEnding ending);
  /// Releases the trial grants that requests at a server held.
  void endTrials(const std::vector<HeldTrial> &trials,
                 ServerCheckResult checkResult);
  void reportServerExit(TimePoint now, const ServerProcess &server,
                        const std::vector<InFlightRequest> &inFlight);

  ForwardBoard &Board;
  std::map<ServerProcess, Checks> ServerChecks;
  /// Keys of the requests that wait for a trial grant, by the nonce of the
  /// proposal.
  std::map<std::uint64_t, std::uint64_t> Claims;
  /// Contents that were reported, by the nonce of the report.
  std::map<std::uint64_t, std::vector<ContentHash>> Reports;
  std::vector<SurvivedRequest> Survivors;
  TimePoint NextSurvivorReport;
  std::uint64_t LastNonce = 0;
  std::optional<TimePoint> OutdatedSince;
};

} // namespace pimentofront

#endif
