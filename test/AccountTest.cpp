#include "ForwardUnderTest.h"

using namespace pimentofront;
using namespace pimentofront::testing;
using namespace std::chrono_literals;

namespace {

ClientAccount account(const char *name, std::vector<const char *> keys) {
  ClientAccount result{.Name = AccountName(name)};
  for (const char *it : keys)
    result.Keys.push_back(KeyDigest::of(it));
  return result;
}

std::string findingsOf(const std::vector<ClientAccount> &accounts) {
  Findings findings;
  checkAccounts(accounts, findings);
  return findings.toText();
}

/// An entry whose routing document contains client accounts.
struct AccountsUnderTest : ForwardUnderTest {
  explicit AccountsUnderTest(std::vector<ClientAccount> accounts = {
                                 account("shop", {"k1", "k2"}),
                                 account("club", {"k3"})}) {
    useAccounts(std::move(accounts));
  }
  void useAccounts(std::vector<ClientAccount> accounts, Revision at = 2) {
    RoutingDocument document = Controller.board().Table->document();
    document.Accounts = std::move(accounts);
    for (RouteSpec &it : document.Routes)
      it.Public = it.Name == "safe";
    Controller.setTable(
        std::make_shared<const RoutingTable>(at, std::move(document)));
  }
  void call(const char *route, HttpHeaders more, std::uint64_t key = 1) {
    HttpHeaders headers = {
        {"Host", "h"}, {"id", "r1"}, {"time", "5000"}, {"adapter", "x"}};
    headers.insert(headers.end(), more.begin(), more.end());
    Controller.onRequest(Now, key,
                         {"POST", std::string("/") + route + "/q", headers},
                         "body", ContentHasher().add("body").finish());
  }
  int refusal() { return only<ReplyComplete>().Head.Status; }
};

} // namespace

TEST_CASE(
    "checking accounts reports every error and no finding contains a key") {
  CHECK(findingsOf({account("a", {"k1", "k1"}), account("b", {"k2"})}).empty());
  CHECK(findingsOf({account("a", {}), account("b", {"k2"})}).empty());
  const std::string shared = findingsOf(
      {account("a", {"secret-1"}), account("b", {"k2", "secret-1"})});
  CHECK(shared.find("/accounts/1/keys/1") != std::string::npos);
  CHECK(shared.find("'a'") != std::string::npos);
  CHECK(shared.find("secret-1") == std::string::npos);
  CHECK(findingsOf({account("", {"k1"})}).find("/accounts/0/name") !=
        std::string::npos);
  CHECK(findingsOf({account("a", {"k1"}), account("a", {"k2"})})
            .find("/accounts/1/name") != std::string::npos);
}

TEST_CASE("a key is looked up among 100,000 accounts") {
  constexpr int Many = 100'000;
  std::vector<ClientAccount> accounts;
  accounts.reserve(Many);
  for (int i = 0; i < Many; ++i)
    accounts.push_back({.Name = AccountName("a" + std::to_string(i)),
                        .Keys = {KeyDigest::of("k" + std::to_string(i))}});
  const AccountTable table(std::move(accounts));
  CHECK(table.findByKey(KeyDigest::of("k77777"))->Name.str() == "a77777");
  CHECK_FALSE(table.findByKey(KeyDigest::of("k100000")));
  CHECK(table.find(AccountName("a5"))->Keys.front() == KeyDigest::of("k5"));
}

TEST_CASE("a backend server receives the account's name regardless of the "
          "caller's headers, and never the key") {
  AccountsUnderTest it;
  it.call("once", {{"key", "k2"}, {"account", "club"}});
  const SendUpstream sent = it.only<SendUpstream>();
  CHECK(*findHeader(sent.Head.Headers, "account") == "shop");
  CHECK_FALSE(findHeader(sent.Head.Headers, "key"));
  for (const ForwardEvent &event : it.Controller.takeEvents())
    CHECK(event.Detail.find("k2") == std::string::npos);
}

TEST_CASE("a public route requires no key and forwards no account name") {
  AccountsUnderTest it;
  it.call("safe", {{"key", "k2"}, {"account", "club"}});
  const SendUpstream sent = it.only<SendUpstream>();
  CHECK_FALSE(findHeader(sent.Head.Headers, "account"));
  CHECK_FALSE(findHeader(sent.Head.Headers, "key"));
}

TEST_CASE("a request without a known key is refused only by an entry that "
          "has the newest configuration") {
  AccountsUnderTest it;
  SECTION("an unknown key") {
    it.call("once", {{"key", "k9"}});
    CHECK(it.refusal() == 401);
  }
  SECTION("no key") {
    it.call("once", {});
    CHECK(it.refusal() == 401);
  }
  SECTION("a key that was removed from its account") {
    it.useAccounts({account("shop", {}), account("club", {"k3"})}, 3);
    it.call("once", {{"key", "k1"}});
    CHECK(it.refusal() == 401);
  }
  SECTION("with a possibly stale configuration the request waits, then is "
          "refused as unavailable") {
    it.Configuration.Confirmed = false;
    it.call("once", {{"key", "k9"}});
    CHECK(it.take<ReplyComplete>().empty());
    it.Controller.tick(Now + 1700ms);
    CHECK(it.refusal() == 503);
  }
  SECTION(
      "with a possibly stale configuration the key is found in a newer one") {
    it.Configuration.Confirmed = false;
    it.call("once", {{"key", "k9"}});
    it.useAccounts({account("club", {"k9"})}, 3);
    it.Controller.tick(Now + 110ms);
    CHECK(*findHeader(it.only<SendUpstream>().Head.Headers, "account") ==
          "club");
  }
  CHECK(it.take<SendUpstream>().empty());
}

TEST_CASE(
    "a key is accepted for the revocation bound after the last confirmation "
    "of the configuration") {
  const Duration bound = GENERATE(500ms, 2s, 5s, 30s);
  FakeConfiguration configuration;
  testkit::TestHeaderCodec headers;
  LeastLoaded routing;
  ForwardController controller({.Incarnation = 5, .RevocationBound = bound},
                               configuration, headers, routing);
  RoutingDocument document{
      .Routes = {route("once", Repeatability::NonIdempotent, "plain", 1)},
      .Services = {{.Name = ServiceName("plain")}},
      .Accounts = {account("shop", {"k1"})}};
  controller.setTable(
      std::make_shared<const RoutingTable>(1, std::move(document)));
  controller.onMembers(Now, {.Full = true,
                             .Complete = true,
                             .Members = {server("p1", "plain", "1.0.0.1:80")}});
  const auto sendsAt = [&](std::optional<Duration> age) {
    configuration.Age = age;
    // The entry has been cut off for longer than a confirmation is valid.
    configuration.Confirmed = false;
    controller.onRequest(
        Now, 1,
        {"POST",
         "/once/q",
         {{"Host", "h"}, {"id", "r"}, {"time", "9000"}, {"key", "k1"}}},
        "", NoBody);
    bool sent = false;
    bool refused = false;
    for (const ForwardCommand &it : controller.takeCommands()) {
      sent = sent || std::holds_alternative<SendUpstream>(it);
      if (const auto *reply = std::get_if<ReplyComplete>(&it)) {
        refused = reply->Head.Status == 503;
        CHECK(findHeader(reply->Head.Headers, "come-back"));
      }
    }
    CHECK(sent != refused);
    controller.onCallerDisconnected(Now, 1);
    controller.takeCommands();
    return sent;
  };
  CHECK(sendsAt(Duration::zero()));
  CHECK(sendsAt(bound * 98 / 100));
  // The margin allows for a clock of this host that runs slow against others.
  CHECK_FALSE(sendsAt(bound * 999 / 1000 + 1us));
  CHECK_FALSE(sendsAt(bound));
  CHECK_FALSE(sendsAt(std::nullopt));
  const auto readyAt = [&](Duration age) {
    configuration.Age = age;
    return controller.accounts().ready(Now);
  };
  CHECK(readyAt(bound * 59 / 100));
  CHECK_FALSE(readyAt(bound * 6 / 10));
}

TEST_CASE(
    "an entry that can't read the newest routing document accepts no keys") {
  AccountsUnderTest it;
  it.Controller.setTableOutdated();
  it.call("once", {{"key", "k1"}});
  CHECK(it.refusal() == 503);
  it.call("once", {{"key", "k9"}}, 2);
  CHECK(it.take<ReplyComplete>().empty()); // It doesn't answer 401, either.
}

TEST_CASE("an account's priority overrides the priority of the route") {
  ClientAccount urgent = account("shop", {"k1"});
  urgent.Priority = 0;
  RoutingDocument document;
  AccountsUnderTest it({urgent, account("club", {"k3"})});
  it.call("flow", {{"key", "k1"}});
  CHECK(*findHeader(it.permit().Head.Headers, "priority") == "0");
  AccountsUnderTest other({urgent, account("club", {"k3"})});
  other.call("flow", {{"key", "k3"}});
  CHECK(
      *findHeader(other.permit().Head.Headers, "priority") ==
      std::to_string(other.Controller.board().Requests.at(1).Route->Priority));
}

TEST_CASE(
    "one account can't cause the quarantine of another account's requests") {
  AccountsUnderTest it;
  it.call("once", {{"key", "k1"}}, 1);
  it.call("once", {{"key", "k3"}}, 2);
  it.call("once", {{"key", "k2"}}, 3);
  const auto contentOf = [&](std::uint64_t key) {
    return it.Controller.board().Requests.at(key).Content;
  };
  CHECK(contentOf(1) != contentOf(2));
  CHECK(contentOf(1) == contentOf(3)); // Two keys of the same account.
}

TEST_CASE("a request of a rate-limited account waits for its units") {
  ClientAccount limited = account("shop", {"k1"});
  limited.Limit = {.Unit = AllotmentUnit::Token,
                   .PerSecond = 1000,
                   .Burst = 1000,
                   .PlainTokens = 200};
  AccountsUnderTest it({limited});
  it.call("once", {{"key", "k1"}, {"tokens", "900"}});
  CHECK(it.take<SendUpstream>().empty());
  const auto report = it.Controller.takeAllotmentReport(Now);
  REQUIRE(report);
  CHECK(report->Uses.front().Needs == std::vector<std::uint64_t>{900});
  AllotmentGrants grants{.Nonce = report->Nonce, .Ledger = 4, .Lease = 4s};
  SECTION("and is sent once they are granted") {
    grants.Grants = {{.Account = limited.Name,
                      .Decided = true,
                      .NeedsMet = 1,
                      .Units = 1100}};
    it.Controller.onAllotmentGrants(Now, grants);
    it.only<SendUpstream>();
    // The units granted in advance cover the next request, which doesn't state
    // its tokens.
    it.call("once", {{"key", "k1"}}, 2);
    it.only<SendUpstream>();
    it.call("once", {{"key", "k1"}}, 3);
    CHECK(it.take<SendUpstream>().empty());
  }
  SECTION("and is refused beyond the limit, with the time until they are "
          "available") {
    grants.Grants = {
        {.Account = limited.Name, .Decided = true, .RetryAfter = 700ms}};
    it.Controller.onAllotmentGrants(Now, grants);
    const auto reply = it.only<ReplyComplete>();
    CHECK(reply.Head.Status == 429);
    CHECK(std::stoll(*findHeader(reply.Head.Headers, "come-back")) >= 350'000);
    CHECK(it.take<SendUpstream>().empty());
  }
  SECTION("and is refused as unavailable, not as beyond the limit, when no "
          "ledger decides") {
    it.Controller.tick(Now + 1700ms);
    CHECK(it.refusal() == 503);
  }
  SECTION("and asks for no units once its caller has disconnected") {
    it.Controller.onCallerDisconnected(Now, 1);
    it.Controller.onLedgerLinkLost(Now);
    CHECK_FALSE(it.Controller.takeAllotmentReport(Now + 500ms));
  }
}
