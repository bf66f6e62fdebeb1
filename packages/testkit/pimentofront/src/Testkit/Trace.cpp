#include "pimentofront/Testkit.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace pimentofront::testkit {
namespace {

using Json = nlohmann::json;

double exponential(Random &rng, double mean) {
  return -mean * std::log(1 - rng.uniform());
}

/// Draws ranks with probability proportional to rank^-skew.
class ZipfSampler {
public:
  ZipfSampler(std::uint32_t n, double skew) {
    double sum = 0;
    for (std::uint32_t i = 1; i <= n; ++i)
      CumulativeWeights.push_back(sum += std::pow(i, -skew));
  }
  std::uint32_t draw(Random &rng) const {
    const double at = rng.uniform() * CumulativeWeights.back();
    return static_cast<std::uint32_t>(
        std::ranges::lower_bound(CumulativeWeights, at) -
        CumulativeWeights.begin());
  }

private:
  std::vector<double> CumulativeWeights;
};

const KindShare &drawKind(const Deployment &deployment, Random &rng) {
  double at = rng.uniform();
  for (const KindShare &it : deployment.Kinds) {
    at -= it.Share;
    if (at < 0)
      return it;
  }
  return deployment.Kinds.back();
}

KindShare makeKindShare(const char *name, std::uint32_t weight,
                        int windowSeconds, double share, std::uint32_t tokens) {
  return {.Kind = {.Name = KindName(name),
                   .Weight = weight,
                   .Window = std::chrono::seconds(windowSeconds)},
          .Share = share,
          .MeanTokens = tokens};
}

} // namespace

Deployment coralCoast() {
  return {.Name = "coral-coast",
          .Zones = {"suva", "nadi", "lautoka"},
          .Workers = 18,
          .LoadsPerSecond = 4,
          .Engine = {.Slots = 6},
          .Kinds = {makeKindShare("part-lookup", 4, 8, 0.6, 40),
                    makeKindShare("build-notes", 1, 30, 0.4, 150)}};
}

Deployment ammann() {
  return {.Name = "ammann",
          .Zones = {"olten", "aarau", "burgdorf", "langenthal"},
          .Workers = 12,
          .LoadsPerSecond = 3,
          .BetweenZones = std::chrono::microseconds(1200),
          .Engine = {.Slots = 8},
          .Kinds = {makeKindShare("crew-briefing", 8, 6, 0.3, 40),
                    makeKindShare("work-order", 3, 15, 0.5, 100),
                    makeKindShare("hazard-tree", 1, 30, 0.2, 200)}};
}

//===----------------------------------------------------------------------===//
// JSON lines
//===----------------------------------------------------------------------===//

std::string Trace::toLines() const {
  std::string text = Json({{"deployment", Deployment},
                           {"outcomes",
                            {{"answered_in_window", Expected.AnsweredInWindow},
                             {"stall_p95_seconds", Expected.StallP95Seconds}}}})
                         .dump() +
                     "\n";
  for (const TraceRequest &it : Requests)
    text += Json({{"at_us", it.At.count()},
                  {"kind", it.Kind.str()},
                  {"adapter", it.Adapter.str()},
                  {"tokens", it.Tokens},
                  {"prompt", it.Prompt},
                  {"entry", it.Entry}})
                .dump() +
            "\n";
  return text;
}

Trace Trace::fromLines(std::string_view text, Findings &findings) {
  Trace trace;
  std::stringstream lines{std::string(text)};
  std::size_t number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    const Json json = Json::parse(line, nullptr, false);
    try {
      if (number == 1) {
        trace.Deployment = json.at("deployment");
        const Json &outcomes = json.at("outcomes");
        trace.Expected = {outcomes.at("answered_in_window"),
                          outcomes.at("stall_p95_seconds")};
        continue;
      }
      trace.Requests.push_back(
          {Duration(json.at("at_us")), KindName(json.at("kind")),
           AdapterName(json.at("adapter")), json.at("tokens"),
           json.at("prompt"), json.at("entry")});
    } catch (const Json::exception &error) {
      findings.add("line " + std::to_string(number), error.what());
    }
  }
  return trace;
}

//===----------------------------------------------------------------------===//
// The generator
//===----------------------------------------------------------------------===//

Trace generateTrace(const Deployment &deployment, const TraceOptions &options) {
  Random rng(options.Seed);
  const ZipfSampler popularity(deployment.Adapters, deployment.Skew);
  Trace trace{.Deployment = deployment.Name};
  const double sessions =
      options.RequestsPerSecond / deployment.SessionRequests;
  const double length = toSeconds(options.Length);
  double at = 0;
  while ((at += exponential(rng, 1 / sessions)) < length) {
    std::uint32_t rank = popularity.draw(rng);
    const bool shifted = options.ShiftAt > Duration::zero() &&
                         fromSeconds(at) >= options.ShiftAt;
    if (shifted)
      rank = (rank + deployment.Adapters / 2) % deployment.Adapters;
    const KindShare &kind = drawKind(deployment, rng);
    double time = at;
    // The number of requests has a geometric distribution, with a minimum of 1.
    do {
      const double tokens = kind.MeanTokens * (0.5 + rng.uniform());
      trace.Requests.push_back(
          {.At = fromSeconds(time),
           .Kind = kind.Kind.Name,
           .Adapter = AdapterName("adapter-" + std::to_string(rank)),
           .Tokens = static_cast<std::uint32_t>(tokens),
           .Prompt = "context-" + std::to_string(rng.next() % 4),
           .Entry =
               static_cast<std::uint32_t>(rng.next() % deployment.Entries)});
      time += exponential(rng, toSeconds(deployment.SessionPause));
    } while (rng.uniform() > 1 / deployment.SessionRequests);
  }
  std::ranges::sort(trace.Requests);
  std::erase_if(trace.Requests, [&](const TraceRequest &it) {
    return it.At >= options.Length;
  });
  return trace;
}

std::uint64_t minLoads(const Trace &trace, std::size_t slots) {
  const std::size_t n = trace.Requests.size();
  constexpr std::size_t Never = ~std::size_t(0);
  std::vector<std::size_t> next(n, Never);
  std::map<AdapterName, std::size_t> nextUse;
  for (std::size_t i = n; i-- > 0;) {
    const auto [it, isNew] = nextUse.try_emplace(trace.Requests[i].Adapter, i);
    next[i] = isNew ? Never : it->second;
    it->second = i;
  }
  std::map<AdapterName, std::size_t> cached;
  std::set<std::pair<std::size_t, AdapterName>> byNext;
  std::uint64_t loads = 0;
  for (std::size_t i = 0; i < n; ++i) {
    const AdapterName &adapter = trace.Requests[i].Adapter;
    const auto it = cached.find(adapter);
    if (it != cached.end()) {
      byNext.erase({it->second, adapter});
      cached.erase(it);
    } else {
      ++loads;
      if (cached.size() == slots) {
        const auto last = std::prev(byNext.end());
        cached.erase(last->second);
        byNext.erase(last);
      }
    }
    cached.emplace(adapter, next[i]);
    byNext.emplace(next[i], adapter);
  }
  return loads;
}

double capacityOf(const Deployment &deployment) {
  // The loads per request are taken from a long trace, at a rate at which many
  // sessions overlap.
  const Trace trace = generateTrace(
      deployment,
      {.RequestsPerSecond = 40, .Length = std::chrono::minutes(10), .Seed = 7});
  const std::size_t slots =
      std::size_t(deployment.Workers) * deployment.Engine.Slots;
  const double loads = static_cast<double>(minLoads(trace, slots) - slots);
  const double byLoads = deployment.LoadsPerSecond *
                         static_cast<double>(trace.Requests.size()) / loads;
  double tokens = 0;
  for (const KindShare &it : deployment.Kinds)
    tokens += it.Share * it.MeanTokens;
  const FakeEngineOptions &engine = deployment.Engine;
  const auto batch = static_cast<double>(engine.BatchCapacity);
  const double step = toSeconds(engine.StepBase) +
                      batch * toSeconds(engine.StepPerRequest) +
                      engine.Slots * toSeconds(engine.StepPerAdapter);
  const double perRequest = tokens * step / batch + toSeconds(engine.Prefill);
  return std::min(byLoads, deployment.Workers / perRequest);
}

} // namespace pimentofront::testkit
