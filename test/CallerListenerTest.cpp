#include "OwnAddress.h"
#include "pimentofront/Http.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <event2/event.h>
#include <sys/socket.h>
#include <sys/wait.h>
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

namespace {

void sendHttp10Request(int fd) {
  constexpr std::string_view Request = "GET / HTTP/1.0\r\nHost: h\r\n\r\n";
  REQUIRE(::send(fd, Request.data(), Request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Request.size()));
}

/// Sends the head and a part of a response to the first request.
void beginResponse(EventLoop &loop, CallerListener &listener,
                   const Recorder &handler) {
  while (handler.Keys.empty())
    event_base_loop(loop.base(), EVLOOP_ONCE);
  listener.replyHead(handler.Keys.front(), {.Status = 200});
  listener.replyPiece(handler.Keys.front(), "a part");
}

/// A process that begins a response and doesn't end it.
class EntryProcess {
public:
  explicit EntryProcess(const HostPort &address)
      : Address(address), Pid(::fork()) {
    REQUIRE(Pid >= 0);
    if (Pid == 0)
      serve();
  }
  /// \returns a connection with a request of HTTP/1.0.
  int connect() const {
    const sockaddr_in to = toSocketAddress(Address);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    constexpr useconds_t Pause = 1000;
    while (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) !=
           0)
      ::usleep(Pause);
    sendHttp10Request(fd);
    return fd;
  }
  void kill() const {
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
  }

private:
  [[noreturn]] void serve() const {
    EventLoop loop;
    Recorder handler;
    CallerListener listener(loop, {.Address = Address}, handler);
    beginResponse(loop, listener, handler);
    while (true)
      event_base_loop(loop.base(), EVLOOP_ONCE);
  }

  HostPort Address;
  pid_t Pid;
};

/// A caller that speaks HTTP/1.0, to whom only the end of its connection shows
/// the end of a response without a length.
struct Http10Caller {
  explicit Http10Caller(std::size_t maxUnsentBytes = std::size_t(4) << 20,
                        std::size_t maxReceivingBytes = 0)
      : Listener(Loop,
                 {.Address = Address,
                  .MaxUnsentBytes = maxUnsentBytes,
                  .MaxReceivingBytes = maxReceivingBytes},
                 Handler),
        Socket(connectTo(Address)) {
    sendHttp10Request(Socket);
    beginResponse(Loop, Listener, Handler);
  }
  ~Http10Caller() { ::close(Socket); }
  Http10Caller(const Http10Caller &) = delete;
  Http10Caller &operator=(const Http10Caller &) = delete;

  /// Reads until the connection ends.
  /// \returns whether it ended in an orderly way, which makes the response look
  /// complete.
  bool looksComplete() {
    char bytes[4096];
    while (true) {
      event_base_loop(Loop.base(), EVLOOP_NONBLOCK);
      const ssize_t n = ::recv(Socket, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (n == 0)
        return true;
      if (n < 0 && errno != EAGAIN)
        return false;
    }
  }

  EventLoop Loop;
  Recorder Handler;
  const HostPort Address = ownAddress();
  CallerListener Listener;
  int Socket;
};

} // namespace

// Guards against short responses that look complete to callers of HTTP/1.0: the
// entry closed their connections in an orderly way when they read too slowly or
// when its own process ended.
TEST_CASE("a response without chunks that isn't complete ends with a reset",
          "[http10-cut-answer]") {
  SECTION("when it is broken off") {
    Http10Caller it;
    it.Listener.replyAbort(it.Handler.Keys.front());
    CHECK_FALSE(it.looksComplete());
  }
  SECTION("when its caller has too much unread") {
    Http10Caller it(/*maxUnsentBytes=*/1000);
    const std::string piece(std::size_t(8) << 20, 'x');
    it.Listener.replyPiece(it.Handler.Keys.front(), piece);
    it.Listener.replyPiece(it.Handler.Keys.front(), piece);
    CHECK_FALSE(it.looksComplete());
  }
  SECTION("when its caller has read nothing for the idle timeout") {
    Http10Caller it(std::size_t(64) << 20, /*maxReceivingBytes=*/1 << 20);
    it.Listener.setLimits({.IdleTimeout = std::chrono::milliseconds(100)});
    it.Listener.replyPiece(it.Handler.Keys.front(),
                           std::string(std::size_t(8) << 20, 'x'));
    while (it.Listener.channels() > 0)
      event_base_loop(it.Loop.base(), EVLOOP_ONCE);
    CHECK_FALSE(it.looksComplete());
  }
  SECTION("when its caller reads nothing more after the end was queued") {
    Http10Caller it(std::size_t(64) << 20, /*maxReceivingBytes=*/1 << 20);
    it.Listener.setLimits({.IdleTimeout = std::chrono::milliseconds(100)});
    it.Listener.replyPiece(it.Handler.Keys.front(),
                           std::string(std::size_t(8) << 20, 'x'));
    it.Listener.replyEnd(it.Handler.Keys.front());
    while (it.Listener.channels() > 0)
      event_base_loop(it.Loop.base(), EVLOOP_ONCE);
    CHECK_FALSE(it.looksComplete());
  }
  SECTION("when the process of the entry is killed") {
    const HostPort address = ownAddress();
    EntryProcess entry(address);
    const int fd = entry.connect();
    std::string received;
    char bytes[4096];
    ssize_t n = 1;
    while (!received.ends_with("a part") && n > 0) {
      n = ::recv(fd, bytes, sizeof(bytes), 0);
      received.append(bytes, n > 0 ? static_cast<std::size_t>(n) : 0);
    }
    REQUIRE(received.ends_with("a part"));
    entry.kill();
    CHECK(::recv(fd, bytes, sizeof(bytes), 0) < 0);
    ::close(fd);
  }
}

TEST_CASE("a complete response without chunks ends with an orderly close") {
  Http10Caller it;
  it.Listener.replyEnd(it.Handler.Keys.front());
  CHECK(it.looksComplete());
}
