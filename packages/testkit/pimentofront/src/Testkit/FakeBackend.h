#ifndef PIMENTOFRONT_TESTKIT_FAKE_BACKEND_H
#define PIMENTOFRONT_TESTKIT_FAKE_BACKEND_H

#include "Ledger.h"

#include <functional>
#include <list>

namespace pimentofront::testkit {

/// \class Schedule
/// \ingroup Testkit
/// \brief Calls at later times of the world.
class Schedule {
public:
  virtual ~Schedule() = default;
  virtual TimePoint now() const = 0;
  virtual void after(Duration delay, std::function<void()> action) = 0;
};

/// \class WeightStoreOptions
/// \ingroup Testkit
struct WeightStoreOptions {
  double LoadsPerSecond = 4;
  /// Throughput when several loads share the store, against one at a time.
  double SharedEfficiency = 0.8;
};

/// \class FakeWeightStore
/// \ingroup Testkit
/// \brief Loads that share its rate; full speed with one at a time.
class FakeWeightStore {
public:
  FakeWeightStore(Schedule &schedule, const WeightStoreOptions &options)
      : Time(schedule), Options(options) {}

  using Done = std::function<void(bool)>;
  void load(const std::string &source, Done done);
  std::uint64_t loads() const { return Finished; }

private:
  struct Transfer {
    double Left = 1;
    bool Fails = false;
    Done OnDone;
  };
  double speed() const;
  void progress();
  void arm();

  Schedule &Time;
  WeightStoreOptions Options;
  std::list<Transfer> Active;
  TimePoint ProgressedAt;
  std::uint64_t Armed = 0;
  std::uint64_t Finished = 0;
};

/// \class FakeEngineOptions
/// \ingroup Testkit
/// \brief Cost of a step grows with the batch and with its distinct adapters.
struct FakeEngineOptions {
  std::uint32_t Slots = 6;
  std::uint32_t BatchCapacity = 16;
  Duration StepBase = std::chrono::microseconds(10000);
  Duration StepPerRequest = std::chrono::microseconds(300);
  Duration StepPerAdapter = std::chrono::microseconds(700);
  /// Added to the step in which a request joins.
  Duration Prefill = std::chrono::milliseconds(40);
  /// The same when its prefix is in the cache.
  Duration PrefillCached = std::chrono::milliseconds(8);
  std::size_t PrefixCache = 64;
  /// Tokens in one message.
  std::uint32_t TokensPerPiece = 8;
};

/// \class EngineFigures
/// \ingroup Testkit
struct EngineFigures {
  std::uint64_t Steps = 0;
  /// Requests, summed over the steps.
  std::uint64_t Served = 0;
  std::uint64_t Loads = 0;
  std::uint64_t FailedLoads = 0;
};

/// \class FakeEngine
/// \ingroup Testkit
/// \brief An engine that batches continuously. It outlives its agent, and
/// notes in the ledger whatever an engine must never be asked.
class FakeEngine {
public:
  struct Callbacks {
    std::function<void(const AttemptId &, std::uint32_t, std::string)> OnTokens;
    std::function<void(const AttemptId &)> OnEnd;
  };

  FakeEngine(Schedule &schedule, const FakeEngineOptions &options,
             FakeWeightStore &store, Ledger &ledger)
      : Time(schedule), Options(options), Store(store), Book(ledger) {}

  /// The agent that is connected; a new one replaces it.
  void attach(Callbacks callbacks) { Calls = std::move(callbacks); }
  void detach() { Calls = {}; }
  /// \param knownAs the start of the engine that the agent knows of.
  /// \returns false when the engine has started anew and refuses.
  bool generate(const ExecuteRequest &request, std::uint64_t knownAs);
  void cancel(const AttemptId &attempt);
  void load(const StartLoad &load, std::function<void(bool)> done);
  /// Starts anew: cold, nothing runs.
  void restart();
  void setDown(bool down);

  bool down() const { return Down; }
  /// Sign of the engine's process; changes with each start.
  std::uint64_t startedAt() const { return Generation; }
  bool idle() const { return Running.empty(); }
  std::vector<AdapterKey> resident() const {
    return {Resident.begin(), Resident.end()};
  }
  const EngineFigures &figures() const { return Figures; }
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
  bool isCached(const Work &work);
  void emit(Work &work);

  Schedule &Time;
  FakeEngineOptions Options;
  FakeWeightStore &Store;
  Ledger &Book;
  Callbacks Calls;
  std::set<AdapterKey> Resident;
  /// Orders to load in progress, and who waits for them.
  std::map<AdapterKey, std::function<void(bool)>> Loading;
  std::map<AttemptId, Work> Running;
  std::vector<AttemptId> Joining;
  std::list<std::uint64_t> Prefixes;
  bool Stepping = false;
  bool Down = false;
  std::uint64_t Generation = 1;
  EngineFigures Figures;
};

/// \class FakeService
/// \ingroup Testkit
/// \brief A plain service whose calls may not be repeated.
class FakeService {
public:
  FakeService(Schedule &schedule, Ledger &ledger, Duration delay)
      : Time(schedule), Book(ledger), Delay(delay) {}
  void call(const ExecuteRequest &request,
            std::function<void(std::string)> done);

private:
  Schedule &Time;
  Ledger &Book;
  Duration Delay;
};

} // namespace pimentofront::testkit

#endif
