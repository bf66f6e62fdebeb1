#ifndef PIMENTOFRONT_TEST_STREAM_FLEET_H
#define PIMENTOFRONT_TEST_STREAM_FLEET_H

#include "pimentofront/Testkit.h"

namespace pimentofront::testkit {

/// In this time all streams end whose callers come back within a second.
inline constexpr Duration DrainTime = std::chrono::seconds(20);
/// A caller gives up a stream after this many attempts.
inline constexpr int MaxAttempts = 6;

struct StreamFleetSize {
  std::uint32_t Entries = 4;
  std::uint32_t Servers = 9;
  /// Events of a stream.
  std::uint32_t Events = 32;
};

/// \returns the options of a fleet of engines whose servers run `v1`.
ForwardFleetOptions streamFleetOptions(std::uint64_t seed,
                                       const StreamFleetSize &size);

/// A stream as its caller sees it.
struct CallerStream {
  std::string Content;
  std::string Adapter;
  /// Id of the attempt that the caller names when it resumes the stream.
  std::string NamedAttempt;
  /// Software version of each event.
  std::vector<std::string> Software;
  std::uint32_t Entry = 0;
  /// Key of the attempt in progress; 0 without one.
  std::uint64_t Key = 0;
  int Attempts = 0;
  /// Attempts that brought events.
  int Parts = 0;
  /// The caller has resumed it while two servers of its version were up.
  bool Resumed = false;
  /// An event has arrived after that.
  bool GoesOn = false;
  /// It had been resumed with success before, and broke off again.
  bool ResumedAgain = false;
  /// Status of the last attempt, and how long it took.
  int Status = 0;
  Duration Took = Duration::zero();

  bool isMixed() const;
};

struct StreamCallerOptions {
  /// Time after which callers resume a stream, unless the refusal names a
  /// longer one.
  Duration ComeBackAfter = std::chrono::milliseconds(100);
  /// Callers name the last attempt that brought an event, in place of the
  /// first.
  bool NamesLastAttempt = false;
};

/// A fleet, and callers that resume their streams when an answer breaks off or
/// is refused.
class StreamFleet {
public:
  StreamFleet(const ForwardFleetOptions &options,
              const StreamCallerOptions &callers);

  void addServers(std::uint32_t n, const std::string &software);
  /// Callers begin streams during \p time.
  void runFor(Duration time);
  CallerStream &begin();
  /// Resets the connections of up to \p n callers.
  void reset(int n);
  std::uint32_t any(std::uint32_t n) {
    return static_cast<std::uint32_t>(Rng.uniform() * n);
  }

  int count(const std::function<bool(const CallerStream &)> &predicate) const;
  int mixed() const { return count(&CallerStream::isMixed); }
  /// Checks that at most \p maxMixed streams hold events of two versions, that
  /// no event is missing or twice, and that resumed streams go on at least half
  /// as often as new streams begin.
  void check(std::uint64_t seed, int maxMixed) const;
  /// Checks that the resumed streams of each software version go on at least
  /// half as often as new streams begin.
  void checkEachVersion(std::uint64_t seed) const;

  ForwardFleet Fleet;
  std::vector<std::unique_ptr<CallerStream>> Streams;

private:
  void send(CallerStream &stream, std::uint32_t entry);
  void onAnswer(CallerStream &stream, const CallerAnswer &answer);
  void addEvents(CallerStream &stream, const CallerAnswer &answer);

  ForwardFleetOptions Options;
  StreamCallerOptions Callers;
  Random Rng;
  int Misplaced = 0;
};

} // namespace pimentofront::testkit

#endif
