//===- EndlessAnswersMain.cpp - Cost of servers that never end --*- C++ -*-===//
///
/// Sends requests to a sound server, one after the other, while the answers of
/// other servers, which never end, are ignored. Prints the time of a request,
/// the bytes read, and the processor time and memory of the process.
///
///   pimentofront-endless-answers LISTEN [limits|none] ENDLESS REQUESTS
///
//===----------------------------------------------------------------------===//

#include "pimentofront/Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <limits>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace pimentofront;

namespace {

constexpr std::string_view Begin = "HTTP/1.1 503 Service Unavailable\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view Sound =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

bool sendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

/// Answers the requests of one connection; a request for /endless gets an
/// answer that ends with the connection.
void serve(int fd) {
  constexpr std::size_t MaxRequest = 4096;
  char request[MaxRequest];
  while (true) {
    const ssize_t n = ::recv(fd, request, sizeof(request), 0);
    if (n <= 0)
      break;
    const std::string_view text(request, static_cast<std::size_t>(n));
    if (text.find("/endless") == std::string_view::npos) {
      sendAll(fd, Sound);
      continue;
    }
    std::string chunks;
    while (chunks.size() < MaxRequest)
      chunks += "4\r\nmore\r\n";
    bool open = sendAll(fd, Begin);
    while (open)
      open = sendAll(fd, chunks);
  }
  ::close(fd);
}

/// Serves in a process of its own, so that its processor time isn't counted.
pid_t startServer(const HostPort &listen) {
  const sockaddr_in to = toSocketAddress(listen);
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  constexpr int Backlog = 64;
  if (::bind(listener, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) ||
      ::listen(listener, Backlog)) {
    std::perror("listen");
    std::exit(1);
  }
  const pid_t child = ::fork();
  if (child != 0) {
    ::close(listener);
    return child;
  }
  while (true)
    std::thread(serve, ::accept(listener, nullptr, nullptr)).detach();
}

class Measurement : public UpstreamHandler {
public:
  Measurement(const HostPort &server, const UpstreamPoolOptions &options,
              std::uint64_t endless, std::uint64_t total)
      : Address(server.Ip + ":" + std::to_string(server.Port)),
        Pool(Loop, options, *this), Endless(endless), Total(total) {}

  void run() {
    for (std::uint64_t i = 0; i < Endless; ++i)
      send("/endless");
    next();
    Loop.run();
    print();
  }

  HeadDecision onHead(const AttemptId &attempt, ResponseHead head) override {
    constexpr int Ok = 200;
    if (head.Status != Ok)
      Pool.ignore(attempt);
    return HeadDecision::Take;
  }
  void onBody(const AttemptId &, std::string_view) override {}
  void onEnd(const AttemptId &attempt, UpstreamEnding) override {
    if (attempt == Current)
      ended();
  }
  void onExcess(const ServerProcess &, ResponseExcess, std::size_t) override {
    ++Closed;
    // The server goes on being asked.
    Retries.push_back(Loop.after(std::chrono::milliseconds(10),
                                 [this] { send("/endless"); }));
  }

private:
  AttemptId send(const char *target) {
    const AttemptId attempt{1, ++Sent};
    Pool.send({.Attempt = attempt,
               .Address = Address,
               .Head = {"GET", target, {{"Host", "h"}}},
               .Body = std::make_shared<const std::string>(),
               .Connections = {.MaxOpen = 64, .MaxIdle = 64}});
    return attempt;
  }
  void next() {
    StartedAt = Loop.now();
    Current = send("/");
  }
  void ended() {
    Times.push_back(toSeconds(Loop.now() - StartedAt) * 1000);
    if (Times.size() == Total)
      return Loop.stop();
    Pause = Loop.after(std::chrono::milliseconds(1), [this] { next(); });
  }
  void print() {
    std::ranges::sort(Times);
    const auto at = [this](double part) {
      return Times[static_cast<std::size_t>(
          part * static_cast<double>(Times.size() - 1))];
    };
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    const double cpu =
        static_cast<double>(use.ru_utime.tv_sec + use.ru_stime.tv_sec) +
        static_cast<double>(use.ru_utime.tv_usec + use.ru_stime.tv_usec) / 1e6;
    std::printf("%llu endless: request p50 %.3f ms, p99 %.3f ms; %.2f s of "
                "processor time, %.1f MB; %llu connections closed\n",
                static_cast<unsigned long long>(Endless), at(0.5), at(0.99),
                cpu, static_cast<double>(use.ru_maxrss) / 1024,
                static_cast<unsigned long long>(Closed));
  }

  EventLoop Loop;
  std::string Address;
  UpstreamPool Pool;
  std::uint64_t Endless;
  std::uint64_t Total;
  std::uint64_t Sent = 0;
  std::uint64_t Closed = 0;
  AttemptId Current;
  TimePoint StartedAt;
  std::vector<double> Times;
  std::unique_ptr<Timer> Pause;
  std::vector<std::unique_ptr<Timer>> Retries;
};

} // namespace

int main(int argc, char **argv) {
  constexpr int Arguments = 5;
  const auto listen =
      argc == Arguments ? HostPort::parse(argv[1]) : std::nullopt;
  if (!listen) {
    std::puts("usage: pimentofront-endless-answers LISTEN limits|none ENDLESS "
              "REQUESTS");
    return 2;
  }
  UpstreamPoolOptions options;
  if (std::strcmp(argv[2], "none") == 0) {
    options.Response.MaxUnusedBytes = std::numeric_limits<std::size_t>::max();
    options.Response.MaxUnusedTime = std::chrono::hours(1);
  }
  const pid_t server = startServer(*listen);
  Measurement(*listen, options, std::strtoull(argv[3], nullptr, 10),
              std::strtoull(argv[4], nullptr, 10))
      .run();
  ::kill(server, SIGTERM);
  return 0;
}
