#include "Metrics.h"

#include <set>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <set>

namespace pimentofront {
namespace {

const prometheus::Histogram::BucketBoundaries StallBuckets = {
    0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32};

/// \class LabelLimiter
/// \brief Bounds the number of values of a label: what comes after the first
/// MaxValues is counted as "other".
class LabelLimiter {
public:
  static constexpr std::size_t MaxValues = 32;

  std::string limit(const std::string &value) {
    if (value.empty())
      return "-";
    if (Known.contains(value))
      return value;
    if (Known.size() >= MaxValues)
      return "other";
    return *Known.insert(value).first;
  }

private:
  std::set<std::string> Known;
};

/// Label of an urgency; document and callers may name any number.
std::string urgencyLabel(std::uint32_t urgency) {
  constexpr std::uint32_t MaxUrgency = 7;
  return urgency <= MaxUrgency ? std::to_string(urgency) : "other";
}

} // namespace

const char *finalKindName(FinalKind kind) {
  constexpr const char *Names[] = {"answered", "refused", "unknown",
                                   "timed_out", "failed"};
  return Names[static_cast<std::size_t>(kind)];
}

struct Metrics::Impl {
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &FinalAnswers =
      prometheus::BuildCounter()
          .Name("pimentofront_requests_total")
          .Help("Final answers, by request kind and by answer")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Refusals =
      prometheus::BuildCounter()
          .Name("pimentofront_refusals_total")
          .Help("Requests refused without being run, by reason")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &AttemptCounts =
      prometheus::BuildCounter()
          .Name("pimentofront_attempts_total")
          .Help("Attempts to run a request on a host, over all requests")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &Stalls =
      prometheus::BuildHistogram()
          .Name("pimentofront_load_stall_seconds")
          .Help("Time that an answered request waited for its adapter to load")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &Latencies =
      prometheus::BuildHistogram()
          .Name("pimentofront_request_seconds")
          .Help("Time from arrival to final answer, for answered requests")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Loads =
      prometheus::BuildCounter()
          .Name("pimentofront_loads_total")
          .Help("Adapter loads, by result")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Forwarded =
      prometheus::BuildCounter()
          .Name("pimentofront_forward_events_total")
          .Help("Decisions on forwarded requests, by event")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Lost =
      prometheus::BuildCounter()
          .Name("pimentofront_forward_lost_total")
          .Help("Forwarded requests without an answer of a backend server, by "
                "reason")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &ForwardRequests =
      prometheus::BuildCounter()
          .Name("pimentofront_forward_requests_total")
          .Help("Forwarded requests that have ended, by service, by outcome, "
                "and by whether their route was added after this process "
                "received its first routing table")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Declines =
      prometheus::BuildCounter()
          .Name("pimentofront_forward_declines_total")
          .Help("Requests that a server declined, by service and by the room "
                "that the server reported")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &AnswerEnds =
      prometheus::BuildCounter()
          .Name("pimentofront_answer_ends_total")
          .Help("Ends of attempts at backend servers, by service, by whether "
                "the answer counts as whole, and by the evidence")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &ExcessiveResponses =
      prometheus::BuildCounter()
          .Name("pimentofront_excessive_responses_total")
          .Help("Connections to servers that were closed since the response "
                "exceeded a limit, by limit")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &ShedConnections =
      prometheus::BuildCounter()
          .Name("pimentofront_connections_shed_total")
          .Help("Connections closed or refused for want of room, by port and "
                "reason")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &EndWaits =
      prometheus::BuildHistogram()
          .Name("pimentofront_answer_end_wait_seconds")
          .Help("Time for which the end of an answer without a length or "
                "chunks waited for a check of its server")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &EngineChoices =
      prometheus::BuildCounter()
          .Name("pimentofront_engine_choices_total")
          .Help("Requests whose first event has arrived, by service and by why "
                "their engine was chosen")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &StreamOrigins =
      prometheus::BuildCounter()
          .Name("pimentofront_stream_origins_total")
          .Help("Decisions on the software version that goes on with a stream "
                "that its caller resumes, by service and by who knew it")
          .Register(Registry);
  prometheus::Family<prometheus::Gauge> &ShapeEngines =
      prometheus::BuildGauge()
          .Name("pimentofront_shape_engines")
          .Help(
              "Engines that the requests of a route prefer, by their shape; 0 "
              "if requests aren't placed by shape")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &OverPause =
      prometheus::BuildCounter()
          .Name("pimentofront_streams_over_pause_total")
          .Help("Ended streams with a pause over what their route allows, by "
                "route")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &DeniedRetries =
      prometheus::BuildCounter()
          .Name("pimentofront_forward_retries_denied_total")
          .Help("Requests that ended because they weren't sent to another "
                "server, by service and reason")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &ForwardTimes =
      prometheus::BuildHistogram()
          .Name("pimentofront_forward_seconds")
          .Help("Time from a request's arrival to an event, by event and route")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &RoomRefusals =
      prometheus::BuildCounter()
          .Name("pimentofront_plain_refusals_total")
          .Help("Requests refused because the answer of a full plain service "
                "wouldn't have been in time, by service, urgency and account")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &RoomWaits =
      prometheus::BuildHistogram()
          .Name("pimentofront_plain_wait_seconds")
          .Help("Time that requests for a full plain service waited at this "
                "entry before they were sent")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &QueueOutcomes =
      prometheus::BuildCounter()
          .Name("pimentofront_queue_outcomes_total")
          .Help("Requests that left an engine's queue or were not let in, by "
                "outcome, reason, urgency and client account")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &QueueWaits =
      prometheus::BuildHistogram()
          .Name("pimentofront_queue_wait_seconds")
          .Help("Time in an engine's queue, by outcome and urgency")
          .Register(Registry);
  prometheus::Family<prometheus::Gauge> &PlainServers =
      prometheus::BuildGauge()
          .Name("pimentofront_plain_servers")
          .Help("Servers of a plain service as this entry sees them, by "
                "service and state: registered, open, full, ejected, leaving, "
                "backing_off, connection_limit")
          .Register(Registry);
  LabelLimiter Accounts;
  prometheus::Family<prometheus::Gauge> &State =
      prometheus::BuildGauge()
          .Name("pimentofront_state")
          .Help("Values of this process, by name; docs/OPERATORS.md")
          .Register(Registry);
};

Metrics::Metrics() : State(new Impl) {}
Metrics::~Metrics() = default;

void Metrics::recordFinalAnswer(const KindName &kind, const FinalAnswer &answer,
                                Duration took) {
  // An unknown kind is arbitrary text from the caller and must not become a
  // label.
  const bool invalid = answer.Reason == RefusalReason::Invalid;
  State->FinalAnswers
      .Add({{"kind", invalid ? "-" : kind.str()},
            {"answer", finalKindName(answer.Kind)}})
      .Increment();
  State->AttemptCounts.Add({}).Increment(answer.Attempts);
  if (answer.Kind == FinalKind::Refused)
    State->Refusals.Add({{"reason", refusalReasonName(answer.Reason)}})
        .Increment();
  if (answer.Kind != FinalKind::Answered)
    return;
  State->Stalls.Add({{"kind", kind.str()}}, StallBuckets)
      .Observe(toSeconds(answer.LoadStall));
  State->Latencies.Add({{"kind", kind.str()}}, StallBuckets)
      .Observe(toSeconds(took));
}

void Metrics::recordForwardEvent(const ForwardEvent &event) {
  State->Forwarded.Add({{"event", event.Name}}).Increment();
  if (event.Lost)
    State->Lost.Add({{"reason", event.Reason}}).Increment();
  const std::string &service = event.Service.str();
  if (event.Outcome)
    State->ForwardRequests
        .Add({{"service", service},
              {"route", event.RouteAdded ? "added" : "first"},
              {"outcome", requestOutcomeName(*event.Outcome)}})
        .Increment();
  if (event.End)
    State->AnswerEnds
        .Add({{"service", service},
              {"end", endVerdictName(event.End->Verdict)},
              {"evidence", endEvidenceName(event.End->Evidence)}})
        .Increment();
  if (event.EndWait > Duration::zero())
    State->EndWaits.Add({{"service", service}}, StallBuckets)
        .Observe(toSeconds(event.EndWait));
  if (event.RoomAtDecline)
    State->Declines
        .Add({{"service", service},
              {"reported", reportedRoomName(*event.RoomAtDecline)}})
        .Increment();
  if (event.RefusedUrgency)
    State->RoomRefusals
        .Add({{"service", service},
              {"urgency", urgencyLabel(*event.RefusedUrgency)},
              {"account", State->Accounts.limit(event.Account.str())}})
        .Increment();
  if (std::string_view(event.Name) == "request_unqueued")
    State->RoomWaits.Add({{"service", service}}, StallBuckets)
        .Observe(toSeconds(event.Took));
  if (event.Origin)
    State->StreamOrigins
        .Add({{"service", service}, {"by", originSourceName(*event.Origin)}})
        .Increment();
  if (event.Choice) {
    State->EngineChoices
        .Add({{"service", service}, {"why", routeReasonName(*event.Choice)}})
        .Increment();
    State->ShapeEngines.Add({{"route", event.Route}}).Set(event.ShapeEngines);
  }
  if (event.OverPause)
    State->OverPause.Add({{"route", event.Route}}).Increment();
  if (event.Denial != RetryDenial::None)
    State->DeniedRetries
        .Add({{"service", service}, {"reason", retryDenialName(event.Denial)}})
        .Increment();
  if (event.Status != 0 && !event.Lost)
    State->ForwardTimes
        .Add({{"event", event.Name}, {"route", event.Route}}, StallBuckets)
        .Observe(toSeconds(event.Took));
}

void Metrics::recordExcessiveResponse(const char *limit) {
  State->ExcessiveResponses.Add({{"limit", limit}}).Increment();
}

void Metrics::recordShedConnection(const char *port, const char *reason) {
  State->ShedConnections.Add({{"port", port}, {"reason", reason}}).Increment();
}

void Metrics::recordAgentEvent(const AgentEvent &event) {
  const std::string urgency = urgencyLabel(event.Urgency);
  State->QueueOutcomes
      .Add({{"outcome", agentOutcomeName(event.Result)},
            {"reason", refusalReasonName(event.Reason)},
            {"urgency", urgency},
            {"account", State->Accounts.limit(event.Account.str())}})
      .Increment();
  if (isConditionalRefusal(event.Reason))
    return;
  State->QueueWaits
      .Add({{"outcome", agentOutcomeName(event.Result)}, {"urgency", urgency}},
           StallBuckets)
      .Observe(toSeconds(event.Waited));
}

void Metrics::recordLoad(bool succeeded, Duration took) {
  const char *result = succeeded ? "loaded" : "failed";
  State->Loads.Add({{"result", result}}).Increment();
  State->State.Add({{"name", "last_load_seconds"}}).Set(toSeconds(took));
}

void Metrics::set(const Gauges &gauges) {
  const auto put = [&](const char *name, double value) {
    State->State.Add({{"name", name}}).Set(value);
  };
  put("revision", gauges.Revision);
  put("configuration_lease_seconds", gauges.ConfigurationLeaseSeconds);
  put("member_lease_seconds", gauges.MemberLeaseSeconds);
  put("followed_age_seconds", gauges.FollowedAgeSeconds);
  put("requests_in_progress", gauges.InProgress);
  put("engine_running", gauges.EngineRunning);
  put("engine_waiting", gauges.EngineWaiting);
  put("batch_capacity", gauges.BatchCapacity);
  put("engine_slowness", gauges.EngineSlowness);
  put("engine_rate_limit", gauges.EngineRateLimit);
  put("limited_servers", gauges.LimitedServers);
  put("resting_servers", gauges.BackingOffServers);
  put("leaving_servers", gauges.LeavingServers);
  put("cold_servers", gauges.ColdServers);
  put("plain_waiting", gauges.PlainWaiting);
  put("plain_slots", gauges.PlainSlots);
  put("plain_slots_free", gauges.PlainSlotsFree);
  put("plain_slowest_server_seconds", gauges.SlowestServerSeconds);
  put("plain_fastest_server_seconds", gauges.FastestServerSeconds);
  for (const auto &[service, it] : gauges.PlainServers) {
    const std::string &name = service.str();
    const auto putServers = [&](const char *state, std::uint32_t n) {
      State->PlainServers.Add({{"service", name}, {"state", state}}).Set(n);
    };
    putServers("registered", it.Registered);
    putServers("open", it.Open);
    putServers("full", it.Full);
    putServers("ejected", it.Ejected);
    putServers("leaving", it.Leaving);
    putServers("backing_off", it.BackingOff);
    putServers("connection_limit", it.AtConnectionLimit);
  }
  put("evacuated_zones", gauges.EvacuatedZones);
  put("held_request_bytes", gauges.RequestBytes);
  put("held_connection_bytes", gauges.ConnectionBytes);
  put("bytes_at_servers", gauges.ServerBytes);
  put("paused_streams", gauges.PausedStreams);
  put("accused_parts", gauges.AccusedParts);
  put("quarantined_parts", gauges.QuarantinedParts);
  put("leads", gauges.Leads);
  put("group_voters", gauges.GroupVoters);
  put("group_learners", gauges.GroupLearners);
  put("group_silent_members", gauges.GroupSilentMembers);
  put("group_spare_voters", gauges.GroupSpareVoters);
  put("group_votes", gauges.GroupVotes);
  put("without_leader_seconds", gauges.WithoutLeaderSeconds);
  put("peer_bytes_sent", gauges.PeerBytesSent);
  put("peer_bytes_received", gauges.PeerBytesReceived);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(State->Registry.Collect());
}

} // namespace pimentofront
