#include "pimentofront/Forward.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

namespace {

RouteSpec route(std::string name, std::string host, std::string prefix) {
  return {.Name = std::move(name),
          .Host = std::move(host),
          .PathPrefix = std::move(prefix),
          .Split = {{ServiceName("s"), 1}},
          .Timeout = 1s};
}

RoutingDocument document() {
  return {.Number = 3,
          .Routes = {route("root", "a.example", "/"),
                     route("long", "a.example", "/x/y/"),
                     route("short", "a.example", "/x/"),
                     route("other", "b.example", "/x/")},
          .Services = {{.Name = ServiceName("s")}}};
}

std::string found(const RoutingTable &table, const char *host,
                  const char *path) {
  const RouteSpec *it = table.findRoute(host, path);
  return it ? it->Name : "-";
}

std::string errorsOf(const RoutingDocument &document) {
  Findings findings;
  document.check(findings);
  return findings.toText();
}

} // namespace

TEST_CASE("the route of the host with the longest matching prefix is chosen") {
  const RoutingTable table(1, document());
  CHECK(found(table, "a.example", "/x/y/z") == "long");
  CHECK(found(table, "a.example", "/x/y") == "short");
  CHECK(found(table, "A.Example:8080", "/x/yy/?q=/x/y/") == "short");
  CHECK(found(table, "a.example", "/q") == "root");
  CHECK(found(table, "b.example", "/x/") == "other");
  CHECK(found(table, "b.example", "/x") == "-");
  CHECK(found(table, "c.example", "/x/") == "-");
  CHECK(found(table, "", "") == "-");
}

TEST_CASE("services are chosen in proportion to the weights of the split") {
  RouteSpec split = route("r", "h", "/");
  split.Split = {{ServiceName("none"), 0},
                 {ServiceName("most"), 90},
                 {ServiceName("few"), 10}};
  int few = 0;
  constexpr int Draws = 1000;
  for (int i = 0; i < Draws; ++i) {
    const ServiceName &it =
        RoutingTable::chooseService(split, double(i) / Draws);
    CHECK(it != ServiceName("none"));
    few += it == ServiceName("few");
  }
  CHECK(few == 100);
}

TEST_CASE("all errors in a document are reported with their locations") {
  CHECK(errorsOf(document()).empty());
  RoutingDocument bad = document();
  bad.Routes[0].Split = {{ServiceName("missing"), 1}};
  bad.Routes[1].Split = {{ServiceName("s"), 0}};
  bad.Routes[2].Timeout = 0s;
  bad.Routes[3] = bad.Routes[2];
  const std::string errors = errorsOf(bad);
  CHECK(errors.find("/routes/0/split: no service 'missing'") !=
        std::string::npos);
  CHECK(errors.find("/routes/1/split: the weights add up to 0") !=
        std::string::npos);
  CHECK(errors.find("/routes/2/timeout") != std::string::npos);
  CHECK(errors.find("/routes/3/prefix: another route") != std::string::npos);
}

TEST_CASE(
    "every event is passed on once and complete, however the bytes are split") {
  const std::string bytes =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: half";
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    EventStream stream;
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += step)
      out += stream.feed(std::string_view(bytes).substr(i, step));
    CHECK(out == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(stream.partial() == "id: 3\ndata: half");
    CHECK(stream.lastId() == 2U);
    // Another server resumes the stream from an event that the caller already
    // has.
    stream.restart();
    CHECK(stream.feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") ==
          "id: 3\ndata: c\n\n");
  }
}

// Guards against streams whose events end in CR, or begin with a byte-order
// mark: none of their events was passed on before the end of the answer, and
// the id of the first one was lost.
TEST_CASE("events are told apart by each line ending of the format",
          "[event-line-endings]") {
  const std::string end = GENERATE("\n", "\r", "\r\n");
  const std::string mark = GENERATE("", "\xEF\xBB\xBF");
  const std::string first = mark + "id: 1" + end + "data: a" + end + end;
  const std::string second = ": comment" + end + "id: 2" + end + end;
  const std::string bytes = first + second;
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    EventStream stream;
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += step)
      out += stream.feed(std::string_view(bytes).substr(i, step));
    CHECK(out == bytes);
    CHECK(stream.partial().empty());
    CHECK(stream.events() == 2);
    CHECK(stream.lastId() == 2U);
  }
  EventStream stream;
  CHECK(stream.feed(first) == first);
  CHECK(stream.lastId() == 1U);
  stream.restart();
  CHECK(stream.feed(bytes) == second);
}

TEST_CASE("a packed text is restored and damaged data is rejected") {
  std::string text;
  for (int i = 0; i < 1000; ++i)
    text += "{\"route\": " + std::to_string(i) + "}";
  const std::string packed = packText(text);
  CHECK(packed.size() < text.size() / 4);
  CHECK(unpackText(packed) == text);
  CHECK(unpackText(packText("")).empty());
  CHECK(unpackText(packed.substr(0, packed.size() / 2)).empty());
  CHECK(unpackText("").empty());
  CHECK(unpackText(std::string(16, '\xff')).empty());
}

TEST_CASE(
    "a route counts as added if the first table of the process lacks it") {
  RoutingDocument first = document();
  RoutingDocument second = first;
  RouteSpec route = first.Routes.front();
  route.PathPrefix = "/added-later/";
  second.Routes.push_back(route);
  RoutingDocument third = second;
  std::erase(third.Routes, first.Routes.front());
  RoutingDocument fourth = third;
  fourth.Routes.push_back(first.Routes.front());

  const RoutingTable a(1, first);
  const RoutingTable b(2, second, &a);
  const RoutingTable c(3, third, &b);
  const RoutingTable d(4, fourth, &c);
  const auto isAdded = [](const RoutingTable &table, std::size_t i) {
    return table.isAdded(table.document().Routes[i]);
  };
  CHECK_FALSE(isAdded(a, 0));
  CHECK_FALSE(isAdded(b, 0));
  CHECK(isAdded(b, second.Routes.size() - 1));
  CHECK(isAdded(c, third.Routes.size() - 1));
  // One that was removed and returns is a new route.
  CHECK(isAdded(d, fourth.Routes.size() - 1));
}
