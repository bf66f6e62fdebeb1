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

  /// \returns how the pool says that an answer of these bytes ended.
  UpstreamEnding endingOf(std::string_view bytes, bool reset) {
    Pool.send({.Attempt = {1, 1},
               .Address = Address.Ip + ":" + std::to_string(Address.Port),
               .Head = {"GET", "/", {{"Host", "h"}}},
               .Body = std::make_shared<const std::string>(),
               .Connections = {.MaxOpen = 1, .MaxIdle = 1}});
    const int fd = ::accept(Listener, nullptr, nullptr);
    REQUIRE(fd >= 0);
    char request[256];
    while (::recv(fd, request, sizeof(request), MSG_DONTWAIT) <= 0)
      event_base_loop(Loop.base(), EVLOOP_ONCE);
    REQUIRE(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
    while (Body.empty())
      event_base_loop(Loop.base(), EVLOOP_ONCE);
    if (reset) {
      const linger none{.l_onoff = 1, .l_linger = 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    }
    ::close(fd);
    while (!Ending)
      event_base_loop(Loop.base(), EVLOOP_ONCE);
    return *Ending;
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

/// An entry whose request "flow" a server has begun to answer.
struct StreamingEntry : ForwardUnderTest {
  explicit StreamingEntry(const char *route = "brook") {
    request(route);
    Sent = permit();
    head(Sent, 200);
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

TEST_CASE("an answer without a length ends with its connection") {
  constexpr std::string_view Bytes =
      "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n";
  SECTION("that is closed") {
    CHECK(ClosingServer().endingOf(Bytes, /*reset=*/false) == Closed);
  }
  SECTION("but isn't complete if it is reset") {
    CHECK(ClosingServer().endingOf(Bytes, /*reset=*/true) ==
          UpstreamEnding::BrokeOff);
  }
  SECTION("and one with a length isn't complete before") {
    CHECK(ClosingServer().endingOf(
              "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nid: 1\n",
              /*reset=*/false) == UpstreamEnding::BrokeOff);
  }
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
    const auto asked = it.take<SendToAgent>().back();
    const auto execute = std::get<ExecuteRequest>(asked.Content);
    it.Controller.attempts().onPermit(Now, asked.Host,
                                      {.Attempt = execute.Attempt});
    const auto again = it.only<SendUpstream>();
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
  CHECK(it.only<ReplyComplete>().Body == "all");
  CHECK(it.take<ProposeToReplicas>().empty());
  const auto check = it.only<CheckServer>();
  it.Controller.onServerChecked(Now, check.Server, ServerCheckResult::Exited);
  const auto proposals = it.take<ProposeToReplicas>();
  REQUIRE(proposals.size() == 1);
  CHECK(std::holds_alternative<ReportServerExit>(proposals.front().Proposal));
}
