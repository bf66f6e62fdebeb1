#ifndef PIMENTOFRONT_TESTKIT_FAKE_BACKEND_H
#define PIMENTOFRONT_TESTKIT_FAKE_BACKEND_H

#include "Ledger.h"

#include <functional>
#include <list>

namespace pimentofront::testkit {

/// \class EventScheduler
/// \ingroup Testkit
/// \brief Clock and timer queue of the simulation.
class EventScheduler {
public:
  virtual ~EventScheduler() = default;
  virtual TimePoint now() const = 0;
  virtual void after(Duration delay, std::function<void()> action) = 0;
};

/// \class WeightStoreOptions
/// \ingroup Testkit
struct WeightStoreOptions {
  double LoadsPerSecond = 4;
  /// Total throughput with several concurrent loads, relative to one load at a
  /// time.
  double SharedEfficiency = 0.8;
};

/// \class FakeWeightStore
/// \ingroup Testkit
/// \brief A weight store whose throughput is divided evenly among the loads in
/// progress. A load of a source that begins with "missing:" fails.
class FakeWeightStore {
public:
  FakeWeightStore(EventScheduler &scheduler, const WeightStoreOptions &options)
      : Scheduler(scheduler), Options(options) {}

  using Done = std::function<void(bool)>;
  void load(const std::string &source, Done done);
  std::uint64_t loads() const { return Finished; }

private:
  struct Transfer {
    double RemainingWork = 1;
    bool Fails = false;
    Done OnDone;
  };
  double speed() const;
  void advance();
  void scheduleCompletion();

  EventScheduler &Scheduler;
  WeightStoreOptions Options;
  std::list<Transfer> Active;
  TimePoint AdvancedAt;
  std::uint64_t TimerGeneration = 0;
  std::uint64_t Finished = 0;
};

/// \class FakeEngineOptions
/// \ingroup Testkit
/// \brief Cost model of a step, which grows with the batch size and with the
/// number of distinct adapters in the batch.
struct FakeEngineOptions {
  std::uint32_t Slots = 6;
  std::uint32_t BatchCapacity = 16;
  Duration StepBase = std::chrono::microseconds(10000);
  Duration StepPerRequest = std::chrono::microseconds(300);
  Duration StepPerAdapter = std::chrono::microseconds(700);
  /// Added to the first step of a request.
  Duration Prefill = std::chrono::milliseconds(40);
  /// Added instead when the request's prefix is cached.
  Duration PrefillCached = std::chrono::milliseconds(8);
  /// Number of prefixes in the cache.
  std::size_t PrefixCache = 64;
  /// Tokens in one streamed message.
  std::uint32_t TokensPerMessage = 8;
};

/// \class EngineCounters
/// \ingroup Testkit
struct EngineCounters {
  std::uint64_t Steps = 0;
  /// Batch sizes, summed over the steps.
  std::uint64_t BatchedRequests = 0;
  std::uint64_t Loads = 0;
  std::uint64_t FailedLoads = 0;
};

/// \class FakeEngine
/// \ingroup Testkit
/// \brief An engine with continuous batching. It outlives its agent's process,
/// and reports each order that breaks the engine's contract to the ledger as a
/// violation.
class FakeEngine {
public:
  struct Callbacks {
    std::function<void(const AttemptId &, std::uint32_t, std::string)> OnTokens;
    std::function<void(const AttemptId &)> OnEnd;
  };

  FakeEngine(EventScheduler &scheduler, const FakeEngineOptions &options,
             FakeWeightStore &store, Ledger &ledger)
      : Scheduler(scheduler), Options(options), Store(store),
        RequestLedger(ledger) {}

  /// Connects an agent; replaces the one that was connected before.
  void attach(Callbacks callbacks) { AgentCallbacks = std::move(callbacks); }
  void detach() { AgentCallbacks = {}; }
  /// \param knownStart the engine's startedAt() as the agent last saw it.
  /// \returns false if the engine is down, or if it has restarted since and
  /// doesn't hold the adapter.
  bool generate(const ExecuteRequest &request, std::uint64_t knownStart);
  void cancel(const AttemptId &attempt);
  void load(const StartLoad &load, std::function<void(bool)> done);
  /// Restarts the engine: its adapters, caches and running requests are gone.
  void restart();
  void setDown(bool down);

  bool down() const { return Down; }
  /// Identifies the engine's process; changes with each restart.
  std::uint64_t startedAt() const { return Generation; }
  bool idle() const { return Running.empty(); }
  std::vector<AdapterKey> resident() const {
    return {Resident.begin(), Resident.end()};
  }
  const EngineCounters &counters() const { return Counters; }
  const FakeEngineOptions &options() const { return Options; }

private:
  struct Work {
    ExecuteRequest Request;
    std::uint64_t Position = 0;
    std::uint64_t End = 0;
    std::string Text;
    std::uint32_t Unsent = 0;
  };
  void step(std::uint64_t generation);
  Duration stepTime();
  bool lookUpPrefix(const Work &work);
  void emit(Work &work);

  EventScheduler &Scheduler;
  FakeEngineOptions Options;
  FakeWeightStore &Store;
  Ledger &RequestLedger;
  Callbacks AgentCallbacks;
  std::set<AdapterKey> Resident;
  /// Loads in progress and their completion callbacks.
  std::map<AdapterKey, std::function<void(bool)>> Loading;
  std::map<AttemptId, Work> Running;
  std::vector<AttemptId> NewRequests;
  std::list<std::uint64_t> Prefixes;
  bool Stepping = false;
  bool Down = false;
  std::uint64_t Generation = 1;
  EngineCounters Counters;
};

/// \class FakeService
/// \ingroup Testkit
/// \brief A plain service with non-idempotent calls.
class FakeService {
public:
  FakeService(EventScheduler &scheduler, Ledger &ledger, Duration delay)
      : Scheduler(scheduler), RequestLedger(ledger), Delay(delay) {}
  void call(const ExecuteRequest &request,
            std::function<void(std::string)> done);

private:
  EventScheduler &Scheduler;
  Ledger &RequestLedger;
  Duration Delay;
};

} // namespace pimentofront::testkit

#endif
