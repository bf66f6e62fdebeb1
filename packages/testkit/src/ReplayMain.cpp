//===- ReplayMain.cpp - Compares policies by replay -------------*- C++ -*-===//

#include "pimentofront/Testkit.h"

#include <algorithm>
#include <cstdio>
#include <getopt.h>
#include <sstream>
#include <thread>

using namespace pimentofront;
using namespace pimentofront::testkit;

namespace {

/// One run: a policy on a deployment at a load (percent of its capacity) with a
/// fault and a seed.
struct Cell {
  Deployment Cluster;
  PolicySpec Policy;
  double Load = 0;
  ReplayFault Fault = ReplayFault::None;
  std::uint64_t Seed = 0;
  ReplayResult Result;
};

std::vector<std::string> splitList(const std::string &text) {
  std::vector<std::string> words;
  std::stringstream stream(text);
  for (std::string word; std::getline(stream, word, ',');)
    words.push_back(word);
  return words;
}

struct Arguments {
  std::vector<std::string> Policies;
  std::vector<std::string> Deployments = {"coral-coast", "ammann"};
  std::vector<std::string> Loads = {"70", "90"};
  std::vector<std::string> Faults = {"none"};
  std::uint64_t Seeds = 3;
  int Minutes = 5;
  unsigned Threads = 4;
  bool ByKind = false;
  /// Mean number of requests in a session.
  double Session = 3;
  /// A policy with modified options, run in addition to those of the list.
  std::optional<PolicySpec> Trial;
};

void runCell(Cell &cell, const Arguments &arguments) {
  const Duration length = std::chrono::minutes(arguments.Minutes);
  const bool shift = cell.Fault == ReplayFault::Shift;
  const Trace trace = generateTrace(
      cell.Cluster,
      {.RequestsPerSecond = cell.Load / 100 * capacityOf(cell.Cluster),
       .Length = length,
       .Seed = cell.Seed,
       .ShiftAt = shift ? length / 2 : Duration::zero()});
  cell.Result = replay(cell.Cluster, cell.Policy, trace, cell.Fault, cell.Seed);
}

/// Runs the cells on several threads. Replays share no state.
void runAll(std::vector<Cell> &cells, const Arguments &arguments) {
  std::vector<std::jthread> threads;
  for (unsigned t = 0; t < arguments.Threads; ++t)
    threads.emplace_back([&, t] {
      for (std::size_t i = t; i < cells.size(); i += arguments.Threads)
        runCell(cells[i], arguments);
    });
}

/// Mean, minimum and maximum over the seeds.
struct SeedStatistics {
  double Min = 1e18;
  double Max = -1e18;
  double Sum = 0;
  int Count = 0;
  void add(double value) {
    Min = std::min(Min, value);
    Max = std::max(Max, value);
    Sum += value;
    ++Count;
  }
  double mean() const { return Count ? Sum / Count : 0; }
};

void printRow(const std::vector<const Cell *> &cells) {
  SeedStatistics stall, p95, p99, efficiency, inWindow, refused, other, loads,
      minimumLoads, refusal;
  std::size_t violations = 0;
  for (const Cell *it : cells) {
    const ReplayResult &result = it->Result;
    const auto sent = static_cast<double>(result.Sent);
    stall.add(result.StallTotal);
    p95.add(result.StallP95);
    p99.add(result.StallP99);
    efficiency.add(100 * result.BatchEfficiency);
    inWindow.add(100 * static_cast<double>(result.InWindow) / sent);
    refused.add(100 * static_cast<double>(result.Refused) / sent);
    other.add(100 * static_cast<double>(result.Other) / sent);
    loads.add(static_cast<double>(result.Loads));
    minimumLoads.add(static_cast<double>(result.MinLoads));
    refusal.add(result.RefusalP99);
    violations += result.Violations.size();
  }
  const Cell &cell = *cells.front();
  std::printf(
      "%-14s %-11s %4.0f%% %-12s %8.1f [%.1f-%.1f] %6.2f %6.2f %6.2f "
      "[%.2f-%.2f] %6.2f [%.2f-%.2f] %6.2f %5.2f %6.0f /%5.0f %6.3f %s\n",
      cell.Policy.Name.c_str(), cell.Cluster.Name.c_str(), cell.Load,
      nameOf(cell.Fault), stall.mean(), stall.Min, stall.Max, p95.mean(),
      p99.mean(), efficiency.mean(), efficiency.Min, efficiency.Max,
      inWindow.mean(), inWindow.Min, inWindow.Max, refused.mean(), other.mean(),
      loads.mean(), minimumLoads.mean(), refusal.mean(),
      violations ? (std::to_string(violations) + " VIOLATIONS: " +
                    [&] {
                      for (const Cell *it : cells)
                        if (!it->Result.Violations.empty())
                          return it->Result.Violations.front();
                      return std::string();
                    }())
                       .c_str()
                 : "");
}

void printKinds(const std::vector<const Cell *> &cells) {
  for (const auto &[kind, first] : cells.front()->Result.Kinds) {
    SeedStatistics stall, p95, p99, inWindow;
    for (const Cell *it : cells) {
      const KindResult &result = it->Result.Kinds.at(kind);
      stall.add(result.StallTotal);
      p95.add(result.StallP95);
      p99.add(result.StallP99);
      inWindow.add(100 * static_cast<double>(result.InWindow) /
                   static_cast<double>(result.Sent));
    }
    std::printf("    %-16s stall %8.1f p95 %6.2f p99 %6.2f in window %6.2f%%\n",
                kind.str().c_str(), stall.mean(), p95.mean(), p99.mean(),
                inWindow.mean());
  }
  if (cells.front()->Fault == ReplayFault::None)
    return;
  std::printf("    stall by tenth of the time:");
  for (std::size_t i = 0; i < 10; ++i) {
    SeedStatistics tenth;
    for (const Cell *it : cells)
      tenth.add(it->Result.StallByTenth[i]);
    std::printf(" %.0f", tenth.mean());
  }
  std::printf("\n");
}

/// Sets one option of the policy "trial" from a text "name=value".
/// \returns false if there is no such option.
bool setOption(PolicySpec &policy, const std::string &text) {
  const std::size_t separator = text.find('=');
  if (separator == std::string::npos)
    return false;
  const std::string key = text.substr(0, separator);
  const double value = std::stod(text.substr(separator + 1));
  if (key == "choices")
    policy.Affinity.Choices = static_cast<std::uint32_t>(value);
  else if (key == "packing")
    policy.Affinity.PackingWeight = value;
  else if (key == "half-life")
    policy.Popularity.HalfLife = fromSeconds(value);
  else if (key == "stall-share")
    policy.StallShare = value;
  else if (key == "company")
    policy.BatchingShare = value;
  else if (key == "session-half-life")
    policy.Popularity.SessionHalfLife = fromSeconds(value);
  else if (key == "spill")
    policy.SpillDelay = fromSeconds(value);
  else
    return false;
  return true;
}

std::vector<PolicySpec> policies(const Arguments &arguments) {
  std::vector<PolicySpec> all = allPolicies();
  if (arguments.Trial)
    all.push_back(*arguments.Trial);
  return all;
}

std::vector<Cell> makeCells(const Arguments &arguments) {
  constexpr ReplayFault Faults[] = {ReplayFault::None, ReplayFault::ColdThird,
                                    ReplayFault::Shift, ReplayFault::LeaderLost,
                                    ReplayFault::BadAdapters};
  std::vector<Cell> cells;
  std::vector<Deployment> clusters = {coralCoast(), ammann()};
  for (Deployment &it : clusters)
    it.SessionRequests = arguments.Session;
  for (const Deployment &cluster : clusters)
    for (const std::string &load : arguments.Loads)
      for (const ReplayFault fault : Faults)
        for (const PolicySpec &policy : policies(arguments))
          for (std::uint64_t seed = 1; seed <= arguments.Seeds; ++seed) {
            const auto in = [](const auto &list, const std::string &it) {
              return std::ranges::find(list, it) != list.end();
            };
            if (!in(arguments.Deployments, cluster.Name) ||
                !in(arguments.Faults, nameOf(fault)) ||
                (!arguments.Policies.empty() &&
                 !in(arguments.Policies, policy.Name)))
              continue;
            cells.push_back({.Cluster = cluster,
                             .Policy = policy,
                             .Load = std::stod(load),
                             .Fault = fault,
                             .Seed = seed});
          }
  return cells;
}

} // namespace

int main(int argc, char **argv) {
  const option options[] = {{"policies", required_argument, nullptr, 'p'},
                            {"deployments", required_argument, nullptr, 'd'},
                            {"loads", required_argument, nullptr, 'l'},
                            {"faults", required_argument, nullptr, 'f'},
                            {"seeds", required_argument, nullptr, 's'},
                            {"minutes", required_argument, nullptr, 'm'},
                            {"threads", required_argument, nullptr, 't'},
                            {"by-kind", no_argument, nullptr, 'k'},
                            {"session", required_argument, nullptr, 'e'},
                            {"set", required_argument, nullptr, 'x'},
                            {nullptr, 0, nullptr, 0}};
  Arguments arguments;
  int c = 0;
  while ((c = getopt_long(argc, argv, "p:d:l:f:s:m:t:kx:e:", options,
                          nullptr)) != -1) {
    switch (c) {
    case 'p':
      arguments.Policies = splitList(optarg);
      break;
    case 'd':
      arguments.Deployments = splitList(optarg);
      break;
    case 'l':
      arguments.Loads = splitList(optarg);
      break;
    case 'f':
      arguments.Faults = splitList(optarg);
      break;
    case 's':
      arguments.Seeds = std::strtoull(optarg, nullptr, 10);
      break;
    case 'm':
      arguments.Minutes = std::atoi(optarg);
      break;
    case 't':
      arguments.Threads = static_cast<unsigned>(std::atoi(optarg));
      break;
    case 'k':
      arguments.ByKind = true;
      break;
    case 'e':
      arguments.Session = std::atof(optarg);
      break;
    case 'x': {
      // The newest policy with modified options.
      PolicySpec trial = allPolicies().back();
      trial.Name = "trial";
      for (const std::string &it : splitList(optarg))
        if (!setOption(trial, it))
          return 2;
      arguments.Trial = trial;
      break;
    }
    default:
      return 2;
    }
  }
  std::vector<Cell> cells = makeCells(arguments);
  runAll(cells, arguments);
  std::printf("capacity: coral-coast %.1f, ammann %.1f requests a second\n",
              capacityOf(coralCoast()), capacityOf(ammann()));
  std::printf("policy         deployment  load fault        stall s [spread]   "
              "p95    p99    batch%% [spread]  in-window%% [spread] refused%% "
              "other%% loads/fewest refusal-p99\n");
  for (std::size_t i = 0; i < cells.size(); i += arguments.Seeds) {
    std::vector<const Cell *> row;
    for (std::size_t j = i; j < i + arguments.Seeds; ++j)
      row.push_back(&cells[j]);
    printRow(row);
    if (arguments.ByKind)
      printKinds(row);
  }
  return std::ranges::all_of(
             cells, [](const Cell &it) { return it.Result.Violations.empty(); })
             ? 0
             : 1;
}
