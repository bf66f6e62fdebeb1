#include "pimentofront/Api.h"

#include "pimentofront.pb.h"

#include <charconv>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>
#include <openssl/evp.h>

namespace pimentofront {
namespace {

struct CodeInfo {
  const char *Name;
  int Status;
};

/// Indexed by ConnectCode.
constexpr CodeInfo Codes[] = {
    {"unknown", 500},   {"invalid_argument", 400}, {"deadline_exceeded", 504},
    {"not_found", 404}, {"already_exists", 409},   {"resource_exhausted", 429},
    {"aborted", 409},   {"unimplemented", 501},    {"unavailable", 503}};

std::string base64(const std::string &bytes) {
  std::string text(4 * (bytes.size() + 2) / 3 + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                      reinterpret_cast<const unsigned char *>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(n));
  while (!text.empty() && text.back() == '=')
    text.pop_back();
  return text;
}

std::string quoted(const std::string &text) {
  google::protobuf::Value value;
  value.set_string_value(text);
  std::string json;
  // Fails only if the text isn't valid UTF-8; the text is omitted then.
  if (!google::protobuf::util::MessageToJsonString(value, &json).ok())
    return "\"\"";
  return json;
}

std::int64_t milliseconds(Duration d) {
  return std::chrono::ceil<std::chrono::milliseconds>(d).count();
}

} // namespace

std::optional<ConnectContent> parseContentType(std::string_view type) {
  const std::string_view base = type.substr(0, type.find(';'));
  if (base == "application/json")
    return ConnectContent{ConnectCodec::Json, false};
  if (base == "application/proto")
    return ConnectContent{ConnectCodec::Binary, false};
  if (base == "application/connect+json")
    return ConnectContent{ConnectCodec::Json, true};
  if (base == "application/connect+proto")
    return ConnectContent{ConnectCodec::Binary, true};
  return std::nullopt;
}

std::string contentTypeOf(const ConnectContent &content) {
  const std::string codec =
      content.Codec == ConnectCodec::Json ? "json" : "proto";
  return (content.Stream ? "application/connect+" : "application/") + codec;
}

int httpStatusOf(ConnectCode code) {
  return Codes[static_cast<std::size_t>(code)].Status;
}

std::string encodeConnectError(const ConnectError &error) {
  std::string json = "{\"code\":\"";
  json += Codes[static_cast<std::size_t>(error.Code)].Name;
  json += "\",\"message\":" + quoted(error.Message);
  if (!error.Reason.empty()) {
    v1::Outcome outcome;
    outcome.set_not_run(error.NotRun);
    outcome.set_reason(error.Reason);
    outcome.set_come_back_ms(
        static_cast<std::uint64_t>(milliseconds(error.RetryAfter)));
    std::string debug;
    (void)google::protobuf::util::MessageToJsonString(outcome, &debug);
    json += ",\"details\":[{\"type\":\"pimentofront.v1.Outcome\",\"value\":\"" +
            base64(outcome.SerializeAsString()) + "\",\"debug\":" + debug +
            "}]";
  }
  return json + "}";
}

std::string encodeEndOfStream(const ConnectError *error) {
  std::string json = "{";
  if (error) {
    json += "\"error\":" + encodeConnectError(*error);
    const std::string after = retryAfter(*error);
    if (!after.empty())
      json += ",\"metadata\":{\"retry-after\":[\"" + after + "\"]}";
  }
  return encodeEnvelope(Envelope::EndOfStream, json + "}");
}

std::string retryAfter(const ConnectError &error) {
  if (error.RetryAfter <= Duration::zero())
    return "";
  return std::to_string(
      std::chrono::ceil<std::chrono::seconds>(error.RetryAfter).count());
}

tl::expected<void, std::string>
readMessage(ConnectCodec codec, std::string_view body,
            google::protobuf::Message &message) {
  if (codec == ConnectCodec::Binary) {
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size())))
      return tl::unexpected(std::string("the body isn't a message of binary "
                                        "protobuf"));
    return {};
  }
  const auto status = google::protobuf::util::JsonStringToMessage(
      {body.data(), body.size()}, &message);
  if (!status.ok())
    return tl::unexpected(std::string(status.message()));
  return {};
}

std::string writeMessage(ConnectCodec codec,
                         const google::protobuf::Message &message) {
  if (codec == ConnectCodec::Binary)
    return message.SerializeAsString();
  std::string json;
  (void)google::protobuf::util::MessageToJsonString(message, &json);
  return json;
}

std::optional<Duration> parseTimeout(std::string_view header) {
  if (header.empty())
    return Duration::zero();
  constexpr std::size_t MaxDigits = 10; // Limit of the protocol.
  std::int64_t ms = 0;
  const char *end = header.data() + header.size();
  const auto parsed = std::from_chars(header.data(), end, ms);
  if (parsed.ec != std::errc() || parsed.ptr != end || ms < 0 ||
      header.size() > MaxDigits)
    return std::nullopt;
  return std::chrono::milliseconds(ms);
}

} // namespace pimentofront
