#ifndef PIMENTOFRONT_FORWARD_QUARANTINE_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_QUARANTINE_CONTROLLER_H

#include "ForwardBoard.h"

namespace pimentofront {

/// Whether a request may be sent to a backend server.
enum class SendLeave : std::uint8_t {
  Granted,
  /// The replicas are being asked; their word comes by onDecision().
  Asked,
  /// It can't be told yet what is in quarantine: to be tried again soon.
  NotKnown,
  /// Another attempt at the same request is under way.
  OnTrial,
  Quarantined,
};

/// A request that goes on, and with which leave.
struct LeaveDecision {
  std::uint64_t Key = 0;
  SendLeave Leave = SendLeave::Granted;
};

/// \class QuarantineController
/// \ingroup Forward
/// \brief An entry's part in finding the requests that end backend servers
/// (queries of death), and in keeping them from further ones.
///
/// An answer that breaks off says little: connections are reset, servers stop
/// and lose their power. Only a process that has gone from a host that still
/// answers is a crash: a new connection to its address is refused at once. The
/// servers that said that they leave don't count. All requests that this entry
/// had there are reported to the replicas' ledger, which weighs them
/// (QuarantineLedger), and none of them is sent again without its leave. That
/// costs a watched request one question of the server and a commit of the
/// replicas.
class QuarantineController {
public:
  explicit QuarantineController(ForwardBoard &board) : Board(board) {}

  /// \returns whether the request may be sent now; asks the replicas if they
  /// have to say.
  SendLeave askLeave(TimePoint now, ForwardRequest &request);
  /// The replicas have decided on a question of this entry, or haven't in time.
  /// \returns the request that goes on by it.
  std::optional<LeaveDecision>
  onDecision(std::uint64_t nonce, const std::optional<CommandOutcome> &outcome);
  void onUpdate(const QuarantineUpdate &update) {
    Board.Quarantine.apply(update);
  }

  /// An attempt broke off: its server is looked at.
  /// \returns whether it is. Then onServerChecked() names the request again,
  /// unless it has ended meanwhile.
  bool checkServer(ForwardRequest &request);
  /// \returns the requests that waited for it.
  std::vector<std::uint64_t>
  onServerChecked(TimePoint now, const ServerProcess &server, ServerLife life);
  /// \returns the requests that may ask for leave now.
  std::vector<std::uint64_t> takeSettled(TimePoint now);
  /// A server ran the request and lives.
  void onSurvived(ForwardRequest &request);
  /// The request ends: whatever leave it had is given back.
  void onFinished(const ForwardRequest &request);

  /// The process has slept or was frozen: what was known then may be old.
  void onWake(TimePoint now) { AskFirstSince = now; }
  /// Everything is known that was decided before \p at.
  void onKnown(TimePoint at);

private:
  struct Check {
    std::vector<RequestAtWork> AtWork;
    std::vector<std::uint64_t> Waiting;
  };
  void settleSecondEnds(TimePoint now, const ServerProcess &server,
                        const Check &check);
  bool mayNotKnow(TimePoint now) const;
  std::uint64_t ask(CommandBody body, Duration giveUpAfter);
  void endTrial(const ContentHash &content, const AttemptId &holder,
                TrialEnding ending);
  /// Gives back the leave that some of \p atWork had.
  void endTrials(const std::vector<RequestAtWork> &atWork, ServerLife life);
  void reportEnd(TimePoint now, const ServerProcess &server,
                 const std::vector<RequestAtWork> &atWork);

  ForwardBoard &Board;
  std::map<ServerProcess, Check> Checks;
  /// Requests that wait for leave, by the nonce of the question.
  std::map<std::uint64_t, std::uint64_t> Claims;
  /// What was reported, by nonce.
  std::map<std::uint64_t, std::vector<ContentHash>> Reports;
  std::uint64_t LastNonce = 0;
  std::optional<TimePoint> AskFirstSince;
};

} // namespace pimentofront

#endif
