//===- ScenarioMain.cpp - Runs scenarios ------------------------*- C++ -*-===//

#include "pimentofront/Testkit.h"

#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>

using namespace pimentofront::testkit;

namespace {

bool report(const std::string &name, const ScenarioResult &result,
            bool verbose) {
  if (verbose)
    std::fputs(result.RunLog.c_str(), stdout);
  std::fputs(result.Errors.toText().c_str(), stdout);
  for (const std::string &it : result.Violations)
    std::printf("%s: invariant violated: %s\n", name.c_str(), it.c_str());
  return result.passed();
}

/// Runs \p count random scenarios with seeds from \p first on, and stops at the
/// first one that fails.
int runRandom(std::uint64_t first, std::uint64_t count) {
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::string text = randomScenario(seed);
    if (report("seed " + std::to_string(seed),
               Scenario(seed).run("random", text), count == 1))
      continue;
    std::printf("seed %llu failed; pimentofront-scenario --print %llu shows "
                "its text\n",
                static_cast<unsigned long long>(seed),
                static_cast<unsigned long long>(seed));
    return 1;
  }
  std::printf("%llu random scenarios passed\n",
              static_cast<unsigned long long>(count));
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  if (argc == 4 && std::strcmp(argv[1], "--random") == 0)
    return runRandom(std::strtoull(argv[2], nullptr, 10),
                     std::strtoull(argv[3], nullptr, 10));
  if (argc == 3 && std::strcmp(argv[1], "--print") == 0) {
    std::fputs(randomScenario(std::strtoull(argv[2], nullptr, 10)).c_str(),
               stdout);
    return 0;
  }
  if (argc < 2) {
    std::fputs("Usage: pimentofront-scenario FILE...\n"
               "       pimentofront-scenario --random FIRST-SEED COUNT\n"
               "       pimentofront-scenario --print SEED\n",
               stderr);
    return 2;
  }
  bool passed = true;
  for (int i = 1; i < argc; ++i) {
    std::stringstream text;
    text << std::ifstream(argv[i]).rdbuf();
    passed =
        report(argv[i], Scenario().run(argv[i], text.str()), true) && passed;
  }
  return passed ? 0 : 1;
}
