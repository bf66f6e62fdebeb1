// Guards against answers that end with their connection: a stream that ended
// inside an event was passed on as a complete answer, and its end cleared a
// request under suspicion although the server's process had gone.

#include "ForwardUnderTest.h"
#include "OwnAddress.h"
#include "pimentofront/Http.h"

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

constexpr auto Closed = UpstreamEnding::Closed;
constexpr auto Complete = UpstreamEnding::Complete;

/// A server that sends scripted bytes on its first connection and closes it.
struct ClosingServer : UpstreamHandler {
  ClosingServer()
      : Address(test::ownAddress(Net)),
        Listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
        Pool(Loop, {}, *this) {
    const int on = 1;
    ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = toSocketAddress(Address);
    REQUIRE(::bind(Listener, reinterpret_cast<const sockaddr *>(&address),
                   sizeof(address)) == 0);
    REQUIRE(::listen(Listener, 1) == 0);
  }
  ~ClosingServer() override { ::close(Listener); }
  ClosingServer(const ClosingServer &) = delete;
  ClosingServer &operator=(const ClosingServer &) = delete;

  /// Sends a request. \returns the server's end of the connection.
  int accept(std::size_t bodyBytes) {
    Pool.send({.Attempt = {1, 1},
               .Address = Address.Ip + ":" + std::to_string(Address.Port),
               .Head = {"POST", "/", {{"Host", "h"}}},
               .Body = std::make_shared<const std::string>(bodyBytes, 'x'),
               .Connections = {.MaxOpen = 1, .MaxIdle = 1}});
    const int fd = ::accept(Listener, nullptr, nullptr);
    REQUIRE(fd >= 0);
    return fd;
  }
  static void resetOnClose(int fd) {
    const linger none{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
  }
  static void send(int fd, std::string_view bytes) {
    REQUIRE(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  UpstreamEnding awaitEnd() {
    while (!Ending)
      event_base_loop(Loop.base(), EVLOOP_ONCE);
    return *Ending;
  }

  /// \returns how the pool says that an answer of these bytes ended.
  UpstreamEnding endingOf(std::string_view bytes, bool reset) {
    const int fd = accept(/*bodyBytes=*/0);
    char request[256];
    while (::recv(fd, request, sizeof(request), MSG_DONTWAIT) <= 0)
      event_base_loop(Loop.base(), EVLOOP_ONCE);
    send(fd, bytes);
    constexpr std::string_view EndOfHead = "\r\n\r\n";
    const std::size_t head = bytes.find(EndOfHead);
    const bool hasBody = head != std::string_view::npos &&
                         head + EndOfHead.size() < bytes.size();
    while (hasBody && Body.empty())
      event_base_loop(Loop.base(), EVLOOP_ONCE);
    if (reset)
      resetOnClose(fd);
    ::close(fd);
    return awaitEnd();
  }

  HeadDecision onHead(const AttemptId &, ResponseHead) override {
    return HeadDecision::Take;
  }
  void onBody(const AttemptId &, std::string_view bytes) override {
    Body += bytes;
  }
  void onEnd(const AttemptId &, UpstreamEnding ending) override {
    Ending = ending;
  }

  static constexpr int Net = 81;
  EventLoop Loop;
  HostPort Address;
  int Listener;
  UpstreamPool Pool;
  std::string Body;
  std::optional<UpstreamEnding> Ending;
};

/// An entry whose request a server has begun to answer.
struct StreamingEntry : ForwardUnderTest {
  explicit StreamingEntry(const char *route = "brook", int status = 200) {
    request(route);
    const std::vector<SendUpstream> sends = take<SendUpstream>();
    Sent = sends.empty() ? permit() : sends.front();
    head(Sent, status);
  }
  /// Grants the permit for a further send.
  SendUpstream sendAgain() {
    const auto asked = take<SendToAgent>().back();
    const auto execute = std::get<ExecuteRequest>(asked.Content);
    Controller.attempts().onPermit(Now, asked.Host,
                                   {.Attempt = execute.Attempt});
    return only<SendUpstream>();
  }
  template <class T> std::optional<T> proposal() {
    for (const ProposeToReplicas &it : take<ProposeToReplicas>())
      if (const auto *body = std::get_if<T>(&it.Proposal))
        return *body;
    return std::nullopt;
  }
  SendUpstream Sent;
};

} // namespace

// Each framing of a server and each way in which its connection can end.
TEST_CASE("an answer's framing tells whether its connection ended it") {
  struct Row {
    std::string Bytes;
    bool Reset;
    UpstreamEnding Ending;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = ok + "Content-Length: 14\r\n\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string event = "id: 1\ndata: a\n\n";
  const Row row = GENERATE_REF(values<Row>({
      {"", false, UpstreamEnding::Rejected},
      {"HTTP/1.1 2", false, BrokenOff},
      {ok + "Content-Le", false, BrokenOff},
      {ok + "\r\n", false, Closed},
      {ok + "\r\n" + event, false, Closed},
      {ok + "\r\n" + event, true, BrokenOff},
      {"HTTP/1.0 200 OK\r\n\r\n" + event, false, Closed},
      {ok + "Content-Length: 99\r\n\r\nid: 1\n", false, BrokenOff},
      {ok + "Content-Length: 15\r\n\r\n" + event, false, Complete},
      {ok + "Content-Length: 15\r\n\r\n" + event, true, Complete},
      {ok + "Content-Length: 15\r\n\r\n" + event + "more", false, Complete},
      {chunked + "f\r\n" + event + "\r\n0\r\n\r\n", false, Complete},
      {chunked + "f\r\n" + event + "\r\n", false, BrokenOff},
      {chunked + "f\r\n" + event + "\r\n0\r\n", false, BrokenOff},
      {chunked + "f\r\n" + event + "\r\n", true, BrokenOff},
      {chunked + "f\r\n" + event + "\r\nno chunk\r\n", false, BrokenOff},
  }));
  CAPTURE(row.Bytes, row.Reset);
  CHECK(ClosingServer().endingOf(row.Bytes, row.Reset) == row.Ending);
}

namespace {

constexpr std::string_view PartOfAnswer = "HTTP/1.1 200 OK\r\n\r\npart";
/// Requests beyond what the sockets buffer, beyond what the server's buffers,
/// and below that.
constexpr std::size_t LargeBody = std::size_t(64) << 20;
constexpr std::size_t MediumBody = std::size_t(100) << 10;
constexpr std::size_t SmallBody = 1000;

} // namespace

// Guards against a part of an answer that reaches the caller as a complete one:
// the server answered a long upload at once, shut down its sending side and
// reset the connection a little later, with the upload unread.
TEST_CASE("an answer that ends before its request was received is broken off") {
  const std::size_t bodyBytes = GENERATE(LargeBody, MediumBody);
  CAPTURE(bodyBytes);
  ClosingServer server;
  constexpr int FewBytes = 4096;
  ::setsockopt(server.Listener, SOL_SOCKET, SO_RCVBUF, &FewBytes,
               sizeof(FewBytes));
  const int fd = server.accept(bodyBytes);
  ClosingServer::send(fd, PartOfAnswer);
  ::shutdown(fd, SHUT_WR);
  CHECK(server.awaitEnd() == BrokenOff);
  ClosingServer::resetOnClose(fd);
  ::close(fd);
}

// Guards against the same while the entry doesn't read: it finds an orderly
// close, and the reset behind it only if it looks for it.
TEST_CASE("an answer whose connection was reset after its end is broken off") {
  ClosingServer server;
  const int fd = server.accept(SmallBody);
  std::string request(SmallBody, '\0');
  while (::recv(fd, request.data(), request.size(), MSG_DONTWAIT) <= 0)
    event_base_loop(server.Loop.base(), EVLOOP_ONCE);
  ClosingServer::send(fd, PartOfAnswer);
  ::shutdown(fd, SHUT_WR);
  ClosingServer::resetOnClose(fd);
  ::close(fd);
  CHECK(server.awaitEnd() == BrokenOff);
}

TEST_CASE("an answer whose server closes after it has read the request may be "
          "whole") {
  ClosingServer server;
  const int fd = server.accept(SmallBody);
  std::string request;
  const std::string end = "\r\n\r\n" + std::string(SmallBody, 'x');
  while (!request.ends_with(end)) {
    event_base_loop(server.Loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    char buf[SmallBody];
    const ssize_t n = ::recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
    request.append(buf, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
  }
  ClosingServer::send(fd, PartOfAnswer);
  SECTION("it closes") { ::close(fd); }
  SECTION("it shuts down its sending side") { ::shutdown(fd, SHUT_WR); }
  CHECK(server.awaitEnd() == Closed);
}

// Guards against a second place, or a missing case, that calls an answer whole:
// goes through every combination of what is known of its end.
TEST_CASE(
    "an answer is whole only by its framing or by a server that runs on") {
  const auto ending =
      GENERATE(UpstreamEnding::Complete, UpstreamEnding::NotSent,
               UpstreamEnding::BrokeOff, UpstreamEnding::Rejected, Closed);
  const bool head = GENERATE(true, false);
  const bool stream = GENERATE(true, false);
  const bool resumed = GENERATE(true, false);
  const bool began = GENERATE(true, false);
  const bool insideEvent = GENERATE(true, false);
  const bool failure = GENERATE(true, false);
  const int check = GENERATE(range(-1, 4));
  EndedAttempt attempt{.Ending = ending,
                       .HasHead = head,
                       .IsStream = stream,
                       .Resumed = resumed,
                       .Began = began,
                       .InsideEvent = insideEvent,
                       .FailureInStream = failure};
  if (check >= 0)
    attempt.Check = static_cast<ServerCheckResult>(check);
  const std::optional<AnswerEnd> end = judgeEnd(attempt);
  CAPTURE(static_cast<int>(ending), head, stream, resumed, began, insideEvent,
          failure, check);
  const bool framed = ending == Complete && head;
  const bool runsOn = ending == Closed && head &&
                      attempt.Check == ServerCheckResult::StillRunning;
  const bool torn = stream && insideEvent && (began || resumed);
  const bool empty = stream && !began && !resumed && ending == Closed;
  CHECK((end && end->Verdict == EndVerdict::Whole) ==
        ((framed || runsOn) && !torn && !failure && !empty));
  CHECK((end && end->Verdict == EndVerdict::NotRun) ==
        (ending == UpstreamEnding::NotSent));
  if (!end) {
    CHECK(ending == Closed);
    CHECK_FALSE(attempt.Check);
  }
  if (end && end->Verdict == EndVerdict::Whole)
    CHECK(end->Evidence ==
          (framed ? EndEvidence::Framing : EndEvidence::ServerRunning));
}

TEST_CASE("a stream that ends with its connection is whole after an event") {
  StreamingEntry it;
  it.body(it.Sent, "id: 1\ndata: a\n\n");
  it.end(it.Sent, Closed);
  CHECK(it.take<ReplyEnd>().size() == 1);
  CHECK(it.take<ReplyAbort>().empty());
}

TEST_CASE("a stream that ends inside an event has been broken off") {
  const UpstreamEnding ending = GENERATE(Closed, Complete);
  SECTION("and isn't passed on as complete") {
    StreamingEntry it;
    it.body(it.Sent, "id: 1\ndata: a\n\nid: 2\ndata: ha");
    it.end(it.Sent, ending);
    CHECK(it.take<ReplyEnd>().empty());
    CHECK(it.take<ReplyAbort>().size() == 1);
    std::string passedOn;
    for (const ReplyPiece &piece : it.take<ReplyPiece>())
      passedOn += piece.Bytes;
    CHECK(passedOn == "id: 1\ndata: a\n\n");
  }
  SECTION("and is resumed elsewhere where its route allows that") {
    StreamingEntry it("flow");
    it.body(it.Sent, "id: 1\ndata: a\n\nid: 2\ndata: ha");
    it.end(it.Sent, ending);
    const SendUpstream again = it.sendAgain();
    CHECK(again.Server != it.Sent.Server);
    CHECK(*findHeader(again.Head.Headers, "last") == "1");
  }
  SECTION("and its server is checked") {
    StreamingEntry it;
    it.body(it.Sent, "id: 1\ndata: a\n\nid: 2\ndata: ha");
    it.end(it.Sent, ending, ServerCheckResult::Exited);
    CHECK(it.proposal<ReportServerExit>());
  }
}

TEST_CASE("a stream that ends with its connection before its first event has "
          "been broken off") {
  StreamingEntry it;
  it.end(it.Sent, Closed, ServerCheckResult::Exited);
  CHECK(it.take<ReplyEnd>().empty());
  CHECK(it.only<ReplyComplete>().Head.Status == 502);
  CHECK(it.proposal<ReportServerExit>());
}

// Guards against a short stream that reached its caller as complete: its server
// crashed between two events, and the kernel closed the connection in an
// orderly way.
TEST_CASE("a stream that its connection ended between two events has been "
          "broken off if its server has exited or can't be reached",
          "[stream-closed-between-events]") {
  SECTION("and isn't passed on as complete") {
    StreamingEntry it;
    it.body(it.Sent, "id: 1\ndata: a\n\n");
    it.end(it.Sent, Closed, ServerCheckResult::Exited);
    CHECK(it.take<ReplyEnd>().empty());
    CHECK(it.take<ReplyAbort>().size() == 1);
  }
  SECTION("and is resumed elsewhere where its route allows that") {
    StreamingEntry it("flow");
    it.body(it.Sent, "id: 1\ndata: a\n\n");
    it.end(it.Sent, Closed, ServerCheckResult::Unknown);
    const SendUpstream again = it.sendAgain();
    CHECK(again.Server != it.Sent.Server);
    CHECK(*findHeader(again.Head.Headers, "last") == "1");
    it.head(again, 200);
    it.body(again, "id: 2\ndata: b\n\n");
    it.end(again, Completed);
    CHECK(it.take<ReplyEnd>().size() == 1);
  }
}

// Guards against a short stream that reached its caller as complete: the server
// that was to resume it crashed before it had sent an event.
TEST_CASE(
    "a resumed stream whose connection is closed before an event has been "
    "broken off if its server has exited",
    "[resumed-stream-closed]") {
  StreamingEntry it("flow");
  it.body(it.Sent, "id: 1\ndata: a\n\n");
  it.end(it.Sent, BrokenOff);
  const SendUpstream again = it.sendAgain();
  it.head(again, 200);
  it.end(again, Closed, ServerCheckResult::Exited);
  CHECK(it.take<ReplyEnd>().empty());
  CHECK(it.take<ReplyAbort>().size() == 1);
}

// Guards against a torn event that reached a caller with the end of its answer:
// the server that resumed the stream ended it, with its last chunk, inside the
// first event that it sent.
TEST_CASE(
    "a resumed stream that ends inside its first event has been broken off",
    "[resumed-stream-torn]") {
  StreamingEntry it("flow");
  it.body(it.Sent, "id: 1\ndata: a\n\n");
  it.end(it.Sent, BrokenOff);
  const SendUpstream again = it.sendAgain();
  it.head(again, 200);
  it.body(again, "id: 2\nda");
  it.end(again, Completed);
  CHECK(it.take<ReplyEnd>().empty());
  CHECK(it.take<ReplyAbort>().size() == 1);
}

// Guards against short answers of other routes, and short failures, that
// reached their callers as complete before the check of the crashed server was
// over.
TEST_CASE("an answer without a length isn't complete if its server has exited",
          "[answer-closed-unchecked]") {
  const int status = GENERATE(200, 404, 500);
  SECTION("and isn't delivered before the check") {
    StreamingEntry it("once", status);
    it.body(it.Sent, "half");
    it.Controller.answers().onEnd(Now, it.Sent.Attempt, Closed);
    CHECK(it.take<ReplyComplete>().empty());
    it.check(ServerCheckResult::Exited);
    CHECK(it.only<ReplyComplete>().Head.Status == 502);
  }
  SECTION("but is delivered whole if the server still runs") {
    StreamingEntry it("once", status);
    it.body(it.Sent, "all");
    it.end(it.Sent, Closed);
    const auto answer = it.only<ReplyComplete>();
    CHECK(answer.Head.Status == status);
    CHECK(answer.Body == "all");
  }
  SECTION("and is cut off if it is passed on as it comes") {
    StreamingEntry it("once", status);
    it.body(it.Sent, std::string((std::size_t(64) << 10) + 1, 'x'));
    it.end(it.Sent, Closed, ServerCheckResult::Exited);
    CHECK(it.take<ReplyEnd>().empty());
    CHECK(it.take<ReplyAbort>().size() == 1);
  }
}

// Guards against short answers of servers that leave at short notice: their
// processes were never checked.
TEST_CASE("the server of an answer without a length is checked while it leaves",
          "[leaving-server-unchecked]") {
  const bool registered = GENERATE(true, false);
  StreamingEntry it;
  it.body(it.Sent, "id: 1\ndata: a\n\n");
  MemberRecord leaving = server("e1", "engines", "1.0.0.3:80");
  if (it.Sent.Server.Name == HostName("e2"))
    leaving = server("e2", "engines", "1.0.0.4:80");
  leaving.Leaving = registered;
  leaving.Gone = !registered;
  it.Controller.onMembers(Now, {.Members = {leaving}});
  it.end(it.Sent, Closed, ServerCheckResult::Exited);
  CHECK(it.take<ReplyEnd>().empty());
  CHECK(it.take<ReplyAbort>().size() == 1);
  CHECK_FALSE(it.proposal<ReportServerExit>());
}

// Guards against a short answer whose server crashed and was followed by
// another process at its address, which accepted the connection of the check.
TEST_CASE(
    "a process in the server's place doesn't show that an answer is whole",
    "[replaced-server-unnoticed]") {
  StreamingEntry it;
  it.body(it.Sent, "id: 1\ndata: a\n\n");
  it.Controller.answers().onEnd(Now, it.Sent.Attempt, Closed);
  it.Controller.onMembers(
      Now, {.Members = {server("next", "engines", it.Sent.Address.c_str())}});
  it.check(ServerCheckResult::StillRunning);
  CHECK(it.take<ReplyEnd>().empty());
  CHECK(it.take<ReplyAbort>().size() == 1);
}

TEST_CASE("a check that began before a connection closed doesn't show that the "
          "server ran after that") {
  ForwardUnderTest it;
  MemberRecord other = server("p2", "plain", "1.0.0.2:80");
  other.Gone = true;
  it.Controller.onMembers(Now, {.Members = {other}});
  it.request("once");
  const auto first = it.only<SendUpstream>();
  it.request("once", 5000, "x", /*key=*/2);
  const auto second = it.only<SendUpstream>();
  REQUIRE(first.Server == second.Server);
  it.head(first, 200);
  it.head(second, 200, {{"id", "r2"}, {"stamp", "s"}});
  it.Controller.answers().onEnd(Now, first.Attempt, Closed);
  it.Controller.answers().onEnd(Now, second.Attempt, Closed);
  it.check(ServerCheckResult::StillRunning);
  CHECK(it.only<ReplyComplete>().Key == 1);
  it.check(ServerCheckResult::Exited);
  const auto answer = it.only<ReplyComplete>();
  CHECK(answer.Key == 2);
  CHECK(answer.Head.Status == 502);
}

TEST_CASE("an answer that ends with its connection doesn't speak for a request "
          "if its server has exited") {
  ForwardUnderTest it;
  it.request("safe");
  it.Controller.quarantine().onUpdate(
      {.To = 9,
       .Notices = {{it.Controller.board().Requests.at(1).Content,
                    QuarantineState::Watched}}});
  const auto sent = it.only<SendUpstream>();
  it.head(sent, 200);
  it.body(sent, "all");
  it.Controller.answers().onEnd(Now, sent.Attempt, Closed);
  CHECK(it.take<ReplyComplete>().empty());
  CHECK(it.take<ProposeToReplicas>().empty());
  it.check(ServerCheckResult::Exited);
  CHECK(it.take<ReplyComplete>().empty());
  const auto proposals = it.take<ProposeToReplicas>();
  REQUIRE(proposals.size() == 1);
  CHECK(std::holds_alternative<ReportServerExit>(proposals.front().Proposal));
}

namespace {

/// Longer than a server needs to start again.
constexpr Duration Cut = 900ms;
constexpr Duration RoundTrip = 3ms;

/// Delivers at once what a cut link, or a frozen entry, held back.
void arriveLate(ForwardUnderTest &it, const SendUpstream &sent,
                std::string_view bytes) {
  if (!bytes.empty())
    it.Controller.answers().onBody(Now + Cut, sent.Attempt, bytes);
  it.Controller.answers().onEnd(Now + Cut, sent.Attempt, Closed);
}

/// Delivers a whole answer after a long wait for its first byte.
void arriveInOnePiece(ForwardUnderTest &it, const SendUpstream &sent,
                      std::string_view bytes) {
  it.Controller.answers().onHead(Now + Cut, sent.Attempt,
                                 {200, {{"id", "r1"}, {"stamp", "s"}}});
  arriveLate(it, sent, bytes);
}

/// A process accepts the connection of the check. \p identity is what is found
/// out if it is asked for its identity.
/// \returns whether it was asked.
bool acceptBy(ForwardUnderTest &it, TimePoint now, ServerCheckResult identity) {
  const auto check = it.only<CheckServer>();
  REQUIRE(!check.Query);
  it.Controller.onServerChecked(now, check.Server,
                                ServerCheckResult::StillRunning);
  const std::vector<CheckServer> asked = it.take<CheckServer>();
  for (const CheckServer &query : asked) {
    REQUIRE(query.Query);
    it.Controller.onServerChecked(now + RoundTrip, query.Server, identity);
  }
  return !asked.empty();
}

/// The process that has taken the server's place accepts the connection of the
/// check.
void acceptBySuccessor(ForwardUnderTest &it, TimePoint now) {
  acceptBy(it, now, ServerCheckResult::Replaced);
}

void checkIsCutOff(ForwardUnderTest &it) {
  CHECK(it.take<ReplyEnd>().empty());
  CHECK(it.take<ReplyAbort>().size() == 1);
}

} // namespace

// Guards against short answers that reach their callers as complete: the close
// was delayed (a link that was cut, an entry that was frozen, a reader that
// paused) until the server's next process listened at its address. No leader
// told of that process, so that it passed for the former one when it accepted
// the connection of the check.
TEST_CASE("an accepted connection doesn't show that an answer is whole if its "
          "close came late and no leader tells of the server's next process",
          "[late-close]") {
  constexpr std::string_view First = "id: 1\ndata: a\n\n";
  constexpr std::string_view Second = "id: 2\ndata: b\n\n";
  SECTION("a stream, with its last events") {
    StreamingEntry it;
    it.Configuration.Age = 3s;
    it.body(it.Sent, First);
    arriveLate(it, it.Sent, Second);
    acceptBySuccessor(it, Now + Cut + RoundTrip);
    checkIsCutOff(it);
  }
  SECTION("a stream, its close alone") {
    StreamingEntry it;
    it.Configuration.Age = 3s;
    it.body(it.Sent, First);
    arriveLate(it, it.Sent, "");
    acceptBySuccessor(it, Now + Cut + RoundTrip);
    checkIsCutOff(it);
  }
  SECTION("a stream, with all its events") {
    StreamingEntry it;
    it.Configuration.Age = 3s;
    arriveLate(it, it.Sent, First);
    acceptBySuccessor(it, Now + Cut + RoundTrip);
    checkIsCutOff(it);
  }
  SECTION("a stream that is resumed elsewhere") {
    StreamingEntry it("flow");
    it.Configuration.Age = 3s;
    it.body(it.Sent, First);
    arriveLate(it, it.Sent, Second);
    acceptBySuccessor(it, Now + Cut + RoundTrip);
    CHECK(it.take<ReplyEnd>().empty());
    const SendUpstream again = it.sendAgain();
    CHECK(again.Server != it.Sent.Server);
    CHECK(*findHeader(again.Head.Headers, "last") == "2");
  }
  SECTION("a stream whose events are older than they look, by a reader that "
          "paused") {
    ForwardOptions options;
    options.Bytes.Limit = std::size_t(64) << 20;
    ForwardUnderTest it(/*withTable=*/true, options);
    it.Configuration.Age = 3s;
    it.request("brook");
    const SendUpstream sent = it.permit();
    it.head(sent, 200);
    it.body(sent, First);
    REQUIRE(it.Controller.onUnsent(Now, 1, std::size_t(60) << 20));
    REQUIRE(it.Controller.onUnsent(Now + Cut, 1, 0));
    arriveLate(it, sent, Second);
    acceptBySuccessor(it, Now + Cut + RoundTrip);
    checkIsCutOff(it);
  }
  SECTION("a stream whose entry was frozen between the close and the check") {
    StreamingEntry it;
    it.Configuration.Age = 3s;
    it.body(it.Sent, First);
    it.Controller.answers().onEnd(Now, it.Sent.Attempt, Closed);
    acceptBySuccessor(it, Now + Cut);
    checkIsCutOff(it);
  }
  SECTION("a buffered answer of a plain service") {
    StreamingEntry it("once");
    it.Configuration.Age = 3s;
    arriveLate(it, it.Sent, "half");
    acceptBySuccessor(it, Now + Cut + RoundTrip);
    CHECK(it.only<ReplyComplete>().Head.Status == 502);
  }
  SECTION("an answer of a plain service that is passed on as it comes") {
    StreamingEntry it("once");
    it.Configuration.Age = 3s;
    it.body(it.Sent, std::string((std::size_t(64) << 10) + 1, 'x'));
    arriveLate(it, it.Sent, "half");
    acceptBySuccessor(it, Now + Cut + RoundTrip);
    checkIsCutOff(it);
  }
  SECTION("an answer of a plain service that arrives in one piece, with its "
          "close, after its entry was frozen") {
    ForwardUnderTest it;
    it.request("once");
    const SendUpstream sent = it.only<SendUpstream>();
    it.Controller.attempts().onStall(Cut);
    arriveInOnePiece(it, sent, "half");
    acceptBySuccessor(it, Now + Cut + RoundTrip);
    CHECK(it.only<ReplyComplete>().Head.Status == 502);
  }
  SECTION("nor does it speak for a watched request") {
    StreamingEntry it("once");
    it.Configuration.Age = 3s;
    it.Controller.quarantine().onUpdate(
        {.To = 9,
         .Notices = {{it.Controller.board().Requests.at(1).Content,
                      QuarantineState::Watched}}});
    arriveLate(it, it.Sent, "half");
    acceptBySuccessor(it, Now + Cut + RoundTrip);
    const std::optional<EndTrial> trial = it.proposal<EndTrial>();
    CHECK((!trial || trial->Ending != TrialEnding::Survived));
  }
}

// Guards against whole answers that are cut off because their end came late,
// and against a question to the server for each answer.
TEST_CASE("an answer whose close came late is whole if its server says that it "
          "is the same process",
          "[late-close]") {
  constexpr std::string_view First = "id: 1\ndata: a\n\n";
  SECTION("a stream that paused") {
    StreamingEntry it;
    it.body(it.Sent, First);
    arriveLate(it, it.Sent, "");
    CHECK(acceptBy(it, Now + Cut + RoundTrip, ServerCheckResult::StillRunning));
    CHECK(it.take<ReplyEnd>().size() == 1);
  }
  SECTION("not if the process doesn't say which one it is") {
    StreamingEntry it;
    it.body(it.Sent, First);
    arriveLate(it, it.Sent, "");
    CHECK(acceptBy(it, Now + Cut + RoundTrip, ServerCheckResult::Unidentified));
    checkIsCutOff(it);
  }
  SECTION("a close without a pause costs no question") {
    StreamingEntry it;
    it.body(it.Sent, First);
    it.Controller.answers().onEnd(Now, it.Sent.Attempt, Closed);
    CHECK(!acceptBy(it, Now + RoundTrip, ServerCheckResult::Replaced));
    CHECK(it.take<ReplyEnd>().size() == 1);
  }
  SECTION("nor does a long wait for the first byte, if the list of servers is "
          "recent") {
    ForwardUnderTest it;
    it.request("brook");
    const SendUpstream sent = it.permit();
    arriveInOnePiece(it, sent, First);
    SECTION("recent") {
      CHECK(!acceptBy(it, Now + Cut + RoundTrip, ServerCheckResult::Replaced));
      CHECK(it.take<ReplyEnd>().size() == 1);
    }
    SECTION("a list that wasn't confirmed lately doesn't name the next "
            "process") {
      it.Configuration.Age = 3s;
      CHECK(acceptBy(it, Now + Cut + RoundTrip, ServerCheckResult::Replaced));
      checkIsCutOff(it);
    }
  }
  SECTION("nor does a plain service's long wait, whatever its list") {
    ForwardUnderTest it;
    it.Configuration.Age = 3s;
    it.request("once");
    const auto sent = it.only<SendUpstream>();
    arriveInOnePiece(it, sent, "whole");
    CHECK(!acceptBy(it, Now + Cut + RoundTrip, ServerCheckResult::Replaced));
    CHECK(it.only<ReplyComplete>().Head.Status == 200);
  }
  SECTION("the registration says more than the process's own answer") {
    StreamingEntry it;
    it.body(it.Sent, First);
    arriveLate(it, it.Sent, "");
    it.Controller.onServerChecked(Now + Cut, it.only<CheckServer>().Server,
                                  ServerCheckResult::StillRunning);
    it.Controller.onMembers(
        Now + Cut,
        {.Members = {server("e9", "engines", it.Sent.Address.c_str())}});
    it.Controller.onServerChecked(Now + Cut, it.only<CheckServer>().Server,
                                  ServerCheckResult::StillRunning);
    checkIsCutOff(it);
  }
}
