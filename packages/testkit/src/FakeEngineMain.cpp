//===- FakeEngineMain.cpp - Fake model engine -------------------*- C++ -*-===//
///
/// Implements the public HTTP API of OpenAI-compatible engines with LoRA
/// adapters: /v1/completions (streaming only), /v1/load_lora_adapter,
/// /v1/unload_lora_adapter, /v1/models and /metrics. Each token contains the
/// name of the adapter that generated it, so that a test can detect an answer
/// from the wrong adapter.
///
//===----------------------------------------------------------------------===//

#include "pimentofront/Net.h"

#include <cstdio>
#include <getopt.h>
#include <nlohmann/json.hpp>
#include <set>

using namespace pimentofront;

namespace {

using Json = nlohmann::json;
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;

struct EngineOptions {
  HostPort Listen;
  std::size_t Slots = 4;
  Duration TokenTime = std::chrono::milliseconds(10);
  Duration LoadTime = std::chrono::milliseconds(250);
};

/// A streamed completion.
struct Stream {
  std::shared_ptr<HttpExchange> Exchange;
  std::string Model;
  std::uint64_t RemainingTokens = 0;
  std::uint64_t Position = 0;
  std::unique_ptr<Timer> Next;
};

class FakeEngine : public HttpHandler {
public:
  FakeEngine(EventLoop &loop, const EngineOptions &options)
      : Loop(loop), Options(options),
        StartedAt(toSeconds(loop.now().time_since_epoch())),
        Server(loop, {.Address = options.Listen}, *this) {}

  void onRequest(std::shared_ptr<HttpExchange> exchange) override {
    const std::string path(exchange->path());
    if (path == "/metrics")
      return metrics(*exchange);
    if (path == "/v1/models")
      return models(*exchange);
    const Json body = Json::parse(exchange->body(), nullptr, false);
    if (!body.is_object())
      return exchange->reply(StatusBadRequest, {},
                             "the body isn't a JSON object");
    if (path == "/v1/completions")
      return complete(exchange, body);
    if (path == "/v1/load_lora_adapter")
      return load(exchange, body);
    if (path == "/v1/unload_lora_adapter")
      return unload(*exchange, body);
    exchange->reply(StatusNotFound, {}, "");
  }

private:
  void metrics(HttpExchange &exchange) {
    exchange.reply(StatusOk, {{"Content-Type", "text/plain"}},
                   "process_start_time_seconds " + std::to_string(StartedAt) +
                       "\nvllm:num_requests_running{} " +
                       std::to_string(Streams.size()) + "\n");
  }

  void models(HttpExchange &exchange) {
    Json data = Json::array();
    for (const std::string &it : Loaded)
      data.push_back({{"id", it}, {"object", "model"}});
    exchange.reply(StatusOk, {{"Content-Type", "application/json"}},
                   Json({{"object", "list"}, {"data", data}}).dump());
  }

  void load(const std::shared_ptr<HttpExchange> &exchange, const Json &body) {
    const std::string name = body.value("lora_name", "");
    const bool fails = body.value("lora_path", "").starts_with("missing:");
    auto timer = std::make_shared<std::unique_ptr<Timer>>();
    *timer = Loop.after(Options.LoadTime, [this, exchange, name, fails, timer] {
      const auto keep = timer;
      if (fails || Loaded.size() >= Options.Slots)
        return exchange->reply(StatusBadRequest, {}, "can't load");
      Loaded.insert(name);
      exchange->reply(StatusOk, {}, "loaded");
      keep->reset();
    });
  }

  void unload(HttpExchange &exchange, const Json &body) {
    const bool known = Loaded.erase(body.value("lora_name", "")) > 0;
    exchange.reply(known ? StatusOk : StatusNotFound, {}, "");
  }

  void complete(const std::shared_ptr<HttpExchange> &exchange,
                const Json &body) {
    const std::string model = body.value("model", "");
    if (!Loaded.contains(model))
      return exchange->reply(StatusNotFound, {}, "no such model");
    const std::uint64_t id = ++LastStream;
    Stream &stream = Streams[id];
    stream.Exchange = exchange;
    stream.Model = model;
    stream.RemainingTokens = body.value("max_tokens", 16U);
    exchange->beginStream(StatusOk, {{"Content-Type", "text/event-stream"}});
    exchange->onDisconnect([this, id] { Streams.erase(id); });
    if (Options.TokenTime == Duration::zero())
      return finish(id);
    stream.Next = Loop.every(Options.TokenTime, [this, id] { step(id); });
  }

  /// Sends the whole answer at once, for a token time of zero.
  void finish(std::uint64_t id) {
    while (Streams.contains(id))
      step(id);
  }

  void step(std::uint64_t id) {
    Stream &stream = Streams.at(id);
    if (stream.RemainingTokens == 0) {
      const auto exchange = stream.Exchange;
      auto timer =
          std::make_shared<std::unique_ptr<Timer>>(std::move(stream.Next));
      Streams.erase(id);
      exchange->sendPiece("data: [DONE]\n\n");
      exchange->endStream();
      return;
    }
    --stream.RemainingTokens;
    const std::string text =
        stream.Model + "#" + std::to_string(stream.Position++) + " ";
    stream.Exchange->sendPiece(
        "data: " +
        Json({{"choices", {{{"index", 0}, {"text", text}}}}}).dump() + "\n\n");
  }

  EventLoop &Loop;
  EngineOptions Options;
  double StartedAt;
  std::set<std::string> Loaded;
  std::map<std::uint64_t, Stream> Streams;
  std::uint64_t LastStream = 0;
  HttpServer Server;
};

} // namespace

int main(int argc, char **argv) {
  const option options[] = {{"listen", required_argument, nullptr, 'l'},
                            {"slots", required_argument, nullptr, 's'},
                            {"token-us", required_argument, nullptr, 't'},
                            {"load-ms", required_argument, nullptr, 'm'},
                            {nullptr, 0, nullptr, 0}};
  EngineOptions engine;
  int c = 0;
  while ((c = getopt_long(argc, argv, "l:s:t:m:", options, nullptr)) != -1) {
    if (c == 'l')
      engine.Listen = HostPort::parse(optarg).value_or(HostPort());
    else if (c == 's')
      engine.Slots = std::strtoul(optarg, nullptr, 10);
    else if (c == 't')
      engine.TokenTime = Duration(std::strtoll(optarg, nullptr, 10));
    else if (c == 'm')
      engine.LoadTime =
          std::chrono::milliseconds(std::strtoll(optarg, nullptr, 10));
    else
      return 2;
  }
  if (engine.Listen.Port == 0) {
    std::fputs("Usage: pimentofront-fake-engine --listen IP:PORT [--slots N] "
               "[--token-us N] [--load-ms N]\n",
               stderr);
    return 2;
  }
  EventLoop loop;
  const FakeEngine server(loop, engine);
  loop.run();
}
