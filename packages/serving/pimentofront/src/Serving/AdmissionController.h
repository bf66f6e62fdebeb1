#ifndef PIMENTOFRONT_SERVING_ADMISSION_CONTROLLER_H
#define PIMENTOFRONT_SERVING_ADMISSION_CONTROLLER_H

#include "AgentBoard.h"

namespace pimentofront {

/// \class AdmissionController
/// \ingroup Serving
/// \brief Takes a request in, or refuses it at once with a truthful time to
/// come back. What it takes in waits on the board.
class AdmissionController {
public:
  explicit AdmissionController(AgentBoard &board) : Board(board) {}

  void onExecute(TimePoint now, EntryLink entry, const ExecuteRequest &request);
  /// Refuses waiting requests whose answer can't come in time any more.
  void refuseHopeless(TimePoint now);
  /// The load that \p key waits for takes \p wait: refuses those for whom that
  /// is too long, but for those whose entry judges it.
  void onLoadWait(TimePoint now, const AdapterKey &key, Duration wait);
  /// Refuses all that wait for \p key.
  void refuseWaiting(const AdapterKey &key, RefusalReason reason,
                     Duration comeBack);
  /// Refuses all that wait for anything.
  void refuseAllWaiting(RefusalReason reason, Duration comeBack);
  /// Drops a waiting attempt that nobody wants any more.
  /// \returns whether it was waiting.
  bool forget(const AttemptId &attempt);

  /// \returns what answers carry about this host's load.
  LoadFigures figures(TimePoint now) const;

private:
  struct Verdict {
    RefusalReason Reason = RefusalReason::None;
    Duration ComeBack = Duration::zero();
    /// The adapter is here, or on its way.
    bool Holds = false;
  };
  Verdict judge(TimePoint now, const ExecuteRequest &request) const;
  Verdict judgeService(const ExecuteRequest &request) const;
  Verdict judgeResident(TimePoint now, const ExecuteRequest &request) const;
  /// \param firstEvent how long the first event would take.
  Verdict judgeMissing(TimePoint now, const ExecuteRequest &request,
                       Duration firstEvent) const;
  Duration queueWait(TimePoint now) const;
  /// \returns whether the engine's limit keeps a request waiting for too long
  /// that has \p ahead others before it, and \p remaining time.
  bool exceedsRateLimit(TimePoint now, std::size_t ahead,
                        Duration remaining) const;
  /// Refuses what the engine's limit doesn't let through in time.
  void refuseBeyondRateLimit(TimePoint now);
  /// \returns how long a request would wait until a slot can be given up for
  /// its adapter.
  Duration slotWait(const AdapterKey &key) const;
  /// \returns how long the first event would take: the wait for a slot, for
  /// the adapter, for the prompts before its own, and its own.
  Duration expectedFirstEvent(TimePoint now,
                              const ExecuteRequest &request) const;
  /// \returns by how much the engine is behind: the latest of the requests that
  /// it hasn't begun, by the word of entries that live, was expected so long
  /// ago. Shows at once that an engine has turned slow, or hangs.
  Duration lag(TimePoint now) const;
  /// \returns how long a new load would wait, as far as is known.
  Duration loadBacklog(TimePoint now) const;
  void refuse(EntryLink entry, const AttemptId &attempt, Verdict verdict,
              const LoadFigures &figures);

  AgentBoard &Board;
};

} // namespace pimentofront

#endif
