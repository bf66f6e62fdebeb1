#include "SlownessProbe.h"

namespace pimentofront {
namespace {

/// Slow periods last some hundred milliseconds.
constexpr Duration Period = std::chrono::milliseconds(200);
constexpr Duration ConnectionTimeout = std::chrono::seconds(1);
constexpr std::size_t MaxResponseBytes = std::size_t(64) << 10;

} // namespace

SlownessProbe::SlownessProbe(EventLoop &loop, HttpClient &client,
                             const HeaderCodec &codec, const HostPort &engine,
                             AgentNode &node, FailureCallback onFailure)
    : Loop(loop), Client(client), Codec(codec), Engine(engine), Node(node),
      OnFailure(std::move(onFailure)),
      Ticker(loop.every(Period, [this] { ask(); })) {}

void SlownessProbe::ask() {
  const AgentController &agent = Node.controller();
  const std::string &path = Node.profile().HealthPath;
  if (InProgress || path.empty() || agent.idle() ||
      !agent.board().Slowness.isStated())
    return;
  InProgress = true;
  Client.start({.Address = Engine,
                .Method = "GET",
                .Path = path,
                .Timeout = ConnectionTimeout,
                .MaxResponseBytes = MaxResponseBytes,
                .OnEnd = [this](const HttpResponse &it) { onAnswer(it); }});
}

void SlownessProbe::onAnswer(const HttpResponse &answer) {
  InProgress = false;
  const bool failed = answer.Ending != HttpEnding::Complete;
  if (failed && !Failing)
    OnFailure();
  Failing = failed;
  // Without an answer the last statement expires.
  if (failed)
    return;
  const AnswerTraits traits =
      Codec.decodeAnswer({.Status = answer.Status, .Headers = answer.Headers});
  if (traits.Load)
    Node.controller().onSlowness(Loop.now(), traits.Load->Slowness);
  Node.flush(Loop.now());
}

} // namespace pimentofront
