#ifndef PIMENTOFRONT_TESTKIT_TRACE_H
#define PIMENTOFRONT_TESTKIT_TRACE_H

#include "FakeBackend.h"

namespace pimentofront::testkit {

/// \class KindShare
/// \ingroup Testkit
/// \brief A request kind of a deployment and its share of the requests.
struct KindShare {
  KindRecord Kind;
  double Share = 1;
  std::uint32_t MeanTokens = 80;
};

/// \class Deployment
/// \ingroup Testkit
/// \brief Model of a user's deployment at its present size.
struct Deployment {
  std::string Name;
  std::vector<std::string> Zones;
  std::uint32_t Workers = 18;
  std::uint32_t Entries = 3;
  std::uint32_t Adapters = 3000;
  double LoadsPerSecond = 4;
  /// Exponent of the Zipf distribution of the adapters' popularity.
  double Skew = 1.25;
  /// Mean number of requests in a session of one adapter, and the mean pause
  /// between two requests. With a mean of 1, requests are independent of each
  /// other.
  double SessionRequests = 3;
  Duration SessionPause = std::chrono::seconds(8);
  /// One-way latency between two availability zones.
  Duration BetweenZones = std::chrono::microseconds(900);
  FakeEngineOptions Engine;
  std::vector<KindShare> Kinds;
};
Deployment coralCoast();
Deployment ammann();

/// \class TraceRequest
/// \ingroup Testkit
struct TraceRequest {
  Duration At = Duration::zero();
  KindName Kind;
  AdapterName Adapter;
  std::uint32_t Tokens = 0;
  std::string Prompt;
  std::uint32_t Entry = 0;
  friend auto operator<=>(const TraceRequest &, const TraceRequest &) = default;
};

/// \class ExpectedResults
/// \ingroup Testkit
/// \brief Expected results of a replay of the trace.
struct ExpectedResults {
  /// Minimum share of the requests that are answered within their window.
  double AnsweredInWindow = 0;
  /// Maximum of the 95th percentile of load stalls.
  double StallP95Seconds = 1e9;
};

/// \class Trace
/// \ingroup Testkit
/// \brief Requests in order of arrival, and the expected results.
struct Trace {
  std::string Deployment;
  ExpectedResults Expected;
  std::vector<TraceRequest> Requests;

  /// \returns the trace as JSON lines: a header line, then one line for each
  /// request.
  std::string toLines() const;
  static Trace fromLines(std::string_view text, Findings &findings);
};

/// \class TraceOptions
/// \ingroup Testkit
struct TraceOptions {
  double RequestsPerSecond = 10;
  Duration Length = std::chrono::minutes(5);
  std::uint64_t Seed = 1;
  /// When other adapters become the popular ones; zero for never.
  Duration ShiftAt = Duration::zero();
};

/// Generates requests in sessions: an adapter becomes active, gets a few
/// requests some seconds apart, and becomes idle. Adapters are drawn by
/// popularity.
Trace generateTrace(const Deployment &deployment, const TraceOptions &options);

/// \returns the number of loads of the optimal offline schedule (Belady, 1966),
/// which knows the trace in advance and uses all slots as one cache. No policy
/// needs fewer.
std::uint64_t minLoads(const Trace &trace, std::size_t slots);

/// \returns the rate, in requests a second, that saturates the fake backend:
/// the weight store with the minimum number of loads, or the engines with full
/// batches, whichever rate is lower.
double capacityOf(const Deployment &deployment);

} // namespace pimentofront::testkit

#endif
