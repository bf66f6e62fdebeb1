//===- RandomScenario.cpp - Random fault schedules --------------*- C++ -*-===//

#include "pimentofront/Testkit.h"

#include <sstream>

namespace pimentofront::testkit {
namespace {

using Words = std::vector<std::string>;

} // namespace

std::string randomScenario(std::uint64_t seed) {
  Random rng(seed);
  const auto pick = [&](const Words &from) {
    return from[rng.next() % from.size()];
  };
  std::stringstream text;
  text << "0 entry+replica n1 suva\n0 entry+replica n2 nadi\n"
          "0 replica n3 lautoka\n"
          "0 agent w1 suva services=stock\n0 agent w2 nadi services=stock\n"
          "0 agent w3 lautoka\n"
          "0.5 bootstrap n1\n3 kind usual via n1\n";
  for (const char *it : {"a", "b", "c", "d", "e"})
    text << "3.5 adapter " << it << " via n1\n";
  const Words all = {"n1", "n2", "n3", "w1", "w2", "w3"};
  const Words replicas = {"n1", "n2", "n3"};
  const Words agents = {"w1", "w2", "w3"};
  const Words entries = {"n1", "n2"};
  constexpr double Begin = 5;
  constexpr double FaultPeriod = 25;
  for (int i = 0; i < 120; ++i) {
    const double at = Begin + FaultPeriod * rng.uniform();
    text << at << " request q" << i << " " << pick({"a", "b", "c", "d", "e"})
         << " via " << pick(entries) << " tokens=" << 5 + rng.next() % 60
         << " timeout=8\n";
  }
  for (int i = 0; i < 30; ++i) {
    const double at = Begin + FaultPeriod * rng.uniform();
    text << at << " order o" << i << " via " << pick(entries) << "\n";
    text << at + 3 * rng.uniform() << " order o" << i << " via "
         << pick(entries) << "\n";
  }
  for (int i = 0; i < 12; ++i) {
    const double at = Begin + FaultPeriod * rng.uniform();
    text << at << " version a " << 2 + i / 3 << " via " << pick(entries)
         << "\n";
    text << at + 1 << " live a " << 1 + rng.next() % 5 << " via "
         << pick(entries) << "\n";
  }
  // At most one disk is lost: losing a second one before the group has
  // recovered from the first can lose accepted changes.
  bool diskLost = false;
  for (double at = Begin; at < Begin + FaultPeriod;
       at += 2 + 3 * rng.uniform()) {
    const std::string victim = pick(all);
    const double back = at + 0.3 + 4 * rng.uniform();
    switch (rng.next() % 7) {
    case 0:
      text << at << " kill " << victim << "\n"
           << back << " start " << victim << "\n";
      break;
    case 1:
      text << at << " freeze " << victim << "\n"
           << back << " wake " << victim << "\n";
      break;
    case 2:
      text << at << " isolate " << victim << "\n" << back << " heal\n";
      break;
    case 3:
      text << at << " cut " << pick(all) << " " << pick(all) << " one-way\n"
           << back << " heal\n";
      break;
    case 4:
      text << at << " engine-restart " << pick(agents) << "\n";
      break;
    case 5:
      text << at << " kill-leader\n";
      for (const std::string &it : replicas)
        text << back << " start " << it << "\n";
      break;
    default:
      if (std::exchange(diskLost, true))
        break;
      text << at << " lose-disk " << pick(replicas) << "\n";
      for (const std::string &it : replicas)
        text << at + 0.5 << " start " << it << "\n";
      break;
    }
  }
  // All faults end; every process must recover and serve again.
  text << "36 heal\n";
  for (const std::string &it : all)
    text << "36 wake " << it << "\n36 start " << it << "\n";
  text << "55 request last b via n1 tokens=5\n"
          "58 expect leader\n58 expect in-force\n58 expect answered last\n";
  return text.str();
}

} // namespace pimentofront::testkit
