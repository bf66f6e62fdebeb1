#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

constexpr EntryLink Entry = 7;
/// A request may begin on a superseded version for this long.
constexpr Duration VersionBound = 5s;

/// An entry and the agents of its two engines, which answer at once. Each
/// engine runs two requests at a time and has two adapter slots.
struct EntryAndAgents : ForwardUnderTest {
  struct Begin {
    std::uint64_t Key = 0;
    VersionNumber Version = 0;
    TimePoint At;
    AttemptId Attempt;
    HostName Agent;
  };
  struct Beside {
    Beside()
        : Controller({.Host = HostName("a"),
                      .Incarnation = 1,
                      .BaseModel = "engines",
                      .Slots = 2,
                      .BatchCapacity = 2,
                      .BatchingShare = 0},
                     Eviction, Gate) {
      Controller.onEngineFound(Now - 10s, {}, true);
      Controller.onEngineFound(Now - 5s, {}, true);
    }
    LeastPopular Eviction;
    UncoordinatedLoads Gate;
    AgentController Controller;
    std::vector<AdapterKey> Loads;
  };

  /// Lets engine a2 take nothing, so that all requests wait at a1.
  void leaveOneEngine() {
    MemberRecord leaving = agent("a2", "1.0.0.4:9");
    leaving.Leaving = true;
    Controller.onMembers(Now, {.Members = {leaving}});
  }

  void pump(TimePoint now) {
    for (bool again = true; again;) {
      again = false;
      for (const SendToAgent &it : take<SendToAgent>()) {
        again = true;
        toAgent(now, it);
      }
      for (const SendUpstream &it : take<SendUpstream>())
        begin(now, it);
      Cancelled += take<CancelUpstream>().size();
      for (const ReplyComplete &it : take<ReplyComplete>())
        Lost += it.Head.Status == 200 ? 0 : 1;
      for (auto &[host, it] : Agents)
        for (const AgentCommand &command : it.Controller.takeCommands()) {
          again = true;
          fromAgent(now, host, it, command);
        }
    }
  }
  void tick(TimePoint now) {
    Controller.tick(now);
    pump(now);
  }
  void finish(TimePoint now, const Begin &run) {
    Controller.answers().onHead(
        now, run.Attempt,
        {200, {{"id", "r" + std::to_string(run.Key)}, {"stamp", "s"}}});
    Controller.answers().onEnd(now, run.Attempt, Completed);
    pump(now);
  }
  void endLoad(TimePoint now) {
    for (auto &[host, it] : Agents)
      for (const AdapterKey &key : std::exchange(it.Loads, {}))
        it.Controller.onLoadEnded(now, key, true, 100ms);
    pump(now);
  }
  /// Runs requests 1 and 2 on version 1 at one engine.
  void start() {
    leaveOneEngine();
    Configuration.name(1);
    request("flow", 9000, "x", 1);
    request("flow", 9000, "x", 2);
    pump(Now);
    endLoad(Now);
    REQUIRE(Begun.size() == 2);
  }
  void await(std::uint64_t key, const char *adapter = "x") {
    request("flow", 9000, adapter, key);
    pump(Now);
  }
  Beside &beside(const char *host) { return Agents[HostName(host)]; }

  std::map<HostName, Beside> Agents;
  std::vector<Begin> Begun;
  std::vector<ExecuteRequest> Asked;
  std::size_t Cancelled = 0;
  std::size_t Lost = 0;

private:
  void begin(TimePoint now, const SendUpstream &send) {
    const ForwardBoard &board = Controller.board();
    const ForwardRequest &request =
        board.Requests.at(board.Attempts.at(send.Attempt));
    const std::string *version = findHeader(send.Head.Headers, "version");
    REQUIRE(version);
    Begun.push_back({request.Key,
                     static_cast<VersionNumber>(std::stoul(*version)), now,
                     send.Attempt, request.Attempt->Agent});
  }
  void toAgent(TimePoint now, const SendToAgent &message) {
    AgentController &to = Agents[message.Host].Controller;
    if (const auto *execute = std::get_if<ExecuteRequest>(&message.Content)) {
      Asked.push_back(*execute);
      to.onExecute(now, Entry, *execute);
    } else if (const auto *it =
                   std::get_if<AttemptReleased>(&message.Content)) {
      to.onReleased(now, *it);
    } else if (const auto *cancel =
                   std::get_if<CancelAttempt>(&message.Content)) {
      to.onCancel(now, cancel->Attempt);
    }
  }
  void fromAgent(TimePoint now, const HostName &host, Beside &from,
                 const AgentCommand &command) {
    if (const auto *start = std::get_if<StartGeneration>(&command))
      Controller.attempts().onPermit(now, host,
                                     {.Attempt = start->Request.Attempt});
    else if (const auto *load = std::get_if<StartLoad>(&command))
      from.Loads.push_back(load->Key);
    else if (const auto *work = std::get_if<CancelWork>(&command))
      from.Controller.onReleased(now, {work->Attempt, ReleaseKind::BrokeOff});
    else if (const auto *to = std::get_if<SendToEntry>(&command))
      answer(now, host, to->Content);
  }
  void answer(TimePoint now, const HostName &host, const Message &message) {
    if (const auto *it = std::get_if<AttemptAdmitted>(&message))
      Controller.attempts().onAdmitted(now, host, *it);
    else if (const auto *refused = std::get_if<AttemptRefused>(&message))
      Controller.attempts().onRefused(now, host, *refused);
  }
};

} // namespace

// Guards against a version that is decided when a request begins to wait at an
// agent and used when it is sent.
TEST_CASE("requests that waited at an agent begin on the version that was "
          "named meanwhile",
          "[version-after-wait]") {
  EntryAndAgents it;
  it.start();
  for (const std::uint64_t key : {3, 4, 5})
    it.await(key);
  it.Configuration.name(2);
  it.tick(Now + 20ms);
  it.await(6);
  // The engine holds one version at a time: the new one waits for those that
  // run on the other, and stops none of them.
  CHECK(it.beside("a1").Loads.empty());
  const TimePoint late = Now + VersionBound + 1s;
  it.finish(late, it.Begun[0]);
  it.finish(late, it.Begun[1]);
  CHECK(it.Cancelled == 0);
  CHECK(it.beside("a1").Loads ==
        std::vector<AdapterKey>{{AdapterName("m/x"), 2}});
  it.endLoad(late + 100ms);
  for (std::size_t i = 2; i < 4 && i < it.Begun.size(); ++i)
    it.finish(late + 1s, EntryAndAgents::Begin(it.Begun[i]));
  // None is lost, and those that waited longer go first.
  REQUIRE(it.Begun.size() == 6);
  for (std::size_t i = 2; i < 6; ++i) {
    CHECK(it.Begun[i].Key == i + 1);
    CHECK(it.Begun[i].Version == 2);
  }
  CHECK(it.Lost == 0);
}

// The same between two calls of tick(): the permit comes first.
TEST_CASE("a permit for a superseded version is returned",
          "[version-after-wait]") {
  EntryAndAgents it;
  it.start();
  it.await(3);
  it.Configuration.name(2);
  it.finish(Now + 1s, it.Begun[0]);
  CHECK(it.Begun.size() == 2);
  it.finish(Now + 2s, it.Begun[1]);
  it.endLoad(Now + 3s);
  REQUIRE(it.Begun.size() == 3);
  CHECK(it.Begun[2].Version == 2);
  CHECK(it.Begun[2].Agent == HostName("a1"));
}

TEST_CASE("a request that asks again for another version keeps the time that "
          "it has waited",
          "[version-after-wait]") {
  EntryAndAgents it;
  it.start();
  it.await(3);
  it.Configuration.name(2);
  it.tick(Now + 1s);
  it.Configuration.name(3);
  it.tick(Now + 3s);
  CHECK(it.Asked.back().Key.Version == 3);
  const auto &waiting = it.beside("a1").Controller.board().Waiting;
  REQUIRE(waiting.size() == 1);
  CHECK(waiting.begin()->first.Version == 3);
  CHECK(waiting.begin()->second.front().ArrivedAt == Now);
  CHECK(waiting.begin()->second.front().Deadline ==
        it.Controller.board().Requests.at(3).Deadline);
}

TEST_CASE("a version of another adapter changes nothing for those that wait",
          "[version-after-wait]") {
  EntryAndAgents it;
  it.start();
  it.await(3);
  const std::size_t asked = it.Asked.size();
  it.Configuration.name(1);
  it.tick(Now + 1s);
  CHECK(it.Asked.size() == asked);
  CHECK(it.beside("a1").Controller.board().WaitingCount == 1);
}

TEST_CASE("a request whose agent leaves asks another one for the new version",
          "[version-after-wait]") {
  EntryAndAgents it;
  it.start();
  it.await(3);
  it.Controller.onMembers(Now, {.Members = {agent("a2", "1.0.0.4:9")}});
  it.Controller.attempts().onAgentLeaving({HostName("a1"), 1});
  it.Configuration.name(2);
  it.tick(Now + 1s);
  it.endLoad(Now + 2s);
  REQUIRE(it.Begun.size() == 3);
  CHECK(it.Begun[2].Agent == HostName("a2"));
  CHECK(it.Begun[2].Version == 2);
}

// The replicas' decision on a trial takes up to 0.7 s.
TEST_CASE("a request that waited for a trial asks for the version that was "
          "named meanwhile",
          "[version-after-wait]") {
  ForwardUnderTest it;
  it.Configuration.name(1);
  it.request("flow");
  const ContentHash content = it.Controller.board().Requests.at(1).Content;
  it.Controller.onCallerDisconnected(Now, 1);
  it.Controller.quarantine().onUpdate(
      {.To = 9, .Notices = {{content, QuarantineState::Watched}}});
  it.Controller.takeCommands();
  it.request("flow");
  const auto asked = it.only<ProposeToReplicas>();
  it.Configuration.name(2);
  it.Controller.onDecision(Now + 500ms, asked.Nonce, CommandOutcome{});
  const auto execute = std::get<ExecuteRequest>(it.only<SendToAgent>().Content);
  CHECK(execute.Key.Version == 2);
}
