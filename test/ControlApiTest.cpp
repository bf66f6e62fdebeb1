// A process whose disk could not be opened at its start did not recognise the
// platform's calls until its first successful write to the disk, and answered
// 405 to a backend server's heartbeat. The server took that for a final answer
// instead of asking the next replica.

#include "ControlApi.h"
#include "ManifestReader.h"

#include <catch2/catch.hpp>

using namespace pimentofront;

namespace {

/// An exchange that records the status of its reply.
class RecordedExchange : public HttpExchange {
public:
  RecordedExchange(std::string method, std::string path)
      : Method(std::move(method)), Path(std::move(path)) {}
  std::string_view method() const override { return Method; }
  std::string_view path() const override { return Path; }
  std::string_view body() const override { return "{}"; }
  std::string takeBody() override { return "{}"; }
  std::string_view header(const char *) const override { return {}; }
  bool isDisconnected() const override { return false; }
  std::size_t unsentBytes() const override { return 0; }
  void reply(int status, const std::vector<HttpHeader> &,
             std::string_view) override {
    Status = status;
  }
  void beginStream(int status, const std::vector<HttpHeader> &) override {
    Status = status;
  }
  void sendPiece(std::string_view) override {}
  void endStream() override {}
  void abort() override {}
  void onDisconnect(std::function<void()>) override {}

  int Status = 0;

private:
  std::string Method;
  std::string Path;
};

/// Next handler, which rejects every call with status 405.
class NothingElse : public HttpHandler {
public:
  void onRequest(std::shared_ptr<HttpExchange> exchange) override {
    exchange->reply(405, {}, "");
  }
};

int statusOf(const platform::ControlApiOptions &options, const char *method,
             const char *path) {
  EventLoop loop;
  const platform::ManifestReader documents;
  NothingElse next;
  platform::ControlApi api(loop, options, documents, next);
  const auto exchange = std::make_shared<RecordedExchange>(method, path);
  api.onRequest(exchange);
  return exchange->Status;
}

} // namespace

TEST_CASE(
    "a replica that can't use its disk answers the platform's calls with 503",
    "[control-api]") {
  const platform::ControlApiOptions replica{.ServesControl = true};
  CHECK(statusOf(replica, "PUT", "/-/instances/i-1") == 503);
  CHECK(statusOf(replica, "PUT", "/-/config") == 503);
  CHECK(statusOf(replica, "POST", "/-/version-put") == 503);
}

TEST_CASE("a process without a replica passes the platform's calls on",
          "[control-api]") {
  CHECK(statusOf({}, "PUT", "/-/instances/i-1") == 405);
}

TEST_CASE("evacuation orders get status 503 while there is no replica",
          "[control-api]") {
  const platform::ControlApiOptions replica{
      .ServesControl = true, .Zones = {{ZoneName("z"), RegionName("r")}}};
  // Without a replica the process can't tell whether the order is in force.
  CHECK(statusOf(replica, "POST", "/-/evacuation/z") == 503);
  CHECK(statusOf(replica, "DELETE", "/-/evacuation/z") == 503);
}

TEST_CASE("a server's name that isn't text gets status 400", "[control-api]") {
  const platform::ControlApiOptions replica{.ServesControl = true};
  for (const char *method : {"PUT", "DELETE"}) {
    CHECK(statusOf(replica, method, "/-/instances/i\xFF") == 400);
    CHECK(statusOf(replica, method, "/-/instances/") == 400);
  }
}
