#ifndef PIMENTOFRONT_FORWARD_HEADER_CODEC_H
#define PIMENTOFRONT_FORWARD_HEADER_CODEC_H

#include "ServerFeedback.h"
#include "pimentofront/Account.h"
#include "pimentofront/Wire.h"

namespace pimentofront {

/// \class RequestTraits
/// \ingroup Forward
/// \brief What a request says of itself in its headers.
struct RequestTraits {
  /// Names this attempt of the caller; backend servers echo it.
  std::string Id;
  /// Of the client account that sends it; nothing without a key.
  std::optional<KeyDigest> Key;
  /// How long the caller will wait; nothing if it doesn't say.
  std::optional<Duration> TimeLeft;
  std::string BaseModel;
  /// Empty asks for the base model alone.
  std::string Adapter;
  /// Tokens of the prompt, and the most that may be generated.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// The request tells these two.
  bool TellsTokens = false;
  std::vector<PromptPart> Parts;
  /// The caller has the events up to this one of an earlier stream.
  std::optional<std::uint64_t> LastEvent;
};

/// \class ForwardTraits
/// \ingroup Forward
/// \brief What an entry says to the backend server beside the request itself.
struct ForwardTraits {
  Duration TimeLeft = Duration::zero();
  /// Process that must take it; another one refuses.
  HostName Server;
  /// Version of the adapter that must run it; 0 leaves it open.
  VersionNumber Version = 0;
  std::optional<std::uint32_t> Priority;
  std::optional<std::uint64_t> LastEvent;
  /// Client account that sent it; empty where nobody needs a key.
  AccountName Account;
};

/// \class ServerLoad
/// \ingroup Forward
/// \brief What a backend server says of its load with an answer.
struct ServerLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  friend auto operator<=>(const ServerLoad &, const ServerLoad &) = default;
};

/// \class AnswerTraits
/// \ingroup Forward
/// \brief What an answer says of itself in its headers.
struct AnswerTraits {
  /// Echo of the request's id; empty when there is none.
  std::string Id;
  /// Carries the backend server's stamp.
  bool Stamped = false;
  /// The backend server says that it did not run the request.
  bool NotRun = false;
  std::optional<ServerLoad> Load;
  AnswerFeedback Feedback;
};

/// \class HeaderCodec
/// \ingroup Forward
/// \brief The names that callers and backend servers use for all this. One
/// class for each outside system.
class HeaderCodec {
public:
  virtual ~HeaderCodec() = default;
  virtual RequestTraits decodeRequest(const RequestHead &head) const = 0;
  virtual AnswerTraits decodeAnswer(const ResponseHead &head) const = 0;
  /// \returns the head to send on: as the caller sent it, but for what belongs
  /// to one connection, for what only the system may set, and for the key.
  virtual RequestHead encodeRequest(const RequestHead &head,
                                    const ForwardTraits &traits) const = 0;
  /// \returns headers that name the request and, where that is any use, when
  /// to come back.
  virtual HttpHeaders
  refusalHeaders(const RequestTraits &request,
                 std::optional<Duration> comeBack) const = 0;
};

} // namespace pimentofront

#endif
