#include "pimentofront/Serving.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};

/// One adapter "a" with live versions 1 and 3, and one kind.
class FixedConfiguration : public ConfigurationView {
public:
  std::optional<AdapterRecord>
  findAdapter(const AdapterName &name) const override {
    if (name != AdapterName("a"))
      return std::nullopt;
    AdapterRecord adapter{
        .Name = name,
        .BaseModel = "base",
        .Versions = {{1, "s1", true}, {2, "s2", false}, {3, "s3", true}}};
    if (Newest > 3)
      adapter.Versions.push_back({Newest, "newest", true});
    return adapter;
  }
  const KindRecord *findKind(const KindName &name) const override {
    return name == Kind.Name ? &Kind : nullptr;
  }
  Revision revision() const override { return At; }
  bool isDrained(const HostName &) const override { return false; }
  bool isEvacuated(const ZoneName &zone) const override {
    return Evacuated.contains(zone);
  }
  const SoftwareRecord *findSoftware(const ServiceName &) const override {
    return nullptr;
  }
  bool isConfirmed(TimePoint) const override { return Confirmed; }
  std::optional<Duration> confirmationAge(TimePoint) const override {
    return Age;
  }

  KindRecord Kind{.Name = KindName("usual"), .Window = 30s, .CallerLimit = 3};
  std::set<ZoneName> Evacuated;
  Revision At = 1;
  bool Confirmed = true;
  std::optional<Duration> Age = Duration::zero();
  /// A live version beyond 3, if there is one.
  VersionNumber Newest = 0;
};

/// An entry with hosts w1 to w3, each of which also serves a plain service.
struct EntryUnderTest {
  EntryUnderTest() : Controller({.Incarnation = 5}, Configuration, Routing) {
    MemberUpdate update;
    for (const char *it : {"w1", "w2", "w3"})
      update.Members.push_back({.Host = HostName(it),
                                .Incarnation = 1,
                                .Address = it,
                                .BaseModel = "base",
                                .Services = {ServiceName("stock")},
                                .Slots = 4,
                                .BatchCapacity = 4});
    Controller.onMembers(Now, update);
  }

  template <class T> std::vector<T> take() {
    std::vector<T> result;
    for (const EntryCommand &it : Controller.takeCommands()) {
      if (const auto *command = std::get_if<T>(&it))
        result.push_back(*command);
      if (const auto *final = std::get_if<DeliverFinal>(&it))
        Finals.push_back(final->Answer);
    }
    return result;
  }
  /// \returns the host and the content of the next attempt.
  std::pair<HostName, ExecuteRequest> sent() {
    for (const SendToAgent &it : take<SendToAgent>())
      if (const auto *execute = std::get_if<ExecuteRequest>(&it.Content))
        return {it.Host, *execute};
    FAIL("nothing was sent");
    return {};
  }
  FinalAnswer final() {
    take<SendToAgent>();
    REQUIRE(Finals.size() == 1);
    return Finals[0];
  }
  void generate(RequestKey key, VersionNumber version = 0) {
    Controller.onRequest(Now, {.Key = key,
                               .Id = RequestId("r"),
                               .Caller = CallerName("club"),
                               .Kind = KindName("usual"),
                               .Adapter = AdapterName("a"),
                               .Version = version,
                               .MaxTokens = 10});
  }
  void callService(RequestKey key) {
    Controller.onRequest(Now, {.Key = key,
                               .Id = RequestId("o"),
                               .Caller = CallerName("club"),
                               .Kind = KindName("usual"),
                               .Service = ServiceName("stock"),
                               .Idempotent = false});
  }

  FixedConfiguration Configuration;
  AffinityRouting Routing{AffinityOptions{}};
  EntryController Controller;
  std::vector<FinalAnswer> Finals;
};

} // namespace

TEST_CASE("the selected version is used, or the highest live version if none "
          "is selected") {
  EntryUnderTest entry;
  entry.generate(1);
  CHECK(entry.sent().second.Key.Version == 3);
  entry.generate(2, 1);
  CHECK(entry.sent().second.Source == "s1");
  entry.generate(3, 2);
  CHECK(entry.final().Reason == RefusalReason::Invalid);
}

// Guards against a request that runs on a version which was superseded while
// the request waited for its claim or for another host.
TEST_CASE("a request that waited uses the version that is live then") {
  EntryUnderTest entry;
  entry.generate(1);
  const auto [host, first] = entry.sent();
  REQUIRE(first.Key.Version == 3);
  entry.Configuration.Newest = 4;
  SECTION("another host is asked for it") {
    entry.Controller.onRefused(
        Now, host,
        {.Attempt = first.Attempt, .Reason = RefusalReason::NotResident});
    const ExecuteRequest next = entry.sent().second;
    CHECK(next.Key.Version == 4);
    CHECK(next.Source == "newest");
  }
  SECTION("an answer that has begun goes on with its own") {
    entry.Controller.onAdmitted(Now, host, {.Attempt = first.Attempt});
    entry.Controller.onChunk(
        Now, host,
        {.Attempt = first.Attempt, .Position = 0, .Tokens = 1, .Text = "a"});
    entry.Controller.onLinkLost(Now, host, /*wasOpen=*/true);
    CHECK(entry.sent().second.Key.Version == 3);
  }
  SECTION("a request that selected a version keeps it") {
    entry.generate(2, 1);
    const auto [other, selected] = entry.sent();
    entry.Controller.onRefused(
        Now, other,
        {.Attempt = selected.Attempt, .Reason = RefusalReason::NotResident});
    CHECK(entry.sent().second.Key.Version == 1);
  }
}

TEST_CASE(
    "an entry without a confirmed configuration refuses with a retry-after") {
  EntryUnderTest entry;
  entry.Configuration.Confirmed = false;
  entry.generate(1);
  const FinalAnswer answer = entry.final();
  CHECK(answer.Kind == FinalKind::Refused);
  CHECK(answer.Reason == RefusalReason::Isolated);
  CHECK(answer.RetryAfter > 0s);
}

TEST_CASE("the limit of a caller bounds its requests in progress and frees up "
          "as they end") {
  EntryUnderTest entry;
  for (RequestKey key = 1; key <= 4; ++key)
    entry.generate(key);
  CHECK(entry.final().Reason == RefusalReason::CallerLimit);
  entry.Controller.onCallerDisconnected(Now, 1);
  entry.generate(5);
  CHECK(entry.sent().second.Request == RequestId("r"));
}

TEST_CASE("every candidate host is asked for the resident adapter before one "
          "loads it") {
  EntryUnderTest entry;
  entry.generate(1);
  std::set<HostName> asked;
  for (std::uint32_t i = 0; i < 3; ++i) {
    const auto [host, execute] = entry.sent();
    CHECK(execute.OnlyIfResident);
    asked.insert(host);
    const std::uint32_t value = host == HostName("w2") ? 5 : 900;
    entry.Controller.onRefused(
        Now, host,
        {.Attempt = execute.Attempt,
         .Reason = RefusalReason::NotResident,
         .Load = {.BatchCapacity = 4, .VictimValue = value}});
  }
  CHECK(asked.size() == 3);
  const auto [host, execute] = entry.sent();
  CHECK_FALSE(execute.OnlyIfResident);
  CHECK(host == HostName("w2")); // The eviction costs least there.
  entry.Controller.onAdmitted(Now, host, {.Attempt = execute.Attempt});
  entry.generate(2);
  CHECK(entry.sent().first == host);
}

TEST_CASE("an interrupted stream is resumed on another host where it stopped") {
  EntryUnderTest entry;
  entry.generate(1);
  const auto [host, execute] = entry.sent();
  entry.Controller.onAdmitted(Now, host, {.Attempt = execute.Attempt});
  entry.Controller.onChunk(Now, host, {execute.Attempt, 0, 4, "four "});
  entry.Controller.onLinkLost(Now, host, true);
  const auto [other, again] = entry.sent();
  CHECK(other != host);
  CHECK(again.ResumeText == "four ");
  CHECK(again.MaxTokens == 6);
  // Late messages of the first attempt are ignored.
  entry.Controller.onChunk(Now, host, {execute.Attempt, 4, 1, "late"});
  entry.Controller.onFinished(Now, host, {.Attempt = execute.Attempt});
  CHECK(entry.take<DeliverChunk>().empty());
  CHECK(entry.Finals.empty());
  entry.Controller.onChunk(Now, other, {again.Attempt, 0, 6, "six"});
  entry.Controller.onFinished(Now, other,
                              {.Attempt = again.Attempt, .Tokens = 6});
  CHECK(entry.final().Tokens == 10);
}

TEST_CASE("an answer with a missing part is not delivered as complete") {
  EntryUnderTest entry;
  entry.generate(1);
  const auto [host, execute] = entry.sent();
  entry.Controller.onChunk(Now, host, {execute.Attempt, 0, 4, "x"});
  entry.Controller.onFinished(Now, host,
                              {.Attempt = execute.Attempt, .Tokens = 5});
  CHECK(entry.Finals.empty());
  CHECK(entry.sent().second.Attempt != execute.Attempt);
}

TEST_CASE("messages about an attempt from another host are ignored") {
  EntryUnderTest entry;
  entry.generate(1);
  const auto [host, execute] = entry.sent();
  const HostName other(host == HostName("w1") ? "w2" : "w1");
  entry.Controller.onFinished(Now, other, {.Attempt = execute.Attempt});
  entry.Controller.onChunk(Now, other, {execute.Attempt, 0, 1, "x"});
  CHECK(entry.take<DeliverChunk>().empty());
  CHECK(entry.Finals.empty());
}

TEST_CASE("a non-idempotent request is sent only after its claim is granted") {
  EntryUnderTest entry;
  entry.callService(1);
  const auto claims = entry.take<ProposeCommand>();
  REQUIRE(claims.size() == 1);
  entry.Controller.onDecision(Now, claims[0].Nonce, CommandOutcome{});
  const auto [host, execute] = entry.sent();
  // The link to the host ends: the request may have run and is not sent again.
  entry.Controller.onLinkLost(Now, host, true);
  CHECK(entry.final().Kind == FinalKind::Unknown);
}

TEST_CASE(
    "a non-idempotent request did not run on a host whose link never opened") {
  EntryUnderTest entry;
  entry.callService(1);
  const auto claims = entry.take<ProposeCommand>();
  entry.Controller.onDecision(Now, claims.at(0).Nonce, CommandOutcome{});
  const auto [host, execute] = entry.sent();
  entry.Controller.onLinkLost(Now, host, false);
  CHECK(entry.sent().first != host);
}

TEST_CASE(
    "an undecided claim is withdrawn and its request is refused as not run") {
  EntryUnderTest entry;
  entry.callService(1);
  const auto claims = entry.take<ProposeCommand>();
  entry.Controller.onDecision(Now + 20s, claims.at(0).Nonce, std::nullopt);
  const auto endings = entry.take<ProposeCommand>();
  REQUIRE(endings.size() == 1);
  CHECK(std::get<RecordEnding>(endings[0].Proposal.Body).Ending ==
        ClaimEnding::NotRun);
  CHECK(entry.Finals.at(0).Reason == RefusalReason::NoClaim);
}

TEST_CASE("an entry that resumes after a suspension checks the deadline before "
          "it sends") {
  EntryUnderTest entry;
  entry.callService(1);
  const auto claims = entry.take<ProposeCommand>();
  entry.Controller.onDecision(Now + 40s, claims.at(0).Nonce, CommandOutcome{});
  CHECK(entry.take<SendToAgent>().empty());
  CHECK(entry.Finals.at(0).Kind == FinalKind::Refused);
}

TEST_CASE("retries are bounded by the retry budget") {
  EntryUnderTest entry;
  int attempts = 0;
  for (RequestKey key = 1; key <= 30; ++key) {
    entry.generate(key);
    while (true) {
      const auto sends = entry.take<SendToAgent>();
      if (sends.empty())
        break;
      const auto &execute = std::get<ExecuteRequest>(sends[0].Content);
      ++attempts;
      entry.Controller.onRefused(
          Now, sends[0].Host,
          {.Attempt = execute.Attempt, .Reason = RefusalReason::BackendDown});
    }
  }
  CHECK(entry.Finals.size() == 30);
  CHECK(attempts <= 30 + 10 + 6); // One each, the reserve, a fifth of 30.
}

TEST_CASE(
    "a refusal for the load backlog is final since it holds for all hosts") {
  EntryUnderTest entry;
  entry.generate(1);
  const auto [host, execute] = entry.sent();
  entry.Controller.onRefused(Now, host,
                             {.Attempt = execute.Attempt,
                              .Reason = RefusalReason::LoadBacklog,
                              .RetryAfter = 3s});
  CHECK(entry.take<SendToAgent>().empty());
  CHECK(entry.Finals.at(0).RetryAfter == 3s);
}

TEST_CASE("removing a host from the rendezvous order moves few adapters") {
  std::vector<MemberView> members(20);
  for (std::size_t i = 0; i < members.size(); ++i)
    members[i].NameHash = stableHash("w" + std::to_string(i));
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const AdapterKey key{AdapterName(std::to_string(i)), 1};
    std::vector<const MemberView *> all;
    all.reserve(members.size());
    for (const MemberView &it : members)
      all.push_back(&it);
    std::vector<const MemberView *> fewer(all.begin() + 1, all.end());
    detail::orderByRendezvous(key, 1, all);
    detail::orderByRendezvous(key, 1, fewer);
    moved += all[0] != fewer[0];
  }
  CHECK(moved > 20);
  CHECK(moved < 90);
}
