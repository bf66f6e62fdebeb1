#include "EngineOrders.h"
#include "OwnAddress.h"
#include "pimentofront/Http.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr const char *Model = "m";
constexpr std::size_t Slots = 2;

/// An engine that may leave an order unanswered and carry it out later: it
/// looks only then whether the order still fits.
class LateEngine : public CallerHandler {
public:
  explicit LateEngine(EventLoop &loop)
      : Listener(loop, {.Address = address()}, *this) {}

  static HostPort address() {
    constexpr int Net = 79;
    return test::ownAddress(Net);
  }

  void onRequest(CallerKey key, RequestHead head, std::string body,
                 const ContentHash &) override {
    if (head.Method == "GET")
      return Listener.reply(key, {.Status = 200, .Headers = {}}, report());
    const std::string *instance =
        findHeader(head.Headers, "pimentofront-expect-instance");
    Order order{nlohmann::json::parse(body), instance ? *instance : ""};
    if (order.What.value("adapter", "") == Unanswered &&
        order.What.at("operation") == "load") {
      Late.push_back(std::move(order));
      return Listener.replyAbort(key);
    }
    Listener.reply(key, {.Status = carryOut(order), .Headers = {}}, "{}");
  }
  void onCallerDisconnected(CallerKey) override {}

  /// It crashes and starts again, empty.
  void restart() {
    if (TellsStart)
      ++StartedAt;
    else
      Instance += "'";
    Accepted = 0;
    HasModel = false;
    Adapters.clear();
  }
  bool hasLate() const { return !Late.empty(); }
  /// Carries out those orders whose moment has come, and keeps the others.
  void carryOutLateIfItFits() {
    std::erase_if(Late,
                  [this](const Order &it) { return carryOut(it) == 202; });
  }
  void carryOutLate() {
    for (const Order &it : std::exchange(Late, {}))
      carryOut(it);
  }

  std::string Instance = "i";
  /// It says when it started, and keeps its name then.
  bool TellsStart = false;
  std::uint64_t StartedAt = 1700000000000;
  /// Loads of this adapter get no answer and are carried out late.
  std::string Unanswered = "none";
  bool Overfull = false;
  std::uint64_t Accepted = 0;
  /// It has its base model from the beginning, without an order.
  bool HasModel = true;
  std::set<std::string> Adapters;

private:
  struct Order {
    nlohmann::json What;
    std::string Instance;
  };

  int carryOut(const Order &order) {
    if (!order.Instance.empty() && order.Instance != Instance)
      return 421;
    if (order.What.at("expect") != Accepted)
      return 409;
    ++Accepted;
    if (!order.What.contains("adapter")) {
      HasModel = true;
      return 202;
    }
    const std::string adapter = order.What.at("adapter");
    if (order.What.at("operation") == "unload")
      Adapters.erase(adapter);
    else
      Adapters.insert(adapter);
    Overfull = Overfull || Adapters.size() > Slots;
    return 202;
  }

  std::string report() const {
    nlohmann::json models = nlohmann::json::array();
    std::vector<std::string> names;
    for (const std::string &it : Adapters)
      names.push_back(it + "@1");
    if (HasModel)
      models.push_back({{"name", Model}, {"version", 1}, {"adapters", names}});
    nlohmann::json report{
        {"models", models}, {"busy", false}, {"seq", Accepted}};
    if (TellsStart)
      report["born"] = StartedAt;
    return report.dump();
  }

  CallerListener Listener;
  std::vector<Order> Late;
};

class NoNetwork : public Transport {
public:
  LinkId open(const std::string &, LinkPurpose) override { return Leader; }
  void send(LinkId, const Message &message) override {
    if (const auto *it = std::get_if<AttemptRefused>(&message))
      Refused.insert(it->Attempt);
  }
  void close(LinkId) override {}
  bool refused(const AttemptId &attempt) const {
    return Refused.contains(attempt);
  }
  static constexpr LinkId Leader = 1;
  static constexpr LinkId Entry = 2;

private:
  std::set<AttemptId> Refused;
};

/// An agent beside the engine, with a fencing token and a profile.
struct AgentUnderTest {
  AgentUnderTest()
      : Engine(Loop), Client(Loop), Orders(Loop, Client,
                                           {.Engine = LateEngine::address(),
                                            .Holder = HostName("w"),
                                            .ReportPeriod = 10ms,
                                            .LoadingPeriod = 2ms}),
        Node(Loop.now(),
             {.Agent = {.Host = HostName("w"),
                        .Incarnation = 1,
                        .BaseModel = "engines",
                        .Slots = 1,
                        .BatchingShare = 0,
                        .EngineSettleTime = Duration::zero()},
              .Address = "1.0.0.1:9",
              .Replicas = {"1.0.0.2:9"}},
             Eviction, Gate, Orders, Network) {
    Orders.setNode(Node);
    const Hello hello{.Protocol = ProtocolVersion};
    Node.onLinkOpen(Loop.now(), NoNetwork::Leader, hello);
    Node.onLinkOpen(Loop.now(), NoNetwork::Entry, hello);
    Node.onMessage(
        Loop.now(), NoNetwork::Leader,
        LeaseReply{.Known = true, .Lease = 1min, .Members = 1, .Fence = 1});
    Node.onMessage(Loop.now(), NoNetwork::Entry,
                   EngineProfile{.At = 1,
                                 .BaseModel = Model,
                                 .AdapterSlots = Slots,
                                 .BatchCapacity = 8,
                                 .CacheTokens = 1000});
  }

  void turnUntil(const std::function<bool()> &done) {
    while (!done()) {
      event_base_loop(Loop.base(), EVLOOP_ONCE);
      Node.tick(Loop.now());
    }
  }
  /// An entry asks for a place, and the engine answers.
  void ask(const char *adapter) { ask(adapter, Engine.Instance); }
  void ask(const char *adapter, const std::string &instance) {
    const AttemptId attempt{7, ++Asked};
    Node.onMessage(
        Loop.now(), NoNetwork::Entry,
        ExecuteRequest{
            .Attempt = attempt,
            .Request = RequestId(std::to_string(Asked)),
            .Kind = KindName("k"),
            .Remaining = 1min,
            .Key = {AdapterName(std::string(Model) + "/" + adapter), 0},
            .BaseModel = "engines",
            .Delegated = true,
            .Server = HostName(instance),
            .ServerStartedAt = Engine.TellsStart ? Engine.StartedAt : 0});
  }
  /// Asks, and answers once it has its place.
  void serve(const char *adapter) {
    ask(adapter);
    const AttemptId attempt{7, Asked};
    turnUntil(
        [&] { return Node.controller().board().Running.contains(attempt); });
    Node.onMessage(Loop.now(), NoNetwork::Entry,
                   AttemptReleased{.Attempt = attempt});
  }
  bool ready() { return Node.controller().board().EngineReady; }
  /// The agent notices that the engine has started again, and uses it.
  void awaitRestart() {
    turnUntil([&] { return !ready(); });
    turnUntil([&] { return ready(); });
  }

  EventLoop Loop;
  LateEngine Engine;
  HttpClient Client;
  LeastPopular Eviction;
  UncoordinatedLoads Gate;
  NoNetwork Network;
  platform::EngineOrders Orders;
  AgentNode Node;
  std::uint64_t Asked = 0;
};

} // namespace

// A day on which engines left orders unanswered and carried them out seconds
// later: one that was given before a restart came when the new process had
// accepted as many orders as the old one then, and had no slot free.
TEST_CASE("an order from before a restart isn't carried out after it") {
  AgentUnderTest it;
  it.turnUntil([&] { return it.ready(); });
  it.serve("a");
  it.serve("b");
  it.Engine.Unanswered = "c";
  it.ask("c");
  it.turnUntil([&] { return it.Engine.hasLate(); });
  it.Engine.restart();
  it.awaitRestart();
  it.serve("d");
  it.serve("e");
  REQUIRE(it.Engine.Adapters.size() == Slots);
  it.Engine.carryOutLate();
  CHECK_FALSE(it.Engine.Overfull);
}

TEST_CASE("an order for an engine's former process loses no request") {
  AgentUnderTest it;
  it.turnUntil([&] { return it.ready(); });
  it.serve("a");
  it.Engine.restart();
  it.awaitRestart();
  // The entry doesn't know yet that the engine has started again.
  it.ask("b", "i");
  const AttemptId attempt{7, it.Asked};
  it.turnUntil([&] { return it.Network.refused(attempt); });
  // Nothing is held against the adapter.
  it.serve("b");
  CHECK(it.Engine.Adapters == std::set<std::string>{"b"});
}

TEST_CASE("an engine that is found without its base model gets it") {
  AgentUnderTest it;
  it.Engine.HasModel = false;
  // An entry names the engine's process before the agent has seen it.
  it.ask("a");
  it.turnUntil([&] { return it.ready(); });
  it.serve("a");
  CHECK(it.Engine.Adapters == std::set<std::string>{"a"});
}

TEST_CASE("an engine that starts again under its name serves at once") {
  AgentUnderTest it;
  it.Engine.TellsStart = true;
  it.turnUntil([&] { return it.ready(); });
  it.serve("a");
  it.serve("b");
  // As many orders as before between two reports, and the base model.
  it.Engine.restart();
  it.Engine.Accepted = 2;
  it.Engine.HasModel = true;
  it.awaitRestart();
  it.serve("c");
  CHECK(it.Engine.Adapters == std::set<std::string>{"c"});
}

TEST_CASE("a request for an engine's former process under its name goes back") {
  AgentUnderTest it;
  it.Engine.TellsStart = true;
  it.turnUntil([&] { return it.ready(); });
  it.serve("a");
  it.Engine.restart();
  it.awaitRestart();
  --it.Engine.StartedAt;
  it.ask("b");
  ++it.Engine.StartedAt;
  CHECK(it.Network.refused({7, it.Asked}));
  it.serve("b");
}

// The order of before the restart names the engine and its count of orders, and
// both fit again: only room that was kept helps.
TEST_CASE("room is kept for an order from before a restart under one name") {
  AgentUnderTest it;
  it.Engine.TellsStart = true;
  it.turnUntil([&] { return it.ready(); });
  it.serve("a");
  it.serve("b");
  // It gives up one for the third, which is the fourth order.
  it.Engine.Unanswered = "c";
  it.ask("c");
  it.turnUntil([&] { return it.Engine.hasLate(); });
  it.Engine.restart();
  it.awaitRestart();
  for (const char *adapter : {"d", "e", "f", "g"}) {
    it.ask(adapter);
    for (int i = 0; i < 50; ++i) {
      event_base_loop(it.Loop.base(), EVLOOP_ONCE);
      it.Node.tick(it.Loop.now());
    }
    it.Engine.carryOutLateIfItFits();
    CHECK_FALSE(it.Engine.Overfull);
  }
}
