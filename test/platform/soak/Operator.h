#ifndef PIMENTOFRONT_SOAK_OPERATOR_H
#define PIMENTOFRONT_SOAK_OPERATOR_H

#include "Deployment.h"
#include "FaultPlan.h"

namespace pimentofront::soak {

/// Time after its acknowledgement by which a routing document must be in force.
constexpr Duration InForceBound = std::chrono::seconds(2);

/// \class Operator
/// \brief Registers the backend servers, changes the routing document
/// periodically and reads it back; checks that no acknowledged change is lost.
///
/// Each document has a route of its own, /m<version>/, that the next document
/// no longer has: whether that route is served shows which document an entry
/// uses.
class Operator {
public:
  Operator(EventLoop &loop, Deployment &deployment, std::uint64_t seed,
           Report &report);

  /// Starts changing the document.
  void begin() { Changing = true; }
  void stopChanging() { Changing = false; }
  /// Sends the next document now, unless the one before isn't acknowledged yet.
  void change();
  /// Says that \p server leaves for good.
  void deregister(const Server &server);
  /// \returns the newest acknowledged version; acknowledgedAt() is the time of
  /// its acknowledgement.
  std::uint64_t acknowledged() const { return Acknowledged; }
  TimePoint acknowledgedAt() const { return AcknowledgedAt; }
  /// \returns whether a newer version has been sent, which may be in force
  /// already.
  bool hasPendingChange() const { return SentVersion > Acknowledged; }
  /// Reads the document from each replica and checks it.
  void readBack();

private:
  void registerServers();
  void sendChange(std::size_t attempt);
  void registerServer(const Server &server, const std::string &id,
                      std::size_t at);
  void onRead(const HttpResponse &answer, std::uint64_t minVersion);

  EventLoop &Loop;
  Deployment &System;
  Random Rng;
  Report &Results;
  HttpClient Client;
  TimePoint StartedAt;
  bool Changing = false;
  std::uint64_t Sequence = 0;
  std::uint64_t SentVersion = 0;
  bool InFlight = false;
  std::uint64_t Acknowledged = 0;
  TimePoint AcknowledgedAt;
  std::unique_ptr<Timer> RegisterTimer;
  std::unique_ptr<Timer> ChangeTimer;
  std::unique_ptr<Timer> ReadTimer;
  std::unique_ptr<Timer> Retry;
};

} // namespace pimentofront::soak

#endif
