#include "Settings.h"

#include <catch2/catch.hpp>

using namespace pimentofront;

namespace {

constexpr const char *Good = R"({
  "host": "n1", "zone": "suva",
  "http": "127.0.0.1:8080", "peers": "127.0.0.1:9080",
  "replicas": ["127.0.0.1:9080"],
  "entry": {"affinity_choices": 3},
  "agent": {"engine": "127.0.0.1:9000", "base_model": "m", "slots": 5,
            "services": [{"name": "stock", "address": "127.0.0.1:1"}]},
  "replica": {"folder": "/data"}
})";

std::string findings(const std::string &text) {
  Findings result;
  Settings::parse("f.json", text, result);
  return result.toText();
}

std::string replaced(const std::string &from, const std::string &to) {
  std::string text = Good;
  text.replace(text.find(from), from.size(), to);
  return text;
}

} // namespace

TEST_CASE("valid settings are applied") {
  Findings faults;
  const Settings settings = Settings::parse("f.json", Good, faults);
  CHECK(faults.toText().empty());
  CHECK(settings.Agent.Agent.Slots == 5);
  CHECK(settings.Affinity.Choices == 3);
  CHECK(settings.Services.at(0).Name == ServiceName("stock"));
}

TEST_CASE("each fault is reported with its line and JSON pointer") {
  CHECK(findings(replaced("\"slots\": 5", "\"slots\": 0")) ==
        "f.json:6: /agent/slots: expected an integer from 1 to 4096\n");
  CHECK(findings(replaced("\"slots\"", "\"slotz\"")) ==
        "f.json:6: /agent/slotz: unknown key\n");
  CHECK(findings(replaced("\"slots\": 5", "\"request_order\": \"late\"")) ==
        "f.json:6: /agent/request_order: expected urgency, tokens or kind\n");
  CHECK(findings(replaced("\"n1\"", "7")) ==
        "f.json:2: /host: expected a text\n");
  CHECK(findings(replaced("127.0.0.1:1\"", "somewhere\"")) ==
        "f.json:7: /agent/services/0/address: expected \"ip:port\" with a "
        "numeric IPv4 address\n");
}

TEST_CASE("all faults are reported together") {
  const std::string text = findings(R"({"host": "", "extra": 1, "entry": {}})");
  for (const char *it : {"host", "zone", "http", "peers", "replicas", "extra"})
    CHECK(text.find(it) != std::string::npos);
}

TEST_CASE("contradictory settings are faults") {
  CHECK(findings(replaced("\"peers\": \"127.0.0.1:9080\"",
                          "\"peers\": \"127.0.0.1:8080\""))
            .find("the same address as http") != std::string::npos);
  CHECK(findings(replaced("\"folder\"", "\"heartbeat_ms\": 500, \"folder\""))
            .find("three times heartbeat_ms") != std::string::npos);
  CHECK(findings(replaced("\"base_model\": \"m\", ", "")).find("go together") !=
        std::string::npos);
}

TEST_CASE("malformed JSON, deep nesting and duplicate keys are reported") {
  CHECK(findings("{\n\"a\": }").find("f.json:2") == 0);
  CHECK(findings("[1]").find("expected an object") != std::string::npos);
  CHECK(findings(std::string(100000, '[')).find("proper JSON") !=
        std::string::npos);
  CHECK(findings(replaced("\"zone\": \"suva\"",
                          "\"zone\": \"suva\", \"zone\": \"nadi\""))
            .find("stands twice") != std::string::npos);
}

namespace {

/// \returns the findings for an entry with these settings of bytes.
std::string findingsOfBounds(const std::string &bounds, Settings &settings) {
  Findings faults;
  settings = Settings::parse(
      "f.json",
      R"({"host": "n1", "zone": "suva", "http": "127.0.0.1:8080",
          "peers": "127.0.0.1:9080", "replicas": ["127.0.0.1:9080"],
          "forward": {"listen": "127.0.0.1:8081", )" +
          bounds + "}}",
      faults);
  return faults.toText();
}

} // namespace

// Guards against deployments whose terms don't speak of slow readers: their
// entries held whatever callers sent, until they ran out of memory.
TEST_CASE("bytes are bounded on every deployment", "[held-bytes]") {
  constexpr std::size_t Mebibyte = std::size_t(1) << 20;
  Settings settings;
  const ForwardOptions &forward = settings.Forward.Forward;
  const auto good = [&](const char *bounds) {
    CHECK(findingsOfBounds(bounds, settings).empty());
  };
  good(R"("memory_mb": 160, "terms": ["base", "unheard of"])");
  CHECK(forward.Bytes.Limit == 64 * Mebibyte);
  CHECK(forward.Bytes.KeepsHeadroom);
  CHECK(forward.ServerBytes == 0);
  good(R"("memory_mb": 160, "terms": ["base", "pressure"])");
  CHECK(forward.Bytes.Limit == 64 * Mebibyte);
  CHECK(forward.ServerBytes == 64 * Mebibyte);
  good(R"("memory_mb": 20)");
  CHECK(forward.Bytes.Limit == 16 * Mebibyte);
  good(R"("terms": ["pressure"])"); // The memory isn't known.
  CHECK(forward.Bytes.Limit > 100 * Mebibyte);
  CHECK(forward.Bytes.Limit < 112 * Mebibyte);
  good(R"("held_bytes_mb": 24, "server_bytes_mb": 0)");
  CHECK(forward.Bytes.Limit == 24 * Mebibyte);
  CHECK(forward.ServerBytes == 0);
  const auto bad = [&](const char *bounds) {
    CHECK_FALSE(findingsOfBounds(bounds, settings).empty());
  };
  bad(R"("held_bytes_mb": 3)");
  bad(R"("held_bytes_mb": -1)");
  bad(R"("memory_mb": 99999999999)");
  bad(R"("terms": "pressure")");
  bad(R"("terms": [7])");
}
