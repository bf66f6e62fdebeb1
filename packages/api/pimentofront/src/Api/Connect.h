#ifndef PIMENTOFRONT_API_CONNECT_H
#define PIMENTOFRONT_API_CONNECT_H

#include "Envelope.h"
#include "pimentofront/Base.h"

#include <tl/expected.hpp>

namespace google::protobuf {
class Message;
}

namespace pimentofront {

/// Codes of the Connect protocol that this project uses.
enum class ConnectCode : std::uint8_t {
  Unknown,
  InvalidArgument,
  DeadlineExceeded,
  NotFound,
  AlreadyExists,
  ResourceExhausted,
  Aborted,
  Unimplemented,
  Unavailable,
};

/// \class ConnectError
/// \ingroup Api
/// \brief An error as callers get it.
struct ConnectError {
  ConnectCode Code = ConnectCode::Unknown;
  std::string Message;
  /// What became of the request; the `Outcome` of the schema.
  bool NotRun = false;
  std::string Reason;
  Duration RetryAfter = Duration::zero();
};

/// How a body is written.
enum class ConnectCodec : std::uint8_t { Json, Binary };

/// \class ConnectContent
/// \ingroup Api
/// \brief What a content type says.
struct ConnectContent {
  ConnectCodec Codec = ConnectCodec::Json;
  bool Stream = false;
};

/// \ingroup Api
/// \returns nothing for a content type that isn't of the protocol.
std::optional<ConnectContent> parseContentType(std::string_view type);
std::string contentTypeOf(const ConnectContent &content);

/// \returns the status of HTTP for a unary error.
int httpStatusOf(ConnectCode code);
/// \returns the error object in JSON.
std::string encodeConnectError(const ConnectError &error);
/// \returns the last envelope of a stream; \p error is null for a good end.
std::string encodeEndOfStream(const ConnectError *error);
/// \returns seconds for the header Retry-After, rounded up; empty for none.
std::string retryAfter(const ConnectError &error);

/// Reads \p body into \p message, strictly: unknown fields of JSON are errors.
tl::expected<void, std::string> readMessage(ConnectCodec codec,
                                            std::string_view body,
                                            google::protobuf::Message &message);
std::string writeMessage(ConnectCodec codec,
                         const google::protobuf::Message &message);

/// \returns the value of the header Connect-Timeout-Ms; zero when it isn't
/// there, nothing when it is malformed.
std::optional<Duration> parseTimeout(std::string_view header);

} // namespace pimentofront

#endif
