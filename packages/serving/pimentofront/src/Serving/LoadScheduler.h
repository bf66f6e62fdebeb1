#ifndef PIMENTOFRONT_SERVING_LOAD_SCHEDULER_H
#define PIMENTOFRONT_SERVING_LOAD_SCHEDULER_H

#include "StoreSlowdown.h"
#include "pimentofront/Wire.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pimentofront {

/// \class LoadSchedulerOptions
/// \ingroup Serving
struct LoadSchedulerOptions {
  /// Rate that the weight store allows; not used with `MeasuresCapacity`.
  double LoadsPerSecond = 4;
  /// Maximum number of concurrent loads; a single load uses the full speed of
  /// the weight store. With `MeasuresCapacity`, the minimum of the limit during
  /// slow start.
  std::uint32_t Concurrent = 1;
  /// The capacity of the store is unknown and learned from how long loads take.
  bool MeasuresCapacity = false;
  /// During slow start, at least this part of the hosts with demands or tickets
  /// may load concurrently.
  double SlowStartHostShare = 0.25;
  /// Growth of the limit for each load at full speed, until the first slow one.
  /// 0.5 makes the limit grow by half in the time of one load, so that it
  /// reaches the store's capacity after about four load times and doesn't
  /// overshoot it far in the last one.
  double SlowStartGrowth = 0.5;
  /// A load that takes this many times the fastest one shows that too many are
  /// in progress. Load times vary by about a tenth at full speed.
  double SlowFactor = 1.2;
  /// After a slow load the limit is multiplied by this value divided by the
  /// slowdown, but by no less than one half. Dividing by the slowdown alone
  /// would give the number of loads that the store serves at full speed; 1.1
  /// leaves the limit a tenth above it.
  double DecreaseHeadroom = 1.1;
  /// Expected time of a load until some have been measured.
  Duration LoadTime = std::chrono::milliseconds(250);
  /// A ticket that has not been returned after this many load times is lost.
  std::uint32_t TicketLifetimeInLoadTimes = 8;
  /// A demand that has not been repeated for this time is dropped.
  Duration DemandLifetime = std::chrono::seconds(3);
};

/// \class IssuedTicket
/// \ingroup Serving
/// \brief A ticket and the host that receives it.
struct IssuedTicket {
  HostName Host;
  LoadTicket Ticket;
};

/// \class LoadScheduler
/// \ingroup Serving
/// \brief Orders the adapter loads of all hosts, limited by the rate of the
/// weight store, or with `MeasuresCapacity` by the number of concurrent loads
/// that the store serves at full speed. That number is learned like a
/// congestion window (slow start and additive increase, Jacobson, 1988; the
/// decrease follows the slowdown itself). Soft state: a new scheduler learns
/// the demands within a second, since agents send them again.
///
/// All loads cost about the same, so that loading for the largest waiting
/// weight first minimizes the weighted waiting time (Smith's rule, 1956).
/// Demands that can't meet their deadline any more are ordered behind those
/// that can.
class LoadScheduler {
public:
  explicit LoadScheduler(const LoadSchedulerOptions &options);

  /// \returns the reply to the agent.
  LoadQueueStatus onDemand(TimePoint now, const LoadDemand &demand);
  void onDone(TimePoint now, const LoadDone &done);
  /// A host has left or lost its lease.
  void removeHost(const HostName &host);
  /// \returns the tickets that may be issued now.
  std::vector<IssuedTicket> run(TimePoint now);
  std::size_t waiting() const { return Demands.size(); }
  /// \returns how many loads may be in progress at one time.
  std::size_t limit() const;

private:
  struct DemandId {
    HostName Host;
    AdapterKey Key;
    friend auto operator<=>(const DemandId &, const DemandId &) = default;
  };
  struct Waiting {
    std::uint32_t Weight = 0;
    TimePoint Deadline;
    TimePoint Since;
    TimePoint LastReceivedAt;
  };
  struct Outstanding {
    HostName Host;
    TimePoint IssuedAt;
  };
  /// Position in the order of loads; smaller goes first.
  struct Rank {
    bool Infeasible = false;
    double NegativeScore = 0;
    TimePoint Since;
    friend auto operator<=>(const Rank &, const Rank &) = default;
  };
  Rank rankOf(TimePoint now, const Waiting &waiting) const;
  /// \returns the share of the loads that will go to demands of a higher weight
  /// than \p weight that haven't arrived yet, at their current arrival rate.
  double overtakingShare(TimePoint now, std::uint32_t weight) const;
  void recordArrival(TimePoint now, std::uint32_t weight);
  Duration timePerLoad() const;
  /// Updates the limit from a load that has ended.
  void updateWindow(TimePoint now, const Outstanding &load, Duration took);
  void expire(TimePoint now);

  LoadSchedulerOptions Options;
  std::map<DemandId, Waiting> Demands;
  std::map<std::uint64_t, Outstanding> Issued;
  std::uint64_t LastTicket = 0;
  Duration LoadTime;
  TimePoint NextAllowed;
  /// Receives some hundred loads a second from all hosts together, so its
  /// estimate ages less with each load than an agent's, and about as much over
  /// time.
  StoreSlowdown Slowdown{{.Aging = 0.00002}};
  /// The learned limit of concurrent loads.
  double Window = 0;
  /// When the limit was last reduced. Slow loads that were issued before do not
  /// reduce it again.
  TimePoint LastDecreaseAt;
  bool SlowStart = true;
  /// Decayed counts of new demands by their initial weight.
  struct Arrivals {
    double Count = 0;
    TimePoint At;
  };
  std::map<std::uint32_t, Arrivals> ArrivalsByWeight;
};

} // namespace pimentofront

#endif
