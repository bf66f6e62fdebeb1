#ifndef PIMENTOFRONT_TESTKIT_TRACE_H
#define PIMENTOFRONT_TESTKIT_TRACE_H

#include "FakeBackend.h"

namespace pimentofront::testkit {

/// \class KindShare
/// \ingroup Testkit
/// \brief A kind of request of a deployment and its part of the requests.
struct KindShare {
  KindRecord Kind;
  double Share = 1;
  std::uint32_t MeanTokens = 80;
};

/// \class Deployment
/// \ingroup Testkit
/// \brief One of the users' deployments, at today's size.
struct Deployment {
  std::string Name;
  std::vector<std::string> Zones;
  std::uint32_t Workers = 18;
  std::uint32_t Entries = 3;
  std::uint32_t Adapters = 3000;
  double LoadsPerSecond = 4;
  /// Exponent of the popularity of adapters (Zipf).
  double Skew = 1.25;
  /// Mean number of requests in a session of one adapter, and the mean pause
  /// between two; 1 request makes all requests independent of each other.
  double SessionRequests = 3;
  Duration SessionPause = std::chrono::seconds(8);
  Duration BetweenZones = std::chrono::microseconds(900);
  FakeEngineOptions Engine;
  std::vector<KindShare> Kinds;
};
Deployment coralCoast();
Deployment ammann();

/// \class TraceRequest
/// \ingroup Testkit
/// \brief One request of a trace.
struct TraceRequest {
  Duration At = Duration::zero();
  KindName Kind;
  AdapterName Adapter;
  std::uint32_t Tokens = 0;
  std::string Prompt;
  std::uint32_t Entry = 0;
  friend auto operator<=>(const TraceRequest &, const TraceRequest &) = default;
};

/// \class StatedOutcomes
/// \ingroup Testkit
/// \brief What a replay of the trace should show.
struct StatedOutcomes {
  /// Part of the requests that is answered within its window, at least.
  double AnsweredInWindow = 0;
  /// 95th percentile of load stalls, at most.
  double StallP95Seconds = 1e9;
};

/// \class Trace
/// \ingroup Testkit
/// \brief Requests in order of time, and what is expected of them.
struct Trace {
  std::string Deployment;
  StatedOutcomes Outcomes;
  std::vector<TraceRequest> Requests;

  /// JSON lines: a head, then a line for each request.
  std::string toLines() const;
  static Trace fromLines(std::string_view text, Findings &findings);
};

/// \class TraceOptions
/// \ingroup Testkit
struct TraceOptions {
  double RequestsPerSecond = 10;
  Duration Length = std::chrono::minutes(5);
  std::uint64_t Seed = 1;
  /// From here on other adapters are the popular ones; zero for never.
  Duration ShiftAt = Duration::zero();
};

/// Requests come in sessions: an adapter wakes, gets a few requests some
/// seconds apart, and falls idle; which one wakes follows its popularity.
Trace generateTrace(const Deployment &deployment, const TraceOptions &options);

/// \returns loads that an offline schedule needs which knows the trace, with
/// all slots as one cache (Belady, 1966): no policy needs fewer.
std::uint64_t fewestLoads(const Trace &trace, std::size_t slots);

/// \returns requests a second at which the fakes are used up: the weight store
/// by the fewest loads, or the engines by their steps.
double capacityOf(const Deployment &deployment);

} // namespace pimentofront::testkit

#endif
