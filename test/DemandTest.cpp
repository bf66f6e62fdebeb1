#include "pimentofront/Forward.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

const RouteSpec AssistRoute{
    .Name = "assist", .PauseTarget = 400ms, .Priority = 2};

} // namespace

TEST_CASE("a demand holds the sizes, the pause and the account's urgency") {
  const ClientAccount account{
      .Name = AccountName("a"), .Priority = 1, .Limit = {.PerSecond = 250}};
  ForwardRequest request{.Route = &AssistRoute, .Account = &account};
  request.Traits = {.PromptTokens = 800,
                    .MaxOutputTokens = 500,
                    .HasTokenCounts = true,
                    .ExpectedOutputTokens = 90};
  CHECK(demandOf(request) == RequestDemand{.Urgency = 1,
                                           .Account = AccountName("a"),
                                           .AccountShare = 250,
                                           .PromptTokens = 800,
                                           .OutputTokens = 90,
                                           .PauseTarget = 400ms});
}

TEST_CASE(
    "a demand without an account, counts or estimate uses what there is") {
  ForwardRequest request{.Route = &AssistRoute};
  request.Traits = {.MaxOutputTokens = 500, .Parts = {{1, 300}, {2, 40}}};
  const RequestDemand demand = demandOf(request);
  CHECK(demand.Urgency == 2);
  CHECK(demand.Account.empty());
  CHECK(demand.AccountShare == 1);
  CHECK(demand.PromptTokens == 340);
  CHECK(demand.OutputTokens == 500);
}

TEST_CASE("an account without a limit has the smallest share") {
  const ClientAccount account{.Name = AccountName("a")};
  ForwardRequest request{.Route = &AssistRoute, .Account = &account};
  CHECK(demandOf(request).AccountShare == 1);
}
