#include "ForwardIo.h"

namespace pimentofront {

ForwardIo::ForwardIo(EventLoop &loop, const CallerListenerOptions &callers,
                     const ResponseLimits &responses, HttpClient &client,
                     const HeaderCodec &codec, EventLog &log, Metrics &metrics)
    : Loop(loop), Log(log), Counters(metrics), Callers(loop, callers, *this),
      Servers(loop, {.Response = responses}, *this), Probe(loop),
      Identities(client, codec) {}

void ForwardIo::onRequest(CallerKey key, RequestHead head, std::string body,
                          const ContentHash &bodyHash) {
  Node->request(Loop.now(), key, std::move(head), std::move(body), bodyHash);
}

void ForwardIo::onCallerDisconnected(CallerKey key) {
  Node->callerDisconnected(Loop.now(), key);
}

void ForwardIo::onUnsent(CallerKey key, std::size_t bytes) {
  Node->callerUnsent(Loop.now(), key, bytes);
}

void ForwardIo::onConnectionBytes(std::size_t bytes) {
  Node->connectionBytes(bytes);
}

void ForwardIo::onShed(ShedReason reason) {
  const char *name = shedReasonName(reason);
  Counters.recordShedConnection("callers", name);
  Log.write(LogLevel::Info, "connection_shed",
            {{"port", "callers"},
             {"why", name},
             {"connections", std::uint64_t(Callers.channels())},
             {"stopped", std::uint64_t(Callers.stoppedChannels())}});
}

HeadDecision ForwardIo::onHead(const AttemptId &attempt, ResponseHead head) {
  return Node->upstreamHead(Loop.now(), attempt, std::move(head));
}

void ForwardIo::onBody(const AttemptId &attempt, std::string_view bytes) {
  Node->upstreamBody(Loop.now(), attempt, bytes);
}

void ForwardIo::onEnd(const AttemptId &attempt, UpstreamEnding ending) {
  Node->upstreamEnd(Loop.now(), attempt, ending);
}

void ForwardIo::onExcess(const ServerProcess &server, ResponseExcess excess,
                         std::size_t bytes) {
  const char *limit = responseExcessName(excess);
  Counters.recordExcessiveResponse(limit);
  Log.write(LogLevel::Warn, "response_excessive",
            {{"server", server.Name.str()},
             {"limit", limit},
             {"bytes", std::uint64_t(bytes)}});
}

void ForwardIo::onCommand(ForwardCommand command) {
  if (const auto *piece = std::get_if<ReplyPiece>(&command))
    Callers.replyPiece(piece->Key, piece->Bytes);
  else if (const auto *send = std::get_if<SendUpstream>(&command))
    Servers.send(*send);
  else if (const auto *complete = std::get_if<ReplyComplete>(&command))
    Callers.reply(complete->Key, complete->Head, complete->Body);
  else if (const auto *head = std::get_if<ReplyHead>(&command))
    Callers.replyHead(head->Key, head->Head);
  else if (const auto *end = std::get_if<ReplyEnd>(&command))
    Callers.replyEnd(end->Key);
  else if (const auto *abort = std::get_if<ReplyAbort>(&command))
    Callers.replyAbort(abort->Key);
  else if (const auto *cancel = std::get_if<CancelUpstream>(&command))
    Servers.cancel(cancel->Attempt);
  else if (const auto *ignored = std::get_if<IgnoreUpstream>(&command))
    Servers.ignore(ignored->Attempt);
  else if (const auto *pause = std::get_if<PauseUpstream>(&command))
    Servers.pause(pause->Attempt, pause->Paused);
  else if (const auto *check = std::get_if<CheckServer>(&command))
    checkServer(*check);
}

void ForwardIo::checkServer(const CheckServer &check) {
  const auto onResult = [this, server = check.Server](ServerCheckResult it) {
    Node->serverChecked(Loop.now(), server, it);
  };
  if (check.Query)
    Identities.start(check, onResult);
  else
    Probe.start(check.Address, onResult);
}

void ForwardIo::onEvent(const ForwardEvent &event) {
  Counters.recordForwardEvent(event);
  Log.write(
      event.Lost ? LogLevel::Warn : LogLevel::Info, event.Name,
      {{"request", event.Request},
       {"route", event.Route},
       {"route_age", event.RouteAdded ? "added" : "first"},
       {"service", event.Service.str()},
       {"account", event.Account.str()},
       {"server", event.Server.str()},
       {"content", event.Content.empty() ? "" : event.Content.str()},
       {"parts", event.Parts},
       {"why", event.Detail},
       {"status", static_cast<std::uint64_t>(event.Status)},
       {"engine_choice", event.Choice ? routeReasonName(*event.Choice) : ""},
       {"origin_by", event.Origin ? originSourceName(*event.Origin) : ""},
       {"ending", event.Ending ? upstreamEndingName(*event.Ending) : ""},
       {"end", event.End ? endVerdictName(event.End->Verdict) : ""},
       {"end_evidence", event.End ? endEvidenceName(event.End->Evidence) : ""},
       {"end_wait_ms", toSeconds(event.EndWait) * 1000},
       {"shape_engines", static_cast<std::uint64_t>(event.ShapeEngines)},
       {"longest_pause_ms", toSeconds(event.LongestPause) * 1000},
       {"took_ms", toSeconds(event.Took) * 1000}});
}

void ForwardIo::onTable(const RoutingTable &table) {
  Callers.setLimits(table.document().Limits);
  Log.write(
      LogLevel::Info, "routing_in_force",
      {{"revision", table.revision()},
       {"number", table.document().Number},
       {"routes", static_cast<std::uint64_t>(table.document().Routes.size())},
       {"accounts",
        static_cast<std::uint64_t>(table.accounts().accounts().size())}});
}

} // namespace pimentofront
