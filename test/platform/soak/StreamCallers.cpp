#include "StreamCallers.h"

#include "../TestDocument.h"
#include "StreamChecks.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace pimentofront::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int StatusOk = 200;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;
/// Statuses after which callers don't come back.
constexpr int FinalStatuses[] = {200, 400, 401, 404, 413, 431};
/// Pause between two new streams, for each server at the start.
constexpr Duration SendPeriod = milliseconds(800);
constexpr Duration TickPeriod = milliseconds(20);
constexpr std::uint64_t MinEvents = 20;
constexpr std::uint64_t MaxEvents = 120;
/// Time that a caller has for its stream.
constexpr Duration Budget = seconds(10);
/// Silence after which a caller gives up its stream.
constexpr Duration MaxSilence = seconds(2);
constexpr int MaxAttempts = 6;
/// Pause before the next attempt where no time was named.
constexpr Duration MinPause = milliseconds(20);
constexpr Duration MaxPause = milliseconds(200);
/// Time without a disturbance after which a host is in touch.
constexpr Duration StableWindow = seconds(3);
/// Share of the time left that callers wait if they are told to.
constexpr int RetryAfterShare = 3;

/// Connections stay open until the entry closes them.
constexpr UpstreamPoolOptions PoolOptions = {.ConnectTimeout = seconds(1),
                                             .KeepAliveShare = 1,
                                             .DefaultKeepAlive = seconds(60),
                                             .MaxIdleForOnce = seconds(60)};

std::string asMilliseconds(Duration it) {
  return std::to_string(it / milliseconds(1));
}

bool isFinal(int status) {
  return std::ranges::find(FinalStatuses, status) != std::end(FinalStatuses);
}

} // namespace

StreamCallers::StreamCallers(EventLoop &loop, Deployment &deployment,
                             const Release &release, const FaultPlan &faults,
                             std::uint64_t seed, Report &report)
    : Loop(loop), System(deployment), Versions(release), Faults(faults),
      Rng(seed), Results(report), StartedAt(loop.now()),
      Pool(loop, PoolOptions, *this),
      Ticker(loop.every(TickPeriod, [this] { tick(); })) {}

StreamCallers::~StreamCallers() = default;

void StreamCallers::begin() {
  const auto servers = static_cast<std::int64_t>(
      std::max<std::size_t>(Versions.serving(FirstVersion), 1));
  Sender = Loop.every(SendPeriod / servers, [this] { start(); });
}

//===----------------------------------------------------------------------===//
// Sending
//===----------------------------------------------------------------------===//

void StreamCallers::start() {
  const TimePoint now = Loop.now();
  const std::uint64_t id = ++LastCaller;
  Caller &caller = Active[id];
  caller.Stream = Streams.size();
  caller.Entry = Rng.next() % System.entryListeners().size();
  caller.Deadline = now + Budget;
  Streams.push_back(
      {.Length = MinEvents + Rng.next() % (MaxEvents - MinEvents + 1),
       .StartedAt = now});
  ++Results.Counts["streams"];
  sendAttempt(id, caller);
}

void StreamCallers::sendAttempt(std::uint64_t id, Caller &caller) {
  const TimePoint now = Loop.now();
  StreamRecord &stream = Streams[caller.Stream];
  const auto &[address, daemon] = System.entryListeners()[caller.Entry];
  constexpr int IdDigits = 16;
  char attempt[IdDigits + 1];
  std::snprintf(attempt, sizeof(attempt), "%016llx",
                static_cast<unsigned long long>(Rng.next()));
  RequestHead head{
      "POST",
      "/long/" + testkit::FakeServer::longStream(stream.Length),
      {{"Host", "test.example"},
       {"Pimentofront-Attempt-Id", attempt},
       {"Pimentofront-Credential", testkit::TestKey},
       {"Pimentofront-Model", "m0"},
       {"Pimentofront-Token-Usage", "100," + std::to_string(stream.Length)},
       {"Pimentofront-Prompt-Prefix", "a1:60,b2:40"},
       {"Pimentofront-Deadline-Ms",
        std::to_string((caller.Deadline - now) / milliseconds(1))}}};
  if (!stream.Events.empty()) {
    head.Headers.push_back(
        {"Last-Event-Id", std::to_string(stream.lastEvent())});
    head.Headers.push_back({"Resumes", stream.Events.front().Attempt});
    if (!currentResumption(caller))
      stream.Resumptions.push_back({.StartedAt = now});
    stream.Resumptions.back().Attempts.emplace_back(attempt);
  }
  if (!stream.Attempts.empty())
    caller.OwnPool = std::make_unique<UpstreamPool>(Loop, PoolOptions, *this);
  stream.Attempts.push_back(
      {.Id = attempt, .Entry = daemon->Name, .SentAt = now});
  caller.LastActivityAt = now;
  caller.NextAttemptAt.reset();
  caller.Status = 0;
  caller.RetryAfter.reset();
  caller.Partial.clear();
  ++Results.Counts["stream attempts"];
  UpstreamPool &pool = caller.OwnPool ? *caller.OwnPool : Pool;
  pool.send({.Attempt = {id, stream.Attempts.size()},
             .Address = address.Ip + ":" + std::to_string(address.Port),
             .Head = std::move(head),
             .Body = std::make_shared<const std::string>("body")});
}

Resumption *StreamCallers::currentResumption(const Caller &caller) {
  auto &all = Streams[caller.Stream].Resumptions;
  return all.empty() || all.back().WentOn ? nullptr : &all.back();
}

void StreamCallers::tick() {
  EndedPools.clear();
  const TimePoint now = Loop.now();
  std::vector<std::uint64_t> ids;
  for (const auto &[id, caller] : Active)
    ids.push_back(id);
  for (const std::uint64_t id : ids) {
    Caller &caller = Active.at(id);
    const StreamRecord &stream = Streams[caller.Stream];
    if (Resumption *it = currentResumption(caller))
      it->HadTwoServers &= Versions.serving(stream.Events.front().Version) >= 2;
    if (!caller.NextAttemptAt)
      abandonSilent(now, id, caller);
    else if (now >= caller.Deadline)
      endCaller(id);
    else if (now >= *caller.NextAttemptAt)
      sendAttempt(id, caller);
  }
}

void StreamCallers::abandonSilent(TimePoint now, std::uint64_t id,
                                  Caller &caller) {
  if (now < caller.LastActivityAt + MaxSilence && now < caller.Deadline)
    return;
  ++Results.Counts["streams given up by their callers"];
  recordCourse(caller, "silent");
  UpstreamPool &pool = caller.OwnPool ? *caller.OwnPool : Pool;
  pool.cancel({id, Streams[caller.Stream].Attempts.size()});
  endCaller(id);
}

//===----------------------------------------------------------------------===//
// Answers
//===----------------------------------------------------------------------===//

HeadDecision StreamCallers::onHead(const AttemptId &attempt,
                                   ResponseHead head) {
  Caller &caller = Active.at(attempt.Incarnation);
  caller.Status = head.Status;
  if (const std::string *it = findHeader(head.Headers, "Retry-After"))
    caller.RetryAfter = fromSeconds(std::strtod(it->c_str(), nullptr));
  return HeadDecision::Take;
}

void StreamCallers::onBody(const AttemptId &attempt, std::string_view bytes) {
  Caller &caller = Active.at(attempt.Incarnation);
  if (caller.Status != StatusOk)
    return;
  caller.Partial += bytes;
  readEvents(caller);
}

void StreamCallers::readEvents(Caller &caller) {
  constexpr std::string_view EventEnd = "\n\n";
  std::size_t end = 0;
  while ((end = caller.Partial.find(EventEnd)) != std::string::npos) {
    addEvent(caller, caller.Partial.substr(0, end));
    caller.Partial.erase(0, end + EventEnd.size());
  }
}

void StreamCallers::addEvent(Caller &caller, const std::string &text) {
  caller.LastActivityAt = Loop.now();
  StreamRecord &stream = Streams[caller.Stream];
  StreamEvent event{.Attempt = stream.Attempts.back().Id};
  std::istringstream fields(text);
  std::string idName;
  std::string dataName;
  fields >> idName >> event.Id >> dataName >> event.Version >> event.Server;
  const std::string expected = "id: " + std::to_string(event.Id) +
                               "\ndata: " + event.Version + " " + event.Server;
  if (text != expected) {
    stream.Malformed.push_back(text);
    return;
  }
  stream.Events.push_back(event);
  if (Resumption *it = currentResumption(caller)) {
    recordCourse(caller, "went on");
    it->WentOn = true;
  }
}

void StreamCallers::onEnd(const AttemptId &attempt, UpstreamEnding ending) {
  const std::uint64_t id = attempt.Incarnation;
  Caller &caller = Active.at(id);
  if (caller.OwnPool)
    EndedPools.push_back(std::move(caller.OwnPool));
  StreamRecord &stream = Streams[caller.Stream];
  const bool complete = ending == UpstreamEnding::Complete;
  recordCourse(caller, complete ? std::to_string(caller.Status)
                                : upstreamEndingName(ending));
  if (complete && caller.Status == StatusOk) {
    stream.Attempts.back().IsComplete = true;
    if (!caller.Partial.empty())
      stream.Malformed.push_back(caller.Partial);
  }
  ++Results.Counts["stream attempts " +
                   (complete ? "with " + std::to_string(caller.Status)
                    : ending == UpstreamEnding::NotSent
                        ? std::string("without a connection")
                        : "that broke off")];
  if (stream.isWhole() || (complete && isFinal(caller.Status)))
    return endCaller(id);
  afterEnd(Loop.now(), caller, ending);
}

void StreamCallers::afterEnd(TimePoint now, Caller &caller,
                             UpstreamEnding ending) {
  if (ending != UpstreamEnding::NotSent && ++caller.Sent >= MaxAttempts) {
    // tick() ends the caller, which keeps this call free of removals.
    caller.Deadline = now;
  }
  const bool mayWait =
      ending == UpstreamEnding::Complete &&
      (caller.Status == StatusUnavailable || caller.Status == StatusTooMany);
  Duration pause =
      MinPause + fromSeconds(toSeconds(MaxPause - MinPause) * Rng.uniform());
  if (mayWait && caller.RetryAfter)
    pause =
        std::min(*caller.RetryAfter, (caller.Deadline - now) / RetryAfterShare);
  caller.NextAttemptAt = now + pause;
  const std::size_t n = System.entryListeners().size();
  if (n > 1)
    caller.Entry = (caller.Entry + 1 + Rng.next() % (n - 1)) % n;
}

void StreamCallers::recordCourse(const Caller &caller,
                                 const std::string &ending) {
  Resumption *resumption = currentResumption(caller);
  if (!resumption)
    return;
  const TimePoint now = Loop.now();
  StreamAttempt &attempt = Streams[caller.Stream].Attempts.back();
  const bool inTouch = isInTouch(attempt, now);
  resumption->HadEntryInTouch |= inTouch;
  attempt.Course =
      ending + " at " + asMilliseconds(attempt.SentAt - Faults.startedAt()) +
      " to " + asMilliseconds(now - Faults.startedAt()) + " ms" +
      (inTouch ? ", in touch" : describeDisturbances(attempt, now));
}

bool StreamCallers::isInTouch(const StreamAttempt &attempt,
                              TimePoint now) const {
  const auto isCalm = [&](const std::string &host) {
    return Faults.disturbances().isCalm(host, attempt.SentAt - StableWindow,
                                        now);
  };
  return isCalm(attempt.Entry) &&
         std::ranges::all_of(System.daemons(), [&](const Daemon &it) {
           return !it.IsReplica || isCalm(it.Name);
         });
}

std::string StreamCallers::describeDisturbances(const StreamAttempt &attempt,
                                                TimePoint now) const {
  const auto describe = [&](const std::string &host) {
    return Faults.disturbances().describe(host, attempt.SentAt - StableWindow,
                                          now, Faults.startedAt());
  };
  std::string text = describe(attempt.Entry);
  for (const Daemon &it : System.daemons())
    if (it.IsReplica)
      text += describe(it.Name);
  return text;
}

void StreamCallers::endCaller(std::uint64_t id) {
  Caller &caller = Active.at(id);
  if (caller.OwnPool)
    EndedPools.push_back(std::move(caller.OwnPool));
  Active.erase(id);
}

//===----------------------------------------------------------------------===//
// Results
//===----------------------------------------------------------------------===//

void StreamCallers::check(std::uint64_t seed) {
  const StreamShare begun = begunStreams(Streams);
  const StreamShare resumed = resumedStreams(Streams);
  const auto mixed = describeMixedStreams(Streams);
  Results.Counts["streams begun"] = begun.Good;
  Results.Counts["streams complete"] = static_cast<std::uint64_t>(
      std::ranges::count_if(Streams, &StreamRecord::isWhole));
  for (const StreamRecord &it : Streams)
    Results.Counts["streams resumed by callers"] += it.Resumptions.size();
  Results.Counts["streams resumed while two servers served"] = resumed.Of;
  Results.Counts["streams that went on while two servers served"] =
      resumed.Good;
  const StreamShare inTouch = streamsResumedInTouch(Streams);
  Results
      .Counts["streams resumed while two servers served, at entries in touch"] =
      inTouch.Of;
  Results.Counts
      ["streams that went on while two servers served, at entries in touch"] =
      inTouch.Good;
  Results.Counts["streams of two software versions"] = mixed.size();
  for (const auto &lines : {checkEventOrder(Streams), checkVersions(Streams),
                            checkResumptions(Streams)})
    for (const std::string &it : lines)
      Results.addViolation(StartedAt, Loop.now(),
                           "seed " + std::to_string(seed) + ": " + it);
}

} // namespace pimentofront::soak
