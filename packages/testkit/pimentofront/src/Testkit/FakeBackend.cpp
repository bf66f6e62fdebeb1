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

void FakeWeightStore::progress() {
  const double done = speed() * toSeconds(Time.now() - ProgressedAt);
  for (Transfer &it : Active)
    it.Left -= done;
  ProgressedAt = Time.now();
}

void FakeWeightStore::load(const std::string &source, Done done) {
  progress();
  Active.push_back(
      {.Fails = source.starts_with("missing:"), .OnDone = std::move(done)});
  arm();
}

void FakeWeightStore::arm() {
  if (Active.empty())
    return;
  const double least =
      std::ranges::min_element(Active, {}, &Transfer::Left)->Left;
  const std::uint64_t armed = ++Armed;
  const Duration wait = fromSeconds(std::max(least, 0.0) / speed());
  Time.after(wait + Duration(1), [this, armed] {
    if (armed != Armed)
      return;
    progress();
    std::vector<Transfer> done;
    for (auto it = Active.begin(); it != Active.end();) {
      if (it->Left <= 0) {
        done.push_back(std::move(*it));
        it = Active.erase(it);
      } else {
        ++it;
      }
    }
    arm();
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
                          std::uint64_t knownAs) {
  if (Down || (knownAs != Generation && !Resident.contains(request.Key)))
    return false;
  Book.started(Time.now(), request);
  if (!Resident.contains(request.Key))
    Book.violation(Time.now(), request.Request.str() +
                                   " was started without its adapter loaded");
  if (Running.size() >= Options.BatchCapacity)
    Book.violation(Time.now(),
                   "an engine got more requests than its batch capacity");
  Work work{.Request = request};
  // Continues after the text that an earlier attempt generated.
  work.Position =
      static_cast<std::uint64_t>(std::ranges::count(request.Resumed, ' '));
  work.End = work.Position + request.MaxTokens;
  Running[request.Attempt] = std::move(work);
  Joining.push_back(request.Attempt);
  if (Stepping)
    return true;
  Stepping = true;
  const std::uint64_t generation = Generation;
  Time.after(stepTime(), [this, generation] { step(generation); });
  return true;
}

bool FakeEngine::isCached(const Work &work) {
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
  for (const AttemptId &it : Joining) {
    const auto work = Running.find(it);
    if (work != Running.end())
      time += isCached(work->second) ? Options.PrefillCached : Options.Prefill;
  }
  Joining.clear();
  return time;
}

void FakeEngine::emit(Work &work) {
  if (work.Unsent == 0 || !Calls.OnTokens)
    return;
  const std::uint32_t n = std::exchange(work.Unsent, 0);
  Calls.OnTokens(work.Request.Attempt, n, std::exchange(work.Text, {}));
}

void FakeEngine::step(std::uint64_t generation) {
  if (generation != Generation)
    return;
  ++Figures.Steps;
  Figures.Served += Running.size();
  std::vector<AttemptId> ended;
  std::vector<AttemptId> pieces;
  for (auto &[attempt, work] : Running) {
    if (Book.keepsTexts())
      work.Text +=
          fakeToken(work.Request.Key, work.Request.Request, work.Position);
    else
      work.Text += ' ';
    ++work.Unsent;
    ++work.Position;
    if (work.Position >= work.End)
      ended.push_back(attempt);
    else if (work.Unsent >= Options.TokensPerPiece)
      pieces.push_back(attempt);
  }
  for (const AttemptId &it : pieces)
    if (const auto work = Running.find(it); work != Running.end())
      emit(work->second);
  for (const AttemptId &it : ended) {
    const auto work = Running.find(it);
    if (work == Running.end())
      continue;
    emit(work->second);
    Running.erase(it);
    if (Calls.OnEnd)
      Calls.OnEnd(it);
  }
  Stepping = !Running.empty();
  if (Stepping)
    Time.after(stepTime(), [this, generation] { step(generation); });
}

void FakeEngine::cancel(const AttemptId &attempt) { Running.erase(attempt); }

void FakeEngine::load(const StartLoad &load, std::function<void(bool)> done) {
  if (Down)
    return done(false);
  if (load.Victim) {
    for (const auto &[attempt, work] : Running)
      if (work.Request.Key == *load.Victim)
        Book.violation(Time.now(),
                       load.Victim->Adapter.str() +
                           " was evicted while a request was using it");
    Resident.erase(*load.Victim);
  }
  if (Resident.size() + Loading.size() >= Options.Slots) {
    Book.violation(Time.now(), "an engine got more adapters than its slots");
    return done(false);
  }
  ++Figures.Loads;
  Loading[load.Key] = std::move(done);
  const std::uint64_t generation = Generation;
  Store.load(load.Source, [this, key = load.Key, generation](bool good) {
    if (generation != Generation)
      return;
    const auto done = std::move(Loading.at(key));
    Loading.erase(key);
    if (good)
      Resident.insert(key);
    else
      ++Figures.FailedLoads;
    done(good);
  });
}

void FakeEngine::restart() {
  ++Generation;
  Resident.clear();
  const auto loading = std::exchange(Loading, {});
  for (const auto &[key, done] : loading)
    done(false);
  Running.clear();
  Joining.clear();
  Prefixes.clear();
  Stepping = false;
}

void FakeEngine::setDown(bool down) {
  restart();
  Down = down;
}

void FakeService::call(const ExecuteRequest &request,
                       std::function<void(std::string)> done) {
  Book.started(Time.now(), request);
  Time.after(Delay, [done = std::move(done), id = request.Request] {
    done("receipt of " + id.str());
  });
}

} // namespace pimentofront::testkit
