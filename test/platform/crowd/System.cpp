#include "System.h"

#include "../TestDocument.h"

#include <event2/event.h>
#include <fstream>

namespace pimentofront::crowd {
namespace {

using std::chrono::milliseconds;

constexpr const char *Plain = "plain";
constexpr const char *Instance = "i-p1";
/// How long the ordinary caller waits for one answer, and until it asks again.
constexpr Duration CallTimeout = std::chrono::seconds(3);
constexpr Duration RetryPause = milliseconds(100);

std::string text(const HostPort &it) {
  return it.Ip + ":" + std::to_string(it.Port);
}

std::string quoted(const HostPort &it) { return "\"" + text(it) + "\""; }

nlohmann::json document(int idleTimeoutMs) {
  constexpr int MaxBodyBytes = 1 << 20;
  nlohmann::json result = testkit::testDocument(1);
  result["limits"] = {{"maxHeaderBytes", 16384},
                      {"maxBodyBytes", MaxBodyBytes},
                      {"headerTimeoutMs", idleTimeoutMs},
                      {"idleTimeoutMs", idleTimeoutMs}};
  return result;
}

std::vector<HttpHeader> headersOf(const std::string &id) {
  return {{"Host", "test.example"},
          {"Pimentofront-Attempt-Id", id},
          {"Pimentofront-Credential", testkit::TestKey},
          {"Pimentofront-Deadline-Ms", "1900"}};
}

} // namespace

System::System(EventLoop &loop, const SystemOptions &options)
    : Loop(loop), Options(options), Client(loop) {
  const bool own = options.Kind == Interface::Own;
  const std::string replica = "\"replica\": {\"folder\": \"" + options.Folder +
                              "/data\", \"bootstrap\": true, "
                              "\"tolerated_losses\": 0}";
  if (own) {
    start("entry", EntryHttp, EntryPeers,
          "\"entry\": {\"caller_timeout_ms\": 2000}, " + replica,
          options.Descriptors);
    return;
  }
  start("replica", ReplicaHttp, ReplicaPeers, replica, 0);
  start("entry", EntryHttp, EntryPeers,
        "\"forward\": {\"listen\": " + quoted(address(EntryListen)) +
            ", \"memory_mb\": " + std::to_string(options.MemoryMb) + "}",
        options.Descriptors);
  Server = std::make_unique<testkit::FakeServer>(loop, address(Backend),
                                                 Instance, Runs);
  Configurer = loop.every(milliseconds(700), [this] { configure(); });
}

void System::start(const std::string &name, Port http, Port peers,
                   const std::string &parts, int descriptors) {
  const std::string file = Options.Folder + "/" + name + ".json";
  const Port replica =
      Options.Kind == Interface::Own ? EntryPeers : ReplicaPeers;
  std::ofstream(file) << "{\"host\": \"" << name
                      << "\", \"zone\": \"z\", \"zones\": {\"z\": \"r\"}, "
                      << "\"http\": " << quoted(address(http))
                      << ", \"peers\": " << quoted(address(peers))
                      << ", \"replicas\": [" << quoted(address(replica))
                      << "], \"member_lease_ms\": 4000, "
                      << "\"renew_period_ms\": 1200, " << parts << "}\n";
  Daemons.emplace_back(Options.Daemon, file,
                       Options.Folder + "/" + name + ".log", descriptors);
}

HostPort System::crowdAddress() const {
  return address(Options.Kind == Interface::Own ? EntryHttp : EntryListen);
}

/// Registers the backend server, and sends the routing document again, which
/// changes nothing.
void System::configure() {
  const auto put = [this](const std::string &path, const nlohmann::json &body) {
    Client.start({.Address = address(ReplicaHttp),
                  .Method = "PUT",
                  .Path = path,
                  .Headers = {{"Content-Type", "application/json"}},
                  .Body = body.dump(),
                  .Timeout = CallTimeout,
                  .OnEnd = [](const HttpResponse &) {}});
  };
  put("/-/config", document(Options.IdleTimeoutMs));
  put("/-/instances/" + Server->instance(),
      {{"backend", Plain},
       {"address", text(address(Backend))},
       {"zone", "z"},
       {"slots", 64},
       {"state", "ready"},
       {"seq", ++Sequence},
       {"born", Server->startedAt()}});
}

std::string System::head(const std::string &path) {
  static std::uint64_t last = 0;
  std::string result = "POST " + path + " HTTP/1.1\r\n";
  for (const HttpHeader &it : headersOf("c" + std::to_string(++last)))
    result += it.Name + ": " + it.Value + "\r\n";
  return result;
}

void System::send(std::size_t body) {
  Status = 0;
  Ended = false;
  ++Sent;
  const bool own = Options.Kind == Interface::Own;
  RequestHead head{"POST", "/safe/ok",
                   headersOf("ordinary" + std::to_string(Sent))};
  if (own)
    head = {"POST",
            "/pimentofront.v1.Operator/GetStatus",
            {{"Host", "test.example"}, {"Content-Type", "application/json"}}};
  Caller = std::make_unique<UpstreamPool>(Loop, UpstreamPoolOptions{}, *this);
  Caller->send({.Attempt = {1, Sent},
                .Address = text(crowdAddress()),
                .Head = std::move(head),
                .Body = std::make_shared<const std::string>(
                    own ? "{}" : std::string(body, 'x'))});
}

HeadDecision System::onHead(const AttemptId &attempt, ResponseHead head) {
  if (attempt.Sequence == Sent)
    Status = head.Status;
  return HeadDecision::Take;
}

void System::onEnd(const AttemptId &attempt, UpstreamEnding ending) {
  constexpr int StatusOk = 200;
  if (attempt.Sequence != Sent)
    return;
  Ended = true;
  Served = Served || (Status == StatusOk && ending == UpstreamEnding::Complete);
}

bool System::wait(Duration limit, const std::function<bool()> &done) {
  const TimePoint end = Loop.now() + limit;
  const auto wake = Loop.every(milliseconds(20), [] {});
  while (!done() && Loop.now() < end)
    event_base_loop(Loop.base(), EVLOOP_ONCE);
  return done();
}

bool System::isServed(Duration limit, std::size_t body) {
  Served = false;
  TimePoint sentAt;
  return wait(limit, [&] {
    const TimePoint now = Loop.now();
    const Duration pause = Ended ? RetryPause : CallTimeout;
    if (!Served && now >= sentAt + pause) {
      sentAt = now;
      send(body);
    }
    return Served;
  });
}

} // namespace pimentofront::crowd
