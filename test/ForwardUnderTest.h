#ifndef PIMENTOFRONT_TEST_FORWARD_UNDER_TEST_H
#define PIMENTOFRONT_TEST_FORWARD_UNDER_TEST_H

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

namespace pimentofront::testing {

using namespace std::chrono_literals;

constexpr TimePoint Now{100s};

class FakeConfiguration : public ConfigurationView {
public:
  std::optional<AdapterRecord>
  findAdapter(const AdapterName &name) const override {
    if (Named == 0)
      return std::nullopt;
    return AdapterRecord{.Name = name, .Versions = {{Named, "", true}}};
  }
  const KindRecord *findKind(const KindName &) const override {
    return nullptr;
  }
  Revision revision() const override { return At; }
  bool isDrained(const HostName &) const override { return false; }
  bool isEvacuated(const ZoneName &zone) const override {
    return Evacuated.contains(zone);
  }
  const SoftwareRecord *findSoftware(const ServiceName &) const override {
    return Software ? &*Software : nullptr;
  }
  bool isConfirmed(TimePoint) const override { return Confirmed; }
  std::optional<Duration> confirmationAge(TimePoint) const override {
    return Age;
  }
  /// Names a version that is live from now on.
  void name(VersionNumber version) {
    Named = version;
    ++At;
  }
  VersionNumber Named = 0;
  Revision At = 1;
  std::set<ZoneName> Evacuated;
  /// Of each service.
  std::optional<SoftwareRecord> Software;
  bool Confirmed = true;
  std::optional<Duration> Age = Duration::zero();
};

using testkit::TestHeaderCodec;

/// The hash of an empty body.
inline const ContentHash NoBody = ContentHasher().finish();

inline RouteSpec route(const char *name, Repeatability kind,
                       const char *service, std::uint32_t servers,
                       bool resumable = false) {
  return {.Name = name,
          .Host = "h",
          .PathPrefix = std::string("/") + name + "/",
          .Kind = kind,
          .Split = {{ServiceName(service), 1}},
          .Timeout = 10s,
          .LatencyTarget = 1s,
          .MaxServers = servers,
          .Resumable = resumable};
}

inline MemberRecord server(const char *name, const char *service,
                           const char *address) {
  return {.Host = HostName(name),
          .Zone = ZoneName("z"),
          .Address = address,
          .Services = {ServiceName(service)},
          .Slots = 4,
          .Registered = true};
}

inline MemberRecord agent(const char *name, const char *address) {
  return {.Host = HostName(name),
          .Incarnation = 1,
          .Address = address,
          .BaseModel = "engines",
          .Slots = 8,
          .BatchCapacity = 8,
          .RemembersStreams = true};
}

/// An entry in front of two plain servers and two engines with their agents.
struct ForwardUnderTest {
  explicit ForwardUnderTest(bool withTable = true, ForwardOptions options = {})
      : Controller(withIdentity(std::move(options)), Configuration, Headers,
                   Routing) {
    if (withTable)
      setTable();
    Controller.onMembers(
        Now, {.Full = true,
              .Complete = true,
              .Members = {server("p1", "plain", "1.0.0.1:80"),
                          server("p2", "plain", "1.0.0.2:80"),
                          server("e1", "engines", "1.0.0.3:80"),
                          server("e2", "engines", "1.0.0.4:80"),
                          agent("a1", "1.0.0.3:9"), agent("a2", "1.0.0.4:9")}});
  }

  static ForwardOptions withIdentity(ForwardOptions options) {
    options.Incarnation = 5;
    options.Servers.Zone = ZoneName("z");
    return options;
  }
  /// \param urgencies of some routes, by name; 0 for the others.
  void setTable(const std::map<std::string, std::uint32_t> &urgencies = {}) {
    RoutingDocument document{
        .Routes = {route("safe", Repeatability::Idempotent, "plain", 2),
                   route("once", Repeatability::NonIdempotent, "plain", 1),
                   route("flow", Repeatability::Stream, "engines", 2, true),
                   route("brook", Repeatability::Stream, "engines", 1)},
        .Services = {{.Name = ServiceName("plain")},
                     {.Name = ServiceName("engines"),
                      .Engine = EngineSpec{.AdapterSlots = 2}}}};
    for (RouteSpec &it : document.Routes)
      if (const auto urgency = urgencies.find(it.Name);
          urgency != urgencies.end())
        it.Priority = urgency->second;
    Controller.setTable(
        std::make_shared<const RoutingTable>(1, std::move(document)));
  }
  /// Refuses the request on behalf of the agent that was asked last.
  void refuse(TimePoint now, RefusalReason reason) {
    const auto asked = only<SendToAgent>();
    const auto execute = std::get<ExecuteRequest>(asked.Content);
    Controller.attempts().onRefused(
        now, asked.Host, {.Attempt = execute.Attempt, .Reason = reason});
  }

  void request(const char *route, int milliseconds = 5000,
               const char *adapter = "x", std::uint64_t key = 1) {
    Controller.onRequest(Now, key,
                         {"POST",
                          std::string("/") + route + "/q",
                          {{"Host", "h"},
                           {"id", "r" + std::to_string(key)},
                           {"time", std::to_string(milliseconds)},
                           {"adapter", adapter}}},
                         "body", ContentHasher().add("body").finish());
  }

  template <class T> std::vector<T> take() {
    for (ForwardCommand &it : Controller.takeCommands())
      Commands.push_back(std::move(it));
    std::vector<T> result;
    std::erase_if(Commands, [&](ForwardCommand &it) {
      auto *command = std::get_if<T>(&it);
      if (command)
        result.push_back(std::move(*command));
      return command != nullptr;
    });
    return result;
  }
  template <class T> T only() {
    auto all = take<T>();
    REQUIRE(all.size() == 1);
    return all.front();
  }
  /// Refuses the request on behalf of \p asked, whose engine is too busy and
  /// has \p cachedTokens of its prompt cached.
  void refuseBusy(const SendToAgent &asked, std::uint32_t cachedTokens,
                  const WeightsVersion &weights) {
    const auto execute = std::get<ExecuteRequest>(asked.Content);
    Controller.attempts().onRefused(Now, asked.Host,
                                    {.Attempt = execute.Attempt,
                                     .Reason = RefusalReason::Busy,
                                     .CachedTokens = cachedTokens,
                                     .Weights = weights});
  }
  /// Grants the permit that the entry asks for.
  /// \returns the command that sends the request.
  SendUpstream permit(const WeightsVersion &weights = {}) {
    const auto asked = only<SendToAgent>();
    const auto execute = std::get<ExecuteRequest>(asked.Content);
    Controller.attempts().onPermit(
        Now, asked.Host, {.Attempt = execute.Attempt, .Weights = weights});
    return only<SendUpstream>();
  }
  /// \returns the address from which the engine is told to fetch prompt parts;
  /// empty for none.
  static std::string fetchOf(const SendUpstream &sent) {
    const std::string *fetch = findHeader(sent.Head.Headers, "fetch");
    return fetch ? *fetch : std::string();
  }
  HeadDecision head(const SendUpstream &sent, int status,
                    HttpHeaders headers = {{"id", "r1"}, {"stamp", "s"}}) {
    return Controller.answers().onHead(Now, sent.Attempt,
                                       {status, std::move(headers)});
  }
  void body(const SendUpstream &sent, std::string_view bytes) {
    Controller.answers().onBody(Now, sent.Attempt, bytes);
  }
  /// Ends the connection, and reports \p checkResult when the entry checks the
  /// server.
  void end(const SendUpstream &sent, UpstreamEnding ending,
           ServerCheckResult checkResult = ServerCheckResult::StillRunning) {
    Controller.answers().onEnd(Now, sent.Attempt, ending);
    check(checkResult);
  }
  /// Ends the checks of servers that the entry has asked for.
  void check(ServerCheckResult checkResult) {
    for (const CheckServer &it : take<CheckServer>())
      Controller.onServerChecked(Now, it.Server, checkResult);
  }

  FakeConfiguration Configuration;
  TestHeaderCodec Headers;
  LeastLoaded Routing;
  ForwardController Controller;
  std::vector<ForwardCommand> Commands;
};

constexpr auto Completed = UpstreamEnding::Complete;
constexpr auto BrokenOff = UpstreamEnding::BrokeOff;
constexpr auto NotSent = UpstreamEnding::NotSent;

} // namespace pimentofront::testing

#endif
