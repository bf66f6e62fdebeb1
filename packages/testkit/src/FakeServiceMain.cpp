//===- FakeServiceMain.cpp - Fake plain service -----------------*- C++ -*-===//
///
/// Answers each request with the number of calls received so far under the same
/// request id, so that a test can detect a request that was run twice.
///
//===----------------------------------------------------------------------===//

#include "pimentofront/Net.h"

#include <cstdio>
#include <cstring>

using namespace pimentofront;

namespace {

class FakeService : public HttpHandler {
public:
  FakeService(EventLoop &loop, const HostPort &listen, Duration delay)
      : Loop(loop), Delay(delay), Server(loop, {.Address = listen}, *this) {}

  void onRequest(std::shared_ptr<HttpExchange> exchange) override {
    const std::string id(exchange->header("X-Request-Id"));
    const std::string answer = "{\"request\":\"" + id +
                               "\",\"runs\":" + std::to_string(++Runs[id]) +
                               "}";
    auto timer = std::make_shared<std::unique_ptr<Timer>>();
    *timer = Loop.after(Delay, [exchange, answer, timer] {
      const auto keep = timer;
      constexpr int StatusOk = 200;
      exchange->reply(StatusOk, {{"Content-Type", "application/json"}}, answer);
      keep->reset();
    });
  }

private:
  EventLoop &Loop;
  Duration Delay;
  std::map<std::string, unsigned> Runs;
  HttpServer Server;
};

} // namespace

int main(int argc, char **argv) {
  const auto listen = argc >= 2 ? HostPort::parse(argv[1]) : std::nullopt;
  if (!listen) {
    std::fputs("Usage: pimentofront-fake-service IP:PORT [DELAY-MS]\n", stderr);
    return 2;
  }
  const Duration delay = std::chrono::milliseconds(
      argc >= 3 ? std::strtoll(argv[2], nullptr, 10) : 0);
  EventLoop loop;
  const FakeService service(loop, *listen, delay);
  loop.run();
}
