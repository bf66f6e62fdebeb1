#include "ApiHandler.h"

#include "pimentofront.pb.h"

namespace pimentofront {
namespace {

/// Sets the gauges of the plain services, the only ones whose servers have a
/// pace.
void setGroupGauges(TimePoint now, const ReplicatedLog &log, Gauges &gauges) {
  const GroupStatus status = log.status(now);
  gauges.Leads = log.holdsLease(now) ? 1 : 0;
  gauges.GroupVoters = status.Voters;
  gauges.GroupLearners = status.Learners;
  gauges.GroupSilentMembers = status.Silent;
  gauges.GroupSpareVoters = status.SpareVoters.value_or(0);
  gauges.GroupVotes = status.IsVoter ? 1 : 0;
  gauges.WithoutLeaderSeconds = toSeconds(status.WithoutLeader);
}

void setPlainGauges(TimePoint now, const ForwardBoard &board, Gauges &gauges) {
  const ServerSetOptions &options = board.Options.Servers;
  for (const auto &[service, queue] : board.PlainQueues)
    gauges.PlainWaiting += static_cast<double>(queue.size());
  if (board.Table)
    for (const ServiceSpec &it : board.Table->document().Services)
      if (!it.Engine)
        gauges.PlainServers[it.Name] = board.Servers.countServers(now, it.Name);
  for (const auto &[host, it] : board.Servers.servers()) {
    const double pace = toSeconds(it.Pace.expected(now, options.Pace));
    if (pace <= 0)
      continue;
    gauges.SlowestServerSeconds = std::max(gauges.SlowestServerSeconds, pace);
    gauges.FastestServerSeconds =
        gauges.FastestServerSeconds > 0
            ? std::min(gauges.FastestServerSeconds, pace)
            : pace;
    if (!hasLoadReport(now, options, it))
      continue;
    const PlainRoom room = plainRoomOf(now, options, {&it});
    gauges.PlainSlots += room.Slots;
    gauges.PlainSlotsFree += room.FreeSlots;
  }
}

constexpr std::string_view AssistantPath = "/pimentofront.v1.Assistant/";
constexpr std::string_view OperatorPath = "/pimentofront.v1.Operator/";
constexpr std::size_t MaxNameBytes = 128;
constexpr std::uint32_t MaxTokensLimit = 100'000;
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusMethodNotAllowed = 405;
constexpr int StatusUnsupportedType = 415;
constexpr int StatusUnavailable = 503;

ConnectCode codeOf(const FinalAnswer &answer) {
  switch (answer.Kind) {
  case FinalKind::TimedOut:
    return ConnectCode::DeadlineExceeded;
  case FinalKind::Unknown:
    return ConnectCode::Unknown;
  case FinalKind::Refused:
    break;
  case FinalKind::Failed:
  case FinalKind::Answered:
    return ConnectCode::Unavailable;
  }
  switch (answer.Reason) {
  case RefusalReason::Invalid:
    return ConnectCode::InvalidArgument;
  case RefusalReason::KindLimit:
  case RefusalReason::CallerLimit:
  case RefusalReason::QueueFull:
  case RefusalReason::LoadBacklog:
    return ConnectCode::ResourceExhausted;
  default:
    return ConnectCode::Unavailable;
  }
}

v1::Summary summaryOf(const FinalAnswer &answer) {
  v1::Summary summary;
  summary.set_adapter(answer.Key.Adapter.str());
  summary.set_version(answer.Key.Version);
  summary.set_host(answer.Host.str());
  summary.set_tokens(answer.Tokens);
  summary.set_load_stall_ms(static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(answer.LoadStall).count()));
  summary.set_attempts(answer.Attempts);
  return summary;
}

/// Adds a finding if the name is empty or longer than MaxNameBytes.
void checkName(const char *field, const std::string &value, Findings &faults) {
  if (value.empty() || value.size() > MaxNameBytes)
    faults.add(field, "expected 1 to 128 bytes");
}

bool failOnFaults(const ApiCall &call, const Findings &faults) {
  if (faults.empty())
    return false;
  call.fail({.Code = ConnectCode::InvalidArgument,
             .Message = faults.toText(),
             .NotRun = true,
             .Reason = refusalReasonName(RefusalReason::Invalid)});
  return true;
}

} // namespace

void ApiCall::succeed(const google::protobuf::Message &message) const {
  Exchange->reply(StatusOk, {{"Content-Type", contentTypeOf(Content)}},
                  writeMessage(Content.Codec, message));
}

void ApiCall::fail(const ConnectError &error) const {
  if (Content.Stream) {
    Exchange->reply(StatusOk, {{"Content-Type", contentTypeOf(Content)}},
                    encodeEndOfStream(&error));
    return;
  }
  std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
  const std::string after = retryAfter(error);
  if (!after.empty())
    headers.push_back({"Retry-After", after});
  Exchange->reply(httpStatusOf(error.Code), headers, encodeConnectError(error));
}

bool readOrFail(const ApiCall &call, google::protobuf::Message &message) {
  const auto read = readMessage(call.Content.Codec, call.Body, message);
  if (read)
    return true;
  call.fail({.Code = ConnectCode::InvalidArgument,
             .Message = read.error(),
             .NotRun = true,
             .Reason = refusalReasonName(RefusalReason::Invalid)});
  return false;
}

ApiHandler::ApiHandler(EventLoop &loop, const Settings &settings, EventLog &log,
                       Metrics &metrics, const PeerNetwork &network)
    : Loop(loop), Options(settings), Log(log), Counters(metrics),
      Network(network) {}

ApiHandler::~ApiHandler() = default;

//===----------------------------------------------------------------------===//
// Plain HTTP
//===----------------------------------------------------------------------===//

std::string ApiHandler::metricsText() {
  const TimePoint now = Loop.now();
  Gauges gauges;
  gauges.InProgress = static_cast<double>(Calls.size());
  gauges.PeerBytesSent = static_cast<double>(Network.bytesSent());
  gauges.PeerBytesReceived = static_cast<double>(Network.bytesReceived());
  if (Nodes.Entry) {
    const ConfigurationCopy &copy = Nodes.Entry->configuration();
    gauges.Revision = static_cast<double>(copy.revision());
    gauges.ConfigurationLeaseSeconds = toSeconds(copy.remainingLease(now));
    if (const auto age = Nodes.Entry->feedAge(now))
      gauges.FollowedAgeSeconds = toSeconds(*age);
  }
  if (Nodes.Agent) {
    const AgentBoard &board = Nodes.Agent->controller().board();
    gauges.MemberLeaseSeconds = toSeconds(Nodes.Agent->remainingLease(now));
    gauges.EngineRunning = board.runningOnEngine();
    gauges.EngineWaiting = static_cast<double>(board.WaitingCount);
    gauges.BatchCapacity = board.Options.BatchCapacity;
    gauges.EngineSlowness = board.Slowness.factor(now);
    gauges.EngineRateLimit = board.Pacer.limit(now).perSecond();
  }
  if (Nodes.Forward) {
    const ForwardBoard &board = Nodes.Forward->controller().board();
    const ServerSet &servers = board.Servers;
    const ConfigurationCopy &copy = Nodes.Forward->configuration();
    gauges.Revision = static_cast<double>(copy.revision());
    gauges.ConfigurationLeaseSeconds = toSeconds(copy.remainingLease(now));
    if (const auto age = Nodes.Forward->feedAge(now))
      gauges.FollowedAgeSeconds = toSeconds(*age);
    gauges.RequestBytes = static_cast<double>(board.Bytes.requestBytes());
    gauges.ConnectionBytes = static_cast<double>(board.Bytes.connectionBytes());
    gauges.ServerBytes = static_cast<double>(board.BytesAtServers.total());
    gauges.PausedStreams = static_cast<double>(board.pausedStreams());
    gauges.AccusedParts =
        static_cast<double>(board.Parts.count(PartState::Accused));
    gauges.QuarantinedParts =
        static_cast<double>(board.Parts.count(PartState::Quarantined));
    const FeedbackCounts counts = servers.countFeedback(now);
    gauges.LimitedServers = counts.Limited;
    setPlainGauges(now, Nodes.Forward->controller().board(), gauges);
    gauges.BackingOffServers = counts.BackingOff;
    gauges.LeavingServers = counts.Leaving;
    gauges.ColdServers = counts.Cold;
    gauges.EvacuatedZones =
        static_cast<double>(servers.evacuatedZones().size());
  }
  if (Nodes.Replica)
    setGroupGauges(now, Nodes.Replica->log(), gauges);
  Counters.set(gauges);
  return Counters.text();
}

void ApiHandler::onPlainHttp(HttpExchange &exchange) {
  const std::vector<HttpHeader> text = {{"Content-Type", "text/plain"}};
  const std::string_view path = exchange.path();
  if (path == "/healthz")
    return exchange.reply(StatusOk, text, "alive\n");
  if (path == "/metrics")
    return exchange.reply(StatusOk, text, metricsText());
  if (path != "/readyz")
    return exchange.reply(StatusNotFound, text, "no such page\n");
  const bool entryReady = !Nodes.Entry || Nodes.Entry->ready(Loop.now());
  const bool agentReady =
      !Nodes.Agent || !Nodes.Agent->controller().board().Leaving;
  if (!Stopping && entryReady && agentReady)
    return exchange.reply(StatusOk, text, "ready\n");
  exchange.reply(StatusUnavailable, text, "not ready\n");
}

void ApiHandler::onRequest(std::shared_ptr<HttpExchange> exchange) {
  if (exchange->method() == "GET")
    return onPlainHttp(*exchange);
  if (exchange->method() == "POST")
    return onCall(exchange);
  exchange->reply(StatusMethodNotAllowed, {{"Allow", "GET, POST"}}, "");
}

//===----------------------------------------------------------------------===//
// Calls
//===----------------------------------------------------------------------===//

void ApiHandler::onCall(const std::shared_ptr<HttpExchange> &exchange) {
  const auto content = parseContentType(exchange->header("Content-Type"));
  if (!content)
    return exchange->reply(
        StatusUnsupportedType,
        {{"Accept-Post", "application/json, application/proto, "
                         "application/connect+json, "
                         "application/connect+proto"}},
        "");
  ApiCall call{
      .Exchange = exchange, .Content = *content, .Body = exchange->takeBody()};
  const auto timeout = parseTimeout(exchange->header("Connect-Timeout-Ms"));
  if (!timeout)
    return call.fail({.Code = ConnectCode::InvalidArgument,
                      .Message = "Connect-Timeout-Ms isn't a number"});
  call.Timeout = *timeout;
  const std::string_view path = exchange->path();
  if (path.starts_with(AssistantPath) && Nodes.Entry)
    return dispatch(std::move(call), path.substr(AssistantPath.size()));
  if (path.starts_with(OperatorPath) && !content->Stream &&
      serveOperatorCall(Nodes, Options, Loop.now(),
                        path.substr(OperatorPath.size()), call))
    return;
  call.fail({.Code = ConnectCode::Unimplemented,
             .Message = "no such method in this process"});
}

void ApiHandler::dispatch(ApiCall call, std::string_view method) {
  if (call.Content.Stream) {
    EnvelopeReader reader(Options.MaxBodyBytes);
    reader.feed(call.Body);
    const auto envelope = reader.next();
    if (!envelope || envelope->Flags != 0 || reader.hasPartialEnvelope())
      return call.fail({.Code = ConnectCode::InvalidArgument,
                        .Message = "expected one message in one envelope"});
    call.Body = envelope->Message;
  }
  if (method == "GenerateStream" && call.Content.Stream)
    return generate(std::move(call), true);
  if (method == "Generate" && !call.Content.Stream)
    return generate(std::move(call), false);
  if (method == "CallService" && !call.Content.Stream)
    return callService(std::move(call));
  if (method == "Cancel" && !call.Content.Stream)
    return cancel(call);
  call.fail({.Code = ConnectCode::Unimplemented, .Message = "no such method"});
}

void ApiHandler::generate(ApiCall call, bool stream) {
  v1::GenerateRequest message;
  if (!readOrFail(call, message))
    return;
  Findings faults;
  checkName("request_id", message.request_id(), faults);
  checkName("caller", message.caller(), faults);
  checkName("kind", message.kind(), faults);
  checkName("adapter", message.adapter(), faults);
  if (message.max_tokens() == 0 || message.max_tokens() > MaxTokensLimit)
    faults.add("max_tokens", "expected 1 to 100000");
  if (failOnFaults(call, faults))
    return;
  CallerRequest request{.Id = RequestId(message.request_id()),
                        .Caller = CallerName(message.caller()),
                        .Kind = KindName(message.kind()),
                        .Adapter = AdapterName(message.adapter()),
                        .Version = message.version(),
                        .Prompt = message.prompt(),
                        .MaxTokens = message.max_tokens(),
                        .Timeout = call.Timeout,
                        .ResumeText = message.resume_text()};
  Pending pending{.Call = std::move(call),
                  .Expected =
                      stream ? ResponseKind::Stream : ResponseKind::Text};
  begin(std::move(pending), std::move(request));
}

void ApiHandler::callService(ApiCall call) {
  v1::CallServiceRequest message;
  if (!readOrFail(call, message))
    return;
  Findings faults;
  checkName("request_id", message.request_id(), faults);
  checkName("caller", message.caller(), faults);
  checkName("kind", message.kind(), faults);
  checkName("service", message.service(), faults);
  checkName("method", message.method(), faults);
  if (!message.idempotent() && message.issued_at_ms() == 0)
    faults.add("issued_at_ms", "required unless the request is idempotent");
  if (failOnFaults(call, faults))
    return;
  CallerRequest request{.Id = RequestId(message.request_id()),
                        .Caller = CallerName(message.caller()),
                        .Kind = KindName(message.kind()),
                        .Service = ServiceName(message.service()),
                        .Method = message.method(),
                        .Payload = message.payload(),
                        .Idempotent = message.idempotent(),
                        .IssuedAtMilliseconds = message.issued_at_ms(),
                        .Timeout = call.Timeout};
  begin({.Call = std::move(call), .Expected = ResponseKind::Service},
        std::move(request));
}

void ApiHandler::begin(Pending pending, CallerRequest request) {
  const RequestKey key = ++LastKey;
  request.Key = key;
  pending.Caller = request.Caller;
  pending.Id = request.Id;
  pending.ArrivedAt = Loop.now();
  pending.Text = request.ResumeText;
  // The request has its own copy of what the body said.
  pending.Call.Body = std::string();
  pending.Call.Exchange->onDisconnect([this, key] {
    Nodes.Entry->callerDisconnected(Loop.now(), key);
    Calls.erase(key);
  });
  Log.write(LogLevel::Info, "request_received",
            {{"request", request.Id.str()},
             {"caller", request.Caller.str()},
             {"kind", request.Kind.str()},
             {"adapter", request.Adapter.str()},
             {"service", request.Service.str()}});
  Calls.emplace(key, std::move(pending));
  Nodes.Entry->request(Loop.now(), std::move(request));
}

void ApiHandler::cancel(const ApiCall &call) {
  v1::CancelRequest message;
  if (!readOrFail(call, message))
    return;
  v1::CancelResponse response;
  std::vector<RequestKey> keys;
  for (const auto &[key, pending] : Calls)
    if (pending.Id.str() == message.request_id() &&
        pending.Caller.str() == message.caller())
      keys.push_back(key);
  response.set_found(!keys.empty());
  for (const RequestKey it : keys)
    Nodes.Entry->callerDisconnected(Loop.now(), it);
  call.succeed(response);
}

//===----------------------------------------------------------------------===//
// Answers
//===----------------------------------------------------------------------===//

void ApiHandler::beginStream(Pending &pending) {
  if (pending.StreamStarted)
    return;
  pending.StreamStarted = true;
  pending.Call.Exchange->beginStream(
      StatusOk, {{"Content-Type", contentTypeOf(pending.Call.Content)}});
}

void ApiHandler::onChunk(RequestKey key, std::uint64_t position,
                         const std::string &text) {
  const auto it = Calls.find(key);
  if (it == Calls.end())
    return;
  Pending &pending = it->second;
  if (pending.Expected == ResponseKind::Text) {
    pending.Text += text;
    return;
  }
  beginStream(pending);
  v1::GenerateChunk chunk;
  chunk.set_position(position);
  chunk.set_text(text);
  pending.Call.Exchange->sendPiece(
      encodeEnvelope(0, writeMessage(pending.Call.Content.Codec, chunk)));
  if (pending.Call.Exchange->unsentBytes() > Options.CallerBufferBytes)
    dropSlowCaller(key);
}

void ApiHandler::dropSlowCaller(RequestKey key) {
  const auto it = Calls.find(key);
  Log.write(LogLevel::Warn, "caller_too_slow",
            {{"request", it->second.Id.str()}});
  // Aborts from the event loop, since the callers of this function still use
  // the request.
  auto exchange = it->second.Call.Exchange;
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = Loop.after(Duration::zero(), [exchange, timer] {
    const auto keep = timer;
    exchange->abort();
  });
}

void ApiHandler::onFeedEvent(const FeedEvent &event) {
  Log.write(LogLevel::Info, event.Name, {{"why", event.Why}});
}

void ApiHandler::onFinal(RequestKey key, const KindName &kind,
                         const FinalAnswer &final) {
  const auto it = Calls.find(key);
  if (it == Calls.end())
    return;
  Pending pending = std::move(it->second);
  Calls.erase(it);
  const Duration took = Loop.now() - pending.ArrivedAt;
  Counters.recordFinalAnswer(kind, final, took);
  Log.write(LogLevel::Info, "request_ended",
            {{"request", pending.Id.str()},
             {"answer", finalKindName(final.Kind)},
             {"reason", refusalReasonName(final.Reason)},
             {"backend", final.Host.str()},
             {"version", std::uint64_t(final.Key.Version)},
             {"attempts", std::uint64_t(final.Attempts)},
             {"stall_seconds", toSeconds(final.LoadStall)},
             {"seconds", toSeconds(took)}});
  if (final.Kind == FinalKind::Answered)
    return answer(pending, final);
  fail(pending, final);
}

void ApiHandler::answer(Pending &pending, const FinalAnswer &final) {
  if (pending.Expected == ResponseKind::Service) {
    v1::CallServiceResponse response;
    response.set_payload(final.Payload);
    return pending.Call.succeed(response);
  }
  if (pending.Expected == ResponseKind::Text) {
    v1::GenerateResponse response;
    response.set_text(pending.Text);
    *response.mutable_summary() = summaryOf(final);
    return pending.Call.succeed(response);
  }
  beginStream(pending);
  v1::GenerateChunk last;
  last.set_position(final.Tokens);
  *last.mutable_summary() = summaryOf(final);
  HttpExchange &exchange = *pending.Call.Exchange;
  exchange.sendPiece(
      encodeEnvelope(0, writeMessage(pending.Call.Content.Codec, last)));
  exchange.sendPiece(encodeEndOfStream(nullptr));
  exchange.endStream();
}

void ApiHandler::fail(Pending &pending, const FinalAnswer &final) {
  const bool refused = final.Kind == FinalKind::Refused;
  const ConnectError error{.Code = codeOf(final),
                           .Message = final.Payload,
                           .NotRun = refused,
                           .Reason = refused ? refusalReasonName(final.Reason)
                                             : finalKindName(final.Kind),
                           .RetryAfter = final.RetryAfter};
  if (!pending.StreamStarted)
    return pending.Call.fail(error);
  pending.Call.Exchange->sendPiece(encodeEndOfStream(&error));
  pending.Call.Exchange->endStream();
}

} // namespace pimentofront
