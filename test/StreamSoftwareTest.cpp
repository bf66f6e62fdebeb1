// Servers of several software versions serve side by side, and what two of them
// write doesn't fit together: a stream may go on only at the version that began
// it, within one answer and when its caller resumes it at another entry.
// Streams that no server may continue are refused, but a stream whose version
// still serves goes on: its caller would lose what it has.

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Entries = 4;
constexpr std::uint32_t FirstServers = 9;
/// Servers of the second version that join, at two times.
constexpr std::uint32_t LaterServers = 3;
constexpr double StreamsPerSecond = 40;
constexpr std::uint32_t Events = 32;
constexpr std::uint32_t Adapters = 8;
/// A caller gives up a stream after this many attempts.
constexpr int MaxAttempts = 6;
/// In this time all streams end.
constexpr Duration DrainTime = 20s;

/// Streams that may hold events of two software versions.
constexpr int MaxMixed = 2;
/// From this number of resumed streams on, the share that goes on counts, and
/// how large it must be, as a share of the new streams that begin.
constexpr int MinResumed = 12;
constexpr double MinShare = 0.5;

ForwardFleetOptions fleetOptions(std::uint64_t seed) {
  return {.Simulation = {.Seed = seed, .Store = {.LoadsPerSecond = 40}},
          .Entries = Entries,
          .Servers = FirstServers,
          .Events = Events,
          .Engines = true,
          .AdapterSlots = Adapters,
          .Software = "v1"};
}

/// A stream as its caller sees it.
struct CallerStream {
  std::string Content;
  std::string Adapter;
  /// Id of the attempt that brought the first event.
  std::string FirstAttempt;
  /// Software version of each event.
  std::vector<std::string> Software;
  std::uint32_t Entry = 0;
  /// Key of the attempt in progress; 0 without one.
  std::uint64_t Key = 0;
  int Attempts = 0;
  /// The caller has resumed it while two servers of its version were up.
  bool Resumed = false;
  /// An event has arrived after that.
  bool GoesOn = false;
  /// Status of the last attempt, and how long it took.
  int Status = 0;
  Duration Took = Duration::zero();

  bool isMixed() const {
    return std::ranges::any_of(
        Software, [&](const auto &it) { return it != Software.front(); });
  }
};

/// A fleet in the middle of an upgrade, and callers that resume their streams
/// when an answer breaks off or is refused.
class UpgradedFleet {
public:
  /// \param comeBackAfter time after which callers resume a stream, unless the
  /// refusal names a longer one.
  explicit UpgradedFleet(const ForwardFleetOptions &options,
                         Duration comeBackAfter = 100ms)
      : Fleet(options), ComeBackAfter(comeBackAfter),
        Rng(options.Simulation.Seed + 1) {
    Fleet.runFor(5s);
    addServers();
    Fleet.runFor(5s);
  }

  void addServers() {
    for (std::uint32_t i = 0; i < LaterServers; ++i)
      Fleet.addServer("v2");
  }
  void runFor(Duration time) {
    const TimePoint end = Fleet.now() + time;
    while (Fleet.now() < end) {
      begin();
      Fleet.runFor(Rng.jitter(fromSeconds(1 / StreamsPerSecond)));
    }
  }
  /// Calls \p fault each \p interval under load; the second half of the new
  /// servers joins halfway. Then waits until all streams have ended.
  void play(Duration interval, const std::function<void(int)> &fault) {
    constexpr int Faults = 24;
    for (int i = 0; i < Faults; ++i) {
      if (i == Faults / 2)
        addServers();
      runFor(interval);
      fault(i);
    }
    Fleet.runFor(DrainTime);
  }
  CallerStream &begin() {
    const std::string n = std::to_string(Streams.size());
    Streams.push_back(std::make_unique<CallerStream>(
        CallerStream{.Content = "stream-" + n,
                     .Adapter = "a" + std::to_string(any(Adapters))}));
    send(*Streams.back(), any(Entries));
    return *Streams.back();
  }
  /// Resets the connections of up to \p n callers.
  void reset(int n) {
    std::vector<std::uint64_t> keys;
    for (const auto &it : Streams)
      if (it->Key != 0)
        keys.push_back(it->Key);
    for (int i = 0; i < n && !keys.empty(); ++i)
      Fleet.resetCall(keys[any(static_cast<std::uint32_t>(keys.size()))]);
  }
  std::uint32_t any(std::uint32_t n) {
    return static_cast<std::uint32_t>(Rng.uniform() * n);
  }

  int count(const std::function<bool(const CallerStream &)> &predicate) const {
    return static_cast<int>(std::ranges::count_if(
        Streams, [&](const auto &it) { return predicate(*it); }));
  }
  int mixed() const { return count(&CallerStream::isMixed); }
  void check(std::uint64_t seed) const {
    const int begun =
        count([](const auto &it) { return !it.Software.empty(); });
    const int resumed = count([](const auto &it) { return it.Resumed; });
    const int goOn = count([](const auto &it) { return it.GoesOn; });
    const int second = count([](const auto &it) {
      return it.Resumed && it.Software.front() == "v2";
    });
    const auto all = static_cast<int>(Streams.size());
    const double newShare = static_cast<double>(begun) / all;
    const double share = static_cast<double>(goOn) / std::max(resumed, 1);
    INFO("seed " << seed << ": " << all << " streams, " << begun << " began, "
                 << resumed << " resumed (" << second << " of v2), " << goOn
                 << " go on, " << mixed() << " with events of two versions, "
                 << Misplaced << " events missing or twice");
    CHECK(mixed() <= MaxMixed);
    CHECK(Misplaced == 0);
    if (resumed >= MinResumed)
      CHECK(share >= MinShare * newShare);
  }

  ForwardFleet Fleet;
  std::vector<std::unique_ptr<CallerStream>> Streams;

private:
  void send(CallerStream &stream, std::uint32_t entry) {
    ++stream.Attempts;
    stream.Entry = entry;
    if (!stream.Software.empty() &&
        Fleet.serversUp(stream.Software.front()) >= 2)
      stream.Resumed = true;
    stream.Key = Fleet.call(
        Fleet.entry(entry), stream.Content,
        [this, &stream](const CallerAnswer &it) { onAnswer(stream, it); },
        stream.Adapter,
        {.Attempt = stream.FirstAttempt, .LastEvent = stream.Software.size()});
  }
  void onAnswer(CallerStream &stream, const CallerAnswer &answer) {
    stream.Key = 0;
    stream.Status = answer.Status;
    stream.Took = answer.EndedAt - answer.SentAt;
    if (answer.Stamped)
      addEvents(stream, answer);
    if (stream.Software.size() == Events || stream.Attempts == MaxAttempts)
      return;
    const Duration wait = std::max(answer.RetryAfter, ComeBackAfter);
    Fleet.simulation().after(Rng.jitter(wait), [this, &stream] {
      send(stream, (stream.Entry + 1 + any(Entries - 1)) % Entries);
    });
  }
  void addEvents(CallerStream &stream, const CallerAnswer &answer) {
    std::istringstream body(answer.Body);
    std::string name;
    std::uint64_t id = 0;
    std::string software;
    while (body >> name >> id >> name >> software) {
      if (stream.FirstAttempt.empty())
        stream.FirstAttempt = answer.Id;
      Misplaced += id == stream.Software.size() + 1 ? 0 : 1;
      stream.Software.push_back(software);
      stream.GoesOn = stream.Resumed;
    }
  }

  Duration ComeBackAfter;
  Random Rng;
  int Misplaced = 0;
};

} // namespace

// Guards against an entry that resumes a stream, within one answer, at an
// engine of another software version after the first engine crashed.
TEST_CASE("an entry resumes a stream at the software version that began it",
          "[stream-software]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    UpgradedFleet it(fleetOptions(seed));
    it.play(1s, [&](int) {
      it.Fleet.crashServer(it.any(FirstServers + LaterServers));
    });
    it.check(seed);
  }
}

// Guards against an entry that doesn't know at which software version a stream
// began, because another entry began it and is dead.
TEST_CASE("a caller whose entry died resumes at the software version that "
          "began the stream",
          "[stream-software]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    UpgradedFleet it(fleetOptions(seed));
    it.play(2s, [&](int) { it.Fleet.killEntry(it.any(Entries), 1s); });
    it.check(seed);
  }
}

// Guards against an entry that doesn't know at which software version a stream
// began, because its caller has come from another entry that is alive.
TEST_CASE("a caller whose connection was reset resumes at the software version "
          "that began the stream",
          "[stream-software]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    UpgradedFleet it(fleetOptions(seed));
    it.play(1s, [&](int) { it.reset(10); });
    it.check(seed);
  }
}

// Guards against an entry that resumes a stream at an engine by the software of
// its former process, which it still believes to be there.
TEST_CASE("a stream isn't resumed at a server that has restarted with other "
          "software",
          "[stream-software]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ForwardFleetOptions options = fleetOptions(seed);
    options.RestartDelay = 200ms;
    UpgradedFleet it(options);
    it.play(2s, [&](int n) {
      it.Fleet.replaceServer(it.any(FirstServers), n % 3 == 0 ? "v1" : "v2",
                             /*keepsName=*/n % 2 == 0);
      it.reset(4);
    });
    it.check(seed);
  }
}

// Guards against a stream that goes on at another software version because its
// own has no server left, and against one that is held for nothing.
TEST_CASE("a stream whose software version has no server left is refused at "
          "once",
          "[stream-software]") {
  // The route's target for the first event: an answer in time takes no longer.
  constexpr Duration AtOnce = 1s;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ForwardFleetOptions options = fleetOptions(seed);
    options.RestartDelay = 1h;
    // The leases of the servers have ended when the callers come back.
    UpgradedFleet it(options, /*comeBackAfter=*/10s);
    it.runFor(5s);
    for (std::uint32_t i = 0; i < LaterServers; ++i)
      it.Fleet.crashServer(FirstServers + i);
    it.Fleet.runFor(15s + MaxAttempts * DrainTime);
    it.check(seed);
    int stopped = 0;
    int refusedAtOnce = 0;
    for (const auto &stream : it.Streams)
      if (!stream->Software.empty() && stream->Software.size() < Events) {
        ++stopped;
        refusedAtOnce += stream->Status == 503 && stream->Took <= AtOnce;
      }
    INFO("seed " << seed << ": " << stopped << " streams stopped, "
                 << refusedAtOnce << " were refused at once");
    CHECK(stopped > 0);
    CHECK(refusedAtOnce == stopped);
    // New streams are served.
    CallerStream &fresh = it.begin();
    it.Fleet.runFor(DrainTime);
    CHECK(fresh.Software == std::vector<std::string>(Events, "v1"));
  }
}
