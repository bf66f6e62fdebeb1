#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

constexpr WeightsVersion Weights{.Model = 1, .Adapter = 1};

std::vector<TriedHost> triedHosts() {
  return {{.Host = HostName("a1"),
           .Reason = RefusalReason::Busy,
           .CachedTokens = 6300,
           .Weights = Weights},
          {.Host = HostName("a2"),
           .Reason = RefusalReason::NotResident,
           .CachedTokens = 0,
           .Weights = Weights}};
}

} // namespace

TEST_CASE("parts are fetched from the busy engine that has most of the prompt",
          "[prompt-fetch]") {
  const PromptFetch fetch({.Enabled = true});
  const auto tried = triedHosts();
  const TriedHost *source = fetch.chooseSource(tried, 0, Weights);
  REQUIRE(source);
  CHECK(source->Host == HostName("a1"));
}

TEST_CASE("parts aren't fetched if the chosen engine has nearly as many",
          "[prompt-fetch]") {
  const PromptFetch fetch({.Enabled = true, .MinTokens = 1024});
  CHECK(fetch.chooseSource(triedHosts(), 6300 - 1024, Weights));
  CHECK_FALSE(fetch.chooseSource(triedHosts(), 6300 - 1023, Weights));
  CHECK_FALSE(fetch.chooseSource(triedHosts(), 9000, Weights));
  CHECK_FALSE(fetch.chooseSource({}, 0, Weights));
}

TEST_CASE("parts aren't fetched unless the settings ask for it",
          "[prompt-fetch]") {
  CHECK_FALSE(PromptFetch({}).chooseSource(triedHosts(), 0, Weights));
}

TEST_CASE("parts are fetched from the host with the same weights that has most",
          "[prompt-fetch]") {
  auto tried = triedHosts();
  tried.push_back({.Host = HostName("a3"),
                   .CachedTokens = 9000,
                   .Weights = {.Model = 2, .Adapter = 1}});
  const TriedHost *source =
      PromptFetch({.Enabled = true}).chooseSource(tried, 0, Weights);
  REQUIRE(source);
  CHECK(source->Host == HostName("a1"));
}
