#include "OwnAddress.h"
#include "pimentofront/Http.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Kibibyte = 1024;

HostPort ownAddress() {
  constexpr int Net = 80;
  return test::ownAddress(Net);
}

int connectTo(const HostPort &to) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  // A small window, so that a caller that doesn't read holds up its entry soon.
  const int window = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
  const sockaddr_in address = toSocketAddress(to);
  REQUIRE(::connect(fd, reinterpret_cast<const sockaddr *>(&address),
                    sizeof(address)) == 0);
  return fd;
}

void write(int fd, const std::string &text) {
  REQUIRE(::send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size()));
}

struct Recorder : CallerHandler {
  void onRequest(CallerKey key, RequestHead, std::string body,
                 const ContentHash &) override {
    Keys.push_back(key);
    BodyBytes += body.size();
  }
  void onCallerDisconnected(CallerKey) override { ++Disconnected; }
  void onUnsent(CallerKey, std::size_t bytes) override {
    Unsent = bytes;
    MaxUnsent = std::max(MaxUnsent, bytes);
  }
  void onConnectionBytes(std::size_t bytes) override {
    Connections = bytes;
    MaxConnections = std::max(MaxConnections, bytes);
  }
  std::vector<CallerKey> Keys;
  std::size_t BodyBytes = 0;
  int Disconnected = 0;
  std::size_t Unsent = 0;
  std::size_t MaxUnsent = 0;
  std::size_t Connections = 0;
  std::size_t MaxConnections = 0;
};

/// A listener with bounded bytes whose first caller has sent a request.
struct SlowCaller {
  SlowCaller() {
    Listener.setLimits({.IdleTimeout = 300ms});
    write(Fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    while (Handler.Keys.empty())
      event_base_loop(Loop.base(), EVLOOP_ONCE);
    Listener.replyHead(Handler.Keys.front(), {.Status = 200});
    // More than the kernel's buffers take.
    for (int i = 0; i < 64; ++i)
      Listener.replyPiece(Handler.Keys.front(),
                          std::string(64 * Kibibyte, 'x'));
  }
  ~SlowCaller() { ::close(Fd); }

  /// Reads the answer to its end. Until \p slow has passed or half of it has
  /// been read, it pauses for \p pause after each read.
  std::string readSlowly(Duration slow, Duration pause) {
    std::string answer;
    char bytes[32 * Kibibyte];
    const TimePoint began = Loop.now();
    while (!answer.ends_with("\r\n0\r\n\r\n")) {
      event_base_loop(Loop.base(), EVLOOP_NONBLOCK);
      const ssize_t n = ::recv(Fd, bytes, sizeof(bytes), MSG_DONTWAIT);
      REQUIRE(n != 0);
      if (n > 0)
        answer.append(bytes, static_cast<std::size_t>(n));
      if (answer.size() < 2048 * Kibibyte && Loop.now() < began + slow)
        ::usleep(static_cast<useconds_t>(pause.count()));
    }
    return answer;
  }

  EventLoop Loop;
  Recorder Handler;
  const HostPort Address = ownAddress();
  CallerListener Listener{Loop,
                          {.Address = Address,
                           .MaxUnsentBytes = 64 * Kibibyte * Kibibyte,
                           .MaxReceivingBytes = 256 * Kibibyte},
                          Handler};
  int Fd = connectTo(Address);
};

} // namespace

TEST_CASE("a caller that never reads is disconnected, and its bytes are freed",
          "[held-bytes]") {
  SlowCaller caller;
  CHECK(caller.Handler.Unsent > 0);
  CHECK(caller.Handler.Connections == caller.Handler.Unsent);
  SECTION("while its answer goes on") {
    while (caller.Listener.channels() > 0)
      event_base_loop(caller.Loop.base(), EVLOOP_ONCE);
    CHECK(caller.Handler.Disconnected == 1);
  }
  SECTION("when its answer is complete") {
    caller.Listener.replyEnd(caller.Handler.Keys.front());
    while (caller.Listener.channels() > 0)
      event_base_loop(caller.Loop.base(), EVLOOP_ONCE);
    CHECK(caller.Handler.Disconnected == 0);
  }
  CHECK(caller.Handler.Connections == 0);
}

TEST_CASE("a caller that reads slowly keeps its connection and gets all",
          "[held-bytes]") {
  SlowCaller caller;
  caller.Listener.replyEnd(caller.Handler.Keys.front());
  // Twice the idle timeout for the first half of the answer.
  CHECK(caller.readSlowly(600ms, 5ms).size() > 4096 * Kibibyte);
  CHECK(caller.Handler.Connections == 0);
}

// Guards against answers that were cut off, though complete, when their caller
// took longer than the idle timeout and a second to read what was left.
TEST_CASE("a caller that reads slowly gets the end of its answer",
          "[held-bytes]") {
  SlowCaller caller;
  caller.Listener.replyEnd(caller.Handler.Keys.front());
  // Over a second more than the idle timeout for the first half.
  CHECK(caller.readSlowly(2500ms, 20ms).size() > 4096 * Kibibyte);
}

TEST_CASE("large prompts that arrive at once are read in turn within the bound",
          "[held-bytes]") {
  EventLoop loop;
  Recorder handler;
  const HostPort address = ownAddress();
  constexpr std::size_t Limit = 128 * Kibibyte;
  CallerListener listener(
      loop, {.Address = address, .MaxReceivingBytes = Limit}, handler);
  constexpr std::size_t Callers = 8;
  constexpr std::size_t Size = 100 * Kibibyte;
  const std::string request =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(Size) +
      "\r\n\r\n" + std::string(Size, 'p');
  std::vector<int> fds;
  std::vector<std::size_t> sent(Callers);
  for (std::size_t i = 0; i < Callers; ++i)
    fds.push_back(connectTo(address));
  // All of them send at the same pace, so that all are unfinished at one time.
  while (handler.Keys.size() < Callers) {
    for (std::size_t i = 0; i < Callers; ++i) {
      const std::size_t n = std::min(request.size() - sent[i], 4 * Kibibyte);
      const ssize_t done = ::send(fds[i], request.data() + sent[i], n,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
      if (done > 0)
        sent[i] += static_cast<std::size_t>(done);
    }
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  }
  CHECK(handler.BodyBytes == Callers * Size);
  // Besides, one read of each, and the oldest request to its end.
  CHECK(handler.MaxConnections < Limit + Size + Callers * 16 * Kibibyte);
  CHECK(handler.Connections == 0);
  CHECK(listener.stoppedChannels() == 0);
  for (const int it : fds)
    ::close(it);
}

namespace {

/// Counts the bytes of a response, and pauses it when many have arrived.
struct PausingHandler : UpstreamHandler {
  HeadDecision onHead(const AttemptId &, ResponseHead) override {
    return HeadDecision::Take;
  }
  void onBody(const AttemptId &attempt, std::string_view bytes) override {
    Bytes += bytes.size();
    if (Bytes > PauseAt)
      Pool->pause(attempt, true);
  }
  void onEnd(const AttemptId &, UpstreamEnding ending) override {
    Ending = ending;
  }
  UpstreamPool *Pool = nullptr;
  std::size_t PauseAt = 64 * Kibibyte;
  std::size_t Bytes = 0;
  std::optional<UpstreamEnding> Ending;
};

} // namespace

TEST_CASE("a paused answer stays at its server until its caller reads again",
          "[held-bytes]") {
  EventLoop loop;
  PausingHandler handler;
  UpstreamPool pool(loop, {}, handler);
  handler.Pool = &pool;
  const HostPort address = ownAddress();
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in at = toSocketAddress(address);
  REQUIRE(::bind(listener, reinterpret_cast<const sockaddr *>(&at),
                 sizeof(at)) == 0);
  REQUIRE(::listen(listener, 1) == 0);
  const AttemptId attempt{1, 1};
  pool.send({.Attempt = attempt,
             .Address = address.Ip + ":" + std::to_string(address.Port),
             .Head = {"GET", "/", {{"Host", "h"}}},
             .Body = std::make_shared<const std::string>()});
  event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  const int server = ::accept(listener, nullptr, nullptr);
  constexpr std::size_t Size = 16384 * Kibibyte;
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Size) +
      "\r\n\r\n" + std::string(Size, 'x');
  std::size_t sent = 0;
  const auto turn = [&] {
    const ssize_t n = ::send(server, answer.data() + sent, answer.size() - sent,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0)
      sent += static_cast<std::size_t>(n);
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  };
  for (int i = 0; i < 200; ++i) {
    turn();
    ::usleep(1000);
  }
  // At most one read above the mark.
  CHECK(handler.Bytes <= handler.PauseAt + 16 * Kibibyte);
  CHECK(sent < answer.size());
  handler.PauseAt = Size;
  pool.pause(attempt, false);
  while (!handler.Ending)
    turn();
  CHECK(*handler.Ending == UpstreamEnding::Complete);
  CHECK(handler.Bytes == Size);
  ::close(server);
  ::close(listener);
}
