#include "Metrics.h"

#include <catch2/catch.hpp>

using namespace pimentofront;

// Guards against a fleet on which nobody can see that one service, or the
// routes that were added to it, are served less than the others.
TEST_CASE("metrics count forwarded requests by service, outcome and age of "
          "their route") {
  Metrics metrics;
  const ForwardEvent refused{.Name = "request_lost",
                             .RouteAdded = true,
                             .Service = ServiceName("plain"),
                             .Reason = "declined",
                             .Lost = true,
                             .Outcome = RequestOutcome::Refused,
                             .Denial = RetryDenial::Budget};
  metrics.recordForwardEvent(refused);
  metrics.recordForwardEvent(refused);
  metrics.recordForwardEvent({.Name = "attempt_not_run",
                              .Service = ServiceName("plain"),
                              .RoomAtDecline = ReportedRoom::FreeSlots});
  const std::string text = metrics.text();
  const auto contains = [&](const char *line) {
    return text.find(line) != std::string::npos;
  };
  CHECK(contains("pimentofront_forward_requests_total{outcome=\"refused\","
                 "route=\"added\",service=\"plain\"} 2"));
  CHECK(contains("pimentofront_forward_declines_total{reported=\"free\","
                 "service=\"plain\"} 1"));
  CHECK(contains("pimentofront_forward_retries_denied_total{reason=\"budget\","
                 "service=\"plain\"} 2"));
}

// Guards against a fleet on which nobody can see whether a plain service is
// short of servers or an entry doesn't use those that there are.
TEST_CASE("metrics tell how many servers of a plain service are in use") {
  Metrics metrics;
  Gauges gauges;
  gauges.PlainServers[ServiceName("plain")] = {
      .Registered = 3, .Open = 1, .Leaving = 2, .Full = 1};
  metrics.set(gauges);
  const std::string text = metrics.text();
  CHECK(text.find("pimentofront_plain_servers{service=\"plain\","
                  "state=\"leaving\"} 2") != std::string::npos);
  CHECK(text.find("pimentofront_plain_servers{service=\"plain\","
                  "state=\"full\"} 1") != std::string::npos);
}

TEST_CASE("metrics tell who was displaced, in a bounded number of accounts") {
  Metrics metrics;
  for (int i = 0; i < 1000; ++i)
    metrics.recordAgentEvent(
        {.Result = AgentEvent::Outcome::Displaced,
         .Urgency = 2,
         .Account = AccountName("account" + std::to_string(i)),
         .Reason = RefusalReason::Displaced});
  const std::string text = metrics.text();
  CHECK(text.find("pimentofront_queue_outcomes_total{account=\"account0\","
                  "outcome=\"displaced\",reason=\"displaced\",urgency=\"2\"} "
                  "1") != std::string::npos);
  CHECK(text.find("{account=\"other\",") != std::string::npos);
  CHECK(text.find("account999") == std::string::npos);
}

// Guards against pauses and choices of engines that nobody can see.
TEST_CASE("metrics count why engines were chosen and which streams paused too "
          "long") {
  Metrics metrics;
  metrics.recordForwardEvent({.Name = "answer_began",
                              .Route = "chat",
                              .Service = ServiceName("drafts"),
                              .Choice = RouteReason::OtherShape,
                              .ShapeEngines = 12});
  metrics.recordForwardEvent({.Name = "request_answered",
                              .Route = "chat",
                              .Service = ServiceName("drafts"),
                              .LongestPause = std::chrono::milliseconds(500),
                              .OverPause = true});
  const std::string text = metrics.text();
  const auto contains = [&](const char *line) {
    return text.find(line) != std::string::npos;
  };
  CHECK(contains("pimentofront_engine_choices_total{service=\"drafts\","
                 "why=\"other_shape\"} 1"));
  CHECK(contains("pimentofront_shape_engines{route=\"chat\"} 12"));
  CHECK(contains("pimentofront_streams_over_pause_total{route=\"chat\"} 1"));
}
