#ifndef PIMENTOFRONT_FORWARD_PLAIN_QUEUE_H
#define PIMENTOFRONT_FORWARD_PLAIN_QUEUE_H

#include "PlainRoom.h"

#include <map>
#include <vector>

namespace pimentofront {

/// \class PlainQueueOptions
/// \ingroup Forward
struct PlainQueueOptions {
  /// Share of the time left until a request's latency target by which its
  /// answer must be expected. The rest allows for the spread of service times.
  double InTimeShare = 0.8;
  /// Share of the wait at the servers that more urgent requests accept, up to
  /// which less urgent ones and accounts above their share are sent.
  double ReserveShare = 0.5;
  /// A request waits at the entry for at most this share of its latency target,
  /// so that a caller that is refused can come back in time.
  double MaxWaitShare = 0.25;
  /// How long room is kept for an urgency after its last request.
  Duration UrgencyMemory = std::chrono::seconds(1);
  /// Half-life of the service that an account has received.
  Duration AccountHalfLife = std::chrono::seconds(2);
  /// An account is above its share when it has received this many times the
  /// mean of the active accounts, relative to their shares.
  double ExcessFactor = 2;
  /// An account that has received less than this share of another one's
  /// service doesn't count as active beside it.
  double ActiveShare = 0.02;
  std::size_t MaxWaiting = 128;
  std::size_t MaxAccounts = 256;
  /// How long and how many refused requests are remembered, to favour them when
  /// they come back.
  Duration RefusalMemory = std::chrono::seconds(5);
  std::size_t MaxRefusals = 256;
  /// Shortest time after which a return is worthwhile.
  Duration MinRetryAfter = std::chrono::milliseconds(10);
  /// Bound on the retry-after time of a refusal, and its bound as a share of
  /// the time that the caller has left. Callers give up rather than wait for
  /// more than a third; the jitter adds up to the same time again.
  Duration MaxRetryAfter = std::chrono::seconds(1);
  double MaxRetryAfterShare = 1.0 / 6;
  /// Without a refusal for this long, an overload is over.
  Duration OverloadMemory = std::chrono::seconds(1);
};

/// \class PlainDemand
/// \ingroup Forward
/// \brief What a PlainQueue needs to know of a request.
struct PlainDemand {
  std::uint64_t Key = 0;
  ContentHash Content;
  /// 0 is the most urgent.
  std::uint32_t Urgency = 0;
  /// Empty if requests need no key.
  AccountName Account;
  /// Allotment of the account, relative to the other accounts.
  std::uint32_t AccountShare = 1;
  TimePoint ArrivedAt;
  /// Latency target, counted from ArrivedAt.
  Duration Target = Duration::zero();
  TimePoint Deadline;
  /// It may wait at the entry: no server has got it yet.
  bool MayWait = true;
};

enum class PlainVerdict : std::uint8_t { Send, Wait, Refuse };

/// \class PlainOutcome
/// \ingroup Forward
/// \brief A decision of a PlainQueue and its inputs.
struct PlainOutcome {
  PlainVerdict Verdict = PlainVerdict::Send;
  /// For Refuse: when the caller should come back, before jitter.
  Duration RetryAfter = Duration::zero();
  /// Expected time until the answer, and the time within which it must be
  /// expected for the request to be sent.
  Duration AnswersIn = Duration::zero();
  Duration Allowed = Duration::zero();
  friend auto operator<=>(const PlainOutcome &, const PlainOutcome &) = default;
};

/// \class PlainQueue
/// \ingroup Forward
/// \brief An entry's decisions about requests for one plain service whose slots
/// are all in use.
///
/// For a service with less room than its callers ask for. A request is sent
/// while its answer can be expected by its latency target; less urgent requests
/// and accounts above their share leave a part of the wait at the servers to
/// the others and wait at the entry instead, in order of urgency, return after
/// a refusal, service of the account relative to its share, and deadline. What
/// can't be in time is refused at once, since a queue that makes every answer
/// late serves nobody (compare CoDel, RFC 8289). With free slots everything is
/// sent. Nothing that was sent is taken back.
///
/// Entries exchange nothing: each follows the load reports in its own answers.
/// Only the pace at which waiting requests are sent is divided by the number of
/// entries, so that a service that recovers isn't flooded. A new process starts
/// with an empty queue and without reports, hence sends everything until the
/// first answers have arrived.
class PlainQueue {
public:
  explicit PlainQueue(const PlainQueueOptions &options = {})
      : Options(options) {}

  /// Decides on a request that has arrived or is tried again. It joins the
  /// queue if the verdict is Wait.
  PlainOutcome offer(TimePoint now, const PlainDemand &demand,
                     const PlainRoom &room);
  /// Removes the waiting requests that can be sent now from the queue.
  /// \returns their keys, in the order in which to send them.
  std::vector<std::uint64_t> takeReady(TimePoint now, const PlainRoom &room);
  /// Removes the waiting requests whose wait is over, or that a more preferred
  /// request has displaced.
  /// \returns their keys.
  std::vector<std::uint64_t> takeExpired(TimePoint now);
  /// Records that a request was sent: counts as service of its account.
  void recordSent(TimePoint now, const PlainDemand &demand);
  void remove(std::uint64_t key);
  /// \returns the retry-after time of a refusal now, before jitter.
  Duration retryAfter(TimePoint now, const PlainDemand &demand,
                      const PlainRoom &room) const;
  /// Records the refusal, so that the request is favoured if it comes back.
  void recordRefusal(TimePoint now, const PlainDemand &demand);

  std::size_t size() const { return Waiting.size(); }
  bool empty() const { return Waiting.empty(); }

private:
  struct UrgencyState {
    TimePoint SeenAt;
    /// Shortest latency target of its requests.
    Duration Target = Duration::zero();
  };
  struct AccountState {
    /// Requests sent, halved every AccountHalfLife, divided by the account's
    /// share.
    double Service = 0;
    TimePoint At;
  };

  /// \returns the time within which the answer must be expected.
  Duration allowed(TimePoint now, const PlainDemand &demand) const;
  Duration inTime(TimePoint now, const PlainDemand &demand) const;
  bool isOverShare(TimePoint now, const PlainDemand &demand) const;
  bool hasReturned(TimePoint now, const PlainDemand &demand) const;
  double serviceOf(TimePoint now, const AccountName &account) const;
  /// \returns whether \p a is sent before \p b.
  bool precedes(TimePoint now, const PlainDemand &a,
                const PlainDemand &b) const;
  bool mayWaitLonger(TimePoint now, const PlainDemand &demand) const;
  void recordUrgency(TimePoint now, const PlainDemand &demand);
  bool isSendable(TimePoint now, const PlainDemand &demand,
                  const PlainRoom &room) const;

  PlainQueueOptions Options;
  std::vector<PlainDemand> Waiting;
  std::vector<std::uint64_t> Displaced;
  std::map<std::uint32_t, UrgencyState> Urgencies;
  std::map<AccountName, AccountState> Accounts;
  std::map<ContentHash, TimePoint> Refusals;
  TimePoint NextSendAt;
  TimePoint OverloadedSince;
  TimePoint LastRefusalAt;
};

} // namespace pimentofront

#endif
