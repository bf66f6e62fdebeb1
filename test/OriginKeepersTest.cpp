// Entries tell all replicas at which software version streams began, and ask
// them. Replicas restart, lose their power, or are cut off: what they have
// forgotten has to be told again, and nobody may wait for them.

#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace pimentofront::testing;

namespace {

class RecordingTransport : public Transport {
public:
  LinkId open(const std::string &address, LinkPurpose) override {
    Opened.push_back(address);
    return Opened.size();
  }
  void send(LinkId link, const Message &message) override {
    Sent.emplace_back(link, message);
  }
  void close(LinkId link) override { Closed.push_back(link); }

  /// \returns the streams told on \p link, and forgets what was sent.
  std::vector<std::string> takeTold(LinkId link) {
    std::vector<std::string> result;
    for (const auto &[to, message] : std::exchange(Sent, {}))
      if (const auto *told = std::get_if<StreamOrigins>(&message);
          told && to == link)
        for (const StreamOrigin &it : told->Origins)
          result.push_back(it.Stream.str());
    return result;
  }

  std::vector<std::string> Opened;
  std::vector<LinkId> Closed;
  std::vector<std::pair<LinkId, Message>> Sent;
};

StreamOrigin origin(const char *stream) {
  return {.Stream = RequestId(stream), .Software = "v1", .Lifetime = 5s};
}

using Names = std::vector<std::string>;

struct KeepersUnderTest {
  /// Opens the links to both replicas, which answer.
  void open() {
    Keepers.tick(Now, /*needed=*/true);
    for (const LinkId it : {1, 2}) {
      Keepers.onOpen(Now, it, {});
      Keepers.onReceived(it);
    }
    Network.Sent.clear();
  }

  RecordingTransport Network;
  OriginKeepers Keepers{Network, {"a", "b"}};
};

/// A replica that has just started.
struct ReplicaUnderTest {
  std::optional<StreamOriginReply> ask(TimePoint now, const char *stream) {
    Network.Sent.clear();
    Node.onMessage(now, 1, StreamOriginQuery{RequestId(stream)});
    if (Network.Sent.size() != 1)
      return std::nullopt;
    return std::get<StreamOriginReply>(Network.Sent.front().second);
  }

  class NoClock : public WallClock {
  public:
    std::uint64_t milliseconds() const override { return 0; }
  };
  MemoryLogStore Store{1};
  RecordingTransport Network;
  NoClock Clock;
  ReplicaNode Node{Now, {}, Store.Stored, Store, Network, Clock};
};

class OneRoute : public DocumentCodec {
public:
  RoutingDocument decode(std::string_view, Findings &) const override {
    return {.Routes = {route("flow", Repeatability::Stream, "engines", 2,
                             /*resumable=*/true)},
            .Services = {{.Name = ServiceName("engines"),
                          .Engine = EngineSpec{.AdapterSlots = 2}}}};
  }
};

/// An entry with engines of two software versions, and all that leaves it.
class EntryUnderTest : public Transport, public ForwardSink {
public:
  EntryUnderTest() {
    openLinks();
    Node.onMessage(
        Now, 1,
        ConfigurationUpdate{.UpTo = 1,
                            .Records = {DocumentRecord{.Number = 1,
                                                       .Packed = packText("d"),
                                                       .ChangedAt = 1}}});
    Node.onMessage(Now, 1, ProbeReply{.Nonce = LastProbe, .Confirmed = 1});
    MemberRecord first = server("e1", "engines", "1.0.0.3:80");
    first.Software = "v1";
    MemberRecord second = server("e2", "engines", "1.0.0.4:80");
    second.Software = "v2";
    Node.onMessage(
        Now, 1,
        MemberUpdate{.Full = true,
                     .Complete = true,
                     .To = {1, 1},
                     .Members = {first, second, agent("a1", "1.0.0.3:9"),
                                 agent("a2", "1.0.0.4:9")}});
    Node.tick(Now);
    openLinks();
  }

  LinkId open(const std::string &address, LinkPurpose) override {
    Links.push_back(address);
    return Links.size();
  }
  void send(LinkId link, const Message &message) override {
    if (const auto *probe = std::get_if<ProbeRevision>(&message))
      LastProbe = probe->Nonce;
    if (const auto *execute = std::get_if<ExecuteRequest>(&message))
      Asked = {link, execute->Attempt};
    if (std::holds_alternative<StreamOrigins>(message))
      Left.push_back("told " + Links.at(link - 1));
  }
  void close(LinkId) override {}
  void onCommand(ForwardCommand command) override {
    if (const auto *sent = std::get_if<SendUpstream>(&command))
      Attempt = sent->Attempt;
    if (std::holds_alternative<ReplyPiece>(command))
      Left.emplace_back("event");
  }
  void onEvent(const ForwardEvent &) override {}
  void onTable(const RoutingTable &) override {}

  /// Lets a server send the first event of a stream.
  void beginStream() {
    Node.request(
        Now, 1,
        {"POST",
         "/flow/q",
         {{"Host", "h"}, {"id", "r1"}, {"time", "5000"}, {"adapter", "x"}}},
        "body", ContentHasher().add("body").finish());
    openLinks();
    Node.onMessage(Now, Asked.first, AttemptPermit{.Attempt = Asked.second});
    Node.upstreamHead(Now, Attempt, {200, {{"id", "r1"}, {"stamp", "s"}}});
    Node.upstreamBody(Now, Attempt, "id: 1\ndata: a\n\n");
  }

  /// What was told and passed on, in order.
  std::vector<std::string> Left;

private:
  void openLinks() {
    while (Opened < Links.size())
      Node.onLinkOpen(Now, ++Opened, {.Protocol = ProtocolVersion});
  }

  /// Addresses by link.
  std::vector<std::string> Links;
  std::size_t Opened = 0;
  std::uint64_t LastProbe = 0;
  std::pair<LinkId, AttemptId> Asked;
  AttemptId Attempt;
  TestHeaderCodec Headers;
  OneRoute Documents;
  LeastLoaded Routing;
  ForwardNode Node{Now,
                   {.Feed = {.Host = HostName("entry"),
                             .Replicas = {"replica-1", "replica-2"}},
                    .Forward = ForwardUnderTest::withIdentity({})},
                   Headers,
                   Documents,
                   Routing,
                   *this,
                   *this};
};

} // namespace

// Guards against a caller that has an event of a stream of which nobody else
// was told when the entry loses its power.
TEST_CASE("all replicas are told of a stream before its first event is passed "
          "on",
          "[origin-keepers]") {
  EntryUnderTest it;
  it.beginStream();
  const auto event = std::ranges::find(it.Left, "event");
  REQUIRE(event != it.Left.end());
  const std::set<std::string> told(it.Left.begin(), event);
  CHECK(told.contains("told replica-1"));
  CHECK(told.contains("told replica-2"));
}

// Guards against an entry that opens links to all replicas although no service
// is mixed.
TEST_CASE("links to replicas are opened when they are first needed",
          "[origin-keepers]") {
  KeepersUnderTest it;
  it.Keepers.tick(Now, /*needed=*/false);
  CHECK(it.Network.Opened.empty());
  SECTION("a service is mixed") { it.Keepers.tick(Now, /*needed=*/true); }
  SECTION("a stream has to be told") { it.Keepers.tell(Now, {origin("s")}); }
  SECTION("a stream is asked about") { it.Keepers.ask(Now, RequestId("s")); }
  CHECK(it.Network.Opened == Names{"a", "b"});
  CHECK(it.Keepers.answering() == Names{"a", "b"});
}

// Guards against a replica that has restarted and knows nothing of the streams
// that began before.
TEST_CASE("a replica whose link has opened is told of all streams",
          "[origin-keepers]") {
  KeepersUnderTest it;
  it.open();
  it.Keepers.tell(Now, {origin("s"), origin("t")});
  CHECK(it.Network.Sent.size() == 2);
  CHECK(it.Network.takeTold(1) == Names{"s", "t"});
  it.Keepers.onClosed(Now, 1);
  it.Keepers.tick(Now + 200ms, /*needed=*/true);
  REQUIRE(it.Network.Opened.size() == 3);
  // Not before the link is open: a link that doesn't open collects nothing.
  it.Keepers.tell(Now + 200ms, {origin("u")});
  CHECK(it.Network.takeTold(3).empty());
  it.Keepers.onOpen(Now + 201ms, 3, {origin("s"), origin("t"), origin("u")});
  CHECK(it.Network.takeTold(3) == Names{"s", "t", "u"});
}

// Guards against requests that wait for a replica that is down.
TEST_CASE("a replica whose link ends, doesn't open or is silent is lost until "
          "it answers",
          "[origin-keepers]") {
  KeepersUnderTest it;
  TimePoint now = Now;
  SECTION("it ends") {
    it.open();
    it.Keepers.onClosed(now, 1);
  }
  SECTION("it doesn't open") {
    it.Keepers.tick(Now, /*needed=*/true);
    it.Keepers.onOpen(Now, 2, {});
    it.Keepers.onReceived(2);
    it.Keepers.tick(now = Now + 1s, /*needed=*/true);
    CHECK(it.Network.Closed == std::vector<LinkId>{1});
  }
  SECTION("it is silent") {
    it.open();
    it.Keepers.tick(Now + 1s, /*needed=*/true);
    it.Keepers.onReceived(2);
    it.Keepers.tick(now = Now + 2500ms, /*needed=*/true);
    CHECK(it.Network.Closed == std::vector<LinkId>{1});
  }
  CHECK(it.Keepers.answering() == Names{"b"});
  CHECK(it.Keepers.takeLost() == Names{"a"});
  it.Keepers.tick(now + 200ms, /*needed=*/true);
  REQUIRE(it.Network.Opened == Names{"a", "b", "a"});
  it.Keepers.onOpen(now + 200ms, 3, {});
  CHECK(it.Keepers.answering() == Names{"b"});
  CHECK(it.Keepers.onReceived(3) == "a");
  CHECK(it.Keepers.answering() == Names{"a", "b"});
  CHECK(it.Keepers.takeLost().empty());
}

// Guards against an entry that floods a replica that is down with connections,
// and against one that doesn't come back to it for long.
TEST_CASE("the delay before a link is opened again grows to a few seconds",
          "[origin-keepers]") {
  KeepersUnderTest it;
  TimePoint now = Now;
  for (int i = 0; i < 60'000 / 20; ++i, now += 20ms) {
    const std::size_t before = it.Network.Opened.size();
    it.Keepers.tick(now, /*needed=*/true);
    for (std::size_t n = before; n < it.Network.Opened.size(); ++n)
      it.Keepers.onClosed(now, n + 1);
  }
  CHECK(it.Network.Opened.size() >= 40);
  CHECK(it.Network.Opened.size() <= 50);
}

// Guards against a replica that has joined since and isn't told, and against
// requests that wait for one that has left.
TEST_CASE("replicas that join are told and those that leave are lost",
          "[origin-keepers]") {
  KeepersUnderTest it;
  it.open();
  it.Keepers.setAddresses({"b", "c"});
  CHECK(it.Network.Closed == std::vector<LinkId>{1});
  CHECK(it.Keepers.takeLost() == Names{"a"});
  it.Keepers.tick(Now, /*needed=*/true);
  CHECK(it.Network.Opened == Names{"a", "b", "c"});
  it.Keepers.onOpen(Now, 3, {origin("s")});
  CHECK(it.Network.takeTold(3) == Names{"s"});
  it.Keepers.setAddresses({});
  CHECK(it.Keepers.answering() == Names{"b", "c"});
}

// Guards against a replica that answers only while it leads, or that remembers
// streams for ever.
TEST_CASE("a replica without a leader remembers streams while they last",
          "[origin-keepers]") {
  ReplicaUnderTest it;
  REQUIRE_FALSE(it.Node.leads(Now));
  it.Node.onMessage(Now, 1, StreamOrigins{{origin("s")}});
  const auto known = it.ask(Now + 4s, "s");
  REQUIRE(known);
  CHECK(known->Known);
  CHECK(known->Software == "v1");
  CHECK(known->Stream == RequestId("s"));
  const auto other = it.ask(Now + 4s, "t");
  REQUIRE(other);
  CHECK_FALSE(other->Known);
  it.Node.tick(Now + 5s);
  CHECK_FALSE(it.ask(Now + 5s, "s")->Known);
}
