#ifndef PIMENTOFRONT_TESTKIT_TEST_HEADER_CODEC_H
#define PIMENTOFRONT_TESTKIT_TEST_HEADER_CODEC_H

#include "pimentofront/Forward.h"

#include <sstream>

namespace pimentofront::testkit {

/// \class TestHeaderCodec
/// \ingroup Testkit
/// \brief A codec for a test platform's headers. A request has "id", "time"
/// (until its deadline, in milliseconds), "adapter", "tokens", "parts" (ids of
/// the prompt's parts, separated by commas) and "key"; one that resumes a
/// stream has "last-event" and "resumes", the id of the attempt that brought
/// the stream's first event. A request that is forwarded to a server gets
/// "server", "account", "version" (of its adapter), "priority", "fetch" and
/// "last" (the last event that the caller has). An answer has "id", "stamp",
/// "not-run", "load" (running and waiting requests, separated by a comma),
/// "limit" (requests a second), "rest" (a backoff in seconds) and "leaving". A
/// refusal has "come-back" (retry-after, in microseconds).
class TestHeaderCodec : public HeaderCodec {
public:
  RequestTraits decodeRequest(const RequestHead &head) const override {
    RequestTraits traits;
    if (const std::string *it = findHeader(head.Headers, "id"))
      traits.Id = *it;
    if (const std::string *it = findHeader(head.Headers, "time"))
      traits.TimeLeft = std::chrono::milliseconds(std::stoi(*it));
    if (const std::string *it = findHeader(head.Headers, "adapter"))
      traits.Adapter = *it;
    if (const std::string *it = findHeader(head.Headers, "key"))
      traits.Key = KeyDigest::of(*it);
    if (const std::string *it = findHeader(head.Headers, "tokens")) {
      traits.PromptTokens = static_cast<std::uint32_t>(std::stoul(*it));
      traits.HasTokenCounts = true;
    }
    if (const std::string *it = findHeader(head.Headers, "parts"))
      traits.Parts = decodeParts(*it);
    if (const std::string *it = findHeader(head.Headers, "last-event"))
      traits.LastEventId = std::stoull(*it);
    traits.Resumes = headerValue(head.Headers, "resumes");
    if (findHeader(head.Headers, "malformed"))
      traits.MalformedHeader = "malformed";
    traits.BaseModel = "m";
    return traits;
  }
  AnswerTraits decodeAnswer(const ResponseHead &head) const override {
    const std::string *id = findHeader(head.Headers, "id");
    AnswerFeedback feedback{
        .LimitPerSecond = readDecimalHeader(head.Headers, "limit").Value,
        .Leaving = findHeader(head.Headers, "leaving") != nullptr};
    if (const auto rest = readDecimalHeader(head.Headers, "rest").Value)
      feedback.Backoff = ServerFeedback::boundedBackoff(*rest);
    std::optional<ServerLoad> load;
    if (const std::string *it = findHeader(head.Headers, "load"))
      load = decodeLoad(*it);
    return {.Id = id ? *id : "",
            .Stamped = findHeader(head.Headers, "stamp") != nullptr,
            .NotRun = findHeader(head.Headers, "not-run") != nullptr,
            .Load = load,
            .Feedback = feedback};
  }
  RequestHead encodeRequest(const RequestHead &head,
                            const ForwardTraits &traits) const override {
    RequestHead result = head;
    removeHeader(result.Headers, "key");
    removeHeader(result.Headers, "account");
    result.Headers.push_back({"server", traits.Server.str()});
    if (!traits.FetchFrom.empty())
      result.Headers.push_back({"fetch", traits.FetchFrom});
    if (!traits.Account.empty())
      result.Headers.push_back({"account", traits.Account.str()});
    if (traits.Version != 0)
      result.Headers.push_back({"version", std::to_string(traits.Version)});
    if (traits.Priority)
      result.Headers.push_back({"priority", std::to_string(*traits.Priority)});
    if (traits.LastEventId)
      result.Headers.push_back({"last", std::to_string(*traits.LastEventId)});
    return result;
  }
  std::optional<RequestHead> identityQuery(const ServerProcess &server,
                                           const ServiceSpec &) const override {
    return RequestHead{"GET", "/process", {{"server", server.Name.str()}}};
  }
  ServerCheckResult readIdentity(const ServerProcess &server,
                                 const ResponseHead &head,
                                 std::string_view) const override {
    const std::string *name = findHeader(head.Headers, "process");
    if (!name)
      return ServerCheckResult::Unidentified;
    return *name == server.Name.str() ? ServerCheckResult::StillRunning
                                      : ServerCheckResult::Replaced;
  }
  HttpHeaders
  refusalHeaders(const RequestTraits &,
                 std::optional<Duration> retryAfter) const override {
    if (!retryAfter)
      return {};
    return {{"come-back", std::to_string(retryAfter->count())}};
  }

  /// \returns the parts whose ids \p text lists.
  static std::vector<PromptPart> decodeParts(const std::string &text) {
    std::vector<PromptPart> parts;
    std::istringstream in(text);
    for (std::string id; std::getline(in, id, ',');)
      parts.push_back({.Id = std::stoull(id)});
    return parts;
  }

private:
  static ServerLoad decodeLoad(const std::string &text) {
    const std::size_t comma = text.find(',');
    return {.Running = static_cast<std::uint32_t>(std::stoul(text)),
            .Waiting =
                static_cast<std::uint32_t>(std::stoul(text.substr(comma + 1)))};
  }
};

} // namespace pimentofront::testkit

#endif
