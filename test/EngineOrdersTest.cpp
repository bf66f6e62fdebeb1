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

/// An engine that may leave an order unanswered and carry it out later. It
/// checks only then whether the order still matches its process and order
/// count.
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

  /// Simulates a crash and a restart without models and adapters.
  void restart() {
    if (ReportsStart)
      ++StartedAt;
    else
      Instance += "'";
    Accepted = 0;
    HasModel = false;
    Adapters.clear();
  }
  bool hasLate() const { return !Late.empty(); }
  /// Carries out those late orders that match, and keeps the others.
  void carryOutMatching() {
    std::erase_if(Late,
                  [this](const Order &it) { return carryOut(it) == 202; });
  }
  void carryOutLate() {
    for (const Order &it : std::exchange(Late, {}))
      carryOut(it);
  }

  std::string Instance = "i";
  /// Reports its start time; its name then stays the same after a restart.
  bool ReportsStart = false;
  std::uint64_t StartedAt = 1700000000000;
  /// Loads of this adapter are not answered and are carried out late.
  std::string Unanswered = "none";
  bool ExceededSlots = false;
  std::uint64_t Accepted = 0;
  /// It has its base model initially, without an order.
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
    ExceededSlots = ExceededSlots || Adapters.size() > Slots;
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
    if (ReportsStart)
      report["born"] = StartedAt;
    return report.dump();
  }

  CallerListener Listener;
  std::vector<Order> Late;
};

class FakeTransport : public Transport {
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

/// An agent on the engine's host, with a fencing token and a profile.
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
    Node.onLinkOpen(Loop.now(), FakeTransport::Leader, hello);
    Node.onLinkOpen(Loop.now(), FakeTransport::Entry, hello);
    Node.onMessage(
        Loop.now(), FakeTransport::Leader,
        LeaseReply{.Known = true, .Lease = 1min, .Members = 1, .Fence = 1});
    Node.onMessage(Loop.now(), FakeTransport::Entry,
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
  /// An entry requests a slot for a new attempt.
  void ask(const char *adapter) { ask(adapter, Engine.Instance); }
  void ask(const char *adapter, const std::string &instance) {
    Node.onMessage(Loop.now(), FakeTransport::Entry,
                   request(adapter, instance));
  }
  ExecuteRequest request(const char *adapter, const std::string &instance) {
    return {.Attempt = {7, ++Asked},
            .Request = RequestId(std::to_string(Asked)),
            .Kind = KindName("k"),
            .Remaining = 1min,
            .Key = {AdapterName(std::string(Model) + "/" + adapter), 0},
            .BaseModel = "engines",
            .Delegated = true,
            .Server = HostName(instance),
            .ServerStartedAt = Engine.ReportsStart ? Engine.StartedAt : 0};
  }
  /// Requests a slot, waits until the attempt runs and releases it.
  void serve(const char *adapter) {
    ask(adapter);
    const AttemptId attempt{7, Asked};
    turnUntil(
        [&] { return Node.controller().board().Running.contains(attempt); });
    Node.onMessage(Loop.now(), FakeTransport::Entry,
                   AttemptReleased{.Attempt = attempt});
  }
  bool ready() { return Node.controller().board().EngineReady; }
  /// Runs until the agent has noticed the engine's restart and the engine is
  /// ready again.
  void awaitRestart() {
    turnUntil([&] { return !ready(); });
    turnUntil([&] { return ready(); });
  }

  EventLoop Loop;
  LateEngine Engine;
  HttpClient Client;
  LeastPopular Eviction;
  UncoordinatedLoads Gate;
  FakeTransport Network;
  platform::EngineOrders Orders;
  AgentNode Node;
  std::uint64_t Asked = 0;
};

} // namespace

// Guards against overfilling an engine, which makes it exit: an order that was
// sent before a restart is carried out seconds later, when the new process has
// accepted as many orders as the order names and has no free slot.
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
  CHECK_FALSE(it.Engine.ExceededSlots);
}

TEST_CASE("an order for an engine's previous process loses no request") {
  AgentUnderTest it;
  it.turnUntil([&] { return it.ready(); });
  it.serve("a");
  it.Engine.restart();
  it.awaitRestart();
  // The entry doesn't know of the engine's restart yet.
  it.ask("b", "i");
  const AttemptId attempt{7, it.Asked};
  it.turnUntil([&] { return it.Network.refused(attempt); });
  // The refusal doesn't count as a failed load of the adapter.
  it.serve("b");
  CHECK(it.Engine.Adapters == std::set<std::string>{"b"});
}

TEST_CASE("an engine without its base model is ordered to load it") {
  AgentUnderTest it;
  it.Engine.HasModel = false;
  // An entry names the engine's process before the agent knows it.
  it.ask("a");
  it.turnUntil([&] { return it.ready(); });
  it.serve("a");
  CHECK(it.Engine.Adapters == std::set<std::string>{"a"});
}

TEST_CASE("an engine that restarts under the same name serves at once") {
  AgentUnderTest it;
  it.Engine.ReportsStart = true;
  it.turnUntil([&] { return it.ready(); });
  it.serve("a");
  it.serve("b");
  // Between two reports the new process accepts as many orders as the old one
  // had, and loads the base model.
  it.Engine.restart();
  it.Engine.Accepted = 2;
  it.Engine.HasModel = true;
  it.awaitRestart();
  it.serve("c");
  CHECK(it.Engine.Adapters == std::set<std::string>{"c"});
}

TEST_CASE("a request for an engine's process before its restart is refused") {
  AgentUnderTest it;
  it.Engine.ReportsStart = true;
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

// Guards against overfilling an engine that keeps its name after a restart: an
// order from before the restart matches the name and, later, the order count
// again, so the engine doesn't refuse it. Only a slot that is kept free helps.
TEST_CASE("a slot stays free for an old order after a restart under one name") {
  AgentUnderTest it;
  it.Engine.ReportsStart = true;
  it.turnUntil([&] { return it.ready(); });
  it.serve("a");
  it.serve("b");
  // It unloads one for the third, whose load is the fourth order.
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
    it.Engine.carryOutMatching();
    CHECK_FALSE(it.Engine.ExceededSlots);
  }
}

// One request whose adapter's name had a byte that isn't UTF-8 ended the agent.
TEST_CASE("an adapter's name that no order can carry ends no agent") {
  const char *adapter = GENERATE("a\xFF", "\xC3", "a\n", "\xED\xA0\x80");
  AgentUnderTest it;
  it.turnUntil([&] { return it.ready(); });
  it.serve("a");
  it.serve("b");
  SECTION("the agent refuses the request") { it.ask(adapter); }
  SECTION("the load fails") {
    it.Node.controller().onExecute(it.Loop.now(), FakeTransport::Entry,
                                   it.request(adapter, it.Engine.Instance));
    it.Node.flush(it.Loop.now());
  }
  const AttemptId attempt{7, it.Asked};
  it.turnUntil([&] { return it.Network.refused(attempt); });
  CHECK(it.Engine.Adapters == std::set<std::string>{"a", "b"});
  it.serve("a");
}
