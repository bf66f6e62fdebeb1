#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

MemberRecord engine(const char *name, const char *address,
                    const char *software) {
  MemberRecord result = server(name, "engines", address);
  result.Software = software;
  return result;
}

/// An entry before one engine of each of two software versions.
struct MixedServers : ForwardUnderTest {
  MixedServers() {
    Controller.onMembers(Now, {.Members = {engine("e1", "1.0.0.3:80", "v1"),
                                           engine("e2", "1.0.0.4:80", "v2")}});
  }
};

/// An agent of an earlier release, which doesn't remember streams.
MemberRecord formerAgent() {
  MemberRecord result = agent("a1", "1.0.0.3:9");
  result.RemembersStreams = false;
  return result;
}

/// An entry that has just started and has heard of one engine, whose agent
/// can't be asked. Its list of servers isn't complete.
struct FreshEntry {
  FreshEntry() {
    RoutingDocument document{
        .Routes = {route("flow", Repeatability::Stream, "engines", 2, true)},
        .Services = {{.Name = ServiceName("engines"),
                      .Engine = EngineSpec{.AdapterSlots = 2}}}};
    Entry.setTable(
        std::make_shared<const RoutingTable>(1, std::move(document)));
    Entry.onMembers(
        Now, {.Full = true,
              .Members = {engine("e1", "1.0.0.3:80", "v1"), formerAgent()}});
  }

  FakeConfiguration Configuration;
  TestHeaderCodec Headers;
  LeastLoaded Routing;
  ForwardController Entry{ForwardUnderTest::withIdentity({}), Configuration,
                          Headers, Routing};
};

/// The head of a request that resumes the stream that attempt "r0" began.
RequestHead resumingHead() {
  return {"POST",
          "/flow/q",
          {{"Host", "h"},
           {"id", "r1"},
           {"time", "5000"},
           {"adapter", "x"},
           {"last-event", "4"},
           {"resumes", "r0"}}};
}

void resume(ForwardController &entry) {
  entry.onRequest(Now, 1, resumingHead(), "body",
                  ContentHasher().add("body").finish());
}

/// An agent answers; without \p software it doesn't know the stream.
void reply(ForwardController &entry, const char *agent,
           const std::optional<std::string> &software) {
  entry.onStreamOrigin(Now, HostName(agent),
                       {.Stream = RequestId("r0"),
                        .Known = software.has_value(),
                        .Software = software.value_or("")});
}

} // namespace

// Guards against a stream that goes on at another version than the one that
// began it, although an agent knows that one.
TEST_CASE("a resumed stream goes on at the version that an agent names",
          "[stream-origin]") {
  MixedServers it;
  resume(it.Controller);
  REQUIRE(it.take<SendToAgent>().size() == 2);
  const std::string software = GENERATE("v1", "v2");
  reply(it.Controller, "a1", std::nullopt);
  CHECK(it.take<SendToAgent>().empty());
  reply(it.Controller, "a2", software);
  CHECK(it.permit().Server.Name == HostName(software == "v1" ? "e1" : "e2"));
}

// Guards against a stream that goes on at a version by chance, and against a
// caller that waits for an answer that nobody can give.
TEST_CASE("a resumed stream that nobody knows is refused as not run",
          "[stream-origin]") {
  MixedServers it;
  resume(it.Controller);
  it.take<SendToAgent>();
  reply(it.Controller, "a1", std::nullopt);
  SECTION("all agents have answered") {
    reply(it.Controller, "a2", std::nullopt);
  }
  SECTION("one has gone") { it.Controller.onAgentLost(Now, HostName("a2")); }
  SECTION("one doesn't answer") { it.Controller.tick(Now + 250ms); }
  CHECK(it.only<ReplyComplete>().Head.Status == 503);
  CHECK(it.Controller.idle());
  reply(it.Controller, "a2", "v1");
  CHECK(it.take<SendToAgent>().empty());
}

// Guards against a stream that nobody knows after its entry has gone, since it
// began before a second version appeared.
TEST_CASE("agents are told of streams that begin while one version serves, and "
          "again when a second version appears",
          "[stream-origin]") {
  ForwardUnderTest it;
  it.Controller.onMembers(Now, {.Members = {engine("e1", "1.0.0.3:80", "v1"),
                                            engine("e2", "1.0.0.4:80", "v1")}});
  const auto told = [&] {
    std::vector<StreamOrigin> all;
    for (const SendToAgent &command : it.take<SendToAgent>())
      if (const auto *origins = std::get_if<StreamOrigins>(&command.Content))
        all.insert(all.end(), origins->Origins.begin(), origins->Origins.end());
    return all;
  };
  it.request("flow");
  const auto sent = it.permit();
  it.head(sent, 200);
  it.body(sent, "id: 1\ndata: a\n\n");
  const auto first = told();
  REQUIRE(first.size() == 2);
  CHECK(first[0].Stream == RequestId("r1"));
  CHECK(first[0].Software == "v1");
  // A second version appears: the running stream is told to the agents.
  it.Controller.onMembers(Now, {.Members = {engine("e3", "1.0.0.5:80", "v2")}});
  const auto origins = told();
  REQUIRE(origins.size() == 2);
  CHECK(origins[0].Stream == RequestId("r1"));
  CHECK(origins[0].Software == "v1");
  CHECK(origins[0].Lifetime == 6s);
}

// Guards against an entry that has missed a version, or has started after it
// had gone, and takes the only one that it knows for the one that began the
// stream.
TEST_CASE("agents are asked although the entry knows one version only",
          "[stream-origin]") {
  ForwardUnderTest it;
  it.Controller.onMembers(Now, {.Members = {engine("e1", "1.0.0.3:80", "v1"),
                                            engine("e2", "1.0.0.4:80", "v1")}});
  resume(it.Controller);
  REQUIRE(it.take<SendToAgent>().size() == 2);
  SECTION("one names another version") {
    reply(it.Controller, "a1", "v0");
    CHECK(it.only<ReplyComplete>().Head.Status == 503);
  }
  SECTION("none knows the stream") {
    reply(it.Controller, "a1", std::nullopt);
    reply(it.Controller, "a2", std::nullopt);
    CHECK(*findHeader(it.permit().Head.Headers, "last") == "4");
  }
}

// Guards against a caller that waits for an answer that nobody can give.
TEST_CASE("a stream that no agent can be asked about is refused once",
          "[stream-origin]") {
  ForwardUnderTest it;
  const bool complete = GENERATE(true, false);
  const MemberRecord former = formerAgent();
  it.Controller.onMembers(
      Now, {.Members = {former, {.Host = HostName("a2"), .Gone = true}}});
  it.Controller.onMembers(
      Now, {.Full = true,
            .Complete = complete,
            .Members = {engine("e1", "1.0.0.3:80", "v1"),
                        engine("e2", "1.0.0.4:80", "v2"), former}});
  resume(it.Controller);
  for (int i = 0; i < 30; ++i)
    it.Controller.tick(Now + i * 100ms);
  CHECK(it.take<SendToAgent>().empty());
  CHECK(it.only<ReplyComplete>().Head.Status == 503);
  CHECK(it.Controller.idle());
}

// Guards against an entry that takes the first server of which it hears, after
// all processes were killed, for the only version.
TEST_CASE("a stream that nobody knows waits for the first complete list",
          "[stream-origin]") {
  FreshEntry it;
  resume(it.Entry);
  CHECK(it.Entry.takeCommands().empty());
  it.Entry.onMembers(Now + 1s, {.Complete = true,
                                .Members = {engine("e2", "1.0.0.4:80", "v2")}});
  it.Entry.tick(Now + 1s);
  const auto commands = it.Entry.takeCommands();
  REQUIRE(commands.size() == 1);
  CHECK(std::get<ReplyComplete>(commands[0]).Head.Status == 503);
}

// Guards against a request that is deferred and, at the same time, listed as
// waiting for answers, which would send it twice.
TEST_CASE("a stream that waited for the first complete list is sent once",
          "[stream-origin]") {
  FreshEntry it;
  resume(it.Entry);
  it.Entry.onMembers(Now + 1s, {.Complete = true});
  it.Entry.tick(Now + 1s);
  const auto commands = it.Entry.takeCommands();
  REQUIRE(commands.size() == 1);
  CHECK(std::holds_alternative<SendToAgent>(commands[0]));
}

// Guards against streams that nobody is told of since the second version
// appeared while the list of servers was incomplete.
TEST_CASE("running streams are told when a second version appears while the "
          "list of servers is incomplete",
          "[stream-origin]") {
  ForwardUnderTest it;
  it.Controller.onMembers(Now, {.Members = {engine("e1", "1.0.0.3:80", "v1"),
                                            engine("e2", "1.0.0.4:80", "v1")}});
  it.request("flow");
  const auto sent = it.permit();
  it.head(sent, 200);
  it.body(sent, "id: 1\ndata: a\n\n");
  it.take<SendToAgent>();
  it.Controller.onMembers(
      Now, {.Full = true, .Members = {engine("e3", "1.0.0.5:80", "v2")}});
  CHECK(it.take<SendToAgent>().size() == 2);
}

// Guards against a server that continues from what another software version
// has cached.
TEST_CASE("prompt parts aren't fetched from an engine with other software",
          "[stream-origin]") {
  const std::string other = GENERATE("v1", "v2");
  constexpr WeightsVersion Weights{.Model = 1, .Adapter = 1};
  ForwardUnderTest it(true, {.Fetch = {.Enabled = true}});
  it.Controller.onMembers(
      Now, {.Members = {engine("e1", "1.0.0.3:80", "v1"),
                        engine("e2", "1.0.0.4:80", other.c_str())}});
  it.request("flow");
  it.refuseBusy(it.only<SendToAgent>(), 6300, Weights);
  CHECK(ForwardUnderTest::fetchOf(it.permit(Weights)).empty() ==
        (other == "v2"));
}

// Guards against a table that grows without bound, and against an origin that
// outlives its stream.
TEST_CASE("an origin is remembered for its lifetime, within the capacity",
          "[stream-origin]") {
  StreamOriginTable table({.Capacity = 2, .MaxLifetime = 10s});
  table.record(Now, {RequestId("a"), "v1", 5s});
  table.record(Now, {RequestId("b"), "v2", 1h});
  CHECK(table.find(Now + 4s, RequestId("a")) == "v1");
  CHECK_FALSE(table.find(Now + 5s, RequestId("a")));
  CHECK(table.find(Now + 9s, RequestId("b")) == "v2");
  table.expire(Now + 10s);
  CHECK(table.size() == 0);
  for (const char *it : {"a", "b", "c"})
    table.record(Now, {RequestId(it), "v1", 5s});
  CHECK(table.size() == 2);
  CHECK_FALSE(table.find(Now, RequestId("a")));
  table.record(Now, {RequestId("d"), "v1", -1s});
  CHECK_FALSE(table.find(Now, RequestId("d")));
}

//===----------------------------------------------------------------------===//
// The recorded history of versions
//===----------------------------------------------------------------------===//

namespace {

SoftwareRecord recordOf(std::vector<std::string> versions) {
  return {.Service = ServiceName("engines"), .Versions = std::move(versions)};
}

/// An entry before two engines of version v1.
struct OneVersion : ForwardUnderTest {
  OneVersion() {
    Controller.onMembers(Now, {.Members = {engine("e1", "1.0.0.3:80", "v1"),
                                           engine("e2", "1.0.0.4:80", "v1")}});
  }
  /// Neither agent knows the stream.
  void replyUnknown() {
    reply(Controller, "a1", std::nullopt);
    reply(Controller, "a2", std::nullopt);
  }
  bool isAsked() {
    const auto sent = take<SendToAgent>();
    return !sent.empty() &&
           std::holds_alternative<StreamOriginQuery>(sent.front().Content);
  }
};

} // namespace

// Guards against streams joined from two versions after all entries were killed
// and the servers of the former version, with their agents, have left: an entry
// that starts then sees one version and hears of no other.
TEST_CASE("a stream doesn't go on at the only version while another one is "
          "recorded",
          "[stream-origin]") {
  OneVersion it;
  it.Configuration.Software = recordOf(GENERATE(
      std::vector<std::string>{"v0", "v1"}, std::vector<std::string>{"v0"},
      std::vector<std::string>{"v1", ""}));
  resume(it.Controller);
  REQUIRE(it.isAsked());
  SECTION("nobody knows the stream") {
    it.replyUnknown();
    CHECK(it.only<ReplyComplete>().Head.Status == 503);
  }
  SECTION("an agent names the version") {
    reply(it.Controller, "a1", "v1");
    CHECK(*findHeader(it.permit().Head.Headers, "last") == "4");
  }
}

// Guards against streams that are refused when all agents are lost with the
// entries, although no other version can have begun them.
TEST_CASE("a stream goes on at the only recorded version if nobody is left to "
          "ask",
          "[stream-origin]") {
  OneVersion it;
  it.Configuration.Software = recordOf({"v1"});
  resume(it.Controller);
  REQUIRE(it.isAsked());
  it.Controller.onAgentLost(Now, HostName("a1"));
  it.Controller.onAgentLost(Now, HostName("a2"));
  CHECK(*findHeader(it.permit().Head.Headers, "last") == "4");
}

// Guards against a record that is trusted more than an agent that knows the
// stream: its version may not have been recorded, or the record is an old one.
TEST_CASE("agents are asked although only one version is recorded",
          "[stream-origin]") {
  OneVersion it;
  it.Configuration.Software = recordOf({"v1"});
  it.Configuration.Age = GENERATE(Duration(0ms), Duration(1ms), Duration(1h));
  it.Configuration.Confirmed = *it.Configuration.Age < 1h;
  resume(it.Controller);
  REQUIRE(it.isAsked());
  SECTION("one names another version") {
    reply(it.Controller, "a1", "v0");
    CHECK(it.only<ReplyComplete>().Head.Status == 503);
  }
  SECTION("one names this version") {
    reply(it.Controller, "a1", "v1");
    CHECK(*findHeader(it.permit().Head.Headers, "last") == "4");
  }
  SECTION("none knows the stream") {
    it.replyUnknown();
    const auto sent = it.take<SendToAgent>();
    CHECK(sent.size() == (it.Configuration.Confirmed ? 1 : 0));
    CHECK(it.take<ReplyComplete>().empty());
  }
}

// Guards against an entry that takes its last list of servers and record for
// the present ones after it has lost the replicas.
TEST_CASE(
    "a stream that nobody knows waits until the record is confirmed again",
    "[stream-origin]") {
  OneVersion it;
  it.Configuration.Software = recordOf({"v1"});
  it.Configuration.Age = 1h;
  it.Configuration.Confirmed = false;
  resume(it.Controller);
  REQUIRE(it.isAsked());
  it.replyUnknown();
  CHECK(it.take<ReplyComplete>().empty());
  CHECK(it.take<SendToAgent>().empty());
  SECTION("it is confirmed") {
    it.Configuration.Age = 0ms;
    it.Configuration.Confirmed = true;
    it.Controller.tick(Now + 1s);
    REQUIRE(it.isAsked());
    it.replyUnknown();
    CHECK(*findHeader(it.permit().Head.Headers, "last") == "4");
  }
  SECTION("it isn't") {
    for (Duration at = 100ms; at <= 4s; at += 100ms)
      it.Controller.tick(Now + at);
    CHECK(it.only<ReplyComplete>().Head.Status == 503);
  }
}

// Guards against an entry that has just started, has a list of servers and not
// yet the record, and takes the only version for the one that began the stream.
TEST_CASE("a stream that nobody knows waits for the record of versions",
          "[stream-origin]") {
  OneVersion it;
  it.Configuration.Age.reset();
  resume(it.Controller);
  REQUIRE(it.isAsked());
  it.replyUnknown();
  it.Controller.tick(Now + 500ms);
  // Links to agents may have opened only now.
  REQUIRE(it.isAsked());
  it.replyUnknown();
  CHECK(it.take<ReplyComplete>().empty());
  const auto confirm = [&] {
    it.Configuration.Age = 0ms;
    it.Controller.tick(Now + 1s);
    REQUIRE(it.isAsked());
  };
  SECTION("another version is recorded, and nobody knows the stream") {
    it.Configuration.Software = recordOf({"v0", "v1"});
    confirm();
    it.replyUnknown();
    CHECK(it.only<ReplyComplete>().Head.Status == 503);
  }
  SECTION("another version is recorded, and an agent knows the stream") {
    it.Configuration.Software = recordOf({"v0", "v1"});
    confirm();
    reply(it.Controller, "a1", "v1");
    CHECK(*findHeader(it.permit().Head.Headers, "last") == "4");
  }
  SECTION("no other version is recorded") {
    it.Configuration.Software = recordOf({"v1"});
    confirm();
    it.replyUnknown();
    CHECK(*findHeader(it.permit().Head.Headers, "last") == "4");
  }
  SECTION("the replicas are of an earlier release and record none") {
    confirm();
    it.replyUnknown();
    CHECK(*findHeader(it.permit().Head.Headers, "last") == "4");
  }
  SECTION("it doesn't arrive in time") {
    for (int i = 0; i < 60; ++i)
      it.Controller.tick(Now + i * 100ms);
    CHECK(it.only<ReplyComplete>().Head.Status >= 500);
    CHECK(it.Controller.idle());
  }
}

// Guards against streams that nobody is told of, since the entry that began
// them has never seen the servers of the other version.
TEST_CASE("agents are told of each stream, and replicas while several versions "
          "are recorded",
          "[stream-origin]") {
  OneVersion it;
  const bool mixed = GENERATE(true, false);
  it.Configuration.Software = mixed ? recordOf({"v0", "v1"}) : recordOf({"v1"});
  it.request("flow");
  const auto sent = it.permit();
  it.head(sent, 200);
  it.body(sent, "id: 1\ndata: a\n\n");
  std::size_t told = 0;
  for (const SendToAgent &command : it.take<SendToAgent>())
    told += std::holds_alternative<StreamOrigins>(command.Content) ? 1U : 0U;
  CHECK(told == 2);
  CHECK(it.Controller.takeOriginsToKeep().size() == (mixed ? 1 : 0));
}

// Guards against a stream that goes on at whatever version registers first: no
// server was registered when its version was decided, and one came while the
// replicas were asked for a trial of the watched request.
TEST_CASE("a stream isn't put on trial while no server is registered",
          "[stream-origin]") {
  OneVersion it;
  it.Configuration.Software = recordOf({"v1"});
  resume(it.Controller);
  const ContentHash content = it.Controller.board().Requests.at(1).Content;
  it.Controller.quarantine().onUpdate(
      {.To = 9, .Notices = {{content, QuarantineState::Watched}}});
  it.Controller.onCallerDisconnected(Now, 1);
  it.Controller.takeCommands();
  const bool complete = GENERATE(true, false);
  const auto gone = [](const char *name) {
    return MemberRecord{
        .Host = HostName(name), .Gone = true, .Registered = true};
  };
  it.Controller.onMembers(Now, {.Members = {gone("e1"), gone("e2")}});
  it.Controller.onMembers(
      Now, {.Full = true,
            .Complete = complete,
            .Members = {agent("a1", "1.0.0.3:9"), agent("a2", "1.0.0.4:9")}});
  resume(it.Controller);
  CHECK(it.take<ProposeToReplicas>().empty());
  CHECK(it.take<SendToAgent>().empty());
  if (complete) {
    CHECK(it.only<ReplyComplete>().Head.Status == 503);
    return;
  }
  it.Controller.onMembers(
      Now + 1s,
      {.Complete = true, .Members = {engine("e1", "1.0.0.3:80", "v2")}});
  it.Controller.tick(Now + 1s);
  REQUIRE(it.isAsked());
  reply(it.Controller, "a1", std::nullopt);
  reply(it.Controller, "a2", std::nullopt);
  CHECK(it.only<ReplyComplete>().Head.Status == 503);
}

// Guards against a table of a replica that answers with the version that
// arrived last, if messages of two entries were delayed.
TEST_CASE("a stream that was told with two versions counts as unknown",
          "[stream-origin]") {
  StreamOriginTable table({.RejectsConflicts = true});
  table.record(Now, {RequestId("a"), "v1", 5s});
  table.record(Now, {RequestId("a"), "v1", 6s});
  CHECK(table.find(Now + 5s, RequestId("a")) == "v1");
  table.record(Now, {RequestId("a"), "v2", 5s});
  CHECK_FALSE(table.find(Now, RequestId("a")));
  table.record(Now, {RequestId("a"), "v2", 5s});
  CHECK_FALSE(table.find(Now, RequestId("a")));
  CHECK(table.all(Now).empty());
}

// Guards against a caller whose long ids displace the streams of others, and
// against a table that grows with the ids that callers choose.
TEST_CASE("streams with overlong ids aren't remembered, and long ids take no "
          "more memory than short ones",
          "[stream-origin]") {
  StreamOriginTable table({.Capacity = 10});
  table.record(Now, {RequestId("a"), "v1", 5s});
  for (char it = 'a'; it <= 'j'; ++it)
    table.record(Now, {RequestId(std::string(320, it)), "v1", 5s});
  CHECK(table.size() == 1);
  CHECK(table.find(Now, RequestId("a")) == "v1");
  for (char it = 'a'; it <= 'j'; ++it)
    table.record(Now, {RequestId(std::string(128, it)), "v1", 5s});
  CHECK(table.size() == 5);
  CHECK(table.find(Now, RequestId(std::string(128, 'j'))) == "v1");
}

// Guards against a replica that has restarted and is told of streams that no
// caller resumes any more, or with a lifetime that starts anew.
TEST_CASE("the origins that are told again have the lifetimes that are left",
          "[stream-origin]") {
  StreamOriginTable table;
  table.record(Now, {RequestId("a"), "v1", 2s});
  table.record(Now, {RequestId("b"), "v2", 5s});
  const std::vector<StreamOrigin> all = table.all(Now + 3s);
  REQUIRE(all.size() == 1);
  CHECK(all[0].Stream == RequestId("b"));
  CHECK(all[0].Software == "v2");
  CHECK(all[0].Lifetime == 2s);
}

// Guards against a stream that is refused although a replica knows it: all
// agents that were told were lost together with the entry.
TEST_CASE("a resumed stream goes on at the version that a replica names",
          "[stream-origin]") {
  MixedServers it;
  it.Controller.setOriginKeepers({"replica-1", "replica-2"});
  resume(it.Controller);
  it.take<SendToAgent>();
  CHECK(it.Controller.takeOriginsToAsk() ==
        std::vector<RequestId>{RequestId("r0")});
  reply(it.Controller, "a1", std::nullopt);
  reply(it.Controller, "a2", std::nullopt);
  it.Controller.onReplicaOrigin(Now, "replica-1", {.Stream = RequestId("r0")});
  CHECK(it.take<ReplyComplete>().empty());
  const std::string software = GENERATE("v1", "v2");
  it.Controller.onReplicaOrigin(
      Now, "replica-2",
      {.Stream = RequestId("r0"), .Known = true, .Software = software});
  CHECK(it.permit().Server.Name == HostName(software == "v1" ? "e1" : "e2"));
}

// Guards against a caller that waits for a replica that is down, and against
// one that is refused before a replica has answered that knows the stream.
TEST_CASE("a resumed stream is refused once the last replica has answered or "
          "is lost",
          "[stream-origin]") {
  MixedServers it;
  it.Controller.setOriginKeepers({"replica-1", "replica-2"});
  resume(it.Controller);
  it.take<SendToAgent>();
  reply(it.Controller, "a1", std::nullopt);
  it.Controller.onReplicaOrigin(Now, "replica-1", {.Stream = RequestId("r0")});
  it.Controller.onAgentLost(Now, HostName("a2"));
  CHECK(it.take<ReplyComplete>().empty());
  SECTION("it has answered") {
    it.Controller.onReplicaOrigin(Now, "replica-2",
                                  {.Stream = RequestId("r0")});
  }
  SECTION("it is lost") { it.Controller.onReplicaLost(Now, "replica-2"); }
  SECTION("it doesn't answer") { it.Controller.tick(Now + 250ms); }
  CHECK(it.only<ReplyComplete>().Head.Status == 503);
  CHECK(it.Controller.idle());
}

// Guards against a stream of which no replica is told, since it began before a
// second version appeared, or had broken off by then.
TEST_CASE("replicas are told of all streams at once when a second version "
          "appears",
          "[stream-origin]") {
  ForwardUnderTest it;
  it.Controller.onMembers(Now, {.Members = {engine("e1", "1.0.0.3:80", "v1"),
                                            engine("e2", "1.0.0.4:80", "v1")}});
  for (std::uint64_t key = 1; key <= 2; ++key) {
    it.request("flow", 5000, "x", key);
    const auto sent = it.permit();
    it.head(sent, 200, {{"id", "r" + std::to_string(key)}, {"stamp", "s"}});
    it.body(sent, "id: 1\ndata: a\n\n");
    it.take<SendToAgent>();
  }
  it.Controller.onCallerDisconnected(Now, 2);
  it.take<SendToAgent>();
  CHECK(it.Controller.takeOriginsToKeep().empty());
  CHECK_FALSE(it.Controller.needsOriginKeepers(Now));
  it.Controller.onMembers(Now, {.Members = {engine("e3", "1.0.0.5:80", "v2")}});
  CHECK(it.Controller.needsOriginKeepers(Now));
  const auto told = it.Controller.takeOriginsToKeep();
  REQUIRE(told.size() == 2);
  CHECK(told[0].Stream == RequestId("r1"));
  CHECK(told[1].Stream == RequestId("r2"));
  CHECK(told[1].Software == "v1");
}

// Guards against a stream that nobody knows, because the caller names the
// attempt that had itself resumed it.
TEST_CASE("a resumed stream is known by the id of the attempt that resumed it",
          "[stream-origin]") {
  MixedServers it;
  resume(it.Controller);
  it.take<SendToAgent>();
  reply(it.Controller, "a1", "v2");
  const auto sent = it.permit();
  it.head(sent, 200);
  it.body(sent, "id: 5\ndata: a\n\n");
  std::set<RequestId> agents;
  for (const SendToAgent &command : it.take<SendToAgent>())
    if (const auto *told = std::get_if<StreamOrigins>(&command.Content))
      agents.insert(told->Origins.at(0).Stream);
  const std::set<RequestId> both{RequestId("r0"), RequestId("r1")};
  CHECK(agents == both);
  std::set<RequestId> replicas;
  for (const StreamOrigin &told : it.Controller.takeOriginsToKeep()) {
    CHECK(told.Software == "v2");
    replicas.insert(told.Stream);
  }
  CHECK(replicas == both);
  // The same entry knows it itself.
  RequestHead head = resumingHead();
  head.Headers[1].Value = "r2";
  head.Headers.back().Value = "r1";
  it.Controller.onRequest(Now, 2, head, "body",
                          ContentHasher().add("body").finish());
  CHECK(it.permit().Server.Name == HostName("e2"));
}
