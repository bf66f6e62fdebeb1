#include "pimentofront/Testkit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace pimentofront::testkit;
namespace fs = std::filesystem;

namespace {

std::string readFile(const fs::path &path) {
  std::stringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

void check(const ScenarioResult &result) {
  INFO(result.RunLog);
  for (const pimentofront::Finding &it : result.Errors.items())
    FAIL_CHECK(it.Location << ": " << it.Message);
  for (const std::string &it : result.Violations)
    FAIL_CHECK("invariant violated: " << it);
}

} // namespace

TEST_CASE("the scenarios by name") {
  // All scenarios start with the deployment in deployment.begin.
  const std::string begin =
      readFile(fs::path(SCENARIO_FOLDER) / "deployment.begin");
  std::vector<fs::path> files;
  for (const auto &it : fs::directory_iterator(SCENARIO_FOLDER))
    if (it.path().extension() == ".scenario")
      files.push_back(it.path());
  std::sort(files.begin(), files.end());
  REQUIRE(files.size() > 10);
  for (const fs::path &it : files) {
    INFO(it.filename().string());
    check(Scenario().run(it.filename().string(), begin + readFile(it)));
  }
}

TEST_CASE("random schedules of faults with fixed seeds") {
  constexpr std::uint64_t Seeds = 200;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    INFO("seed " << seed);
    check(Scenario(seed).run("random", randomScenario(seed)));
  }
}

TEST_CASE("errors in the text of a scenario are reported by line") {
  const ScenarioResult result =
      Scenario().run("f", "0 dance\n1\n2 kill nobody\n");
  CHECK(result.Errors.toText().find("f:1: dance: unknown action") !=
        std::string::npos);
  CHECK(result.Errors.items().size() == 3);
}
