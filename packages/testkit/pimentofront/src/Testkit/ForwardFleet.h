#ifndef PIMENTOFRONT_TESTKIT_FORWARD_FLEET_H
#define PIMENTOFRONT_TESTKIT_FORWARD_FLEET_H

#include "PlainHeaders.h"
#include "World.h"

namespace pimentofront::testkit {

/// \class ForwardFleetOptions
/// \ingroup Testkit
struct ForwardFleetOptions {
  WorldOptions World;
  std::uint32_t Replicas = 3;
  std::uint32_t Entries = 4;
  std::uint32_t Servers = 12;
  /// Mean time from a request's arrival at a server to its first event, and to
  /// each further one.
  Duration FirstEvent = std::chrono::milliseconds(150);
  Duration EventPause = std::chrono::milliseconds(60);
  std::uint32_t Events = 16;
  /// A server ends so long after it began to run a deadly request, and another
  /// process of it is there later.
  Duration CrashAfter = std::chrono::milliseconds(50);
  Duration BackAfter = std::chrono::seconds(4);
  /// The servers are engines, each with an agent beside it.
  bool Engines = false;
  /// Adapters that an engine holds.
  std::uint32_t AdapterSlots = 8;
  /// Availability zones over which the servers are spread in turn.
  std::uint32_t Zones = 1;
  /// A server that has started takes so many requests a second for this time,
  /// from all entries together; 0 sets no limit.
  double ColdPerSecond = 0;
  Duration ColdTime = std::chrono::seconds(3);
  /// Within so long an evacuation is in force at all entries; zero: an entry
  /// that is out of touch serves on.
  Duration EvacuationBound = Duration::zero();
  /// How often servers register.
  Duration Heartbeat = std::chrono::seconds(1);
  /// Between an entry and a server, one way.
  Duration Latency = std::chrono::microseconds(1400);
};

/// How an attempt of a caller ended.
struct CallerAnswer {
  TimePoint SentAt;
  TimePoint EndedAt;
  int Status = 0;
  /// When to come back, of a refusal.
  Duration RetryAfter = Duration::zero();
  std::string Body;
  /// The answer is complete; a server's own one, if it has a stamp.
  bool Whole = false;
  bool Stamped = false;
};

/// What a server asks for in its answers.
struct ServerAsks {
  /// Requests a second, from all entries together.
  std::optional<double> Limit;
  /// Turns all new requests away and wants nothing for so long.
  std::optional<Duration> Backoff;
  bool Leaving = false;
};

/// One process of an entry.
struct EntryProcess {
  HostName Host;
  std::uint64_t Incarnation = 0;
  friend auto operator<=>(const EntryProcess &, const EntryProcess &) = default;
};

/// An entry has read what a server asks for.
struct FeedbackTold {
  TimePoint At;
  HostName Server;
  EntryProcess Entry;
  ServerAsks Asks;
};

/// A send of a request that reached a server.
struct ServerArrival {
  TimePoint At;
  std::string Content;
  HostName Server;
  EntryProcess Entry;
  ZoneName Zone;
  /// The server was cold then.
  bool Cold = false;
};

/// The end of a server's process.
struct ServerCrash {
  TimePoint At;
  HostName Server;
  /// The deadly request that ended it; empty if it ended by itself.
  std::string Content;
  /// All that it was given and hadn't answered.
  std::vector<std::string> AtWork;
};

/// \class ForwardFleet
/// \ingroup Testkit
/// \brief Replicas, forwarding entries and the servers behind them, plain ones
/// or engines with agents. Some requests end each process that begins to run
/// them; servers name limits, ask for rest and leave.
///
/// A request is named by its content. It is deadly if that was declared by
/// addDeadly(); attempts at the same content differ in their ids alone. Use it
/// to see what a whole fleet does with such requests; for the decisions of one
/// entry, use ForwardController by itself.
class ForwardFleet {
public:
  explicit ForwardFleet(const ForwardFleetOptions &options);
  ~ForwardFleet();

  TimePoint now() const { return Place.now(); }
  void runFor(Duration d) { Place.runUntil(Place.now() + d); }
  WorldProcess &entry(std::uint32_t i);
  WorldProcess &replica(std::uint32_t i);
  World &world() { return Place; }
  /// Cuts \p host off from all replicas, until World::healAll().
  void cutOffReplicas(const HostName &host);

  void addDeadly(const std::string &content) { Deadly.insert(content); }
  /// Sends an attempt at \p content to an entry. \p done gets its answer.
  void call(WorldProcess &entry, const std::string &content,
            std::function<void(const CallerAnswer &)> done = {},
            const std::string &adapter = "a");
  /// From now on server \p i asks for this with each answer.
  void setAsks(std::uint32_t i, const ServerAsks &asks);
  HostName serverName(std::uint32_t i) const { return Servers[i].Name; }
  ZoneName zoneOf(std::uint32_t server) const;
  /// Server \p i is cold from now on, as if it had just started.
  void chillServer(std::uint32_t i);
  /// \pre the servers are engines.
  WorldProcess &agent(std::uint32_t i);
  /// Ends server \p i without a request's doing, for `BackAfter`.
  void crashServer(std::uint32_t i);
  /// Server \p i loses its power: silence.
  void darkenServer(std::uint32_t i);

  const std::vector<ServerArrival> &arrivals() const { return Arrivals; }
  const std::vector<FeedbackTold> &told() const { return Told; }
  const std::vector<ServerCrash> &crashes() const { return Crashes; }
  const std::vector<ForwardEvent> &events() const { return Seen; }

private:
  class Front;
  class FixedDocument;
  struct Run {
    AttemptId Attempt;
    EntryProcess Entry;
    std::string Id;
    std::string Content;
  };
  struct Server {
    HostName Name;
    std::string Address;
    bool Up = true;
    bool Dark = false;
    std::uint64_t Starts = 0;
    TimePoint ColdUntil;
    ServerAsks Asks;
    std::map<std::uint64_t, Run> Runs;
  };
  struct Call {
    CallerAnswer Answer;
    std::function<void(const CallerAnswer &)> Done;
  };

  void addReplicas();
  void addEntries();
  void addServers();
  void addAgent(std::uint32_t i);
  void beat();
  Server *at(const std::string &address);
  void onSend(WorldProcess &entry, const SendUpstream &send);
  void onCheck(WorldProcess &entry, const CheckServer &check);
  void onArrival(std::size_t server, const HostName &expected, Run run);
  /// Answers a request that isn't run.
  void turnAway(const Server &server, const Run &run);
  void tellHead(const Server &server, const Run &run, int status,
                HttpHeaders headers);
  void onEvent(std::size_t server, std::uint64_t run, std::uint32_t event);
  void crash(Server &server, const std::string &content);
  /// Calls \p action at the entry of \p run, if that still lives, after the
  /// way back.
  void tell(const Run &run, std::function<void(ForwardNode &)> action);
  void endCall(std::uint64_t key, bool whole);

  ForwardFleetOptions Options;
  World Place;
  PlainHeaders Headers;
  std::unique_ptr<FixedDocument> Document;
  std::vector<std::string> Addresses;
  std::vector<Server> Servers;
  std::map<HostName, std::unique_ptr<Front>> Fronts;
  std::map<std::uint64_t, Call> Calls;
  std::set<std::string> Deadly;
  std::uint64_t LastKey = 0;
  std::uint64_t LastRun = 0;
  std::uint64_t Beats = 0;
  bool Proposed = false;
  std::vector<ServerArrival> Arrivals;
  std::vector<FeedbackTold> Told;
  std::vector<ServerCrash> Crashes;
  std::vector<ForwardEvent> Seen;
};

} // namespace pimentofront::testkit

#endif
