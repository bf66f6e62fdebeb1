#ifndef PIMENTOFRONT_SERVING_ADMISSION_CONTROLLER_H
#define PIMENTOFRONT_SERVING_ADMISSION_CONTROLLER_H

#include "DisplacementPolicy.h"

namespace pimentofront {

/// \class AdmissionController
/// \ingroup Serving
/// \brief Admits a request, or refuses it at once with a retry-after that is an
/// estimate of the wait. Admitted requests are queued on the board.
class AdmissionController {
public:
  explicit AdmissionController(AgentBoard &board)
      : Board(board), Displacement(board.Accounts) {}

  void onExecute(TimePoint now, EntryLink entry, const ExecuteRequest &request);
  /// Refuses waiting requests whose answer can no longer come in time.
  void refuseInfeasible(TimePoint now);
  /// The load of \p key will end after \p wait. Refuses the requests for which
  /// that is too late, except delegated ones, which the entry sends to the
  /// engine itself: it decides how long they may take.
  void onLoadWait(TimePoint now, const AdapterKey &key, Duration wait);
  /// Refuses all requests that wait for \p key.
  void refuseWaiting(TimePoint now, const AdapterKey &key, RefusalReason reason,
                     Duration retryAfter);
  /// Refuses all waiting requests.
  void refuseAllWaiting(TimePoint now, RefusalReason reason,
                        Duration retryAfter);
  /// Removes a waiting attempt that was cancelled or whose entry is gone.
  /// \returns whether it was waiting.
  bool removeWaiting(const AttemptId &attempt);

  /// \returns the current load, which is sent with answers.
  AgentLoad currentLoad(TimePoint now) const;

private:
  struct Decision {
    RefusalReason Reason = RefusalReason::None;
    Duration RetryAfter = Duration::zero();
    /// The engine holds the adapter: it is resident or being loaded.
    bool HoldsAdapter = false;
    std::uint32_t CachedTokens = 0;
    WeightsVersion Weights;
  };
  /// \param hasRoom the queue takes the request although it is full, since
  /// others yield to it.
  Decision evaluate(TimePoint now, const ExecuteRequest &request,
                    bool hasRoom) const;
  void startService(TimePoint now, EntryLink entry,
                    const ExecuteRequest &request);
  void enqueue(TimePoint now, EntryLink entry, const ExecuteRequest &request);
  WaitingAttempt waitingAttempt(TimePoint now, EntryLink entry,
                                const ExecuteRequest &request);
  DisplacementPolicy::Decision decideRoom(TimePoint now,
                                          const WaitingAttempt &arrival) const;
  void displace(TimePoint now, const DisplacementPolicy::Decision &room);
  /// \returns whether waiting requests compete by urgency or account.
  bool ordersByDemand() const;
  Decision evaluateService(const ExecuteRequest &request) const;
  Decision evaluateResident(TimePoint now, const ExecuteRequest &request) const;
  /// Decides on a request whose adapter is neither resident nor being loaded.
  /// \param firstEvent expected time until the first event.
  Decision evaluateMissing(TimePoint now, const ExecuteRequest &request,
                           Duration firstEvent) const;
  Duration queueWait(TimePoint now) const;
  /// \returns whether a request with \p ahead others before it and \p remaining
  /// time would wait too long for the engine's rate limit.
  bool exceedsRateLimit(TimePoint now, std::size_t ahead,
                        Duration remaining) const;
  /// Refuses the waiting requests that the engine's rate limit doesn't admit in
  /// time.
  void refuseBeyondRateLimit(TimePoint now);
  /// \returns the expected wait until a slot is empty, or the adapter in it may
  /// be evicted, so that \p key can be loaded.
  Duration slotWait(const AdapterKey &key) const;
  /// \returns the expected time until the first event: the wait for a slot, for
  /// the adapter and for the prompts before its own, and the prefill of its own
  /// prompt.
  Duration expectedFirstEvent(TimePoint now,
                              const ExecuteRequest &request) const;
  /// \returns the delay of the engine, the maximum over all delegated requests
  /// whose first event hasn't been reported: the time by which that event is
  /// overdue. The time after the last message of a request's entry isn't
  /// counted, since a stalled entry reports no first events. Shows at once that
  /// an engine has turned slow, or hangs.
  Duration engineDelay(TimePoint now) const;
  /// \returns the estimated wait of a new load.
  Duration loadBacklog(TimePoint now) const;
  void refuse(TimePoint now, const WaitingAttempt &attempt, Decision decision,
              const AgentLoad &agentLoad);
  void sendRefusal(EntryLink entry, const AttemptId &attempt, Decision decision,
                   const AgentLoad &agentLoad);
  /// \returns the inputs of a decision on \p attempt, for the log.
  std::string describeQueue(TimePoint now, const WaitingAttempt &attempt) const;

  AgentBoard &Board;
  DisplacementPolicy Displacement;
};

} // namespace pimentofront

#endif
