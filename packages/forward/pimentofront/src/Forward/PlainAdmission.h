#ifndef PIMENTOFRONT_FORWARD_PLAIN_ADMISSION_H
#define PIMENTOFRONT_FORWARD_PLAIN_ADMISSION_H

#include "PlainRoom.h"

#include <map>
#include <string>

namespace pimentofront {

/// \class PlainAdmissionOptions
/// \ingroup Forward
struct PlainAdmissionOptions {
  /// Share of a request's latency target that its answer may take; the rest
  /// allows for the spread of service times.
  double InTimeShare = 0.8;
  /// The wait at the servers that is aimed at, as a share of the longest one
  /// that is still in time. Waits of single requests vary around it.
  double TargetWaitShare = 0.3;
  /// Growth of the admitted share a second, and what is added to it while
  /// nothing waits at the servers.
  double GrowthPerSecond = 0.1;
  double IdleGrowthPerSecond = 0.5;
  /// Relative cut of the admitted share a second while the wait is twice the
  /// one aimed at; in proportion to the excess.
  double CutPerSecond = 2;
  /// Relative cut of what is sent while that report is fresh.
  double DampingPerExcess = 0.5;
  /// A larger excess counts as this one.
  double MaxExcess = 2;
  /// Half-life of what a report says: the load changes within a few requests.
  Duration ReportHalfLife = std::chrono::milliseconds(100);
  /// The admitted share never falls below this, so that reports keep coming.
  double MinShare = 0.05;
  /// Half-life of the counts of requests.
  Duration CountHalfLife = std::chrono::seconds(5);
  /// A route or an account with less than this share of the requests is rare.
  double RareShare = 0.1;
  /// Share of what is admitted that rare routes and accounts may take before
  /// all others.
  double RareQuota = 0.5;
  /// A less urgent kind is admitted at least at this fraction of the mean
  /// admitted share.
  double LeastUrgentShare = 0.3;
  /// Counts below this are forgotten.
  double NegligibleCount = 0.1;
};

/// \class AdmissionRequest
/// \ingroup Forward
/// \brief What PlainAdmission needs to know of a request.
struct AdmissionRequest {
  std::string Route;
  /// Empty if requests need no key.
  AccountName Account;
  /// 0 is the most urgent.
  std::uint32_t Urgency = 0;
  /// Time from its arrival until its answer is late.
  Duration Target = Duration::zero();
};

/// \class PlainAdmission
/// \ingroup Forward
/// \brief An entry's decision which share of its requests for one plain service
/// it sends.
///
/// For a service that is asked for more than it can do. A queue that makes
/// every answer late serves nobody, so what can't be in time is refused at
/// once. An entry with less than one slot of its own can't bound what it has in
/// flight; it admits a share of its requests instead, by a proportional and an
/// integral term of the excess of the wait that the servers report over the
/// wait that is aimed at (as PIE, RFC 8033, does for packets). The share is cut
/// relative to itself and grows by the same amount at each entry, so that the
/// shares of all entries, which follow the same servers, converge without
/// messages between the entries (D.-M. Chiu, R. Jain: Analysis of the increase
/// and decrease algorithms for congestion avoidance, 1989). Reports come only
/// with answers; an old one counts little, since an entry that sends little
/// would otherwise hear late that there is room. A new process starts with all
/// of its requests.
///
/// What is admitted is divided by urgency first. Among requests of one urgency,
/// those of rare routes and accounts are admitted first: they take little, and
/// chance may refuse all of their few requests. The others are admitted with
/// equal probability (after the thinning by flow of core-stateless fair
/// queueing, I. Stoica, S. Shenker, H. Zhang, 1998).
///
/// Not for engines, whose agents know what they run, nor for services whose
/// servers don't report their load: the share then stays at one.
class PlainAdmission {
public:
  explicit PlainAdmission(const PlainAdmissionOptions &options = {})
      : Options(options) {}

  /// Records that \p request has arrived, and adapts the admitted share to the
  /// wait that the servers have \p reported.
  void recordArrival(TimePoint now, const AdmissionRequest &request,
                     const std::optional<WaitReport> &reported);
  /// \returns the probability with which \p request is to be sent.
  /// \pre its arrival is recorded.
  double probability(TimePoint now, const AdmissionRequest &request) const;
  /// \returns the share of all requests that is admitted.
  double share() const { return Share; }

private:
  /// A number that halves with time.
  struct Count {
    double Value = 0;
    TimePoint At;
  };
  struct Demand {
    Count Rare;
    Count Others;
    /// Shortest latency target of its requests.
    Duration Target = Duration::zero();
  };

  double valueOf(TimePoint now, const Count &count) const;
  void add(TimePoint now, Count &count) const;
  template <class Key>
  void forgetNegligible(TimePoint now, std::map<Key, Count> &counts) const;
  template <class Key>
  bool isRare(TimePoint now, const std::map<Key, Count> &counts,
              const Key &key) const;
  bool isRare(TimePoint now, const AdmissionRequest &request) const;
  double demandOf(TimePoint now, const Demand &demand) const;
  /// \returns the wait at the servers that is aimed at.
  Duration targetWait(TimePoint now, Duration pace) const;
  void adaptShare(TimePoint now, const std::optional<WaitReport> &reported);
  /// \returns how many of the counted requests with \p urgency are admitted.
  double quotaOf(TimePoint now, std::uint32_t urgency) const;

  PlainAdmissionOptions Options;
  double Share = 1;
  TimePoint AdaptedAt;
  /// Factor on what is admitted while the last report is fresh.
  double Damping = 1;
  Count All;
  std::map<std::string, Count> Routes;
  std::map<AccountName, Count> Accounts;
  std::map<std::uint32_t, Demand> Urgencies;
};

} // namespace pimentofront

#endif
