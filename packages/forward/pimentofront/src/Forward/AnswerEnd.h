#ifndef PIMENTOFRONT_FORWARD_ANSWER_END_H
#define PIMENTOFRONT_FORWARD_ANSWER_END_H

#include <cstdint>
#include <optional>

namespace pimentofront {

/// How the answer of a backend server ended.
enum class UpstreamEnding : std::uint8_t {
  /// Its length was reached, or its last chunk arrived.
  Complete,
  /// The connection couldn't be established: the server never received the
  /// request.
  NotSent,
  /// The request may have reached the server; the answer is incomplete.
  BrokeOff,
  /// Like BrokeOff, on a new connection that the server closed before it
  /// answered anything: most likely it has as many connections as it accepts.
  Rejected,
  /// The answer had neither a length nor chunks and ended with an orderly
  /// close, which also ends the answers of a process that exits.
  Closed,
  /// The server sent more bytes than a response may have, or took longer than
  /// it may take. The entry has closed the connection.
  Excessive,
};

/// \returns the name of \p ending in logs.
const char *upstreamEndingName(UpstreamEnding ending);

/// Result of checking the process at a server's address.
enum class ServerCheckResult : std::uint8_t {
  StillRunning,
  /// Its host refuses connections to it.
  Exited,
  /// No reply: a host without power, a network partition, or a stalled process.
  Unknown,
  /// Another process has registered under its name or at its address, or
  /// answers there.
  Replaced,
  /// A process accepts connections, but didn't say which one it is.
  Unidentified,
};

/// \returns the name of \p result in logs.
const char *serverCheckResultName(ServerCheckResult result);

/// What the end of an attempt means for its request.
enum class EndVerdict : std::uint8_t {
  /// The caller may get the answer as complete.
  Whole,
  /// The answer is incomplete, or isn't known to be complete.
  BrokenOff,
  /// The server has not run the request.
  NotRun,
};
/// \returns the name of \p verdict in logs and metrics.
const char *endVerdictName(EndVerdict verdict);

/// What a verdict rests on.
enum class EndEvidence : std::uint8_t {
  /// The length or the last chunk of the answer.
  Framing,
  /// The connection: it couldn't be established, or it ended before the answer
  /// did, by a close, a reset or bytes that can't be parsed.
  Connection,
  /// Only the connection ended the answer, and the server's process accepted
  /// another connection after that.
  ServerRunning,
  /// Only the connection ended the answer, and the server's process has exited.
  ServerExited,
  /// Only the connection ended the answer, and another process has taken the
  /// server's place.
  ServerReplaced,
  /// Only the connection ended the answer, and the server can't be reached.
  ServerUnreachable,
  /// Only the connection ended the answer, its end may have come late, and the
  /// process at the server's address didn't say which one it is.
  ServerUnidentified,
  /// The stream ended inside an event.
  InsideEvent,
  /// The connection ended a new stream before its first event.
  NoEvent,
  /// The answer is a failure, where the caller already has a part of a stream.
  FailureInStream,
  /// The bytes aren't an answer to this request.
  NoAnswer,
  /// The server's host is suspected to be gone, and the server sends nothing.
  ServerSilent,
  /// The server sent more bytes than an answer may have, or too slowly.
  Excess,
};
/// \returns the name of \p evidence in logs and metrics.
const char *endEvidenceName(EndEvidence evidence);

/// \class AnswerEnd
/// \ingroup Forward
/// \brief A verdict on the end of an attempt, with its evidence.
struct AnswerEnd {
  EndVerdict Verdict = EndVerdict::BrokenOff;
  EndEvidence Evidence = EndEvidence::Connection;
  friend auto operator<=>(const AnswerEnd &, const AnswerEnd &) = default;
};

/// \class EndedAttempt
/// \ingroup Forward
/// \brief What is known of an attempt whose connection has ended.
struct EndedAttempt {
  UpstreamEnding Ending = UpstreamEnding::BrokeOff;
  /// The head of an answer to this request has arrived.
  bool HasHead = false;
  /// The answer is a stream of events.
  bool IsStream = false;
  /// The caller has events of the stream from an earlier attempt.
  bool Resumed = false;
  /// An event has arrived in this attempt.
  bool Began = false;
  /// Bytes have arrived after the last event.
  bool InsideEvent = false;
  /// The answer is a failure, where the caller already has a part of a stream.
  bool FailureInStream = false;
  /// Result of a check of the server that began after the connection had ended.
  std::optional<ServerCheckResult> Check;
  friend auto operator<=>(const EndedAttempt &, const EndedAttempt &) = default;
};

/// Decides whether an answer is whole; nothing else does.
///
/// A frame that ends proves that the content is complete only if the server
/// wrote it: a length, a last chunk. An orderly close may be the kernel's work
/// for a process that has crashed. It counts only if the server's process runs
/// after it. Where the close may have come late, the check asks the process for
/// its identity (QuarantineController).
/// \returns nothing if a check of the server has to decide.
std::optional<AnswerEnd> judgeEnd(const EndedAttempt &attempt);

} // namespace pimentofront

#endif
