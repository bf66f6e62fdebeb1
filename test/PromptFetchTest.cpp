#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testing;

namespace {

std::vector<TriedHost> triedHosts() {
  return {{.Host = HostName("a1"),
           .Reason = RefusalReason::Busy,
           .CachedTokens = 6300},
          {.Host = HostName("a2"),
           .Reason = RefusalReason::NotResident,
           .CachedTokens = 0}};
}

} // namespace

TEST_CASE("parts are fetched from the busy engine that has most of the prompt",
          "[prompt-fetch]") {
  const PromptFetch fetch({.Enabled = true});
  const auto tried = triedHosts();
  const TriedHost *source = fetch.chooseSource(tried, 0);
  REQUIRE(source);
  CHECK(source->Host == HostName("a1"));
}

TEST_CASE("parts aren't fetched if the chosen engine has nearly as many",
          "[prompt-fetch]") {
  const PromptFetch fetch({.Enabled = true, .MinTokens = 1024});
  CHECK(fetch.chooseSource(triedHosts(), 6300 - 1024));
  CHECK_FALSE(fetch.chooseSource(triedHosts(), 6300 - 1023));
  CHECK_FALSE(fetch.chooseSource(triedHosts(), 9000));
  CHECK_FALSE(fetch.chooseSource({}, 0));
}

TEST_CASE("parts aren't fetched unless the settings ask for it",
          "[prompt-fetch]") {
  CHECK_FALSE(PromptFetch({}).chooseSource(triedHosts(), 0));
}
