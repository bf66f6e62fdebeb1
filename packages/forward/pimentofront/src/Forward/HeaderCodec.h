#ifndef PIMENTOFRONT_FORWARD_HEADER_CODEC_H
#define PIMENTOFRONT_FORWARD_HEADER_CODEC_H

#include "AnswerEnd.h"
#include "RoutingDocument.h"
#include "ServerFeedback.h"
#include "pimentofront/Account.h"
#include "pimentofront/Wire.h"

namespace pimentofront {

/// \class RequestTraits
/// \ingroup Forward
/// \brief Properties of a request that its headers carry.
struct RequestTraits {
  /// Identifies this attempt of the caller; backend servers echo it.
  std::string Id;
  /// Digest of the client account's key; nothing if the request has no key.
  std::optional<KeyDigest> Key;
  /// How long the caller will wait; nothing if the request doesn't say.
  std::optional<Duration> TimeLeft;
  std::string BaseModel;
  /// Empty if the request is for the base model without an adapter.
  std::string Adapter;
  /// Tokens of the prompt, and the maximum that may be generated.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// The request states PromptTokens and MaxOutputTokens.
  bool HasTokenCounts = false;
  /// The caller's estimate of the tokens that will be generated; 0 if it states
  /// none.
  std::uint32_t ExpectedOutputTokens = 0;
  std::vector<PromptPart> Parts;
  /// Id of the last event that the caller has of an earlier stream.
  std::optional<std::uint64_t> LastEventId;
  /// Id of the caller's attempt that brought the first event of that stream;
  /// empty if the request doesn't say.
  std::string Resumes;
  /// Header that makes the request impossible to handle; empty for none.
  std::string MalformedHeader;
};

/// \class ForwardTraits
/// \ingroup Forward
/// \brief Properties that an entry adds to the headers of a request for the
/// backend server.
struct ForwardTraits {
  Duration TimeLeft = Duration::zero();
  /// Process of the backend server that must run the request; any other one
  /// refuses it.
  HostName Server;
  /// Version of the adapter that must run the request; 0 allows any.
  VersionNumber Version = 0;
  std::optional<std::uint32_t> Priority;
  std::optional<std::uint64_t> LastEventId;
  /// Address of the engine from which the backend server fetches the prompt
  /// parts that it doesn't have cached; empty for none.
  std::string FetchFrom;
  /// Client account that sent the request; empty if no key is needed.
  AccountName Account;
};

/// \class ServerLoad
/// \ingroup Forward
/// \brief A backend server's load, in requests, as reported with an answer.
struct ServerLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// How long work takes on the server's host at the moment, in percent of the
  /// usual time; 0 if the server doesn't state it.
  std::uint32_t Slowness = 0;
  friend auto operator<=>(const ServerLoad &, const ServerLoad &) = default;
};

/// \class AnswerTraits
/// \ingroup Forward
/// \brief Properties of an answer that its headers carry.
struct AnswerTraits {
  /// Echo of the request's id; empty if the answer has none.
  std::string Id;
  /// The answer carries the backend server's stamp.
  bool Stamped = false;
  /// The backend server states that it did not run the request.
  bool NotRun = false;
  std::optional<ServerLoad> Load;
  AnswerFeedback Feedback;
};

/// \class HeaderCodec
/// \ingroup Forward
/// \brief Reads and writes the headers that callers and backend servers use for
/// these properties. Implemented once for each external system, since their
/// header names differ.
class HeaderCodec {
public:
  virtual ~HeaderCodec() = default;
  virtual RequestTraits decodeRequest(const RequestHead &head) const = 0;
  virtual AnswerTraits decodeAnswer(const ResponseHead &head) const = 0;
  /// \returns the head to forward: the caller's, without the headers that apply
  /// to one connection, those that only the system may set, and the key, and
  /// with \p traits added.
  virtual RequestHead encodeRequest(const RequestHead &head,
                                    const ForwardTraits &traits) const = 0;
  /// \returns the request that asks the process at the address of \p server, a
  /// server of \p service, which one it is; nothing if no response could tell
  /// it from another process of the same name.
  virtual std::optional<RequestHead>
  identityQuery(const ServerProcess &server,
                const ServiceSpec &service) const = 0;
  /// \returns whether the process that sent this response to the query is
  /// \p server: StillRunning, Replaced or Unidentified.
  virtual ServerCheckResult readIdentity(const ServerProcess &server,
                                         const ResponseHead &head,
                                         std::string_view body) const = 0;
  /// \returns the headers of a refusal: the request's id and, if \p retryAfter
  /// is given, the retry-after delay.
  virtual HttpHeaders
  refusalHeaders(const RequestTraits &request,
                 std::optional<Duration> retryAfter) const = 0;
};

} // namespace pimentofront

#endif
