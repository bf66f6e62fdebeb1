#ifndef PIMENTOFRONT_TESTKIT_SCENARIO_H
#define PIMENTOFRONT_TESTKIT_SCENARIO_H

#include "Simulation.h"

namespace pimentofront::testkit {

/// \class ScenarioResult
/// \ingroup Testkit
struct ScenarioResult {
  /// Errors in the scenario's text, and expectations that weren't met.
  Findings Errors;
  /// Violations of the ledger's invariants.
  std::vector<std::string> Violations;
  /// Log of the run: a line with the outcome of each request sent, then a line
  /// with the final state of each process.
  std::string RunLog;
  bool passed() const { return Errors.empty() && Violations.empty(); }
};

/// \class Scenario
/// \ingroup Testkit
/// \brief Interpreter of a test script with lines of the form "time action
/// arguments", run against the production node classes in virtual time. The
/// actions:
///
///     replica|entry|agent|entry+replica NAME ZONE [slots=N services=NAME]
///     start|kill|freeze|wake|lose-disk|full-disk|leave NAME
///     kill-leader, freeze-leader, isolate-leader
///     engine-restart|engine-down|engine-up NAME
///     cut A B [one-way], isolate NAME, heal, slow A B MS
///     bootstrap NAME
///     adapter NAME via ENTRY [source=TEXT]      creates it, version 1 live
///     version NAME N via ENTRY [by=WHO id=ID]   creates a version
///     live NAME N[,N] via ENTRY [id=ID]
///     drain|undrain HOST via ENTRY
///     kind NAME via ENTRY [weight=N id=ID]
///     changes N via ENTRY                       N changes of a request kind
///     request ID ADAPTER via ENTRY [version=N tokens=N kind=NAME timeout=S]
///     order ID via ENTRY                        non-idempotent service call
///     expect answered|refused|unknown|timed_out|failed|ended ID [| ...]
///     expect runs ID N, expect attempts ID N, expect from ID HOST
///     expect leader, expect ready NAME, expect not-ready NAME
///     expect in-force, expect command ID accepted|conflict|undecided|...
///     expect voters N, expect one-accepted ID ID
///
/// Times are in seconds from the start; "+S" is S seconds after the preceding
/// line. A '#' begins a comment.
class Scenario {
public:
  explicit Scenario(std::uint64_t seed = 1);
  ~Scenario();
  Scenario(const Scenario &) = delete;
  Scenario &operator=(const Scenario &) = delete;

  ScenarioResult run(const std::string &name, std::string_view text);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// \returns a scenario with random faults and requests in a typical deployment,
/// determined by \p seed.
std::string randomScenario(std::uint64_t seed);

} // namespace pimentofront::testkit

#endif
