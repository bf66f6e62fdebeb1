#include "Operator.h"

#include "../TestDocument.h"

namespace pimentofront::soak {
namespace {

using std::chrono::milliseconds;

constexpr int StatusOk = 200;
constexpr int StatusRedirection = 300;
constexpr Duration RegisterPeriod = milliseconds(700);
constexpr Duration ChangePeriod = milliseconds(900);
constexpr Duration ReadPeriod = milliseconds(300);
constexpr Duration CallTimeout = std::chrono::seconds(1);
constexpr Duration RetryPause = milliseconds(150);

/// Adds the service and the route of long streams.
void addStreams(nlohmann::json &document) {
  constexpr int TimeoutMs = 12000;
  nlohmann::json service = document["services"].back();
  service["name"] = WriterService;
  document["services"].push_back(service);
  nlohmann::json route =
      testkit::testRoute("long", "streaming", WriterService, 2, true);
  route["timeoutMs"] = TimeoutMs;
  document["routes"].push_back(route);
}

/// \returns the document of a version, including the route of its own.
nlohmann::json document(std::uint64_t version) {
  nlohmann::json result = testkit::testDocument(version);
  addStreams(result);
  result["routes"].push_back(testkit::testRoute(
      "m" + std::to_string(version), "idempotent", "plain", 2, false));
  return result;
}

bool isGood(const HttpResponse &answer) {
  return answer.Ending == HttpEnding::Complete && answer.Status == StatusOk;
}

} // namespace

Operator::Operator(EventLoop &loop, Deployment &deployment, std::uint64_t seed,
                   Report &report)
    : Loop(loop), System(deployment), Rng(seed), Results(report), Client(loop),
      StartedAt(loop.now()),
      RegisterTimer(loop.every(RegisterPeriod, [this] { registerServers(); })),
      ChangeTimer(loop.every(ChangePeriod, [this] { change(); })),
      ReadTimer(loop.every(ReadPeriod, [this] { readBack(); })) {
  registerServers();
}

void Operator::registerServers() {
  ++Sequence;
  for (const Server &it : System.servers())
    if (it.State != ServerState::Absent && it.Fake->isUp())
      registerServer(it, it.Fake->instance(),
                     Rng.next() % System.controlAddresses().size());
}

void Operator::deregister(const Server &server) {
  for (const HostPort &it : System.controlAddresses())
    Client.start({.Address = it,
                  .Method = "DELETE",
                  .Path = "/-/instances/" + server.Fake->instance(),
                  .Timeout = CallTimeout,
                  .FreshConnection = true,
                  .OnEnd = [](const HttpResponse &) {}});
}

void Operator::registerServer(const Server &server, const std::string &id,
                              std::size_t at) {
  const nlohmann::json body = {
      {"backend", server.Service},
      {"address", server.RegisteredAddress.Ip + ":" +
                      std::to_string(server.RegisteredAddress.Port)},
      {"zone", "z"},
      {"version", server.Fake->softwareVersion()},
      {"slots", 8},
      {"state", server.State == ServerState::Draining ? "draining" : "ready"},
      {"seq", Sequence}};
  // Failed calls are ignored: the next period registers the server again.
  for (std::size_t i = 0; i < 2; ++i)
    Client.start(
        {.Address = System.controlAddresses()[(at + i) %
                                              System.controlAddresses().size()],
         .Method = "PUT",
         .Path = "/-/instances/" + id,
         .Headers = {{"Content-Type", "application/json"}},
         .Body = body.dump(),
         .Timeout = CallTimeout,
         .FreshConnection = true,
         .OnEnd = [](const HttpResponse &) {}});
}

void Operator::change() {
  if (InFlight || (!Changing && Acknowledged > 0))
    return;
  constexpr std::uint64_t MaxVersionStep = 5;
  SentVersion += 1 + Rng.next() % MaxVersionStep;
  InFlight = true;
  sendChange(0);
}

/// Sends the change to one replica after another until it is acknowledged.
void Operator::sendChange(std::size_t attempt) {
  const std::size_t at = attempt % System.controlAddresses().size();
  Client.start(
      {.Address = System.controlAddresses()[at],
       .Method = "PUT",
       .Path = "/-/config",
       .Headers = {{"Content-Type", "application/json"}},
       .Body = document(SentVersion).dump(),
       .Timeout = CallTimeout,
       .FreshConnection = true,
       .OnEnd = [this, attempt](const HttpResponse &answer) {
         if (isGood(answer)) {
           Acknowledged = SentVersion;
           AcknowledgedAt = Loop.now();
           InFlight = false;
           ++Results.Counts["changes acknowledged"];
           return;
         }
         constexpr int ClientError = 400;
         constexpr int ServerError = 500;
         const bool refused =
             answer.Status >= ClientError && answer.Status < ServerError;
         if (answer.Ending == HttpEnding::Complete && refused)
           Results.addViolation(StartedAt, Loop.now(),
                                "a valid change was refused with status " +
                                    std::to_string(answer.Status));
         Retry = Loop.after(RetryPause,
                            [this, attempt] { sendChange(attempt + 1); });
       }});
}

void Operator::readBack() {
  const std::uint64_t minVersion =
      Loop.now() >= AcknowledgedAt + InForceBound ? Acknowledged : 0;
  for (const HostPort &it : System.controlAddresses())
    Client.start({.Address = it,
                  .Method = "GET",
                  .Path = "/-/config",
                  .Timeout = CallTimeout,
                  .FreshConnection = true,
                  .OnEnd = [this, minVersion](const HttpResponse &answer) {
                    onRead(answer, minVersion);
                  }});
}

void Operator::onRead(const HttpResponse &answer, std::uint64_t minVersion) {
  if (!isGood(answer))
    return;
  ++Results.Counts["documents read back"];
  const auto json = nlohmann::json::parse(answer.Body, nullptr, false);
  const std::uint64_t version =
      json.is_object() ? json.value("version", std::uint64_t(0)) : 0;
  if (version < minVersion)
    Results.addViolation(StartedAt, Loop.now(),
                         "version " + std::to_string(version) +
                             " was read although " +
                             std::to_string(minVersion) + " was acknowledged");
  else if (version > 0 && json != document(version))
    Results.addViolation(StartedAt, Loop.now(),
                         "version " + std::to_string(version) +
                             " differs from the document that was sent");
}

} // namespace pimentofront::soak
