#include "pimentofront/Testkit.h"

#include <algorithm>
#include <cmath>

namespace pimentofront::testkit {

//===----------------------------------------------------------------------===//
// FakeWeightStore
//===----------------------------------------------------------------------===//

double FakeWeightStore::speed() const {
  if (Active.empty())
    return 0;
  const double shared = Active.size() > 1 ? Options.SharedEfficiency : 1;
  return Options.LoadsPerSecond * shared / static_cast<double>(Active.size());
}

void FakeWeightStore::advance() {
  const double done = speed() * toSeconds(Scheduler.now() - AdvancedAt);
  for (Transfer &it : Active)
    it.RemainingWork -= done;
  AdvancedAt = Scheduler.now();
}

void FakeWeightStore::load(const std::string &source, Done done) {
  advance();
  Active.push_back(
      {.Fails = source.starts_with("missing:"), .OnDone = std::move(done)});
  scheduleCompletion();
}

void FakeWeightStore::scheduleCompletion() {
  if (Active.empty())
    return;
  const double minRemaining =
      std::ranges::min_element(Active, {}, &Transfer::RemainingWork)
          ->RemainingWork;
  const std::uint64_t timerGeneration = ++TimerGeneration;
  const Duration wait = fromSeconds(std::max(minRemaining, 0.0) / speed());
  Scheduler.after(wait + Duration(1), [this, timerGeneration] {
    if (timerGeneration != TimerGeneration)
      return;
    advance();
    std::vector<Transfer> done;
    for (auto it = Active.begin(); it != Active.end();) {
      if (it->RemainingWork <= 0) {
        done.push_back(std::move(*it));
        it = Active.erase(it);
      } else {
        ++it;
      }
    }
    scheduleCompletion();
    for (Transfer &it : done) {
      ++Finished;
      it.OnDone(!it.Fails);
    }
  });
}

//===----------------------------------------------------------------------===//
// FakeEngine
//===----------------------------------------------------------------------===//

bool FakeEngine::generate(const ExecuteRequest &request,
                          std::uint64_t knownStart) {
  if (Down || (knownStart != Generation && !Resident.contains(request.Key)))
    return false;
  RequestLedger.recordStarted(Scheduler.now(), request);
  if (!Resident.contains(request.Key))
    RequestLedger.addViolation(Scheduler.now(),
                               request.Request.str() +
                                   " was started without its adapter loaded");
  if (Running.size() >= Options.BatchCapacity)
    RequestLedger.addViolation(
        Scheduler.now(), "an engine got more requests than its batch capacity");
  Work work{.Request = request};
  // Continues after the text that an earlier attempt generated.
  work.Position =
      static_cast<std::uint64_t>(std::ranges::count(request.ResumeText, ' '));
  work.End = work.Position + request.MaxTokens;
  Running[request.Attempt] = std::move(work);
  NewRequests.push_back(request.Attempt);
  if (Stepping)
    return true;
  Stepping = true;
  const std::uint64_t generation = Generation;
  Scheduler.after(stepTime(), [this, generation] { step(generation); });
  return true;
}

bool FakeEngine::lookUpPrefix(const Work &work) {
  const std::uint64_t prefix =
      stableHash(work.Request.Prompt.substr(0, 16),
                 std::hash<AdapterKey>()(work.Request.Key));
  const auto it = std::ranges::find(Prefixes, prefix);
  const bool cached = it != Prefixes.end();
  if (cached)
    Prefixes.erase(it);
  Prefixes.push_front(prefix);
  if (Prefixes.size() > Options.PrefixCache)
    Prefixes.pop_back();
  return cached;
}

Duration FakeEngine::stepTime() {
  std::set<AdapterKey> adapters;
  for (const auto &[attempt, work] : Running)
    adapters.insert(work.Request.Key);
  Duration time = Options.StepBase +
                  Options.StepPerRequest * static_cast<int>(Running.size()) +
                  Options.StepPerAdapter * static_cast<int>(adapters.size());
  for (const AttemptId &it : NewRequests) {
    const auto work = Running.find(it);
    if (work != Running.end())
      time +=
          lookUpPrefix(work->second) ? Options.PrefillCached : Options.Prefill;
  }
  NewRequests.clear();
  return time;
}

void FakeEngine::emit(Work &work) {
  if (work.Unsent == 0 || !AgentCallbacks.OnTokens)
    return;
  const std::uint32_t n = std::exchange(work.Unsent, 0);
  AgentCallbacks.OnTokens(work.Request.Attempt, n,
                          std::exchange(work.Text, {}));
}

void FakeEngine::step(std::uint64_t generation) {
  if (generation != Generation)
    return;
  ++Counters.Steps;
  Counters.BatchedRequests += Running.size();
  std::vector<AttemptId> ended;
  std::vector<AttemptId> partial;
  for (auto &[attempt, work] : Running) {
    if (RequestLedger.keepsTexts())
      work.Text +=
          fakeToken(work.Request.Key, work.Request.Request, work.Position);
    else
      work.Text += ' ';
    ++work.Unsent;
    ++work.Position;
    if (work.Position >= work.End)
      ended.push_back(attempt);
    else if (work.Unsent >= Options.TokensPerMessage)
      partial.push_back(attempt);
  }
  for (const AttemptId &it : partial)
    if (const auto work = Running.find(it); work != Running.end())
      emit(work->second);
  for (const AttemptId &it : ended) {
    const auto work = Running.find(it);
    if (work == Running.end())
      continue;
    emit(work->second);
    Running.erase(it);
    if (AgentCallbacks.OnEnd)
      AgentCallbacks.OnEnd(it);
  }
  Stepping = !Running.empty();
  if (Stepping)
    Scheduler.after(stepTime(), [this, generation] { step(generation); });
}

void FakeEngine::cancel(const AttemptId &attempt) { Running.erase(attempt); }

void FakeEngine::load(const StartLoad &load, std::function<void(bool)> done) {
  if (Down)
    return done(false);
  if (load.Victim) {
    for (const auto &[attempt, work] : Running)
      if (work.Request.Key == *load.Victim)
        RequestLedger.addViolation(
            Scheduler.now(), load.Victim->Adapter.str() +
                                 " was evicted while a request was using it");
    Resident.erase(*load.Victim);
  }
  if (Resident.size() + Loading.size() >= Options.Slots) {
    RequestLedger.addViolation(Scheduler.now(),
                               "an engine got more adapters than its slots");
    return done(false);
  }
  ++Counters.Loads;
  Loading[load.Key] = std::move(done);
  const std::uint64_t generation = Generation;
  Store.load(load.Source, [this, key = load.Key, generation](bool succeeded) {
    if (generation != Generation)
      return;
    const auto done = std::move(Loading.at(key));
    Loading.erase(key);
    if (succeeded)
      Resident.insert(key);
    else
      ++Counters.FailedLoads;
    done(succeeded);
  });
}

void FakeEngine::restart() {
  ++Generation;
  Resident.clear();
  const auto loading = std::exchange(Loading, {});
  for (const auto &[key, done] : loading)
    done(false);
  Running.clear();
  NewRequests.clear();
  Prefixes.clear();
  Stepping = false;
}

void FakeEngine::setDown(bool down) {
  restart();
  Down = down;
}

void FakeService::call(const ExecuteRequest &request,
                       std::function<void(std::string)> done) {
  RequestLedger.recordStarted(Scheduler.now(), request);
  Scheduler.after(Delay, [done = std::move(done), id = request.Request] {
    done("receipt of " + id.str());
  });
}

} // namespace pimentofront::testkit
