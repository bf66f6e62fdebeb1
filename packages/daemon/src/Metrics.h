#ifndef PIMENTOFRONT_DAEMON_METRICS_H
#define PIMENTOFRONT_DAEMON_METRICS_H

#include "pimentofront/Forward.h"

#include <memory>

namespace pimentofront {

/// \class Gauges
/// \brief Values that are read when the metrics are asked for.
struct Gauges {
  double Revision = 0;
  double ConfigurationLeaseSeconds = 0;
  double MemberLeaseSeconds = 0;
  double InProgress = 0;
  double EngineRunning = 0;
  double EngineWaiting = 0;
  double BatchCapacity = 0;
  /// Requests a second that the engine takes from all entries; 0 is no limit.
  double EngineRateLimit = 0;
  /// Backend servers that ask for this, as far as the entry knows.
  double LimitedServers = 0;
  double RestingServers = 0;
  double LeavingServers = 0;
  double ColdServers = 0;
  /// Zones that operators have had evacuated, as far as the entry knows.
  double EvacuatedZones = 0;
  double Leads = 0;
  double PeerBytesSent = 0;
  double PeerBytesReceived = 0;
};

/// \class Metrics
/// \brief What the daemon counts, for Prometheus (prometheus-cpp).
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// A request had its final answer after \p took.
  void noteFinal(const KindName &kind, const FinalAnswer &answer,
                 Duration took);
  void recordLoad(bool succeeded, Duration took);
  /// Forwarding decided something about a request.
  void noteForward(const ForwardEvent &event);
  void set(const Gauges &gauges);
  /// \returns all metrics in the text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// \returns the name of a final answer's kind in metrics and logs.
const char *finalKindName(FinalKind kind);

} // namespace pimentofront

#endif
