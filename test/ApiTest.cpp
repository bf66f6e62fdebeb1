#include "pimentofront/Api.h"
#include "ServerSentEvents.h"
#include "pimentofront.pb.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace std::chrono_literals;

TEST_CASE("envelopes are decoded from pieces of any size") {
  const std::string bytes =
      encodeEnvelope(0, "hello") + encodeEnvelope(Envelope::EndOfStream, "{}");
  for (std::size_t size = 1; size < bytes.size(); ++size) {
    EnvelopeReader reader(100);
    std::vector<Envelope> got;
    for (std::size_t at = 0; at < bytes.size(); at += size) {
      reader.feed(std::string_view(bytes).substr(at, size));
      while (auto it = reader.next())
        got.push_back(*it);
    }
    REQUIRE(got.size() == 2);
    CHECK(got[0].Message == "hello");
    CHECK(got[1].Flags == Envelope::EndOfStream);
    CHECK_FALSE(reader.hasPartialEnvelope());
  }
}

TEST_CASE(
    "an envelope over the size limit is malformed before its body arrives") {
  EnvelopeReader reader(1000);
  reader.feed(std::string("\x00\xff\xff\xff\xff", 5));
  CHECK_FALSE(reader.next());
  CHECK(reader.malformed());
}

TEST_CASE(
    "content types of the Connect protocol are recognised, others are not") {
  CHECK(parseContentType("application/json; charset=utf-8")->Codec ==
        ConnectCodec::Json);
  CHECK(parseContentType("application/connect+proto")->Stream);
  CHECK_FALSE(parseContentType("text/html"));
  CHECK_FALSE(parseContentType(""));
}

TEST_CASE("timeouts consist of at most ten digits") {
  CHECK(parseTimeout("1500") == Duration(1500ms));
  CHECK(parseTimeout("") == Duration(0));
  for (const char *it : {"-1", "1.5", "x", "12345678901", "1 "})
    CHECK_FALSE(parseTimeout(it));
}

TEST_CASE("an error states code, outcome and retry-after") {
  const ConnectError error{.Code = ConnectCode::Unavailable,
                           .Message = "a \"quoted\" reason",
                           .NotRun = true,
                           .Reason = "load_backlog",
                           .RetryAfter = 2100ms};
  const std::string json = encodeConnectError(error);
  CHECK(json.find("\"code\":\"unavailable\"") != std::string::npos);
  CHECK(json.find("\\\"quoted\\\"") != std::string::npos);
  CHECK(json.find("\"comeBackMs\":\"2100\"") != std::string::npos);
  CHECK(retryAfter(error) == "3");
  CHECK(httpStatusOf(error.Code) == 503);
}

TEST_CASE("messages are parsed strictly in both codecs") {
  v1::GenerateRequest request;
  CHECK(readMessage(ConnectCodec::Json, R"({"adapter":"a","maxTokens":3})",
                    request));
  CHECK(request.max_tokens() == 3);
  CHECK_FALSE(readMessage(ConnectCodec::Json, R"({"adapterr":"a"})", request));
  CHECK_FALSE(readMessage(ConnectCodec::Json, "{", request));
  CHECK_FALSE(readMessage(ConnectCodec::Binary, "\xff\xff", request));
  const std::string deep(200, '[');
  CHECK_FALSE(readMessage(ConnectCodec::Json, deep, request));
}

TEST_CASE("server-sent events are decoded across pieces") {
  ServerSentEvents events;
  events.feed("data: {\"a\"");
  CHECK_FALSE(events.next());
  events.feed(":1}\r\n\r\n: remark\ndata:[DONE]\n\n");
  CHECK(events.next() == "{\"a\":1}");
  CHECK(events.next() == "[DONE]");
  CHECK_FALSE(events.next());
}
