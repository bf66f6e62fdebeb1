#ifndef PIMENTOFRONT_TESTKIT_FORWARD_FLEET_H
#define PIMENTOFRONT_TESTKIT_FORWARD_FLEET_H

#include "Simulation.h"
#include "TestHeaderCodec.h"

namespace pimentofront::testkit {

/// \class ForwardFleetOptions
/// \ingroup Testkit
struct ForwardFleetOptions {
  SimulationOptions Simulation;
  std::uint32_t Replicas = 3;
  std::uint32_t Entries = 4;
  std::uint32_t Servers = 12;
  /// Mean time from a request's arrival at a server to its first event, and the
  /// time between two events.
  Duration FirstEvent = std::chrono::milliseconds(150);
  Duration EventInterval = std::chrono::milliseconds(60);
  std::uint32_t Events = 16;
  /// Time from when a server would send the first event of a crashing request
  /// until it crashes, and from a crash until its next process starts.
  Duration CrashDelay = std::chrono::milliseconds(50);
  Duration RestartDelay = std::chrono::seconds(4);
  /// The servers are engines, each with an agent on its host.
  bool Engines = false;
  /// Maximum number of adapters that an engine holds.
  std::uint32_t AdapterSlots = 8;
  /// Number of availability zones; servers are assigned to them round-robin.
  std::uint32_t Zones = 1;
  /// Limit, in requests a second from all entries together, of a server during
  /// its first `ColdTime` after a start; 0 sets no limit.
  double ColdPerSecond = 0;
  Duration ColdTime = std::chrono::seconds(3);
  /// Maximum time until an evacuation is in force at all entries. With zero, an
  /// entry that has lost contact with the replicas keeps serving.
  Duration EvacuationBound = Duration::zero();
  /// Maximum number of servers to which the fleet's route allows one request.
  std::uint32_t MaxServers = 2;
  /// Servers report their numbers of running and waiting requests with each
  /// answer.
  bool LoadReports = false;
  /// Software version of the servers that exist at the start. Servers without
  /// one state neither a version nor when they started, and send each stream
  /// from its first event on.
  std::string Software;
  /// Interval at which servers register.
  Duration Heartbeat = std::chrono::seconds(1);
  /// Answers have neither a length nor chunks and end with their connection.
  /// The answers of a server that crashes are reset, or closed inside an event
  /// or between two.
  bool Unframed = false;
  /// How long a cut link holds back the last bytes and the close of such an
  /// answer.
  Duration CloseDelay = Duration::zero();
  /// The fleet's route allows another server to resume a stream.
  bool Resumable = true;
  /// Time that a caller states for each attempt.
  Duration CallerTime = std::chrono::seconds(6);
  /// One-way latency between an entry and a server.
  Duration Latency = std::chrono::microseconds(1400);
};

/// Where a caller resumes a stream.
struct ResumePoint {
  /// Id of the attempt that brought the first event; empty for a new stream.
  std::string Attempt;
  std::uint64_t LastEvent = 0;
};

/// The answer to an attempt of a caller.
struct CallerAnswer {
  /// Id of the attempt.
  std::string Id;
  TimePoint SentAt;
  TimePoint EndedAt;
  int Status = 0;
  /// Retry-after of a refusal.
  Duration RetryAfter = Duration::zero();
  /// The events of a stream, each with the software version of its server.
  std::string Body;
  /// The answer is complete.
  bool IsComplete = false;
  /// The answer has the stamp of a server; the entry's own answers have none.
  bool Stamped = false;
};

/// Feedback that a server sends with its answers.
struct ScriptedFeedback {
  /// Requests a second, from all entries together.
  std::optional<double> Limit;
  /// The server rejects all new requests and asks for none during this time.
  std::optional<Duration> Backoff;
  bool Leaving = false;
  /// The server declines all new requests, although it has room for them.
  bool Declining = false;
};

/// One incarnation of an entry's process.
struct EntryProcess {
  HostName Host;
  std::uint64_t Incarnation = 0;
  friend auto operator<=>(const EntryProcess &, const EntryProcess &) = default;
};

/// Feedback of a server that has reached an entry.
struct FeedbackDelivery {
  TimePoint At;
  HostName Server;
  EntryProcess Entry;
  ScriptedFeedback Feedback;
};

/// The arrival of a request at a server.
struct ServerArrival {
  TimePoint At;
  std::string Content;
  /// Ids of the parts of its prompt.
  std::vector<std::uint64_t> Parts;
  HostName Server;
  EntryProcess Entry;
  ZoneName Zone;
  /// The server was cold at that time.
  bool Cold = false;
};

/// A crash of a server's process.
struct ServerCrash {
  TimePoint At;
  HostName Server;
  /// Content of the crashing request; empty for a crash without one.
  std::string Content;
  /// Ids of the parts of that request's prompt.
  std::vector<std::uint64_t> Parts;
  /// Contents of all requests in flight at the server.
  std::vector<std::string> RequestsInFlight;
};

/// \class ForwardFleet
/// \ingroup Testkit
/// \brief Replicas, forwarding entries and the backend servers behind them:
/// plain services, or engines with agents. Crashing requests crash each server
/// process that begins to run them. Servers may send feedback: limits, backoffs
/// and that they are leaving. Servers of several software versions may serve
/// side by side; each event of a stream names the version of its server, and
/// callers may resume streams.
///
/// A request is identified by its content. It is a crashing request if its
/// content was passed to addCrashingRequest(). Attempts with the same content
/// differ only in their ids. Use this class to test the behaviour of a whole
/// fleet; to test the decisions of one entry, use ForwardController alone.
class ForwardFleet {
public:
  explicit ForwardFleet(const ForwardFleetOptions &options);
  ~ForwardFleet();

  TimePoint now() const { return Sim.now(); }
  void runFor(Duration d) { Sim.runUntil(Sim.now() + d); }
  SimulatedProcess &entry(std::uint32_t i);
  SimulatedProcess &replica(std::uint32_t i);
  Simulation &simulation() { return Sim; }
  /// Cuts the links between \p host and all replicas until
  /// Simulation::healAll().
  void cutOffReplicas(const HostName &host);

  void addCrashingRequest(const std::string &content) {
    CrashingContents.insert(content);
  }
  /// Crashes each server that begins to answer a request with this part.
  void addCrashingPart(std::uint64_t part) { CrashingParts.insert(part); }
  /// Sends a request whose prompt has these parts to an entry.
  /// \returns the key of the call.
  std::uint64_t
  callWithParts(SimulatedProcess &entry, const std::string &content,
                const std::vector<std::uint64_t> &parts,
                std::function<void(const CallerAnswer &)> done = {});
  /// Sends an attempt with \p content to an entry. \p done gets the answer.
  /// \returns the key of the call.
  std::uint64_t call(SimulatedProcess &entry, const std::string &content,
                     std::function<void(const CallerAnswer &)> done = {},
                     const std::string &adapter = "a",
                     const ResumePoint &from = {});
  /// Resets the connection of a caller, which gets what has arrived.
  void resetCall(std::uint64_t key);
  /// Kills entry \p i, which breaks off its callers' answers, and starts it
  /// again after \p downtime.
  void killEntry(std::uint32_t i, Duration downtime);
  /// Sets the feedback that server \p i sends with each answer from now on.
  void setFeedback(std::uint32_t i, const ScriptedFeedback &feedback);
  HostName serverName(std::uint32_t i) const { return Servers[i].Name; }
  ZoneName zoneOf(std::uint32_t server) const;
  /// Makes server \p i cold, as if it had just started.
  void makeServerCold(std::uint32_t i);
  /// \pre the servers are engines.
  SimulatedProcess &agent(std::uint32_t i);
  /// Crashes server \p i without a crashing request. Its next process starts
  /// after `RestartDelay`.
  void crashServer(std::uint32_t i);
  /// Adds a server with this software.
  void addServer(const std::string &software);
  /// Crashes server \p i for `RestartDelay`. Its next process has the same
  /// address, this software and, if \p keepsName, the same name.
  void replaceServer(std::uint32_t i, const std::string &software,
                     bool keepsName);
  /// Server \p i says that it leaves, and continues to serve without announcing
  /// itself. \p done gets the answer of the leader.
  /// \pre there is a leader.
  void deregisterServer(std::uint32_t i, ReplicaNode::DecisionCallback done);
  /// A late announcement of server \p i arrives at the leader.
  void announceServer(std::uint32_t i) { announce(Servers[i]); }
  /// \returns the number of servers with this software that are up.
  std::size_t serversUp(const std::string &software) const;
  /// Simulates a power loss of server \p i: connections aren't closed, requests
  /// and checks aren't answered.
  void powerOffServer(std::uint32_t i);

  const std::vector<ServerArrival> &arrivals() const { return Arrivals; }
  const std::vector<FeedbackDelivery> &deliveries() const { return Deliveries; }
  const std::vector<ServerCrash> &crashes() const { return Crashes; }
  const std::vector<ForwardEvent> &events() const { return RecordedEvents; }

private:
  class EntrySink;
  class FixedDocument;
  struct Run {
    AttemptId Attempt;
    EntryProcess Entry;
    std::string Id;
    std::string Content;
    std::vector<std::uint64_t> Parts;
    /// The last event that the caller has.
    std::uint32_t After = 0;
  };
  struct Server {
    HostName Name;
    std::string Address;
    std::string Software;
    /// When its process started, in milliseconds; 0 if it doesn't say.
    std::uint64_t StartedAt = 0;
    bool Up = true;
    /// Announces itself.
    bool Registers = true;
    bool PoweredOff = false;
    std::uint64_t Starts = 0;
    TimePoint ColdUntil;
    ScriptedFeedback Feedback;
    std::map<std::uint64_t, Run> Runs;
  };
  struct Call {
    EntryProcess Entry;
    CallerAnswer Answer;
    std::function<void(const CallerAnswer &)> Done;
  };

  std::uint64_t startCall(SimulatedProcess &entry, const std::string &content,
                          HttpHeaders headers,
                          std::function<void(const CallerAnswer &)> done);
  bool crashesServers(const Run &run) const;
  void addReplicas();
  void addEntries();
  void addServers();
  std::uint64_t startOf(const std::string &software) const;
  void announce(const Server &server);
  void addAgent(std::uint32_t i);
  void registerServers();
  Server *findServer(const std::string &address);
  void onSend(SimulatedProcess &entry, const SendUpstream &send);
  void onCheck(SimulatedProcess &entry, const CheckServer &check);
  void onArrival(std::size_t server, const HostName &expectedName, Run run);
  /// Rejects a request that isn't run, with the server's backoff.
  void reject(const Server &server, const Run &run);
  void sendHead(const Server &server, const Run &run, int status,
                HttpHeaders headers);
  void onEvent(std::size_t server, std::uint64_t run, std::uint32_t event);
  /// \param cause the crashing request, if any.
  /// \param keepsName the next process has the same name.
  void crash(Server &server, const Run *cause, bool keepsName = false);
  /// Ends an answer whose server has crashed.
  void cutOff(const Run &run);
  ServerCheckResult checkAddress(const CheckServer &check);
  void restart(std::uint32_t i, bool keepsName);
  /// Calls \p action after `Latency` at the entry of \p run, if that
  /// incarnation is still alive.
  void callEntry(const Run &run, std::function<void(ForwardNode &)> action);
  void endCall(std::uint64_t key, bool complete);

  ForwardFleetOptions Options;
  Simulation Sim;
  TestHeaderCodec Headers;
  std::unique_ptr<FixedDocument> Document;
  std::vector<std::string> Addresses;
  std::vector<Server> Servers;
  std::map<HostName, std::unique_ptr<EntrySink>> EntrySinks;
  std::map<std::uint64_t, Call> Calls;
  std::set<std::string> CrashingContents;
  std::set<std::uint64_t> CrashingParts;
  std::uint64_t LastKey = 0;
  std::uint64_t LastRun = 0;
  std::uint64_t RegistrationRound = 0;
  bool DocumentDecided = false;
  std::vector<ServerArrival> Arrivals;
  std::vector<FeedbackDelivery> Deliveries;
  std::vector<ServerCrash> Crashes;
  std::vector<ForwardEvent> RecordedEvents;
};

} // namespace pimentofront::testkit

#endif
