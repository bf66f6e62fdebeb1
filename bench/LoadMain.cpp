//===- LoadMain.cpp - Throughput and added latency --------------*- C++ -*-===//
///
/// Sends generate calls with a fixed number in flight, through an entry or
/// directly to an engine, and prints requests per second and latencies.
///
//===----------------------------------------------------------------------===//

#include "pimentofront.pb.h"
#include "pimentofront/Api.h"
#include "pimentofront/Net.h"

#include <algorithm>
#include <cstdio>
#include <cstring>

using namespace pimentofront;

namespace {

class LoadGenerator {
public:
  LoadGenerator(const HostPort &target, bool direct, int inFlight, int total,
                std::string adapter)
      : Target(target), Direct(direct), InFlight(inFlight), Total(total),
        Concurrency(inFlight), Adapter(std::move(adapter)), Client(Loop) {}

  void run() {
    const TimePoint begin = Loop.now();
    for (int i = 0; i < InFlight; ++i)
      next();
    Loop.run();
    const double seconds = toSeconds(Loop.now() - begin);
    std::ranges::sort(Latencies);
    const auto at = [&](double part) {
      return Latencies.empty()
                 ? 0.0
                 : Latencies[static_cast<std::size_t>(
                       part * static_cast<double>(Latencies.size() - 1))] *
                       1000;
    };
    std::printf("%s %3d in flight: %6.0f requests per second, median %.3f ms, "
                "p95 %.3f ms, p99 %.3f ms, %d failed\n",
                Direct ? "direct" : "entry ", Concurrency,
                static_cast<double>(Latencies.size()) / seconds, at(0.5),
                at(0.95), at(0.99), Failed);
  }

private:
  void next() {
    if (Started == Total) {
      if (--InFlight == 0)
        Loop.stop();
      return;
    }
    const TimePoint begin = Loop.now();
    HttpCall call{.Address = Target,
                  .Headers = {{"Content-Type", "application/json"}},
                  .OnEnd = [this, begin](const HttpResponse &answer) {
                    if (answer.Status == 200)
                      Latencies.push_back(toSeconds(Loop.now() - begin));
                    else
                      ++Failed;
                    next();
                  }};
    const std::string id = std::to_string(++Started);
    if (Direct) {
      call.Path = "/v1/completions";
      call.Body = "{\"model\":\"" + Adapter +
                  "@1\",\"prompt\":\"hello\",\"max_tokens\":4,\"stream\":true}";
    } else {
      call.Path = "/pimentofront.v1.Assistant/Generate";
      call.Body =
          "{\"requestId\":\"" + id +
          "\",\"caller\":\"bench\",\"kind\":\"counter\",\"adapter\":\"" +
          Adapter + "\",\"prompt\":\"hello\",\"maxTokens\":4}";
    }
    Client.start(std::move(call));
  }

  HostPort Target;
  bool Direct;
  int InFlight;
  int Total;
  int Concurrency;
  std::string Adapter;
  EventLoop Loop;
  HttpClient Client;
  int Started = 0;
  int Failed = 0;
  std::vector<double> Latencies;
};

} // namespace

int main(int argc, char **argv) {
  if (argc != 6) {
    std::fputs("Usage: pimentofront-load direct|entry IP:PORT ADAPTER "
               "IN-FLIGHT REQUESTS\n",
               stderr);
    return 2;
  }
  const auto target = HostPort::parse(argv[2]);
  if (!target)
    return 2;
  LoadGenerator(*target, std::strcmp(argv[1], "direct") == 0,
                std::atoi(argv[4]), std::atoi(argv[5]), argv[3])
      .run();
}
