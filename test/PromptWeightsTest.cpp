#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

constexpr WeightsVersion OldModel{.Model = 1, .Adapter = 1};
constexpr WeightsVersion NewModel{.Model = 4, .Adapter = 1};
constexpr WeightsVersion NewAdapter{.Model = 1, .Adapter = 4};
constexpr WeightsVersion Unknown;
constexpr std::uint32_t PromptTokens = 6300;

/// \returns the address from which the chosen engine is told to fetch, after
/// the engine of another agent, which has \p cached, was too busy; empty for
/// none.
std::string fetchedFrom(const WeightsVersion &cached,
                        const WeightsVersion &chosen) {
  ForwardUnderTest it(true, {.Fetch = {.Enabled = true}});
  it.request("flow");
  it.refuseBusy(it.only<SendToAgent>(), PromptTokens, cached);
  return it.fetchOf(it.permit(chosen));
}

/// An agent whose engine holds adapter "a", ordered without a version.
struct AgentWithEngine {
  AgentWithEngine()
      : Controller({.Host = HostName("w"),
                    .Incarnation = 1,
                    .BaseModel = "engines",
                    .Slots = 2,
                    .BatchCapacity = 1,
                    .BatchingShare = 0},
                   Eviction, Gate) {
    Controller.onEngineFound(Now - 10s, {key()}, true);
    Controller.onEngineFound(Now - 5s, {key()}, true);
  }

  static AdapterKey key() { return {AdapterName("m/a"), 0}; }

  /// The engine reports what it has loaded.
  void report(VersionNumber model, std::optional<VersionNumber> adapter) {
    EngineReport report{.Models = {{"m", model}}};
    if (adapter)
      report.Adapters = {{key().Adapter, *adapter}};
    Controller.onWeights("m", report);
  }
  ExecuteRequest request(std::uint64_t n) const {
    return {.Attempt = {1, n},
            .Request = RequestId(std::to_string(n)),
            .Kind = KindName("k"),
            .Remaining = 30s,
            .Key = key(),
            .BaseModel = "engines",
            .Parts = {{.Id = 1, .Tokens = PromptTokens}}};
  }
  /// Serves a request.
  /// \returns how many prompt tokens the engine had to read for it.
  std::uint32_t serve(std::uint64_t n) {
    Controller.onExecute(Now, 7, request(n));
    std::optional<std::uint32_t> read;
    for (const AgentCommand &it : Controller.takeCommands())
      if (const auto *start = std::get_if<StartGeneration>(&it))
        read = start->UncachedTokens;
    REQUIRE(read);
    Controller.onWorkEnded(Now, {1, n}, AttemptEnding::Answered, "");
    return *read;
  }
  /// \returns the refusal of a request for which the agent is too busy.
  AttemptRefused refuse(std::uint64_t n) {
    ExecuteRequest it = request(n);
    it.FirstEventWithin = 1us;
    Controller.onExecute(Now, 7, it);
    for (const AgentCommand &command : Controller.takeCommands())
      if (const auto *to = std::get_if<SendToEntry>(&command))
        if (const auto *refused = std::get_if<AttemptRefused>(&to->Content))
          return *refused;
    FAIL("the request wasn't refused");
    return {};
  }

  LeastPopular Eviction;
  UncoordinatedLoads Gate;
  AgentController Controller;
};

} // namespace

// Guards against answers from prompt parts that were cached with other weights:
// an engine that started later has a newer base model than the one it fetches
// from.
TEST_CASE("prompt parts aren't fetched from an engine with another base model",
          "[prompt-weights]") {
  CHECK(fetchedFrom(OldModel, NewModel).empty());
  CHECK(fetchedFrom(NewModel, OldModel).empty());
}

// The same with two versions of an adapter for which the configuration names
// none, so that both engines have it under one key.
TEST_CASE("prompt parts aren't fetched from an engine with another version of "
          "the adapter",
          "[prompt-weights]") {
  CHECK(fetchedFrom(OldModel, NewAdapter).empty());
  CHECK(fetchedFrom(NewAdapter, OldModel).empty());
}

// The same with a process of an earlier release, which doesn't state weights.
TEST_CASE("prompt parts aren't fetched unless both engines' weights are known",
          "[prompt-weights]") {
  CHECK(fetchedFrom(Unknown, Unknown).empty());
  CHECK(fetchedFrom(Unknown, OldModel).empty());
  CHECK(fetchedFrom(OldModel, Unknown).empty());
}

TEST_CASE("prompt parts are fetched from an engine with the same weights",
          "[prompt-weights]") {
  CHECK_FALSE(fetchedFrom(OldModel, OldModel).empty());
  CHECK_FALSE(fetchedFrom(NewAdapter, NewAdapter).empty());
}

// Guards against parts of a new version that the source reads between its
// agent's answer and the fetch: its adapter is about to be replaced.
TEST_CASE("prompt parts aren't fetched for a version that has been superseded",
          "[prompt-weights]") {
  ForwardUnderTest it(true, {.Fetch = {.Enabled = true}});
  it.Configuration.Named = 3;
  const WeightsVersion superseded{.Model = 1, .Adapter = 3};
  it.request("flow");
  const auto asked = it.only<SendToAgent>();
  it.refuseBusy(asked, PromptTokens, superseded);
  SECTION("since the request was resolved") {
    it.Configuration.Named = 4;
    const auto second = it.only<SendToAgent>();
    it.Controller.attempts().onPermit(
        Now, second.Host,
        {.Attempt = std::get<ExecuteRequest>(second.Content).Attempt,
         .Weights = superseded});
    // The permit is returned, and the new version asked for.
    CHECK(it.take<SendUpstream>().empty());
    const auto again = it.take<SendToAgent>();
    REQUIRE(again.size() == 2);
    CHECK(std::get<AttemptReleased>(again[0].Content).Kind ==
          ReleaseKind::NotRun);
    const auto execute = std::get<ExecuteRequest>(again[1].Content);
    CHECK(execute.Key.Version == 4);
    it.Controller.attempts().onPermit(
        Now, again[1].Host,
        {.Attempt = execute.Attempt, .Weights = superseded});
    CHECK(it.fetchOf(it.only<SendUpstream>()).empty());
  }
  SECTION("not at all") {
    CHECK_FALSE(it.fetchOf(it.permit(superseded)).empty());
  }
}

// Guards against a fetch from another process than the one that has the parts.
TEST_CASE("prompt parts aren't fetched from an engine that has restarted since",
          "[prompt-weights]") {
  ForwardUnderTest it(true, {.Fetch = {.Enabled = true}});
  it.request("flow");
  const auto asked = it.only<SendToAgent>();
  it.refuseBusy(asked, PromptTokens, OldModel);
  const bool first = asked.Host == HostName("a1");
  MemberRecord restarted =
      server("e3", "engines", first ? "1.0.0.3:80" : "1.0.0.4:80");
  it.Controller.onMembers(Now, {.Members = {restarted}});
  CHECK(it.fetchOf(it.permit(OldModel)).empty());
}

// Guards against an estimate that counts parts which the engine cached with
// weights that it has replaced since, under the same key.
TEST_CASE("what an engine cached with other weights doesn't count as cached",
          "[prompt-weights]") {
  AgentWithEngine agent;
  agent.report(1, 1);
  REQUIRE(agent.serve(1) == PromptTokens);
  REQUIRE(agent.refuse(2).CachedTokens == PromptTokens);
  const auto [model, adapter] =
      GENERATE(std::pair<VersionNumber, VersionNumber>{4, 1},
               std::pair<VersionNumber, VersionNumber>{1, 4});
  agent.report(model, adapter);
  const AttemptRefused refused = agent.refuse(3);
  CHECK(refused.CachedTokens == 0);
  CHECK(refused.Weights == WeightsVersion{model, adapter});
  CHECK(agent.serve(4) == PromptTokens);
  CHECK(agent.serve(5) == 0);
}

// Guards against a fetch from an engine that dropped the parts together with
// the adapter, or loads another version of it next.
TEST_CASE("an engine without the adapter has nothing cached for it",
          "[prompt-weights]") {
  AgentWithEngine agent;
  agent.report(1, 1);
  REQUIRE(agent.serve(1) == PromptTokens);
  agent.report(1, std::nullopt);
  const AttemptRefused refused = agent.refuse(2);
  CHECK(refused.CachedTokens == 0);
  CHECK_FALSE(refused.Weights.isKnown());
}
