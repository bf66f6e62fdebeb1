#include "pimentofront/Testkit.h"

#include <algorithm>

namespace pimentofront::testkit {

WorldProcess::WorldProcess(World &world, ProcessSpec spec)
    : In(world), Spec(std::move(spec)) {}
WorldProcess::~WorldProcess() = default;

LinkId WorldProcess::open(const std::string &address, LinkPurpose purpose) {
  return In.openLink(*this, address, purpose);
}
void WorldProcess::send(LinkId link, const Message &message) {
  if (const auto *execute = std::get_if<ExecuteRequest>(&message))
    In.Book.routed(In.now(), *execute);
  In.sendOn(link, message);
}
void WorldProcess::close(LinkId link) { In.closeLink(link); }

void WorldProcess::generate(const ExecuteRequest &request) {
  if (Engine->generate(request, KnownEngine))
    return;
  // The engine's refusal arrives after 100 us.
  In.after(Duration(100), [this, attempt = request.Attempt,
                           incarnation = Incarnation] {
    In.atProcess(Spec.Host, incarnation, [=](WorldProcess &process) {
      process.Agent->controller().onWorkNotStarted(process.In.now(), attempt);
      process.Agent->flush(process.In.now());
    });
  });
}

void WorldProcess::cancel(const AttemptId &attempt) {
  Engine->cancel(attempt);
  Agent->controller().onWorkEnded(In.now(), attempt, AttemptEnding::Cancelled,
                                  "");
}

void WorldProcess::callService(const ExecuteRequest &request) {
  In.Service.call(request, [this, attempt = request.Attempt,
                            incarnation = Incarnation](std::string answer) {
    In.atProcess(Spec.Host, incarnation, [=](WorldProcess &process) {
      process.Agent->controller().onWorkEnded(process.In.now(), attempt,
                                              AttemptEnding::Answered, answer);
      process.Agent->flush(process.In.now());
    });
  });
}

void WorldProcess::load(const StartLoad &load) {
  const TimePoint begun = In.now();
  Engine->load(load, [this, key = load.Key, begun,
                      incarnation = Incarnation](bool good) {
    // The completion must not run inside the call that started the load.
    In.after(Duration::zero(), [=, this] {
      In.atProcess(Spec.Host, incarnation, [=](WorldProcess &process) {
        const TimePoint now = process.In.now();
        process.Agent->controller().onLoadEnded(now, key, good, now - begun);
        process.Agent->flush(now);
      });
    });
  });
}

void WorldProcess::onChunk(RequestKey key, std::uint64_t,
                           const std::string &text) {
  if (RequestRecord *record = In.Book.find(key); record && In.Book.keepsTexts())
    record->Text += text;
}

void WorldProcess::onFinal(RequestKey key, const KindName &,
                           const FinalAnswer &answer) {
  Waiting.erase(key);
  In.Book.ended(In.now(), key, answer);
}

} // namespace pimentofront::testkit
