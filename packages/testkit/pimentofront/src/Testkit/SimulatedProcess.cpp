#include "pimentofront/Testkit.h"

#include <algorithm>

namespace pimentofront::testkit {

SimulatedProcess::SimulatedProcess(Simulation &simulation, ProcessSpec spec)
    : Owner(simulation), Spec(std::move(spec)) {}
SimulatedProcess::~SimulatedProcess() = default;

LinkId SimulatedProcess::open(const std::string &address, LinkPurpose purpose) {
  return Owner.openLink(*this, address, purpose);
}
void SimulatedProcess::send(LinkId link, const Message &message) {
  if (const auto *execute = std::get_if<ExecuteRequest>(&message))
    Owner.RequestLedger.recordRouted(Owner.now(), *execute);
  Owner.sendOn(link, message);
}
void SimulatedProcess::close(LinkId link) { Owner.closeLink(link); }

void SimulatedProcess::generate(const ExecuteRequest &request) {
  if (Engine->generate(request, KnownEngineStart))
    return;
  // The engine is down, or has restarted and no longer holds the adapter. Its
  // refusal arrives after 100 us.
  Owner.after(Duration(100), [this, attempt = request.Attempt,
                              incarnation = Incarnation] {
    Owner.atProcess(Spec.Host, incarnation, [=](SimulatedProcess &process) {
      process.Agent->controller().onWorkNotStarted(process.Owner.now(),
                                                   attempt);
      process.Agent->flush(process.Owner.now());
    });
  });
}

void SimulatedProcess::cancel(const AttemptId &attempt) {
  Engine->cancel(attempt);
  Agent->controller().onWorkEnded(Owner.now(), attempt,
                                  AttemptEnding::Cancelled, "");
}

void SimulatedProcess::callService(const ExecuteRequest &request) {
  Owner.Service.call(request, [this, attempt = request.Attempt,
                               incarnation = Incarnation](std::string answer) {
    Owner.atProcess(Spec.Host, incarnation, [=](SimulatedProcess &process) {
      process.Agent->controller().onWorkEnded(process.Owner.now(), attempt,
                                              AttemptEnding::Answered, answer);
      process.Agent->flush(process.Owner.now());
    });
  });
}

void SimulatedProcess::load(const StartLoad &load) {
  const TimePoint startedAt = Owner.now();
  Engine->load(load, [this, key = load.Key, startedAt,
                      incarnation = Incarnation](bool succeeded) {
    // The completion must not run inside the call that started the load.
    Owner.after(Duration::zero(), [=, this] {
      Owner.atProcess(Spec.Host, incarnation, [=](SimulatedProcess &process) {
        const TimePoint now = process.Owner.now();
        process.Agent->controller().onLoadEnded(now, key, succeeded,
                                                now - startedAt);
        process.Agent->flush(now);
      });
    });
  });
}

void SimulatedProcess::onChunk(RequestKey key, std::uint64_t,
                               const std::string &text) {
  if (RequestRecord *record = Owner.RequestLedger.find(key);
      record && Owner.RequestLedger.keepsTexts())
    record->Text += text;
}

void SimulatedProcess::onFinal(RequestKey key, const KindName &,
                               const FinalAnswer &answer) {
  Waiting.erase(key);
  Owner.RequestLedger.recordOutcome(Owner.now(), key, answer);
}

} // namespace pimentofront::testkit
