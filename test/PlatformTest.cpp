#include "EngineReport.h"
#include "ManifestReader.h"
#include "Registration.h"
#include "RequestHeaders.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

const platform::RequestHeaders Headers;

constexpr const char *Manifest = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "hostname": "h.example", "pathPrefix": "/a/",
     "routeType": "streaming", "timeoutMs": 10000, "targetLatencyMs": 1000,
     "priority": 1, "backend": "engines", "attempts": 2, "resumable": true,
     "gapTargetMs": 400},
    {"name": "r2", "hostname": "h.example", "pathPrefix": "/b/",
     "routeType": "non_idempotent", "timeoutMs": 1200.5,
     "targetLatencyMs": 150, "priority": 2, "attempts": 1,
     "split": [{"backend": "engines", "weight": 90},
               {"backend": "plain", "weight": 10}]}],
  "services": [
    {"name": "engines", "healthPath": "/h", "maxConns": 360,
     "engine": {"slots": 64, "kvCapacity": 232000, "weightsMb": 35300.0,
                "adapterSlots": 8,
                "models": [{"name": "m", "weightsMb": 34300.0,
                            "adapterMb": 40.0}]}},
    {"name": "plain", "healthPath": "/h", "maxConns": 100}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})";

Findings faultsOf(std::string_view text) {
  Findings findings;
  platform::ManifestReader().decode(text, findings).check(findings);
  return findings;
}

std::string replaced(std::string text, const std::string &from,
                     const std::string &to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("a routing document is decoded into typed values") {
  Findings findings;
  const RoutingDocument it =
      platform::ManifestReader().decode(Manifest, findings);
  it.check(findings);
  INFO(findings.toText());
  REQUIRE(findings.empty());
  CHECK(it.Number == 7);
  REQUIRE(it.Routes.size() == 2);
  CHECK(it.Routes[0].Kind == Repeatability::Stream);
  CHECK(it.Routes[0].mayRepeat());
  CHECK(it.Routes[0].MaxServers == 2);
  CHECK(it.Routes[0].PauseTarget == 400ms);
  CHECK_FALSE(it.Routes[1].PauseTarget);
  CHECK(it.Routes[1].Timeout == 1200500us);
  CHECK(it.Routes[1].Split.size() == 2);
  CHECK(it.Routes[1].Split[1] == WeightedService{ServiceName("plain"), 10});
  REQUIRE(it.Services[0].Engine);
  CHECK(it.Services[0].Engine->AdapterSlots == 8);
  CHECK(it.Services[0].Engine->Models.at(0).Name == "m");
  CHECK(it.Limits.IdleTimeout == 15s);
}

TEST_CASE("a document with a fault is rejected, with the fault's location") {
  const std::string text = Manifest;
  CHECK_FALSE(faultsOf(text.substr(0, text.size() / 2)).empty());
  CHECK_FALSE(faultsOf("").empty());
  CHECK_FALSE(faultsOf("[]").empty());
  CHECK_FALSE(
      faultsOf(replaced(text, "\"backend\": \"engines\"", "\"backend\": \"x\""))
          .empty());
  CHECK_FALSE(faultsOf(replaced(text, "/b/", "/a/")).empty());
  CHECK_FALSE(
      faultsOf(replaced(replaced(text, "90", "0"), "10}", "0}")).empty());
  CHECK_FALSE(faultsOf(replaced(text, "10000", "0")).empty());
  CHECK_FALSE(faultsOf(replaced(text, "400}", "0}")).empty());
  CHECK_FALSE(faultsOf(replaced(text, "400}", "-1}")).empty());
  CHECK_FALSE(faultsOf(replaced(text, "400}", "\"400 ms\"}")).empty());
  const Findings two =
      faultsOf(replaced(replaced(text, "\"attempts\": 2", "\"attempts\": -1"),
                        "non_idempotent", "whatever"));
  REQUIRE(two.items().size() == 2);
  CHECK(two.items()[0].Location == "/routes/0/attempts");
  CHECK(two.items()[1].Location == "/routes/1/routeType");
}

TEST_CASE("a request's headers are decoded") {
  const RequestTraits it = Headers.decodeRequest(
      {"POST",
       "/a/x",
       {{"pimentofront-attempt-id", "9c41"},
        {"Last-Event-Id", "12"},
        {"resumes", "9c40"},
        {"Pimentofront-Model", "m/a3"},
        {"Pimentofront-Token-Usage", "1460,80"},
        {"Pimentofront-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
        {"Pimentofront-Length-Hint", "48"},
        {"Pimentofront-Deadline-Ms", "6000"}}});
  CHECK(it.Id == "9c41");
  CHECK(it.LastEventId == 12U);
  CHECK(it.Resumes == "9c40");
  CHECK(it.BaseModel == "m");
  CHECK(it.Adapter == "a3");
  CHECK(it.PromptTokens == 1460);
  CHECK(it.MaxOutputTokens == 80);
  CHECK(it.ExpectedOutputTokens == 48);
  CHECK(it.Parts ==
        std::vector<PromptPart>{{0x5c1e07a2, 800}, {0x91bd3f06, 410}});
  CHECK(it.TimeLeft == 6s);
}

TEST_CASE("malformed headers are ignored") {
  const RequestTraits it =
      Headers.decodeRequest({"POST",
                             "/",
                             {{"Pimentofront-Token-Usage", "x,y"},
                              {"Pimentofront-Prompt-Prefix", "zz:1,,:"},
                              {"Pimentofront-Length-Hint", "-7"},
                              {"Pimentofront-Deadline-Ms", "soon"}}});
  CHECK(it.Id.empty());
  CHECK(it.Resumes.empty());
  CHECK(it.PromptTokens == 0);
  CHECK(it.ExpectedOutputTokens == 0);
  CHECK(it.Parts.empty());
  CHECK_FALSE(it.TimeLeft);
}

// A name that isn't text ended the agent that was to order its adapter.
TEST_CASE("a model's name that isn't text makes a request malformed") {
  const auto faultOf = [](const std::string &model) {
    return Headers.decodeRequest({.Headers = {{"Pimentofront-Model", model}}})
        .MalformedHeader;
  };
  CHECK(faultOf("m0/a").empty());
  CHECK(faultOf("m0/\xC3\xA4").empty());
  CHECK(faultOf("").empty());
  for (const char *it : {"m0/a\xFF", "m0\xFF/a", "m0/\xC3", "m0/a\tb",
                         "m0/\xC0\xAF", "m0/\xED\xA0\x80", "m0/a\x7F"})
    CHECK(faultOf(it) == "Pimentofront-Model");
}

TEST_CASE("numbers in headers that are too large are bounded") {
  const auto read = [](const char *name, const char *value) {
    return Headers.decodeRequest({.Headers = {{name, value}}});
  };
  for (const char *it : {"9223372036854775807", "18446744073709551615"})
    CHECK(read("Pimentofront-Deadline-Ms", it).TimeLeft == 24h);
  const RequestTraits tokens =
      read("Pimentofront-Token-Usage", "4294967296,4294967297");
  CHECK(tokens.PromptTokens == 4294967295);
  CHECK(tokens.MaxOutputTokens == 4294967295);
  const RequestTraits parts =
      read("Pimentofront-Prompt-Prefix", "a:4294967297");
  REQUIRE(parts.Parts.size() == 1);
  CHECK(parts.Parts[0].Tokens == 4294967295);
}

TEST_CASE("headers that only the system may set never come from a caller") {
  const RequestHead sent =
      Headers.encodeRequest({"POST",
                             "/a/x?y",
                             {{"Host", "h"},
                              {"Pimentofront-Attempt-Id", "1"},
                              {"Pimentofront-Model", "m"},
                              {"Pimentofront-Hold", "theirs"},
                              {"pimentofront-pin-ms", "4000"},
                              {"Pimentofront-Kv-Backup", "1.1.1.1:1"},
                              {"Kv-From", "1.1.1.1:1/2"},
                              {"Kv-Fetch", "1.1.1.1:1"},
                              {"Pimentofront-Expect-Instance", "theirs"},
                              {"Pimentofront-Request-Priority", "0"},
                              {"Pimentofront-Deadline-Ms", "99999"},
                              {"Connection", "keep-alive"}}},
                            {.TimeLeft = 1500ms,
                             .Server = HostName("i-1"),
                             .Version = 4,
                             .Priority = 12,
                             .LastEventId = 3,
                             .FetchFrom = "10.0.0.4:80"});
  CHECK(sent.Target == "/a/x?y");
  CHECK(sent.Headers == HttpHeaders{{"Host", "h"},
                                    {"Pimentofront-Attempt-Id", "1"},
                                    {"Pimentofront-Model", "m"},
                                    {"Pimentofront-Deadline-Ms", "1500"},
                                    {"Pimentofront-Expect-Instance", "i-1"},
                                    {"Pimentofront-Expect-Version", "4"},
                                    {"Pimentofront-Request-Priority", "9"},
                                    {"Kv-Fetch", "10.0.0.4:80"},
                                    {"Last-Event-Id", "3"}});
}

TEST_CASE("a response's headers are decoded") {
  const AnswerTraits it =
      Headers.decodeAnswer({503,
                            {{"Pimentofront-Attempt-Id", "1"},
                             {"Pimentofront-Not-Executed", "1"},
                             {"Pimentofront-Server-Load", "3,0,8"}}});
  CHECK(it.Id == "1");
  CHECK(it.NotRun);
  CHECK_FALSE(it.Stamped);
  CHECK(it.Load == ServerLoad{3, 0, 8});
  const AnswerTraits slow =
      Headers.decodeAnswer({200, {{"Pimentofront-Server-Load", "3,1,8,250"}}});
  CHECK(slow.Load == ServerLoad{3, 1, 8, 250});
}

// Guards against another process that is taken for the one that began an
// answer.
TEST_CASE("a process that is asked for its identity is told from others of its "
          "name and address") {
  const ServerProcess named{HostName("i-1")};
  const ServerProcess started{HostName("i-1"), 7000};
  const ServiceSpec engines{.Name = ServiceName("s"), .Engine = EngineSpec{}};
  const ServiceSpec plain{.Name = ServiceName("s"), .HealthPath = "/h"};
  const ServiceSpec engineOnPath{
      .Name = ServiceName("s"), .HealthPath = "/h", .Engine = EngineSpec{}};
  constexpr const char *Report =
      R"({"busy": false, "seq": 1, "models": [], "born": 7000})";
  constexpr const char *Unborn = R"({"busy": false, "seq": 1, "models": []})";
  const HttpHeaders own = {{"Pimentofront-Instance-Id", "i-1"}};
  const HttpHeaders other = {{"Pimentofront-Instance-Id", "i-2"}};

  SECTION("the query names the process that it expects") {
    const auto query = Headers.identityQuery(started, engines);
    REQUIRE(query);
    CHECK(query->Method == "GET");
    CHECK(query->Target == "/-/report");
    CHECK(*findHeader(query->Headers, "Pimentofront-Expect-Instance") == "i-1");
    CHECK(Headers.identityQuery(named, plain)->Target == "/h");
    // A report without a start time names no process.
    CHECK(Headers.identityQuery(named, engineOnPath)->Target == "/h");
  }
  SECTION("a health path can't tell processes of one name apart") {
    CHECK(!Headers.identityQuery(started, plain));
    CHECK(!Headers.identityQuery(named, {.Name = ServiceName("s")}));
  }
  SECTION("its response") {
    struct Row {
      ServerProcess Server;
      ResponseHead Head;
      const char *Body;
      ServerCheckResult Result;
    };
    using enum ServerCheckResult;
    const Row row = GENERATE_COPY(values<Row>({
        {started, {200, {}}, Report, StillRunning},
        {named, {200, {}}, Unborn, Unidentified},
        {{HostName("i-1"), 6999}, {200, {}}, Report, Replaced},
        {started, {421, {}}, "", Replaced},
        {named, {421, own}, "", Replaced},
        {named, {200, own}, "", StillRunning},
        {named, {503, own}, "", StillRunning},
        {named, {200, other}, "", Replaced},
        {started, {200, own}, "", Unidentified},
        {started, {200, {}}, Unborn, Unidentified},
        {named, {200, {}}, Report, Unidentified},
        {named, {503, {}}, "", Unidentified},
        {started, {200, {}}, "{}", Unidentified},
    }));
    INFO(row.Head.Status << " " << row.Body);
    CHECK(Headers.readIdentity(row.Server, row.Head, row.Body) == row.Result);
  }
}

TEST_CASE("feedback in a backend server's response is decoded") {
  struct Case {
    const char *What;
    ResponseHead Head;
    AnswerFeedback Feedback;
  };
  const Case cases[] = {
      {"nothing", {200, {}}, {}},
      {"a limit", {200, {{"Server-Limit", "1.2"}}}, {.LimitPerSecond = 1.2}},
      {"a limit of 0", {200, {{"server-limit", "0"}}}, {.LimitPerSecond = 0}},
      {"a negative limit",
       {200, {{"Server-Limit", "-1"}}},
       {.MalformedHeader = "Server-Limit"}},
      {"two limits",
       {200, {{"Server-Limit", "1"}, {"Server-Limit", "9"}}},
       {.MalformedHeader = "Server-Limit"}},
      {"leaving", {200, {{"Server-Leaving", "1"}}}, {.Leaving = true}},
      {"not leaving", {200, {{"Server-Leaving", "0"}}}, {}},
      {"backoff", {503, {{"Retry-After", "3"}}}, {.Backoff = 3s}},
      {"a fraction of a second",
       {503, {{"Retry-After", "0.25"}}},
       {.Backoff = 250ms}},
      {"a backoff of 0", {503, {{"Retry-After", "0"}}}, {.Backoff = 0s}},
      {"a year, bounded to an hour",
       {503, {{"Retry-After", "31536000"}}},
       {.Backoff = 1h}},
      {"a date",
       {503, {{"Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT"}}},
       {.MalformedHeader = "Retry-After"}},
      {"another status", {500, {{"Retry-After", "3"}}}, {}},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    CHECK(Headers.decodeAnswer(it.Head).Feedback == it.Feedback);
  }
}

// An account's name is sent in a header to servers.
TEST_CASE("a document's texts have no control characters") {
  const auto named = [](const char *name) {
    return replaced(Manifest, "\"limits\"",
                    std::string(R"("tenants": [{"name": ")") + name +
                        R"(", "apiKeys": ["k"]}], "limits")");
  };
  INFO(faultsOf(named("a")).toText());
  CHECK(faultsOf(named("a")).empty());
  CHECK_FALSE(faultsOf(named(R"(a\r\nX: y)")).empty());
  CHECK_FALSE(faultsOf(named(R"(a\u0000)")).empty());
  CHECK_FALSE(
      faultsOf(replaced(Manifest, R"("/h")", R"("/h\r\nX: y")")).empty());
}

TEST_CASE("an engine's report is decoded") {
  const auto it = platform::readEngineReport(
      R"({"stage":"both","models":[{"name":"m","version":1,
          "adapters":["a1@1","a7@12"]}],"busy":true,"seq":2,
          "pending":["m/a9@1"],"queued":1})");
  REQUIRE(it);
  CHECK(it->hasModel("m"));
  CHECK_FALSE(it->hasModel("n"));
  CHECK(it->versionOf(AdapterName("m/a7")) == 12U);
  CHECK_FALSE(it->versionOf(AdapterName("m/a9")));
  CHECK(it->isPending(AdapterName("m/a9")));
  CHECK(it->weightsOf("m", AdapterName("m/a7")) == WeightsVersion{1, 12});
  CHECK(it->weightsOf("m", AdapterName()) == WeightsVersion{1, 0});
  CHECK_FALSE(it->weightsOf("m", AdapterName("m/a9")).isKnown());
  CHECK_FALSE(it->weightsOf("n", AdapterName()).isKnown());
  CHECK(it->Busy);
  CHECK(it->OrdersAccepted == 2);
  CHECK_FALSE(platform::readEngineReport("{\"models\":3}"));
  CHECK_FALSE(platform::readEngineReport("nonsense"));
}

TEST_CASE("an engine's report in another format is rejected") {
  const std::string good = R"({"models":[{"name":"m","adapters":["a@1"]}],)"
                           R"("busy":false,"seq":2,"born":1700000000000})";
  REQUIRE(platform::readEngineReport(good));
  CHECK(platform::readEngineReport(good)->StartedAt == 1700000000000);
  CHECK(platform::readEngineReport(good)->modelVersion("m") == 0);
  const std::pair<const char *, const char *> cases[] = {
      {"\"seq\":2", "\"seq\":1e300"},
      {"\"seq\":2", "\"seq\":1.5"},
      {"\"seq\":2", "\"seq\":-1"},
      {"\"seq\":2", "\"seq\":\"2\""},
      {"\"seq\":2", "\"sequence\":2"},
      {"1700000000000", "-4"},
      {"1700000000000", "\"now\""},
      {"a@1", "a"},
      {"a@1", "a@"},
      {"a@1", "a@-1"},
      {"a@1", "a@99999999999"},
      {"\"a@1\"", "7"},
      {"[\"a@1\"]", "{}"},
      {"false", "\"no\""},
      {"\"name\":\"m\"", "\"name\":null"},
      {"m", "\xff"}};
  for (const auto &[from, to] : cases) {
    INFO(from << " -> " << to);
    CHECK_FALSE(platform::readEngineReport(replaced(good, from, to)));
  }
}

TEST_CASE("a registration is decoded, with its process") {
  Findings findings;
  const auto it = platform::readRegistration(
      "i-1",
      R"({"backend":"s","address":"1.0.0.1:80","zone":"z","version":"v1",
          "slots":64,"state":"draining","coldLeftMs":0,"seq":4,
          "born":1700000000123})",
      findings);
  INFO(findings.toText());
  REQUIRE(findings.empty());
  CHECK(it.Member.process() == ServerProcess{HostName("i-1"), 1700000000123});
  CHECK(it.Member.Leaving);
  CHECK(it.Member.Slots == 64);
  CHECK(it.Member.Software == "v1");
  CHECK(it.Sequence == 4);
  CHECK(platform::leavingProcessStart("") == 0);
  CHECK(platform::leavingProcessStart(R"({"born":7})") == 7);
  CHECK(platform::leavingProcessStart(R"({"born":"x"})") == 0);
}

// A server's name is sent in a header, and shown to operators.
TEST_CASE("a registration under a name that isn't text is rejected") {
  const auto faults = [](const std::string &id) {
    Findings findings;
    platform::readRegistration(
        id,
        R"({"backend":"s","address":"1.0.0.1:80","zone":"z","slots":64,)"
        R"("state":"ready","seq":4})",
        findings);
    return findings;
  };
  CHECK(faults("i-1").empty());
  for (const char *it : {"", "i\xFF", "i\r\nX: y", "\xC3"})
    CHECK_FALSE(faults(it).empty());
}

TEST_CASE("a registration in another format is rejected") {
  const std::string good =
      R"({"backend":"s","address":"1.0.0.1:80","zone":"z","slots":64,)"
      R"("state":"ready","seq":4,"born":1700000000123})";
  const auto faults = [](const std::string &text) {
    Findings findings;
    platform::readRegistration("i-1", text, findings);
    return findings;
  };
  REQUIRE(faults(good).empty());
  const auto withVersion = [&](const std::string &value) {
    return replaced(good, "\"seq\"", "\"version\":" + value + ",\"seq\"");
  };
  CHECK(faults(withVersion("\"" + std::string(64, 'v') + "\"")).empty());
  CHECK_FALSE(faults(withVersion("\"" + std::string(65, 'v') + "\"")).empty());
  CHECK_FALSE(faults(withVersion("1.5")).empty());
  const std::pair<const char *, const char *> cases[] = {
      {"\"s\"", "\"\""},
      {"\"s\"", "7"},
      {"\"backend\"", "\"app\""},
      {"1.0.0.1:80", "nowhere"},
      {"1.0.0.1:80", "1.0.0.1"},
      {"1.0.0.1:80", "1.0.0.1:99999"},
      {"\"z\"", "\"\""},
      {"\"z\"", "{}"},
      {"64", "-1"},
      {"64", "0"},
      {"64", "1.5"},
      {"64", "1e300"},
      {"64", "70000"},
      {"64", "\"64\""},
      {"ready", "resting"},
      {"\"ready\"", "true"},
      {"\"seq\":4", "\"seq\":-4"},
      {"\"seq\":4", "\"n\":4"},
      {"1700000000123", "1.5"},
      {"1700000000123", "-1"},
      {"1700000000123", "\"x\""},
      {"1700000000123", "1e300"},
      {"\"z\"", "\"\xff\""}};
  for (const auto &[from, to] : cases) {
    INFO(from << " -> " << to);
    CHECK_FALSE(faults(replaced(good, from, to)).empty());
  }
  CHECK_FALSE(faults("").empty());
  CHECK_FALSE(faults("[]").empty());
  CHECK_FALSE(faults(std::string(100000, '[')).empty());
  CHECK_FALSE(faults(good.substr(0, good.size() / 2)).empty());
}
