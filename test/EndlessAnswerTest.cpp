#include "EndlessServer.h"
#include "ForwardUnderTest.h"
#include "OwnAddress.h"
#include "ServerSentEvents.h"
#include "pimentofront/Http.h"

#include <catch2/catch.hpp>
#include <event2/event.h>

using namespace pimentofront;
using namespace std::chrono_literals;
using test::EndlessServer;
using test::EndlessServerOptions;

namespace {

constexpr int Net = 83;

/// What the entry does with the head of an answer.
enum class Use : std::uint8_t { Take, Skip, SkipFirst, Ignore };

/// A connection pool whose only server never ends what it sends.
struct EndlessAnswer : UpstreamHandler {
  EndlessAnswer(const EndlessServerOptions &server, Use use,
                const UpstreamPoolOptions &options = {})
      : Server(Loop, test::ownAddress(Net), server), Pool(Loop, options, *this),
        HeadUse(use) {
    const HostPort to = test::ownAddress(Net);
    Pool.send({.Attempt = {1, 1},
               .Address = to.Ip + ":" + std::to_string(to.Port),
               .Head = {"GET", "/", {{"Host", "h"}}},
               .Body = std::make_shared<const std::string>(),
               .Connections = {.MaxOpen = 4, .MaxIdle = 4}});
  }

  HeadDecision onHead(const AttemptId &attempt, ResponseHead) override {
    if (HeadUse == Use::Ignore)
      Pool.ignore(attempt);
    const bool skips =
        HeadUse == Use::Skip || (HeadUse == Use::SkipFirst && Heads == 0);
    ++Heads;
    return skips ? HeadDecision::Skip : HeadDecision::Take;
  }
  void onBody(const AttemptId &, std::string_view bytes) override {
    Received += bytes.size();
  }
  void onEnd(const AttemptId &, UpstreamEnding ending) override {
    Ending = ending;
  }
  void onExcess(const ServerProcess &, ResponseExcess excess,
                std::size_t) override {
    Excess = excess;
  }

  /// Runs until the pool has closed the connection.
  /// \returns whether it has done so within \p limit.
  bool closes(Duration limit) {
    const TimePoint end = Loop.now() + limit;
    const auto waker = Loop.every(10ms, [] {});
    while (Loop.now() < end) {
      event_base_loop(Loop.base(), EVLOOP_ONCE);
      if (Server.accepted() > 0 && Server.open() == 0)
        return true;
    }
    return false;
  }

  EventLoop Loop;
  EndlessServer Server;
  UpstreamPool Pool;
  Use HeadUse;
  int Heads = 0;
  std::size_t Received = 0;
  std::optional<UpstreamEnding> Ending;
  std::optional<ResponseExcess> Excess;
};

const std::string Chunked = "HTTP/1.1 503 Service Unavailable\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n";
const std::string Unframed = "HTTP/1.1 200 OK\r\n\r\n";
/// Bytes in the buffers of both sockets, which the client need not have read.
constexpr std::size_t SocketBuffers = std::size_t(8) << 20;
constexpr Duration Enough = 20s;

} // namespace

// Guards against refused answers that an entry reads for as long as the server
// sends, on a connection that counts against the server's limit.
TEST_CASE("an ignored answer without an end is closed", "[endless-answers]") {
  SECTION("in chunks, as fast as it is read") {
    EndlessAnswer it({.Begin = Chunked, .Repeat = "4\r\nmore\r\n"},
                     Use::Ignore);
    CHECK(it.closes(Enough));
    CHECK(it.Server.sent() < SocketBuffers);
    CHECK(it.Excess == ResponseExcess::UnusedBytes);
    CHECK_FALSE(it.Ending);
  }
  SECTION("without a length, a byte now and then") {
    EndlessAnswer it({.Begin = Unframed, .Repeat = "x", .Interval = 50ms},
                     Use::Ignore);
    CHECK(it.closes(Enough));
    CHECK(it.Excess == ResponseExcess::UnusedTime);
    CHECK_FALSE(it.Ending);
  }
}

// Guards against an answer to another request that holds up the request in
// progress until its deadline.
TEST_CASE("an answer without an end to another request breaks the attempt off",
          "[endless-answers]") {
  SECTION("one answer, a byte now and then") {
    EndlessAnswer it({.Begin = Unframed, .Repeat = "x", .Interval = 50ms},
                     Use::Skip);
    CHECK(it.closes(Enough));
    CHECK(it.Ending == UpstreamEnding::Excessive);
    CHECK(it.Excess == ResponseExcess::UnusedTime);
  }
  SECTION("one answer, as fast as it is read") {
    EndlessAnswer it({.Begin = Unframed, .Repeat = "more"}, Use::Skip);
    CHECK(it.closes(Enough));
    CHECK(it.Ending == UpstreamEnding::Excessive);
    CHECK(it.Excess == ResponseExcess::UnusedBytes);
  }
  SECTION("one whole answer after the other") {
    EndlessAnswer it({.Repeat = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
                                "no"},
                     Use::Skip);
    CHECK(it.closes(Enough));
    CHECK(it.Ending == UpstreamEnding::Excessive);
  }
}

// Guards against heads without an end: each interim response began a new
// count of bytes, and nothing limited their time.
TEST_CASE("a head without an end breaks the attempt off", "[endless-answers]") {
  const auto repeat =
      GENERATE(as<std::string>(), "HTTP/1.1 100 Continue\r\n\r\n",
               "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "\r\n", "\n");
  INFO(repeat);
  SECTION("as fast as it is read") {
    EndlessAnswer it({.Repeat = repeat}, Use::Take);
    CHECK(it.closes(Enough));
    CHECK(it.Server.sent() < SocketBuffers);
    REQUIRE(it.Ending);
    CHECK(*it.Ending != UpstreamEnding::NotSent);
    CHECK(*it.Ending != UpstreamEnding::Rejected);
  }
  SECTION("an incomplete head, a byte now and then") {
    const UpstreamPoolOptions options{.Response = {.MaxHeadTime = 500ms}};
    EndlessAnswer it({.Begin = repeat + "HTTP/1.1 200 OK\r\nX: ",
                      .Repeat = "x",
                      .Interval = 50ms},
                     Use::Take, options);
    CHECK(it.closes(Enough));
    CHECK(it.Ending == UpstreamEnding::Excessive);
    CHECK(it.Excess == ResponseExcess::HeadTime);
  }
}

// Guards against limits on heads that cut off a sound server while it works on
// the request.
TEST_CASE("a server may take its time between two heads", "[endless-answers]") {
  const UpstreamPoolOptions options{
      .Response = {.MaxHeadTime = 200ms, .MaxUnusedTime = 200ms}};
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const auto [begin, use] = GENERATE_COPY(table<std::string, Use>(
      {{"HTTP/1.1 102 Processing\r\n\r\n", Use::Take},
       {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
        Use::Take},
       {whole, Use::SkipFirst}}));
  INFO(begin);
  EndlessAnswer it({.Begin = begin, .Repeat = whole, .Interval = 1s}, use,
                   options);
  const auto waker = it.Loop.every(10ms, [] {});
  const TimePoint end = it.Loop.now() + Enough;
  while (!it.Ending && it.Loop.now() < end)
    event_base_loop(it.Loop.base(), EVLOOP_ONCE);
  CHECK(it.Ending == UpstreamEnding::Complete);
  CHECK_FALSE(it.Excess);
}

// Guards against bodies, chunk extensions and trailers without an end.
TEST_CASE("a body without an end breaks the attempt off", "[endless-answers]") {
  const UpstreamPoolOptions options{
      .Response = {.MaxBodyBytes = std::size_t(1) << 20}};
  SECTION("without a length") {
    EndlessAnswer it({.Begin = Unframed, .Repeat = "more"}, Use::Take, options);
    CHECK(it.closes(Enough));
    CHECK(it.Ending == UpstreamEnding::Excessive);
    CHECK(it.Excess == ResponseExcess::BodyBytes);
    CHECK(it.Received <= 2 * options.Response.MaxBodyBytes);
  }
  SECTION("a chunk's extension") {
    EndlessAnswer it({.Begin = Chunked + "4;a=", .Repeat = "b"}, Use::Take,
                     options);
    CHECK(it.closes(Enough));
    CHECK(it.Ending);
  }
  SECTION("a trailer") {
    EndlessAnswer it({.Begin = Chunked + "0\r\nT: ", .Repeat = "t"}, Use::Take,
                     options);
    CHECK(it.closes(Enough));
    CHECK(it.Ending);
  }
  SECTION("trailer fields") {
    EndlessAnswer it({.Begin = Chunked + "0\r\n", .Repeat = "T: t\r\n"},
                     Use::Take, options);
    CHECK(it.closes(Enough));
    CHECK(it.Ending);
  }
}

TEST_CASE("a response's bytes and times are measured against their limits",
          "[endless-answers]") {
  constexpr TimePoint Now{100s};
  const ResponseLimits limits{.MaxHeadBytes = 100,
                              .MaxHeadTime = 2s,
                              .MaxBodyBytes = 1000,
                              .MaxUnusedBytes = 50,
                              .MaxUnusedTime = 1s};
  ResponseMeter meter(limits);
  meter.begin();
  SECTION("all heads count together, but each has its time") {
    meter.recordHeadBegin(Now);
    meter.recordInterimEnd();
    meter.recordHeadBytes(60);
    CHECK_FALSE(meter.excess(Now + 1h));
    meter.recordHeadBegin(Now + 1h);
    meter.recordHeadBytes(40);
    CHECK_FALSE(meter.excess(Now + 1h));
    meter.recordHeadBegin(Now + 1h + 1s);
    CHECK(meter.excess(Now + 1h + 2s) == ResponseExcess::HeadTime);
    meter.recordHeadBytes(1);
    CHECK(meter.excess(Now + 1h) == ResponseExcess::HeadBytes);
  }
  SECTION("a body that is used has a limit of bytes only") {
    meter.recordHead(Now, /*used=*/true);
    meter.recordBodyBytes(1000);
    CHECK_FALSE(meter.excess(Now + 1h));
    meter.recordBodyBytes(1);
    CHECK(meter.excess(Now) == ResponseExcess::BodyBytes);
  }
  SECTION("after a response that is skipped another one has its full time") {
    meter.recordHead(Now, /*used=*/false);
    meter.recordBodyBytes(30);
    meter.recordUnusedEnd();
    CHECK_FALSE(meter.excess(Now + 1h));
    meter.recordHead(Now + 1h, /*used=*/false);
    CHECK(meter.excess(Now + 1h + 1s) == ResponseExcess::UnusedTime);
    meter.recordBodyBytes(21);
    CHECK(meter.excess(Now + 1h) == ResponseExcess::UnusedBytes);
  }
  SECTION("an ignored response isn't allowed more time by its head") {
    meter.ignore(Now);
    meter.recordHead(Now + 500ms, /*used=*/true);
    CHECK_FALSE(meter.excess(Now + 999ms));
    CHECK(meter.excess(Now + 1s) == ResponseExcess::UnusedTime);
  }
  SECTION("the next request begins at zero") {
    meter.recordHeadBytes(101);
    meter.begin();
    CHECK_FALSE(meter.excess(Now + 1h));
    CHECK(meter.totalBytes() == 0);
  }
}

//===----------------------------------------------------------------------===//
// Events, and what becomes of the request
//===----------------------------------------------------------------------===//

// Guards against an event without an end, which an entry holds in memory until
// it is complete.
TEST_CASE("a stream whose event doesn't end is broken off and resumed",
          "[endless-answers]") {
  using testing::ForwardUnderTest;
  ForwardUnderTest it(/*withTable=*/true, {.MaxEventBytes = 1000});
  it.request("flow");
  const SendUpstream sent = it.permit();
  it.head(sent, 200);
  it.body(sent, "id: 1\ndata: a\n\n" + std::string(1000, 'x'));
  CHECK(it.take<CancelUpstream>().empty());
  it.body(sent, "x");
  CHECK(it.only<CancelUpstream>().Attempt == sent.Attempt);
  CHECK(it.only<ReplyPiece>().Bytes == "id: 1\ndata: a\n\n");
  // Another server goes on after the event that the caller has.
  const SendToAgent asked = it.take<SendToAgent>().back();
  it.Controller.attempts().onPermit(
      testing::Now, asked.Host,
      {.Attempt = std::get<ExecuteRequest>(asked.Content).Attempt});
  const auto again = it.only<SendUpstream>();
  it.head(again, 200);
  it.body(again, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  it.end(again, UpstreamEnding::Complete);
  CHECK(it.only<ReplyPiece>().Bytes == "id: 2\ndata: b\n\n");
  CHECK(it.take<ReplyEnd>().size() == 1);
}

// Guards against a caller that is told "not run", or nothing, when its answer
// exceeds a limit.
TEST_CASE("a request whose answer exceeds a limit is sent again or fails",
          "[endless-answers]") {
  using testing::ForwardUnderTest;
  ForwardUnderTest it;
  SECTION("one that may be repeated is sent to the other server") {
    it.request("safe");
    const auto sent = it.only<SendUpstream>();
    it.end(sent, UpstreamEnding::Excessive);
    const auto again = it.only<SendUpstream>();
    CHECK(again.Address != sent.Address);
    it.end(again, UpstreamEnding::Excessive);
    CHECK(it.only<ReplyComplete>().Head.Status == 502);
  }
  SECTION("one that may run only once isn't") {
    it.request("once");
    it.end(it.only<SendUpstream>(), UpstreamEnding::Excessive);
    CHECK(it.take<SendUpstream>().empty());
    CHECK(it.only<ReplyComplete>().Head.Status == 502);
  }
  SECTION("an answer that its caller has in part doesn't look complete") {
    it.request("safe");
    const auto sent = it.only<SendUpstream>();
    it.head(sent, 200);
    it.body(sent, std::string(std::size_t(65) << 10, 'x'));
    it.end(sent, UpstreamEnding::Excessive);
    CHECK(it.take<ReplyAbort>().size() == 1);
    CHECK(it.take<ReplyEnd>().empty());
  }
  // The server runs, so its exit needn't be checked for.
  CHECK(it.take<CheckServer>().empty());
}

//===----------------------------------------------------------------------===//
// Calls of agents and replicas
//===----------------------------------------------------------------------===//

namespace {

/// A call to a server that never ends what it sends.
struct EndlessCall {
  explicit EndlessCall(const EndlessServerOptions &server,
                       std::size_t maxBytes = std::size_t(1) << 20)
      : Server(Loop, test::ownAddress(Net), server), Client(Loop) {
    Client.setExcessObserver([this](const HostPort &, HttpEnding ending,
                                    std::size_t) { Excess = ending; });
    Client.start({.Address = test::ownAddress(Net),
                  .Method = "GET",
                  .Path = "/",
                  .Timeout = 500ms,
                  .MaxResponseBytes = maxBytes,
                  .OnEnd = [this](const HttpResponse &it) { Ended = it; }});
  }
  /// \returns whether the call ends and its connection closes in time.
  bool ends() {
    const TimePoint end = Loop.now() + Enough;
    const auto waker = Loop.every(10ms, [] {});
    while (Loop.now() < end && !(Ended && Server.open() == 0))
      event_base_loop(Loop.base(), EVLOOP_ONCE);
    return Ended && Server.open() == 0;
  }

  EventLoop Loop;
  EndlessServer Server;
  HttpClient Client;
  std::optional<HttpResponse> Ended;
  std::optional<HttpEnding> Excess;
};

} // namespace

// Guards against calls to an engine that a byte now and then keeps open: the
// timeout was one of inactivity.
TEST_CASE("a call whose response doesn't end is cut off in time",
          "[endless-calls]") {
  const auto begin =
      GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\n\r\n",
               "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFF\r\n",
               "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 ");
  INFO(begin);
  EndlessCall it({.Begin = begin, .Repeat = "1", .Interval = 50ms});
  CHECK(it.ends());
  CHECK(it.Ended->Ending != HttpEnding::Complete);
  CHECK(it.Ended->Ending != HttpEnding::NotSent);
}

// Guards against the memory that heads, interim responses and bodies without an
// end take.
TEST_CASE("a call whose response is too large is cut off", "[endless-calls]") {
  const auto server = GENERATE(
      EndlessServerOptions{.Begin = "HTTP/1.1 200 OK\r\n\r\n",
                           .Repeat = "more"},
      EndlessServerOptions{.Begin = Chunked, .Repeat = "4\r\nmore\r\n"},
      EndlessServerOptions{.Begin = "HTTP/1.1 200 OK\r\n",
                           .Repeat = "X: y\r\n"},
      EndlessServerOptions{.Begin = "HTTP/1.1 200 OK\r\nX: ", .Repeat = "y"},
      EndlessServerOptions{.Repeat = "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n"},
      EndlessServerOptions{.Repeat = "no answer at all"});
  INFO(server.Begin << server.Repeat);
  EndlessCall it(server);
  CHECK(it.ends());
  CHECK(it.Ended->Ending != HttpEnding::Complete);
  CHECK(it.Ended->Ending != HttpEnding::NotSent);
  CHECK(it.Server.sent() < SocketBuffers);
}

// Guards against limits that a sound server's response meets.
TEST_CASE("a call's limits don't apply before its response and after its end",
          "[endless-calls]") {
  EndlessCall it({.Begin = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
                  .Repeat = "o",
                  .Interval = 20ms});
  while (!it.Ended)
    event_base_loop(it.Loop.base(), EVLOOP_ONCE);
  CHECK(it.Ended->Ending == HttpEnding::Complete);
  CHECK(it.Ended->Body == "oo");
  const auto waker = it.Loop.every(10ms, [] {});
  const TimePoint end = it.Loop.now() + 1s;
  while (it.Loop.now() < end)
    event_base_loop(it.Loop.base(), EVLOOP_ONCE);
  CHECK_FALSE(it.Excess);
}

// Guards against an agent that takes a status which no final response may have
// for an engine's answer.
TEST_CASE("a call whose response has an invalid status is broken off",
          "[endless-calls]") {
  const auto status =
      GENERATE(as<std::string>(), "099", "101", "103", "199", "600", "999");
  CAPTURE(status);
  EndlessCall it(
      {.Begin = "HTTP/1.1 " + status + " Text\r\nContent-Length: 2\r\n\r\n",
       .Repeat = "o",
       .Interval = 20ms});
  while (!it.Ended)
    event_base_loop(it.Loop.base(), EVLOOP_ONCE);
  CHECK(it.Ended->Ending == HttpEnding::BrokeOff);
  CHECK(it.Ended->Status == 0);
}

// Guards against a generation that an engine's line without an end holds in
// memory.
TEST_CASE("a line of server-sent events without an end is noticed",
          "[endless-calls]") {
  ServerSentEvents events;
  events.feed("data: a\n" + std::string(1000, 'x'));
  CHECK(events.next() == "a");
  CHECK_FALSE(events.next());
  CHECK_FALSE(events.isLineTooLong());
  events.feed(std::string(std::size_t(256) << 10, 'x'));
  CHECK_FALSE(events.next());
  CHECK(events.isLineTooLong());
}
