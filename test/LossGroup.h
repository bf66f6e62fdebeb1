#ifndef PIMENTOFRONT_TEST_LOSS_GROUP_H
#define PIMENTOFRONT_TEST_LOSS_GROUP_H

#include "pimentofront/Testkit.h"

#include <map>

namespace pimentofront::testing {

/// Time for which a host still counts as lost after it is back or, if it is
/// new, after it has started.
constexpr Duration CatchUpTime = std::chrono::seconds(4);
/// Time within which everything serves again after the last host is back.
constexpr Duration RecoveryTime = std::chrono::seconds(12);
/// Time within which an acknowledged command is in force at every entry.
constexpr Duration ApplyTime = std::chrono::seconds(2);

/// A host of the group, or one with an entry.
struct LossHost {
  HostName Name;
  bool IsEntry = false;
  /// It is one of those of which only some may be lost at a time.
  bool Counted = false;
  /// It was asked to stop, or is gone, for good.
  bool Leaving = false;
  bool Removed = false;
  /// What its settings file names.
  std::vector<std::string> Seeds;
};

/// \class LossGroup
/// \brief A replica group and two entries in virtual time: carries out faults,
/// keeps a list of them, proposes commands and checks in every step what has to
/// hold at any time.
class LossGroup {
public:
  explicit LossGroup(std::uint64_t seed);
  ~LossGroup();

  testkit::Simulation Sim;
  Random Rng;
  std::vector<LossHost> Hosts;
  /// Called once, as soon as the next command is acknowledged.
  std::function<void()> OnNextAck;

  TimePoint now() const { return Sim.now(); }
  Duration upTo(Duration longest);
  Duration between(Duration shortest, Duration longest);
  bool chance(double p) { return Rng.uniform() < p; }
  std::size_t pick(std::size_t n) { return Rng.next() % n; }

  /// Starts the first hosts, within 0.3 s of each other, and the entries.
  void begin();
  /// Starts a replica on a new host with an empty disk.
  std::size_t addReplica(bool counted);
  /// Runs to \p end, with the checks.
  void runUntil(TimePoint end);
  /// \returns what broke, or an empty string.
  const std::string &broken() const { return Broken; }
  /// \returns the list of faults and the state of the replicas.
  std::string report();
  void note(const std::string &line);
  void fail(const std::string &what);

  testkit::SimulatedProcess &at(std::size_t host) {
    return Sim.process(Hosts[host].Name);
  }
  bool isRunning(std::size_t host) { return at(host).Alive; }
  /// \returns the hosts that fulfil \p wanted and aren't leaving or gone.
  std::vector<std::size_t>
  hostsThat(const std::function<bool(const LossHost &)> &wanted);

  // The faults. Those with a duration end by themselves.
  struct Down {
    Duration For;
    bool PowerLost = false;
    bool DiskLost = false;
    /// For this time after its start the store can't be opened.
    Duration Unreadable = Duration::zero();
  };
  void takeDown(std::size_t host, const Down &down);
  void freeze(std::size_t host, Duration d);
  void fillDisk(std::size_t host, Duration d);
  enum class Direction { Both, In, Out };
  void cut(const std::vector<std::size_t> &some,
           const std::vector<std::size_t> &others, Direction direction,
           Duration d);
  void removeAbruptly(std::size_t host, bool powerLost);
  void askToStop(std::size_t host);
  /// No leader is expected before \p until and the time to recover after it.
  void allowPause(TimePoint until) { PauseUntil = std::max(PauseUntil, until); }

  /// \returns what the group lacks: a leader that serves all acknowledged
  /// commands and accepts others. Empty if nothing.
  std::string lacksService(TimePoint since);
  /// \returns a replica or an entry that runs and doesn't follow, or doesn't
  /// know whether it is a member; or what is missing for one more loss.
  std::string lacksFollowers();

private:
  struct Acknowledged {
    TimePoint At;
    Revision Number = 0;
    AdapterName Name;
  };
  class NoSink;
  class NoDocuments;

  void addEntry();
  std::size_t addHost(LossHost host, const testkit::ProcessSpec &spec);
  std::vector<std::string> drawSeeds(std::size_t self);
  bool reachesGroup(std::size_t self, const std::vector<std::string> &seeds);
  void renewSeeds(std::size_t host);
  void useSeeds(std::size_t host, const std::vector<std::string> &seeds);
  void startAgain(std::size_t host);
  void propose();
  void onAcknowledged(const AdapterName &name, Revision at);
  /// \returns the newest revision that was acknowledged by \p at.
  Revision acknowledgedBy(TimePoint at) const;
  void check();
  void checkLeaders();
  void checkReads();
  void checkEntries();
  std::string describe(std::size_t host);

  TimePoint Start;
  std::unique_ptr<testkit::TestHeaderCodec> Headers;
  std::unique_ptr<NoDocuments> Documents;
  std::unique_ptr<NoSink> Sink;
  std::vector<Acknowledged> Accepted;
  std::uint64_t LastCommand = 0;
  std::map<Term, ReplicaId> LeaderOf;
  TimePoint LeaderSeenAt;
  TimePoint PauseUntil;
  std::vector<std::string> Lines;
  std::string Broken;
};

} // namespace pimentofront::testing

#endif
