// A backend server's heartbeat was answered 405 by a replica: a process whose
// disk couldn't be opened at its start took the platform's calls for such as it
// doesn't know, until its disk had taken a write once. The server took that for
// a final answer in place of asking the next replica.

#include "ControlApi.h"
#include "ManifestReader.h"

#include <catch2/catch.hpp>

using namespace pimentofront;

namespace {

/// A call, and the status that it was answered.
class RecordedExchange : public HttpExchange {
public:
  RecordedExchange(std::string method, std::string path)
      : Method(std::move(method)), Path(std::move(path)) {}
  std::string_view method() const override { return Method; }
  std::string_view path() const override { return Path; }
  std::string_view body() const override { return "{}"; }
  std::string_view header(const char *) const override { return {}; }
  bool gone() const override { return false; }
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
  void onGone(std::function<void()>) override {}

  int Status = 0;

private:
  std::string Method;
  std::string Path;
};

/// Knows no call at all.
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

TEST_CASE("a replica that can't use its disk sends callers elsewhere",
          "[control-api]") {
  const platform::ControlApiOptions replica{.ServesControl = true};
  CHECK(statusOf(replica, "PUT", "/-/instances/i-1") == 503);
  CHECK(statusOf(replica, "PUT", "/-/config") == 503);
  CHECK(statusOf(replica, "POST", "/-/version-put") == 503);
}

TEST_CASE("other processes leave the platform's calls to the next handler",
          "[control-api]") {
  CHECK(statusOf({}, "PUT", "/-/instances/i-1") == 405);
}

TEST_CASE("orders on zones that don't exist are refused", "[control-api]") {
  const platform::ControlApiOptions replica{
      .ServesControl = true, .Zones = {{ZoneName("z"), RegionName("r")}}};
  // Without a replica nobody can say.
  CHECK(statusOf(replica, "POST", "/-/evacuation/z") == 503);
  CHECK(statusOf(replica, "DELETE", "/-/evacuation/z") == 503);
}
