#include "EngineDriver.h"

#include <nlohmann/json.hpp>

namespace pimentofront {
namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr Duration LoadTimeout = std::chrono::seconds(60);
constexpr Duration ProbeTimeout = std::chrono::seconds(2);
/// An engine's metrics and its list of models.
constexpr std::size_t MaxProbeBytes = std::size_t(4) << 20;
constexpr char VersionSeparator = '@';

/// \returns the name that the engine has for a version of an adapter.
std::string engineName(const AdapterKey &key) {
  return key.Adapter.str() + VersionSeparator + std::to_string(key.Version);
}

/// \returns the adapter's version that engineName() maps to \p name; nothing
/// for a name of another form, such as that of the base model.
std::optional<AdapterKey> parseEngineName(const std::string &name) {
  const std::size_t mark = name.rfind(VersionSeparator);
  if (mark == std::string::npos || mark + 1 == name.size())
    return std::nullopt;
  AdapterKey key{AdapterName(name.substr(0, mark))};
  for (const char c : name.substr(mark + 1)) {
    if (c < '0' || c > '9')
      return std::nullopt;
    key.Version = key.Version * 10 + static_cast<VersionNumber>(c - '0');
  }
  return key;
}

/// \returns the value of one metric in the Prometheus text format.
std::optional<double> metricValue(const std::string &text,
                                  const std::string &name) {
  std::size_t at = 0;
  while ((at = text.find(name, at)) != std::string::npos) {
    const bool begins = at == 0 || text[at - 1] == '\n';
    const std::size_t end = text.find('\n', at);
    const std::string line = text.substr(at, end - at);
    const std::size_t space = line.rfind(' ');
    if (begins && space != std::string::npos)
      return std::strtod(line.c_str() + space, nullptr);
    at += name.size();
  }
  return std::nullopt;
}

std::string dump(const Json &json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

EngineDriver::EngineDriver(EventLoop &loop, HttpClient &client,
                           const Settings &settings, EventLog &log,
                           Metrics &metrics)
    : Loop(loop), Client(client), Options(settings), Log(log),
      Counters(metrics) {
  if (const auto address = HostPort::parse(settings.EngineAddress))
    Engine = *address;
  for (const ServiceAddress &it : settings.Services)
    Services[it.Name] = *HostPort::parse(it.Address);
}

EngineDriver::~EngineDriver() = default;

void EngineDriver::setNode(AgentNode &node) {
  Node = &node;
  if (Engine.Port == 0)
    return;
  ProbeTimer = Loop.every(Options.EngineProbePeriod, [this] { probe(); });
  probe();
}

HttpCall EngineDriver::post(const std::string &path, std::string body) const {
  return {.Address = Engine,
          .Path = path,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = std::move(body)};
}

//===----------------------------------------------------------------------===//
// Generation
//===----------------------------------------------------------------------===//

void EngineDriver::generate(const ExecuteRequest &request) {
  const AttemptId attempt = request.Attempt;
  Log.write(LogLevel::Info, "generation_started",
            {{"request", request.Request.str()},
             {"adapter", engineName(request.Key)}});
  HttpCall call = post("/v1/completions",
                       dump({{"model", engineName(request.Key)},
                             {"prompt", request.Prompt + request.ResumeText},
                             {"max_tokens", request.MaxTokens},
                             {"stream", true},
                             {"priority", -static_cast<int>(request.Weight)}}));
  call.Timeout = request.Remaining + ProbeTimeout;
  call.OnPiece = [this, attempt](std::string_view bytes) {
    onPiece(attempt, bytes);
  };
  call.OnEnd = [this, attempt](const HttpResponse &answer) {
    onGenerationEnd(attempt, answer);
  };
  Generation &generation = Generations[attempt];
  generation.Request = request.Request;
  generation.Call = Client.start(std::move(call));
}

void EngineDriver::onPiece(const AttemptId &attempt, std::string_view bytes) {
  const auto it = Generations.find(attempt);
  if (it == Generations.end())
    return;
  it->second.Events.feed(bytes);
  std::string text;
  std::uint32_t tokens = 0;
  while (const auto data = it->second.Events.next()) {
    if (*data == "[DONE]") {
      it->second.Done = true;
      continue;
    }
    const Json event = Json::parse(*data, nullptr, /*allow_exceptions=*/false);
    const Json::json_pointer at("/choices/0/text");
    if (event.is_discarded() || !event.contains(at) || !event[at].is_string())
      continue;
    text += event[at].get<std::string>();
    ++tokens;
  }
  if (tokens > 0)
    Node->controller().onTokens(Loop.now(), attempt, tokens, std::move(text));
  if (it->second.Events.isLineTooLong())
    breakOff(attempt, "the engine sent a line without an end");
  Node->flush(Loop.now());
}

void EngineDriver::breakOff(const AttemptId &attempt, const char *why) {
  const auto it = Generations.find(attempt);
  if (it == Generations.end())
    return;
  Log.write(LogLevel::Warn, "generation_broke_off",
            {{"request", it->second.Request.str()}, {"why", why}});
  Client.cancel(it->second.Call);
  Generations.erase(it);
  Node->controller().onWorkEnded(Loop.now(), attempt, AttemptEnding::BrokeOff,
                                 why);
}

void EngineDriver::onGenerationEnd(const AttemptId &attempt,
                                   const HttpResponse &answer) {
  const auto it = Generations.find(attempt);
  if (it == Generations.end())
    return;
  const bool complete = it->second.Done && answer.Status == StatusOk;
  // A restarted engine answers 404 since it has not loaded the adapter: the
  // request was not run.
  constexpr int StatusNotFound = 404;
  const bool notRun = answer.Ending == HttpEnding::NotSent ||
                      (answer.Ending == HttpEnding::Complete &&
                       answer.Status == StatusNotFound);
  Log.write(LogLevel::Info,
            complete ? "generation_ended" : "generation_broke_off",
            {{"request", it->second.Request.str()},
             {"status", std::uint64_t(answer.Status)}});
  Generations.erase(it);
  AgentController &controller = Node->controller();
  if (complete)
    controller.onWorkEnded(Loop.now(), attempt, AttemptEnding::Answered, "");
  else if (notRun)
    controller.onWorkNotStarted(Loop.now(), attempt);
  else
    controller.onWorkEnded(Loop.now(), attempt, AttemptEnding::BrokeOff,
                           "the engine answered with status " +
                               std::to_string(answer.Status));
  Node->flush(Loop.now());
}

void EngineDriver::cancel(const AttemptId &attempt) {
  const auto it = Generations.find(attempt);
  if (it == Generations.end())
    return; // Calls of plain services are not cancelled.
  Log.write(LogLevel::Info, "generation_cancelled",
            {{"request", it->second.Request.str()}});
  // The engine stops generating when the connection closes.
  Client.cancel(it->second.Call);
  Generations.erase(it);
  Node->controller().onWorkEnded(Loop.now(), attempt, AttemptEnding::Cancelled,
                                 "");
}

//===----------------------------------------------------------------------===//
// Plain services
//===----------------------------------------------------------------------===//

void EngineDriver::callService(const ExecuteRequest &request) {
  const AttemptId attempt = request.Attempt;
  Log.write(LogLevel::Info, "service_called",
            {{"request", request.Request.str()},
             {"service", request.Service.str()},
             {"method", request.Method}});
  HttpCall call{.Address = Services.at(request.Service),
                .Path = "/" + request.Method,
                .Headers = {{"Content-Type", "application/octet-stream"},
                            {"X-Request-Id", request.Request.str()}},
                .Body = request.Payload,
                .Timeout = request.Remaining,
                .FreshConnection = true};
  call.OnEnd = [this, attempt](const HttpResponse &answer) {
    onServiceEnd(attempt, answer);
  };
  ServiceCalls[attempt] = Client.start(std::move(call));
}

void EngineDriver::onServiceEnd(const AttemptId &attempt,
                                const HttpResponse &answer) {
  ServiceCalls.erase(attempt);
  AgentController &controller = Node->controller();
  constexpr int StatusClass = 100;
  const bool good = answer.Status / StatusClass == StatusOk / StatusClass;
  if (answer.Ending == HttpEnding::NotSent)
    controller.onWorkNotStarted(Loop.now(), attempt);
  else if (answer.Ending == HttpEnding::Complete && good)
    controller.onWorkEnded(Loop.now(), attempt, AttemptEnding::Answered,
                           answer.Body);
  else
    controller.onWorkEnded(Loop.now(), attempt, AttemptEnding::BrokeOff,
                           "the service answered with status " +
                               std::to_string(answer.Status));
  Node->flush(Loop.now());
}

//===----------------------------------------------------------------------===//
// Loads
//===----------------------------------------------------------------------===//

void EngineDriver::load(const StartLoad &load) {
  const TimePoint loadStart = Loop.now();
  if (load.Victim)
    return unload(load, loadStart);
  sendLoad(load, loadStart);
}

void EngineDriver::unload(const StartLoad &load, TimePoint loadStart) {
  HttpCall call = post("/v1/unload_lora_adapter",
                       dump({{"lora_name", engineName(*load.Victim)}}));
  call.Timeout = LoadTimeout;
  call.OnEnd = [this, load, loadStart](const HttpResponse &answer) {
    if (answer.Status != StatusOk)
      return onLoadEnd(load, loadStart, false);
    sendLoad(load, loadStart);
  };
  Client.start(std::move(call));
}

void EngineDriver::sendLoad(const StartLoad &load, TimePoint loadStart) {
  HttpCall call = post(
      "/v1/load_lora_adapter",
      dump({{"lora_name", engineName(load.Key)}, {"lora_path", load.Source}}));
  call.Timeout = LoadTimeout;
  call.OnEnd = [this, load, loadStart](const HttpResponse &answer) {
    onLoadEnd(load, loadStart, answer.Status == StatusOk);
  };
  Client.start(std::move(call));
}

void EngineDriver::onLoadEnd(const StartLoad &load, TimePoint loadStart,
                             bool succeeded) {
  const Duration took = Loop.now() - loadStart;
  Counters.recordLoad(succeeded, took);
  Log.write(succeeded ? LogLevel::Info : LogLevel::Warn,
            succeeded ? "adapter_loaded" : "adapter_load_failed",
            {{"adapter", load.Key.Adapter.str()},
             {"version", std::uint64_t(load.Key.Version)},
             {"victim", load.Victim ? engineName(*load.Victim) : ""},
             {"seconds", toSeconds(took)}});
  Node->controller().onLoadEnded(Loop.now(), load.Key, succeeded, took);
  Node->flush(Loop.now());
}

//===----------------------------------------------------------------------===//
// Restarts of the engine
//===----------------------------------------------------------------------===//

void EngineDriver::probe() {
  if (ProbeInFlight)
    return;
  ProbeInFlight = true;
  Client.start({.Address = Engine,
                .Method = "GET",
                .Path = "/metrics",
                .Timeout = ProbeTimeout,
                .MaxResponseBytes = MaxProbeBytes,
                .OnEnd = [this](const HttpResponse &answer) {
                  ProbeInFlight = false;
                  onMetrics(answer);
                }});
}

void EngineDriver::onMetrics(const HttpResponse &answer) {
  const auto started = metricValue(answer.Body, "process_start_time_seconds");
  if (answer.Status != StatusOk || !started)
    return engineLost("the engine does not answer");
  if (EngineStartTime != 0 && *started != EngineStartTime)
    engineLost("the engine has restarted");
  const auto running = metricValue(answer.Body, "vllm:num_requests_running");
  const bool idle = running && *running == 0;
  if (EngineStartTime == *started && Node->controller().board().EngineReady)
    return;
  const double at = *started;
  Client.start({.Address = Engine,
                .Method = "GET",
                .Path = "/v1/models",
                .Timeout = ProbeTimeout,
                .MaxResponseBytes = MaxProbeBytes,
                .OnEnd = [this, at, idle](const HttpResponse &models) {
                  onModels(models, at, idle);
                }});
}

void EngineDriver::onModels(const HttpResponse &answer, double startedAt,
                            bool idle) {
  const Json json = Json::parse(answer.Body, nullptr, false);
  if (answer.Status != StatusOk || json.is_discarded() ||
      !json.contains("data") || !json["data"].is_array())
    return engineLost("the engine's list of models is unreadable");
  std::vector<AdapterKey> resident;
  for (const Json &it : json["data"]) {
    if (!it.is_object() || !it.contains("id") || !it["id"].is_string())
      continue;
    if (const auto key = parseEngineName(it["id"].get<std::string>()))
      resident.push_back(*key);
  }
  if (EngineStartTime != startedAt)
    Log.write(LogLevel::Info, "engine_found",
              {{"resident", std::uint64_t(resident.size())}});
  EngineStartTime = startedAt;
  Node->controller().onEngineFound(Loop.now(), resident, idle);
  Node->flush(Loop.now());
}

void EngineDriver::engineLost(const char *why) {
  if (EngineStartTime == 0)
    return;
  EngineStartTime = 0;
  Log.write(LogLevel::Warn, "engine_lost", {{"why", why}});
  // The controller ends all attempts in onEngineLost(), so only the HTTP calls
  // are cancelled here.
  for (const auto &[attempt, generation] : Generations)
    Client.cancel(generation.Call);
  Generations.clear();
  Node->controller().onEngineLost(Loop.now());
  Node->flush(Loop.now());
}

} // namespace pimentofront
