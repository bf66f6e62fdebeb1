#include "TimeLine.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace pimentofront {
namespace {

using Json = nlohmann::json;

std::string textOf(const Json &json, const char *key) {
  const auto it = json.find(key);
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

std::uint64_t numberOf(const Json &json, const char *key) {
  const auto it = json.find(key);
  return it != json.end() && it->is_number_unsigned() ? it->get<std::uint64_t>()
                                                      : 0;
}

bool isCommonField(const std::string &key) {
  static const std::set<std::string> CommonFields = {
      "hlc", "ms", "host", "zone", "level", "event", "request"};
  return CommonFields.contains(key);
}

std::string detailsOf(const Json &json) {
  std::string result;
  for (const auto &[key, value] : json.items()) {
    if (isCommonField(key) ||
        (value.is_string() && value.get<std::string>().empty()))
      continue;
    result += (result.empty() ? "" : " ") + key + "=" +
              (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return result;
}

std::string escaped(const std::string &text) {
  std::string result;
  for (const char c : text) {
    if (c == '<')
      result += "&lt;";
    else if (c == '&')
      result += "&amp;";
    else
      result += c;
  }
  return result;
}

std::string clockText(std::uint64_t milliseconds) {
  constexpr std::uint64_t PerSecond = 1000;
  constexpr std::uint64_t SecondsPerDay = 86400;
  const std::uint64_t seconds = milliseconds / PerSecond % SecondsPerDay;
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%02u:%02u:%02u.%03u",
                static_cast<unsigned>(seconds / 3600),
                static_cast<unsigned>(seconds / 60 % 60),
                static_cast<unsigned>(seconds % 60),
                static_cast<unsigned>(milliseconds % PerSecond));
  return buf;
}

} // namespace

void TimeLine::addLog(const std::string &file, std::string_view text,
                      Findings &findings) {
  std::size_t line = 0;
  while (!text.empty()) {
    ++line;
    const std::size_t end = text.find('\n');
    const std::string_view content = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (content.empty())
      continue;
    // A log collector may have added a prefix to the line.
    const std::size_t begin = content.find('{');
    const Json json = begin == std::string_view::npos
                          ? Json()
                          : Json::parse(content.substr(begin), nullptr, false);
    if (!json.is_object() || !json.contains("hlc")) {
      findings.add(file + ":" + std::to_string(line),
                   "expected a JSON object with the field \"hlc\"");
      continue;
    }
    Events.push_back({.Hlc = numberOf(json, "hlc"),
                      .Milliseconds = numberOf(json, "ms"),
                      .Host = textOf(json, "host"),
                      .Zone = textOf(json, "zone"),
                      .Level = textOf(json, "level"),
                      .Event = textOf(json, "event"),
                      .Request = textOf(json, "request"),
                      .Details = detailsOf(json)});
  }
}

void TimeLine::removeOtherRequests(const std::string &request) {
  std::erase_if(Events, [&](const TimeLineEvent &it) {
    return !it.Request.empty() && it.Request != request;
  });
}

void TimeLine::sort() { std::ranges::sort(Events); }

namespace {

std::string lineOf(const TimeLineEvent &it) {
  std::string text = clockText(it.Milliseconds) + " " + it.Zone + "/" +
                     it.Host + " " + it.Event;
  if (!it.Request.empty())
    text += " [" + it.Request + "]";
  return text + (it.Details.empty() ? "\n" : " " + it.Details + "\n");
}

/// Explanation of a request's last event, and where to look next. The first
/// match in Explanations counts, so a row with a longer detail precedes the row
/// with its prefix.
struct Explanation {
  const char *Event;
  /// Text that the event's details must contain; empty matches all.
  const char *RequiredDetail;
  const char *Sentence;
};
constexpr Explanation Explanations[] = {
    {"request_lost", "why=not_ready",
     "refused: this entry had no confirmed routing document; look for "
     "replica_state and peer_lost around that time"},
    {"request_lost", "why=no_route",
     "refused: no route of the document in force has that host and path; "
     "compare its revision with routing_in_force"},
    {"request_lost", "why=no_server",
     "refused: no backend server of its service was registered or reachable"},
    {"request_lost", "why=declined, rate_limited",
     "refused: the servers that could take it limit their requests, and the "
     "limits left no capacity for it in time; server_feedback lines say which "
     "limits"},
    {"request_lost", "why=servers_rest",
     "refused: all servers of its service had asked this entry to back off; "
     "server_feedback lines say for how long"},
    {"request_lost", "why=zones_outdated",
     "refused: this entry had received nothing from the replicas for so long "
     "that a zone may have been evacuated since; look for replica_state and "
     "peer_lost"},
    {"request_lost", "why=no_region",
     "refused: no server of its service is in a region that its route and its "
     "client account allow"},
    {"request_lost", "why=declined, displaced",
     "refused without having run: more urgent requests, or those of accounts "
     "that had received less than their share, took its place at an engine "
     "(attempt_displaced, and queue_displaced of the agent with its inputs), "
     "and no other engine took it"},
    {"request_lost", "why=declined, queue_full",
     "refused without having run: it could not be served before its deadline, "
     "or the engine's queue was full (queue_refused of the agent has the "
     "inputs)"},
    {"request_lost", "why=declined",
     "refused: each server or agent that could take it declined; the reason "
     "is given after the comma"},
    {"request_lost", "why=service_full",
     "refused, and sent to no server that ran it: its plain service is asked "
     "for more than its servers can answer in time; the line tells the share "
     "of the requests that its entry admits, the wait that the servers "
     "reported, their slots and how many of them are in use, and, with "
     "plain_queue, the time allowed for its urgency and account"},
    {"request_queued", "",
     "it waits at the entry: all servers of its plain service reported to be "
     "full, and more urgent requests, or accounts below their share, go first"},
    {"request_lost", "why=timed_out",
     "its time ran out; if no server is named it was waiting for its adapter, "
     "otherwise for the server's answer"},
    {"request_lost", "why=broke_off",
     "its answer was interrupted and it could not be sent again; see "
     "attempt_broke_off for the server"},
    {"request_lost", "why=quarantined",
     "quarantined: backend servers exited while they ran this content (see "
     "server_ended and the lines with the same content), so it is not sent to "
     "any; status lists it, release clears it"},
    {"request_lost", "why=part_quarantined",
     "quarantined: backend servers exited while they began to answer requests "
     "with the prompt part that the line names (see server_ended and the "
     "attempt_broke_off lines with that part), so no request with it is sent "
     "to any; status lists it, release clears it"},
    {"request_lost", "why=on_trial",
     "a server had exited while it ran the same content, and another trial of "
     "that content was in progress"},
    {"request_lost", "why=no_leave",
     "a server had exited while it ran the same content, and the replicas did "
     "not answer whether it may be tried; look for replica_state and "
     "peer_lost"},
    {"request_lost", "why=unknown_key",
     "refused: it had no key, or one that belongs to no client account in the "
     "document of the revision named; compare with routing_in_force, and check "
     "whether an account lost a key"},
    {"request_lost", "why=keys_outdated",
     "refused: this entry had received nothing from the replicas for longer "
     "than a revoked key may stay valid; look for replica_state and peer_lost"},
    {"request_lost", "why=over_allotment",
     "refused: its client account had used up its allotment over all entries; "
     "the account's level, and how long ago the leader was asked, are given at "
     "the end"},
    {"request_lost", "why=no_allotment",
     "refused: the leader of the replicas did not answer whether the account's "
     "allotment has units left; look for replica_state and peer_lost"},
    {"caller_gone", "", "the caller disconnected or cancelled before the end"},
    {"request_answered", "status=5",
     "the backend server answered with an error"},
    {"request_answered", "",
     "it was answered; answer_began says how the time until the first event "
     "was spent"},
};

} // namespace

std::string TimeLine::explain(const std::string &request) const {
  std::string text;
  const TimeLineEvent *last = nullptr;
  for (const TimeLineEvent &it : Events) {
    if (it.Request != request)
      continue;
    text += lineOf(it);
    last = &it;
  }
  if (!last)
    return {};
  for (const Explanation &it : Explanations)
    if (last->Event == it.Event &&
        last->Details.find(it.RequiredDetail) != std::string::npos)
      return text + "=> " + it.Sentence + "\n";
  return text + "=> its end is not in these logs: it may be in progress, its "
                "line may have been omitted by the rate limit "
                "(lines_left_out), or the entry exited (process_started)\n";
}

std::string TimeLine::toText() const {
  std::string text;
  for (const TimeLineEvent &it : Events) {
    text += lineOf(it);
  }
  return text;
}

std::string TimeLine::toHtml() const {
  std::set<std::string> hosts;
  for (const TimeLineEvent &it : Events)
    hosts.insert(it.Host);
  std::string page =
      "<!doctype html><meta charset=\"utf-8\"><title>pimentofront time line"
      "</title><style>body{font:13px sans-serif}table{border-collapse:collapse}"
      "td,th{border-left:1px solid #ccc;padding:2px 6px;vertical-align:top;"
      "max-width:22em}th{position:sticky;top:0;background:#fff}"
      "tr:hover{background:#f4f4f4}.warn{background:#fff0c0}"
      ".error{background:#ffd0d0}small{color:#666}</style><table><tr><th>time";
  for (const std::string &host : hosts)
    page += "<th>" + escaped(host);
  for (const TimeLineEvent &it : Events) {
    page += "\n<tr><td>" + clockText(it.Milliseconds);
    for (const std::string &host : hosts) {
      if (host != it.Host) {
        page += "<td>";
        continue;
      }
      page +=
          "<td class=\"" + escaped(it.Level) + "\">" + escaped(it.Event) +
          (it.Request.empty() ? "" : " <b>" + escaped(it.Request) + "</b>") +
          "<br><small>" + escaped(it.Details) + "</small>";
    }
  }
  return page + "\n</table>\n";
}

} // namespace pimentofront
