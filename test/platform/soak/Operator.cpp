#include "Operator.h"

#include "../TestDocument.h"

namespace pimentofront::soak {
namespace {

using std::chrono::milliseconds;

constexpr int StatusOk = 200;
constexpr int StatusRedirection = 300;
constexpr Duration BeatPeriod = milliseconds(700);
constexpr Duration ChangePeriod = milliseconds(900);
constexpr Duration ReadPeriod = milliseconds(300);
constexpr Duration CallTimeout = std::chrono::seconds(1);
constexpr Duration RetryPause = milliseconds(150);

/// \returns the document of a version, with the route that only this version
/// has.
nlohmann::json document(std::uint64_t version) {
  nlohmann::json result = testkit::testDocument(version);
  result["routes"].push_back(testkit::testRoute(
      "m" + std::to_string(version), "idempotent", "plain", 2, false));
  return result;
}

bool isGood(const HttpAnswer &answer) {
  return answer.Ending == HttpEnding::Complete && answer.Status == StatusOk;
}

} // namespace

Operator::Operator(EventLoop &loop, Deployment &deployment, std::uint64_t seed,
                   Report &report)
    : Loop(loop), World(deployment), Numbers(seed), Seen(report), Client(loop),
      BegunAt(loop.now()), Beater(loop.every(BeatPeriod, [this] { beat(); })),
      Changer(loop.every(ChangePeriod, [this] { change(); })),
      Reader(loop.every(ReadPeriod, [this] { readBack(); })) {
  beat();
}

void Operator::beat() {
  ++Beats;
  for (const Server &it : World.servers())
    put(it, it.Fake->instance(), Numbers.next() % World.controls().size());
}

void Operator::put(const Server &server, const std::string &id,
                   std::size_t at) {
  const nlohmann::json body = {
      {"backend", server.Service},
      {"address",
       server.Registered.Ip + ":" + std::to_string(server.Registered.Port)},
      {"zone", "z"},
      {"slots", 8},
      {"state", "ready"},
      {"seq", Beats}};
  // Failed calls are ignored: the next period registers the server again.
  for (std::size_t i = 0; i < 2; ++i)
    Client.start(
        {.Address = World.controls()[(at + i) % World.controls().size()],
         .Method = "PUT",
         .Path = "/-/instances/" + id,
         .Headers = {{"Content-Type", "application/json"}},
         .Body = body.dump(),
         .Timeout = CallTimeout,
         .FreshConnection = true,
         .OnEnd = [](const HttpAnswer &) {}});
}

void Operator::change() {
  if (InFlight || (!Changing && Acknowledged > 0))
    return;
  constexpr std::uint64_t LargestStep = 5;
  Sending += 1 + Numbers.next() % LargestStep;
  InFlight = true;
  sendChange(0);
}

/// Sends the change to one replica after another until it is acknowledged.
void Operator::sendChange(std::size_t attempt) {
  const std::size_t at = attempt % World.controls().size();
  Client.start({.Address = World.controls()[at],
                .Method = "PUT",
                .Path = "/-/config",
                .Headers = {{"Content-Type", "application/json"}},
                .Body = document(Sending).dump(),
                .Timeout = CallTimeout,
                .FreshConnection = true,
                .OnEnd = [this, attempt](const HttpAnswer &answer) {
                  if (isGood(answer)) {
                    Acknowledged = Sending;
                    AcknowledgedAt = Loop.now();
                    InFlight = false;
                    ++Seen.Counts["changes acknowledged"];
                    return;
                  }
                  constexpr int ClientError = 400;
                  constexpr int ServerError = 500;
                  const bool refused = answer.Status >= ClientError &&
                                       answer.Status < ServerError;
                  if (answer.Ending == HttpEnding::Complete && refused)
                    Seen.broke(BegunAt, Loop.now(),
                               "a valid change was refused with status " +
                                   std::to_string(answer.Status));
                  Retry = Loop.after(
                      RetryPause, [this, attempt] { sendChange(attempt + 1); });
                }});
}

void Operator::readBack() {
  const std::uint64_t atLeast =
      Loop.now() >= AcknowledgedAt + InForceBound ? Acknowledged : 0;
  for (const HostPort &it : World.controls())
    Client.start({.Address = it,
                  .Method = "GET",
                  .Path = "/-/config",
                  .Timeout = CallTimeout,
                  .FreshConnection = true,
                  .OnEnd = [this, atLeast](const HttpAnswer &answer) {
                    onRead(answer, atLeast);
                  }});
}

void Operator::onRead(const HttpAnswer &answer, std::uint64_t atLeast) {
  if (!isGood(answer))
    return;
  ++Seen.Counts["documents read back"];
  const auto json = nlohmann::json::parse(answer.Body, nullptr, false);
  const std::uint64_t version =
      json.is_object() ? json.value("version", std::uint64_t(0)) : 0;
  if (version < atLeast)
    Seen.broke(BegunAt, Loop.now(),
               "version " + std::to_string(version) + " was read although " +
                   std::to_string(atLeast) + " was acknowledged");
  else if (version > 0 && json != document(version))
    Seen.broke(BegunAt, Loop.now(),
               "version " + std::to_string(version) +
                   " differs from the document that was sent");
}

} // namespace pimentofront::soak
