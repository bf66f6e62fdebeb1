#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testing;

// Guards against a request that is sent again, after its engine broke off, for
// a version of its adapter that has been superseded since it arrived.
TEST_CASE("a request that is sent again asks for the live version",
          "[version-at-resend]") {
  ForwardUnderTest it;
  it.Configuration.Named = 3;
  it.request("flow");
  const auto sent = it.permit();
  it.Configuration.Named = 4;
  it.take<SendToAgent>();
  it.end(sent, BrokenOff);
  const auto asked = it.take<SendToAgent>().back();
  CHECK(std::get<ExecuteRequest>(asked.Content).Key.Version == 4);
}
