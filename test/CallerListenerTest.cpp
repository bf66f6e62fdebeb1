#include "OwnAddress.h"
#include "pimentofront/Http.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace pimentofront;

namespace {

struct Recorder : CallerHandler {
  void onRequest(CallerKey key, RequestHead, std::string,
                 const ContentHash &) override {
    Keys.push_back(key);
  }
  void onCallerDisconnected(CallerKey) override {}
  std::vector<CallerKey> Keys;
};

HostPort ownAddress() {
  constexpr int Net = 77;
  return test::ownAddress(Net);
}

int connectTo(const HostPort &to) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = toSocketAddress(to);
  REQUIRE(::connect(fd, reinterpret_cast<const sockaddr *>(&address),
                    sizeof(address)) == 0);
  return fd;
}

/// Sends one request without waiting for the response.
void sendRequest(int fd) {
  constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  REQUIRE(::send(fd, Request.data(), Request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Request.size()));
}

} // namespace

// A stopping entry closes its idle connections 2.5 s after the signal. Guards
// against closing a connection whose response is complete but not yet written,
// which truncated about one response in thirty days of operation.
TEST_CASE("closing idle connections doesn't truncate an unwritten response") {
  EventLoop loop;
  Recorder handler;
  const HostPort address = ownAddress();
  CallerListener listener(loop, {.Address = address}, handler);
  const int fd = connectTo(address);
  sendRequest(fd);
  while (handler.Keys.empty())
    event_base_loop(loop.base(), EVLOOP_ONCE);
  SECTION("after the stop has begun") { listener.beginStop(); }
  SECTION("before the stop begins") {}
  const std::string body(100000, 'x');
  listener.reply(handler.Keys.front(), {.Status = 200}, body);
  listener.beginStop();
  listener.stopListening();
  // The caller reads while the event loop runs, since the response may be
  // larger than a socket's buffer.
  std::string answer;
  char bytes[4096];
  while (listener.channels() > 0 || answer.size() < body.size()) {
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    const ssize_t n = ::recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (n == 0)
      break;
    if (n > 0)
      answer.append(bytes, static_cast<std::size_t>(n));
  }
  CHECK(answer.ends_with("\r\n\r\n" + body));
  ::close(fd);
}

TEST_CASE("a request that arrives on a closing idle connection isn't read") {
  EventLoop loop;
  Recorder handler;
  const HostPort address = ownAddress();
  CallerListener listener(loop, {.Address = address}, handler);
  const int fd = connectTo(address);
  while (listener.channels() == 0)
    event_base_loop(loop.base(), EVLOOP_ONCE);
  sendRequest(fd);
  listener.beginStop();
  listener.stopListening();
  for (int turn = 0; turn < 3; ++turn)
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  CHECK(handler.Keys.empty());
  for (const CallerKey it : handler.Keys)
    CHECK_NOTHROW(listener.reply(it, {.Status = 200}, "late"));
  // The caller sees the connection close without a response.
  char byte = 0;
  CHECK(::recv(fd, &byte, 1, 0) <= 0);
  ::close(fd);
}
