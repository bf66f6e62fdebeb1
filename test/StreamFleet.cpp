#include "StreamFleet.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace pimentofront::testkit {
namespace {

constexpr double StreamsPerSecond = 40;
constexpr std::uint32_t Adapters = 8;
/// From this number of resumed streams on, the share that goes on counts, and
/// how large it must be, as a share of the new streams that begin.
constexpr int MinResumed = 12;
constexpr double MinShare = 0.5;

} // namespace

ForwardFleetOptions streamFleetOptions(std::uint64_t seed,
                                       const StreamFleetSize &size) {
  return {.Simulation = {.Seed = seed, .Store = {.LoadsPerSecond = 40}},
          .Entries = size.Entries,
          .Servers = size.Servers,
          .Events = size.Events,
          .Engines = true,
          .AdapterSlots = Adapters,
          .Software = "v1"};
}

bool CallerStream::isMixed() const {
  return std::ranges::any_of(
      Software, [&](const auto &it) { return it != Software.front(); });
}

StreamFleet::StreamFleet(const ForwardFleetOptions &options,
                         const StreamCallerOptions &callers)
    : Fleet(options), Options(options), Callers(callers),
      Rng(options.Simulation.Seed + 1) {}

void StreamFleet::addServers(std::uint32_t n, const std::string &software) {
  for (std::uint32_t i = 0; i < n; ++i)
    Fleet.addServer(software);
}

void StreamFleet::runFor(Duration time) {
  const TimePoint end = Fleet.now() + time;
  while (Fleet.now() < end) {
    begin();
    Fleet.runFor(Rng.jitter(fromSeconds(1 / StreamsPerSecond)));
  }
}

CallerStream &StreamFleet::begin() {
  const std::string n = std::to_string(Streams.size());
  Streams.push_back(std::make_unique<CallerStream>(
      CallerStream{.Content = "stream-" + n,
                   .Adapter = "a" + std::to_string(any(Adapters))}));
  send(*Streams.back(), any(Options.Entries));
  return *Streams.back();
}

void StreamFleet::reset(int n) {
  std::vector<std::uint64_t> keys;
  for (const auto &it : Streams)
    if (it->Key != 0)
      keys.push_back(it->Key);
  for (int i = 0; i < n && !keys.empty(); ++i)
    Fleet.resetCall(keys[any(static_cast<std::uint32_t>(keys.size()))]);
}

int StreamFleet::count(
    const std::function<bool(const CallerStream &)> &predicate) const {
  return static_cast<int>(std::ranges::count_if(
      Streams, [&](const auto &it) { return predicate(*it); }));
}

void StreamFleet::check(std::uint64_t seed, int maxMixed) const {
  const int begun = count([](const auto &it) { return !it.Software.empty(); });
  const int resumed = count([](const auto &it) { return it.Resumed; });
  const int goOn = count([](const auto &it) { return it.GoesOn; });
  const int second = count(
      [](const auto &it) { return it.Resumed && it.Software.front() == "v2"; });
  const auto all = static_cast<int>(Streams.size());
  const double newShare = static_cast<double>(begun) / all;
  const double share = static_cast<double>(goOn) / std::max(resumed, 1);
  INFO("seed " << seed << ": " << all << " streams, " << begun << " began, "
               << resumed << " resumed (" << second << " of v2), " << goOn
               << " go on, " << mixed() << " with events of two versions, "
               << Misplaced << " events missing or twice");
  CHECK(mixed() <= maxMixed);
  CHECK(Misplaced == 0);
  if (resumed >= MinResumed)
    CHECK(share >= MinShare * newShare);
}

void StreamFleet::checkEachVersion(std::uint64_t seed) const {
  const int begun = count([](const auto &it) { return !it.Software.empty(); });
  for (const std::string version : {"v1", "v2"}) {
    const int resumed = count([&](const auto &it) {
      return it.Resumed && it.Software.front() == version;
    });
    const int goOn = count([&](const auto &it) {
      return it.GoesOn && it.Software.front() == version;
    });
    INFO("seed " << seed << ": " << resumed << " streams of " << version
                 << " resumed, " << goOn << " go on");
    const double newShare = begun / static_cast<double>(Streams.size());
    if (resumed >= MinResumed)
      CHECK(goOn >= MinShare * newShare * resumed);
  }
}

void StreamFleet::send(CallerStream &stream, std::uint32_t entry) {
  ++stream.Attempts;
  stream.Entry = entry;
  if (!stream.Software.empty() && Fleet.serversUp(stream.Software.front()) >= 2)
    stream.Resumed = true;
  stream.ResumedAgain |= stream.Resumed && stream.Parts == 2;
  stream.Key = Fleet.call(
      Fleet.entry(entry), stream.Content,
      [this, &stream](const CallerAnswer &it) { onAnswer(stream, it); },
      stream.Adapter,
      {.Attempt = stream.NamedAttempt, .LastEvent = stream.Software.size()});
}

void StreamFleet::onAnswer(CallerStream &stream, const CallerAnswer &answer) {
  stream.Key = 0;
  stream.Status = answer.Status;
  stream.Took = answer.EndedAt - answer.SentAt;
  if (answer.Stamped)
    addEvents(stream, answer);
  if (stream.Software.size() == Options.Events ||
      stream.Attempts == MaxAttempts)
    return;
  const Duration wait = std::max(answer.RetryAfter, Callers.ComeBackAfter);
  Fleet.simulation().after(Rng.jitter(wait), [this, &stream] {
    send(stream,
         (stream.Entry + 1 + any(Options.Entries - 1)) % Options.Entries);
  });
}

void StreamFleet::addEvents(CallerStream &stream, const CallerAnswer &answer) {
  std::istringstream body(answer.Body);
  std::string name;
  std::uint64_t id = 0;
  std::string software;
  const std::size_t before = stream.Software.size();
  while (body >> name >> id >> name >> software) {
    if (stream.NamedAttempt.empty() || Callers.NamesLastAttempt)
      stream.NamedAttempt = answer.Id;
    Misplaced += id == stream.Software.size() + 1 ? 0 : 1;
    stream.Software.push_back(software);
    stream.GoesOn = stream.Resumed;
  }
  stream.Parts += stream.Software.size() > before ? 1 : 0;
}

} // namespace pimentofront::testkit
