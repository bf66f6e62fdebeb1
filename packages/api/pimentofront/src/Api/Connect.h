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
/// \brief An error that is returned to a caller.
struct ConnectError {
  ConnectCode Code = ConnectCode::Unknown;
  std::string Message;
  /// This and the following fields say what became of the request. They are
  /// sent as an `Outcome` message if `Reason` isn't empty.
  bool NotRun = false;
  std::string Reason;
  Duration RetryAfter = Duration::zero();
};

/// Encoding of a body.
enum class ConnectCodec : std::uint8_t { Json, Binary };

/// \class ConnectContent
/// \ingroup Api
/// \brief A decoded content type.
struct ConnectContent {
  ConnectCodec Codec = ConnectCodec::Json;
  bool Stream = false;
};

/// \ingroup Api
/// \returns nullopt for a content type that the protocol doesn't define.
std::optional<ConnectContent> parseContentType(std::string_view type);
std::string contentTypeOf(const ConnectContent &content);

/// \returns the HTTP status of a unary error.
int httpStatusOf(ConnectCode code);
/// \returns the error object in JSON.
std::string encodeConnectError(const ConnectError &error);
/// \returns the last envelope of a stream; \p error is null after success.
std::string encodeEndOfStream(const ConnectError *error);
/// \returns the value of the Retry-After header, seconds rounded up; empty if
/// the error has none.
std::string retryAfter(const ConnectError &error);

/// Parses \p body into \p message. Unknown JSON fields are errors.
tl::expected<void, std::string> readMessage(ConnectCodec codec,
                                            std::string_view body,
                                            google::protobuf::Message &message);
std::string writeMessage(ConnectCodec codec,
                         const google::protobuf::Message &message);

/// \returns the value of the Connect-Timeout-Ms header; zero if it is empty or
/// missing, nullopt if it is malformed.
std::optional<Duration> parseTimeout(std::string_view header);

} // namespace pimentofront

#endif
