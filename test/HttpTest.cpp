#include "pimentofront/Http.h"

#include <catch2/catch.hpp>

using namespace pimentofront;

namespace {

/// Collects what a parser reports, message by message.
struct Collector : HttpMessageHandler {
  bool onRequestHead(RequestHead head) override {
    Requests.push_back(std::move(head));
    return true;
  }
  bool onResponseHead(ResponseHead head) override {
    Responses.push_back(std::move(head));
    return true;
  }
  void onBody(std::string_view bytes) override { Body += bytes; }
  void onMessageEnd() override { ++Ended; }

  std::vector<RequestHead> Requests;
  std::vector<ResponseHead> Responses;
  std::string Body;
  int Ended = 0;
};

struct ParserUnderTest {
  explicit ParserUnderTest(HttpMessageKind side, const HttpLimits &limits = {})
      : Parser(side, limits, Collected) {}
  /// Feeds all bytes, \p step at a time. \returns whether there is no fault.
  bool feed(std::string_view bytes, std::size_t step = 100000) {
    while (!bytes.empty() && Parser.fault() == HttpFault::None) {
      std::string_view part = bytes.substr(0, step);
      const std::size_t used = Parser.feed(part);
      if (used == 0)
        break;
      bytes.remove_prefix(used);
    }
    return Parser.fault() == HttpFault::None;
  }
  Collector Collected;
  HttpParser Parser;
};

HttpFault faultOf(std::string_view bytes, HttpLimits limits = {}) {
  ParserUnderTest reading(HttpMessageKind::Requests, limits);
  reading.feed(bytes);
  return reading.Parser.fault();
}

} // namespace

TEST_CASE("a request is parsed alike however its bytes are split") {
  const std::string bytes = "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\n"
                            "Transfer-Encoding: chunked\r\nX-Y: z\r\n\r\n"
                            "3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n";
  for (const std::size_t step : {1U, 2U, 7U, 1000U}) {
    ParserUnderTest reading(HttpMessageKind::Requests);
    REQUIRE(reading.feed(bytes, step));
    REQUIRE(reading.Collected.Ended == 1);
    CHECK(reading.Collected.Body == "abcde");
    CHECK(reading.Collected.Requests.at(0).Method == "POST");
    CHECK(reading.Collected.Requests.at(0).Target == "/a/b?c=d");
    CHECK(*findHeader(reading.Collected.Requests.at(0).Headers, "x-y") == "z");
  }
}

TEST_CASE("the parser stops after each of several pipelined messages") {
  ParserUnderTest reading(HttpMessageKind::Requests);
  const std::string two = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
  const std::size_t used = reading.Parser.feed(two);
  CHECK(used == two.size() / 2);
  CHECK(reading.Collected.Requests.size() == 1);
  reading.feed(two.substr(used));
  CHECK(reading.Collected.Requests.size() == 2);
}

TEST_CASE("an ambiguous request is rejected") {
  const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
  const char *smuggling[] = {
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      "Content-Length : 3\r\n\r\nabc",
      "Content-Length: +3\r\n\r\nabc",
      "Content-Length: -3\r\n\r\nabc",
  };
  for (const char *it : smuggling) {
    INFO(it);
    CHECK(faultOf(start + it) == HttpFault::Malformed);
  }
  CHECK(faultOf(start + std::string("X-A: b\0c\r\n\r\n", 12)) ==
        HttpFault::Malformed);
  CHECK(faultOf("CONNECT a:1 HTTP/1.1\r\n\r\n") == HttpFault::Malformed);
  CHECK(faultOf("not http at all\r\n\r\n") == HttpFault::Malformed);
}

TEST_CASE("a request that exceeds the limits is rejected") {
  const HttpLimits limits{.MaxHeadBytes = 1000, .MaxBodyBytes = 10};
  CHECK(faultOf("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n",
                limits) == HttpFault::HeadTooLarge);
  CHECK(faultOf("GET /" + std::string(2000, 'x') + " HTTP/1.1\r\n\r\n",
                limits) == HttpFault::HeadTooLarge);
  std::string flood = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 200; ++i)
    flood += "X-" + std::to_string(i) + ": y\r\n";
  CHECK(faultOf(flood + "\r\n", limits) == HttpFault::HeadTooLarge);
  CHECK(faultOf("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", limits) ==
        HttpFault::BodyTooLarge);
  CHECK(faultOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "b\r\n01234567890\r\n0\r\n\r\n",
                limits) == HttpFault::BodyTooLarge);
  CHECK(faultOf("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n0123456789",
                limits) == HttpFault::None);
}

TEST_CASE("a truncated response is never taken as complete") {
  const char *cut[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na",
      "HTTP/1.1 200 OK\r\nContent-Le",
  };
  for (const char *it : cut) {
    INFO(it);
    ParserUnderTest reading(HttpMessageKind::Responses);
    reading.feed(it);
    reading.Parser.finish();
    CHECK(reading.Collected.Ended == 0);
    CHECK(reading.Parser.fault() == HttpFault::Malformed);
  }
}

TEST_CASE("a response without a length is complete when its connection ends") {
  ParserUnderTest reading(HttpMessageKind::Responses);
  reading.feed("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK(reading.Collected.Ended == 0);
  reading.Parser.finish();
  CHECK(reading.Collected.Ended == 1);
  CHECK(reading.Collected.Body == "abc");
  CHECK_FALSE(reading.Parser.keepsConnection());
}

TEST_CASE("responses with ambiguous framing are rejected") {
  for (const char *it :
       {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "\x01\x02\x03garbage\r\n\r\n"}) {
    ParserUnderTest reading(HttpMessageKind::Responses);
    CHECK_FALSE(reading.feed(it));
  }
}

TEST_CASE("an interim response is skipped, and HEAD has no body") {
  ParserUnderTest reading(HttpMessageKind::Responses);
  reading.Parser.expectResponseTo("HEAD");
  REQUIRE(reading.feed("HTTP/1.1 100 Continue\r\n\r\n"
                       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"));
  REQUIRE(reading.Collected.Ended == 1);
  CHECK(reading.Collected.Responses.at(0).Status == 200);
  CHECK(reading.Collected.Body.empty());
}

// Guards against a status that no response may have and that reaches a caller,
// or that is taken for an interim response, so that the request waits for a
// final one until its deadline.
TEST_CASE("a response with an invalid status is malformed") {
  const auto status = GENERATE(as<std::string>(), "000", "001", "099", "0",
                               "20", "101", "600", "999", "2000");
  const auto framing = GENERATE(as<std::string>(), "", "Content-Length: 2\r\n",
                                "Transfer-Encoding: chunked\r\n");
  CAPTURE(status, framing);
  ParserUnderTest reading(HttpMessageKind::Responses);
  CHECK_FALSE(
      reading.feed("HTTP/1.1 " + status + " Text\r\n" + framing + "\r\n"));
  CHECK(reading.Parser.fault() == HttpFault::Malformed);
  CHECK(reading.Collected.Responses.empty());
}

TEST_CASE("the first and the last status that a response may have are passed "
          "on") {
  const auto status = GENERATE(200U, 299U, 404U, 500U, 599U);
  ParserUnderTest reading(HttpMessageKind::Responses);
  REQUIRE(reading.feed("HTTP/1.1 " + std::to_string(status) +
                       " Text\r\nContent-Length: 0\r\n\r\n"));
  CHECK(reading.Collected.Ended == 1);
  CHECK(reading.Collected.Responses.at(0).Status == static_cast<int>(status));
}

// Guards against an interim response whose body hides the final one.
TEST_CASE("an interim response has no body") {
  const std::string last = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const auto status = GENERATE(as<std::string>(), "100", "102", "103", "199");
  CAPTURE(status);
  ParserUnderTest reading(HttpMessageKind::Responses);
  SECTION("and announces none") {
    const auto header =
        GENERATE(as<std::string>(), "", "X: y\r\n", "Content-Length: 0\r\n");
    REQUIRE(reading.feed("HTTP/1.1 " + status + " Text\r\n" + header + "\r\n" +
                         last));
    CHECK(reading.Collected.Responses.size() == 1);
    CHECK(reading.Collected.Body == "ok");
  }
  SECTION("or is malformed") {
    const auto header = GENERATE(as<std::string>(), "Content-Length: 40\r\n",
                                 "Transfer-Encoding: chunked\r\n");
    CHECK_FALSE(reading.feed("HTTP/1.1 " + status + " Text\r\n" + header +
                             "\r\n" + last));
    CHECK(reading.Collected.Responses.empty());
  }
}

// Guards against a request that waits until its deadline for a body which these
// responses never have, whatever length they state (RFC 9112, 6.3).
TEST_CASE("a response 204 or 304 ends with its head") {
  const auto status = GENERATE(as<std::string>(), "204", "304");
  const auto header = GENERATE(as<std::string>(), "", "Content-Length: 9\r\n",
                               "Transfer-Encoding: chunked\r\n");
  CAPTURE(status, header);
  ParserUnderTest reading(HttpMessageKind::Responses);
  REQUIRE(reading.feed("HTTP/1.1 " + status + " Text\r\n" + header + "\r\n"));
  CHECK(reading.Collected.Ended == 1);
  CHECK(reading.Collected.Body.empty());
}

TEST_CASE("mutated requests don't crash the parser or yield surplus data") {
  // Mutates well-formed messages with a fixed seed.
  const std::string wellFormed[] = {
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
      "0\r\n\r\n"};
  Random random(7);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = wellFormed[random.next() % 2];
    for (std::uint64_t n = random.next() % 4; n > 0; --n)
      bytes[random.next() % bytes.size()] = static_cast<char>(random.next());
    ParserUnderTest reading(HttpMessageKind::Requests);
    reading.feed(bytes, 1 + random.next() % bytes.size());
    CHECK(reading.Collected.Ended <= 2);
    CHECK(reading.Collected.Body.size() <= bytes.size());
  }
}

TEST_CASE("written messages are parsed back unchanged") {
  const RequestHead head{"POST", "/x", {{"Host", "h"}, {"A", "b"}}};
  ParserUnderTest requests(HttpMessageKind::Requests);
  REQUIRE(requests.feed(writeRequestHead(head, 3) + "abc"));
  REQUIRE(requests.Collected.Ended == 1);
  CHECK(requests.Collected.Requests.at(0).Target == "/x");
  CHECK(requests.Collected.Body == "abc");
  const ResponseHead answer{200, {{"A", "b"}}};
  ParserUnderTest answers(HttpMessageKind::Responses);
  REQUIRE(answers.feed(
      writeResponseHead(answer, HttpFraming::Chunked, 0, true) +
      writeChunkHead(20) + std::string(20, 'x') + "\r\n0\r\n\r\n"));
  CHECK(answers.Collected.Body == std::string(20, 'x'));
  CHECK(writeResponseHead(answer, HttpFraming::Length, 3, false)
            .find("Connection: close") != std::string::npos);
}

TEST_CASE("hop-by-hop headers are removed") {
  HttpHeaders headers = {
      {"Connection", "close, X-Hop"}, {"x-hop", "1"},
      {"Keep-Alive", "timeout=5"},    {"Transfer-Encoding", "chunked"},
      {"Content-Length", "3"},        {"X-Stays", "2"}};
  removeConnectionHeaders(headers);
  CHECK(headers == HttpHeaders{{"X-Stays", "2"}});
}
