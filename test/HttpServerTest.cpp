#include "OwnAddress.h"
#include "pimentofront/Net.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Kibibyte = 1024;
constexpr std::size_t Mebibyte = 1024 * Kibibyte;

/// Keeps all requests that arrive.
struct Collector : HttpHandler {
  void onRequest(std::shared_ptr<HttpExchange> exchange) override {
    Exchanges.push_back(std::move(exchange));
  }
  std::size_t unsent() const {
    std::size_t n = 0;
    for (const auto &it : Exchanges)
      n += it->unsentBytes();
    return n;
  }
  std::vector<std::shared_ptr<HttpExchange>> Exchanges;
};

struct ServerUnderTest {
  explicit ServerUnderTest(HttpServerOptions options)
      : Server(Loop, withAddress(options), Handler) {
    Server.setShedObserver([this](ShedReason) { ++Shed; });
  }
  ~ServerUnderTest() {
    for (const int it : Clients)
      ::close(it);
  }
  HttpServerOptions withAddress(HttpServerOptions options) {
    constexpr int Net = 81;
    Address = test::ownAddress(Net);
    options.Address = Address;
    return options;
  }

  void connect(const std::string &text) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const int window = 4096;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    const sockaddr_in to = toSocketAddress(Address);
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr *>(&to),
                      sizeof(to)) == 0);
    REQUIRE(::send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(text.size()));
    Clients.push_back(fd);
  }
  void turn() { event_base_loop(Loop.base(), EVLOOP_NONBLOCK); }
  void waitFor(std::size_t requests) {
    while (Handler.Exchanges.size() < requests)
      event_base_loop(Loop.base(), EVLOOP_ONCE);
  }

  HostPort Address;
  EventLoop Loop;
  Collector Handler;
  int Shed = 0;
  HttpServer Server;
  std::vector<int> Clients;
};

const std::string Get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Guards against many callers that don't read their streams: each was bounded,
// their sum wasn't.
TEST_CASE("unread streams together stay within the server's bound",
          "[http-server]") {
  constexpr std::size_t Bound = 8 * Mebibyte;
  constexpr std::size_t Callers = 20;
  constexpr std::size_t Piece = 64 * Kibibyte;
  ServerUnderTest it({.MaxHeldBytes = Bound});
  for (std::size_t i = 0; i < Callers; ++i)
    it.connect(Get);
  it.waitFor(Callers);
  for (const auto &exchange : it.Handler.Exchanges)
    exchange->beginStream(200, {});
  std::size_t most = 0;
  for (int round = 0; round < 200; ++round) {
    for (const auto &exchange : it.Handler.Exchanges)
      exchange->sendPiece(std::string(Piece, 'x'));
    most = std::max(most, it.Handler.unsent());
    it.turn();
  }
  // Connections end in the next turn of the event loop.
  CHECK(most <= Bound + Callers * 2 * Piece);
  CHECK(it.Shed > 0);
}

TEST_CASE("a request for which there is no room is refused, and a small one "
          "beside it isn't",
          "[http-server]") {
  constexpr std::size_t Large = 600 * Kibibyte;
  ServerUnderTest it({.MaxHeldBytes = 2 * Mebibyte});
  const std::string large =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(Large) +
      "\r\n\r\n" + std::string(Large, 'l');
  it.connect(large);
  it.waitFor(1);
  it.connect(large);
  it.waitFor(2);
  it.connect(large);
  std::string answer;
  char bytes[4096];
  while (answer.find("\r\n\r\n") == std::string::npos) {
    it.turn();
    const ssize_t n =
        ::recv(it.Clients.back(), bytes, sizeof(bytes), MSG_DONTWAIT);
    REQUIRE(n != 0);
    answer.append(bytes, n > 0 ? static_cast<std::size_t>(n) : 0);
  }
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Retry-After: 1") != std::string::npos);
  CHECK(it.Handler.Exchanges.size() == 2);
  it.connect(Get);
  it.waitFor(3);
  // The first one's end makes room.
  it.Handler.Exchanges.front()->reply(200, {}, "done");
  it.connect(large);
  it.waitFor(4);
}

TEST_CASE("a body that its handler takes isn't kept", "[http-server]") {
  ServerUnderTest it({});
  it.connect("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
  it.waitFor(1);
  HttpExchange &exchange = *it.Handler.Exchanges.front();
  CHECK(exchange.takeBody() == "body");
  CHECK(exchange.body().empty());
}

TEST_CASE("connections are displaced or refused, and requests in progress kept",
          "[http-server]") {
  ServerUnderTest it({.MaxConnections = 3});
  it.connect(Get);
  it.waitFor(1);
  it.connect("");
  it.connect("");
  for (int i = 0; i < 30; ++i) {
    it.turn();
    ::usleep(10000);
  }
  // Displaces the first silent one.
  it.connect(Get);
  it.waitFor(2);
  CHECK(it.Shed == 1);
  it.connect(Get);
  it.waitFor(3);
  CHECK(it.Shed == 2);
  // All of them have requests in progress now.
  it.connect(Get);
  while (it.Shed < 3)
    it.turn();
  CHECK(it.Handler.Exchanges.size() == 3);
  CHECK_FALSE(it.Handler.Exchanges.front()->isDisconnected());
}
